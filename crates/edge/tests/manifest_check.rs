//! The check of a configuration before it is sent.

mod manifest_parts;

use manifest_parts::{customer, limits, route};
use sequoiaridge_edge::{
    Field, Finding, Manifest, Section, Service, Severity, check_manifest, manifest_differences,
};
use std::collections::BTreeMap;
use std::time::Duration;

fn manifest() -> Manifest {
    let service = Service {
        health: "/healthz".to_string(),
        connections: 100,
        engine: None,
        cold: None,
    };
    Manifest {
        version: 7,
        routes: vec![route("read", "/read/"), route("order", "/order/")],
        services: BTreeMap::from([("app".to_string(), service)]),
        limits: limits(),
        customers: vec![customer("bakery", "k1"), customer("hotel", "k2")],
    }
}

/// The findings of one change, as section, entry, field and severity.
fn found(change: impl FnOnce(&mut Manifest)) -> Vec<(Section, String, Option<Field>, Severity)> {
    let mut manifest = manifest();
    change(&mut manifest);
    let findings = check_manifest(&manifest);
    let rows = findings.into_iter();
    rows.map(|Finding { severity, path, .. }| (path.section, path.entry, path.field, severity))
        .collect()
}

/// Guards against a check that operators learn to ignore because it reports sound configurations.
#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check_manifest(&manifest()), Vec::new());
}

/// Guards against entries that are accepted although no request can ever match them.
#[test]
fn entries_that_can_never_match_are_found() {
    let twin = found(|manifest| manifest.routes.push(route("twin", "/read/")));
    let prefix = Some(Field::Prefix);
    let error = Severity::Error;
    assert_eq!(twin, [(Section::Routes, "twin".to_string(), prefix, error)]);
    let bare = found(|manifest| manifest.routes[0].prefix = "/read".to_string());
    assert_eq!(bare, [(Section::Routes, "read".to_string(), prefix, error)]);
    let warning = Severity::Warning;
    let unused = found(|manifest| {
        let service = manifest.services["app"].clone();
        manifest.services.insert("old".to_string(), service);
    });
    assert_eq!(
        unused,
        [(Section::Services, "old".to_string(), None, warning)]
    );
    let silent = found(|manifest| manifest.customers[1].keys.clear());
    let keys = Some(Field::Keys);
    assert_eq!(
        silent,
        [(Section::Customers, "hotel".to_string(), keys, warning)]
    );
    let apart = found(|manifest| {
        manifest.routes[0].regions = Some(vec!["north".to_string()]);
        manifest.customers[0].regions = Some(vec!["south".to_string()]);
    });
    let regions = Some(Field::Regions);
    assert_eq!(
        apart,
        [(Section::Customers, "bakery".to_string(), regions, warning)]
    );
}

/// Guards against references to nothing, and against names and keys that stand twice.
#[test]
fn errors_are_found() {
    let missing = found(|manifest| manifest.routes[0].services[0].0 = "nowhere".to_string());
    let services = Some(Field::Services);
    let error = Severity::Error;
    assert_eq!(
        missing[0],
        (Section::Routes, "read".to_string(), services, error)
    );
    let none = found(|manifest| manifest.routes[1].services.clear());
    assert_eq!(
        none,
        [(Section::Routes, "order".to_string(), services, error)]
    );
    let twice = found(|manifest| manifest.customers[1].name = "bakery".to_string());
    let name = Some(Field::Name);
    assert_eq!(
        twice,
        [(Section::Customers, "bakery".to_string(), name, error)]
    );
    let shared = found(|manifest| manifest.customers[1].keys[0] = "k1".to_string());
    let keys = Some(Field::Keys);
    assert_eq!(
        shared,
        [(Section::Customers, "hotel".to_string(), keys, error)]
    );
}

/// Guards against limits that cancel each other out unnoticed.
#[test]
fn contradicting_limits_are_found() {
    let late = found(|manifest| manifest.routes[0].target = Duration::from_secs(2));
    let warning = Severity::Warning;
    let target = Some(Field::Target);
    assert_eq!(
        late,
        [(Section::Routes, "read".to_string(), target, warning)]
    );
    let never = found(|manifest| manifest.routes[0].attempts = 0);
    let attempts = Some(Field::Attempts);
    let error = Severity::Error;
    assert_eq!(
        never,
        [(Section::Routes, "read".to_string(), attempts, error)]
    );
    let low = found(|manifest| manifest.customers[0].priority = Some(12));
    let priority = Some(Field::Priority);
    assert_eq!(
        low,
        [(Section::Customers, "bakery".to_string(), priority, warning)]
    );
    let idle = found(|manifest| manifest.limits.idle = Duration::from_secs(1));
    assert_eq!(
        idle,
        [(Section::Limits, String::new(), Some(Field::Idle), warning)]
    );
}

/// Guards against a change that is sent unnoticed, an old version that routers ignore, and keys in the
/// output.
#[test]
fn differences_from_the_version_in_force_are_listed() {
    let in_force = manifest();
    let mut next = manifest();
    next.version = 8;
    next.routes[0].timeout = Duration::from_secs(4);
    next.routes.remove(1);
    next.customers[0].keys = vec!["secret".to_string()];
    let findings = manifest_differences(&in_force, &next);
    let rows: Vec<(&str, Option<Field>)> = findings
        .iter()
        .map(|finding| (finding.path.entry.as_str(), finding.path.field))
        .collect();
    let expected = [
        ("order", None),
        ("read", Some(Field::Timeout)),
        ("bakery", Some(Field::Keys)),
    ];
    assert_eq!(rows, expected);
    assert!(
        findings
            .iter()
            .all(|finding| finding.severity == Severity::Change)
    );
    assert!(
        findings
            .iter()
            .all(|finding| !finding.message.contains("secret"))
    );
    next.version = 7;
    let findings = manifest_differences(&in_force, &next);
    assert_eq!(findings[0].severity, Severity::Error);
    assert_eq!(findings[0].path.section, Section::Version);
}
