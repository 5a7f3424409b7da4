//! Loading of settings: defaults, precedence of the environment, and error messages.

use sequoiaridge_settings::{Environment, LogFormat, Problem, Settings};
use std::path::Path;
use std::time::Duration;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OTHER_KEY: &str = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const MINIMAL: &str = r#"
id: r1
domain: a
region: r
listen: { callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3" }
platform: { table: "127.0.0.1:4", objects: "127.0.0.1:4", members: "127.0.0.1:4" }
"#;

fn environment() -> Environment {
    Environment {
        peer_key: Some(KEY.to_string()),
        previous_peer_key: None,
    }
}

fn parse(extra: &str) -> Result<Settings, Vec<Problem>> {
    Settings::parse(&format!("{MINIMAL}{extra}"), &environment())
}

/// Returns the message about `extra`, which must be the only one.
fn message(extra: &str) -> String {
    let problems = parse(extra).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    problems[0].to_string()
}

/// Guards against defaults that differ from the design page.
#[test]
fn minimal_settings_have_the_defaults_of_the_design() {
    let settings = parse("").unwrap();
    assert_eq!(settings.load.multiple, 1.25);
    assert_eq!(settings.health.leave_bound, Duration::from_secs(3));
    assert_eq!((settings.retry.share, settings.retry.burst), (0.1, 10));
    assert_eq!(settings.claims.retention, Duration::from_secs(24 * 3600));
    assert_eq!(settings.config.isolation, Duration::from_secs(4));
    assert_eq!(settings.links.silence, Duration::from_secs(3));
    assert_eq!(settings.drain.limit, Duration::from_secs(120));
    assert_eq!(settings.quarantine.strikes, 3);
    assert_eq!(settings.quarantine.hold, Duration::from_secs(600));
    assert_eq!(settings.cache.lookback, Duration::from_secs(1800));
    assert!(settings.peers.seeds.is_empty());
}

/// Guards against an example file that is not valid.
#[test]
fn example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/router.yaml");
    let text = std::fs::read_to_string(path).unwrap();
    let settings = Settings::parse(&text, &environment()).unwrap();
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.peers.seeds.len(), 2);
}

/// Guards against a key in the file that takes precedence over the environment, and against keys
/// and other secrets in messages and `Debug` output.
#[test]
fn environment_takes_precedence_and_keys_stay_hidden() {
    let settings = parse(&format!("peers: {{ key: \"{OTHER_KEY}\" }}")).unwrap();
    assert_eq!(settings.peers.key.expose()[0], 0);
    let shown = format!("{settings:?} {:?}", environment());
    assert!(
        !shown.contains("2233") && !shown.contains("0, 17, 34"),
        "{shown}"
    );
    let text = format!("{MINIMAL}peers: {{ key: \"{OTHER_KEY}\" }}");
    let settings = Settings::parse(&text, &Environment::default()).unwrap();
    assert_eq!(settings.peers.key.expose()[0], 0xff);
    let invalid_key = Environment {
        peer_key: Some("hunter2".to_string()),
        previous_peer_key: None,
    };
    let problems = Settings::parse(&text, &invalid_key).unwrap_err();
    let shown = format!("{problems:?} {}", problems[0]);
    assert!(
        shown.contains("environment: peers.key") && !shown.contains("hunter2"),
        "{shown}"
    );
    let invalid = [
        "peers: { previous_key: hunter2 }",
        "peers: { previous_key: 2222e999999 }",
        "peers: { previous_key: 2222222222222222222222222222222222222222222222222222222222222222222222 }",
        "bootstrap: { operator_token_digest: hunter2 }",
        "peers: { previous_key: hunter2",
        "peers: { previous_key: *hunter2 }",
        "peers: { previous_key: !!float hunter2 }",
        "peers: { previous_key: !!int hunter2 }",
    ];
    for extra in invalid {
        let shown = format!("{:?}", parse(extra).unwrap_err());
        assert!(
            !shown.contains("hunter2") && !shown.contains("2222"),
            "{shown}"
        );
    }
}

/// Guards against messages that do not name the position, field, limit or remedy.
#[test]
fn each_message_names_place_field_limit_and_remedy() {
    let cases = [
        (
            "links: { silense: 3 }",
            "settings:7:10: links.silense: there is no such field; remove it or use one of: silence, keepalive, idle",
        ),
        (
            "lnks: 3",
            "settings:7:1: lnks: there is no such field; remove it or use one of: id, domain",
        ),
        (
            "links: 3",
            "settings:7:8: links: a number was given where a section of fields is needed; write its fields as `name: value`: silence",
        ),
        (
            "links: { silence: 3s }",
            "settings:7:19: links.silence: a text was given where a number of seconds (0.1 to 60) is needed; write a number of seconds, or remove it for the default of 3",
        ),
        (
            "links: { silence: 61 }",
            "links.silence: 61 was given; the limit is 0.1 to 60 s; change it",
        ),
        (
            "links: { silence: .nan }",
            "links.silence: NaN was given; the limit is 0.1 to 60 s",
        ),
        (
            "links: { silence: 1 }",
            "links.silence: 1 s was given; it must be above links.keepalive, which is 1 s; raise links.silence or lower links.keepalive",
        ),
        (
            "health: { interval: 4 }",
            "settings:7:21: health.leave_bound: 3 s was given; it must be at least health.interval, which is 4 s",
        ),
        (
            "drain: { limit: 0 }",
            "drain.limit: 0 was given; the limit is 0.001 to 3600 s",
        ),
        (
            "limits: { threads: 1.5 }",
            "limits.threads: 1.5 was given; the limit is 1 to 64 threads",
        ),
        (
            "log: { format: xml }",
            "log.format: xml was given; the limit is text, json; change it, or remove it for the default of text",
        ),
        (
            "id: r2",
            "settings:7:1: id: the field is given twice, first in line 2; keep one of the two",
        ),
        (
            "peers: { seeds: [\"127.0.0.1:9\", \"127.0.0.1:9\"] }",
            "settings:7:33: peers.seeds: 127.0.0.1:9 is given twice; remove the duplicate",
        ),
        (
            "log: { level: 7 }",
            "log.level: a number was given where a text (error, warn, info, debug, trace) is needed; write a text, or remove it",
        ),
        (
            "peers: { seeds: [\"router-2:9\"] }",
            "peers.seeds: router-2:9 was given; the limit is IP addresses and ports, ports not 0, no duplicates; set it to a list of addresses, such as",
        ),
        ("links: { silence: 3", "not valid YAML"),
    ];
    for (extra, expected) in cases {
        let shown = message(extra);
        assert!(shown.contains(expected), "{extra}: {shown}");
    }
    let equal = format!("peers: {{ previous_key: \"{KEY}\" }}");
    assert!(message(&equal).contains("peers.previous_key: it is equal to peers.key; remove it"));
}

/// Guards against one address for two listeners of the process, or for a listener and the platform.
#[test]
fn addresses_must_be_distinct() {
    for (from, to, ok) in [
        ("127.0.0.1:2", "127.0.0.1:1", false),
        ("127.0.0.1:2", "0.0.0.0:1", false),
        ("127.0.0.1:2", "127.0.0.1:4", false),
        ("127.0.0.1:2", "0.0.0.0:4", true),
        ("127.0.0.1:2", "127.0.0.1:0", true),
        ("127.0.0.1:4", "127.0.0.1:0", false),
    ] {
        let text = MINIMAL.replace(from, to);
        assert_eq!(Settings::parse(&text, &environment()).is_ok(), ok, "{to}");
    }
}

/// Guards against reports that stop at the first problem.
#[test]
fn all_mistakes_are_reported_at_once() {
    let problems = Settings::parse(
        "id: 7\nfoo: 1\nload: { multiple: 1 }",
        &Environment::default(),
    );
    let problems = problems.unwrap_err();
    let fields: Vec<_> = problems.iter().map(|p| p.field.as_str()).collect();
    let expected = "id foo load.multiple domain region listen.callers listen.operators listen.peers \
        platform.table platform.objects platform.members peers.key";
    assert_eq!(fields.join(" "), expected);
}

/// Guards against messages about unreadable files that do not say what to do.
#[test]
fn unreadable_files_are_explained() {
    let shown = Settings::load(Path::new("/nonexistent/router.yaml")).unwrap_err()[0].to_string();
    assert!(
        shown.starts_with("/nonexistent/router.yaml: the file cannot be read"),
        "{shown}"
    );
    assert!(shown.contains("create the file"), "{shown}");
    let shown = Settings::load(Path::new("/")).unwrap_err()[0].to_string();
    assert!(
        shown.contains("give the path of a readable text file"),
        "{shown}"
    );
}
