//! Checks that the catalogues in docs/ agree with the code.

use sequoiaridge::core::{Event, RefusalReason, RetryReason};
use sequoiaridge::router::example_metrics;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns the cells of those table rows of a page whose first cell begins with a backtick or a
/// digit.
fn rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(page);
    let text = std::fs::read_to_string(path).expect("the page");
    let starts = |line: &&str| {
        let cell = line.strip_prefix("| ").unwrap_or("");
        cell.starts_with(|first: char| first == '`' || first.is_ascii_digit())
    };
    let cells = |line: &str| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    };
    text.lines().filter(starts).map(cells).collect()
}

/// Guards against events that operators cannot look up, and against numbers or names that are used
/// twice.
#[test]
fn events_page_and_code_agree() {
    let mut events: Vec<Event> = Event::ALL.to_vec();
    events.sort_by_key(|event| event.code());
    let expected: Vec<[String; 3]> = events
        .iter()
        .map(|event| {
            let severity = format!("{:?}", event.severity()).to_lowercase();
            [event.code().to_string(), event.name().to_string(), severity]
        })
        .collect();
    let rows = rows("events.md");
    let found: Vec<[String; 3]> = rows
        .iter()
        .map(|row| [row[0].clone(), row[1].clone(), row[2].clone()])
        .collect();
    assert_eq!(found, expected);
    for row in &rows {
        assert!(
            row.len() == 5 && !row[3].is_empty() && !row[4].is_empty(),
            "{row:?}"
        );
    }
    let codes: BTreeSet<u16> = events.iter().map(|event| event.code()).collect();
    let names: BTreeSet<&str> = events.iter().map(|event| event.name()).collect();
    assert_eq!((codes.len(), names.len()), (events.len(), events.len()));
}

/// Returns the type and the label names of each metric in exported text, by the name of the metric.
fn parse_metrics(text: &str) -> BTreeMap<String, (String, BTreeSet<String>)> {
    let mut metrics: BTreeMap<String, (String, BTreeSet<String>)> = BTreeMap::new();
    let mut last = String::new();
    for line in text.lines() {
        if let Some(words) = line.strip_prefix("# TYPE ") {
            let (name, kind) = words.split_once(' ').expect("name and type");
            last = name.to_string();
            metrics.insert(last.clone(), (kind.to_string(), BTreeSet::new()));
        } else if let Some((_, rest)) = line.split_once('{').filter(|_| !line.starts_with('#')) {
            let labels = rest.split_once('}').expect("the end of the labels").0;
            let names = labels.split(',').filter_map(|label| label.split_once('='));
            let names = names
                .map(|(name, _)| name.to_string())
                .filter(|name| name != "le");
            metrics
                .get_mut(&last)
                .expect("a type first")
                .1
                .extend(names);
        }
    }
    metrics
}

/// Guards against metrics and labels that are added, renamed or removed in the code but not on the
/// page.
#[test]
fn metrics_page_and_code_agree() {
    let rows = rows("metrics.md");
    let page: BTreeMap<String, (String, BTreeSet<String>)> = rows
        .iter()
        .filter(|row| row[0].starts_with("sequoiaridge_"))
        .map(|row| {
            assert!(row.len() == 4 && !row[3].is_empty(), "{row:?}");
            let labels = row[2].split(", ").filter(|label| *label != "none");
            let labels = labels.map(str::to_string).collect();
            (row[0].clone(), (row[1].clone(), labels))
        })
        .collect();
    let mut code = parse_metrics(&example_metrics());
    code.extend(parse_metrics(&sequoiaridge::edge::example_metrics()));
    assert_eq!(page, code);
}

/// Guards against reasons for refusals and retries that callers and operators cannot look up.
#[test]
fn reasons_on_the_page_and_in_the_code_agree() {
    let rows = rows("metrics.md");
    let found: Vec<(String, String)> = rows
        .iter()
        .filter(|row| !row[0].starts_with("sequoiaridge_"))
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();
    let refusals = RefusalReason::ALL
        .iter()
        .map(|r| (r.as_str().to_string(), r.to_string()));
    let retries = RetryReason::ALL
        .iter()
        .map(|r| (r.as_str().to_string(), r.to_string()));
    let expected: Vec<(String, String)> = refusals.chain(retries).collect();
    assert_eq!(found, expected);
}
