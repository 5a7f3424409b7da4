//! References to what does not exist, and names or keys that stand twice.

use super::finding::{Field, FieldPath, Finding, Section};
use crate::manifest::{Customer, Manifest, Route};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(manifest: &Manifest) -> Vec<Finding> {
    let mut findings = repeated(
        Section::Routes,
        manifest.routes.iter().map(|route| &route.name),
    );
    let customers = manifest.customers.iter();
    let names = customers.clone().map(|customer| &customer.name);
    findings.extend(repeated(Section::Customers, names));
    let routes = manifest.routes.iter();
    findings.extend(routes.flat_map(|route| check_services(manifest, route)));
    findings.extend(check_keys(&manifest.customers));
    findings
}

/// Entries whose name another entry has, too.
fn repeated<'a>(section: Section, names: impl Iterator<Item = &'a String>) -> Vec<Finding> {
    let mut seen = BTreeSet::new();
    let repeated = names.filter(|name| !seen.insert(*name));
    let finding = |name: &String| {
        let path = FieldPath::field(section, name, Field::Name);
        Finding::error(path, "another entry has the same name".to_string())
    };
    repeated.map(finding).collect()
}

fn check_services(manifest: &Manifest, route: &Route) -> Vec<Finding> {
    let path = || FieldPath::field(Section::Routes, &route.name, Field::Services);
    let mut findings = Vec::new();
    for (name, _) in &route.services {
        if !manifest.services.contains_key(name) {
            let message = format!("there is no service {name:?}");
            findings.push(Finding::error(path(), message));
        }
    }
    let total: u64 = route
        .services
        .iter()
        .map(|(_, share)| u64::from(*share))
        .sum();
    if total == 0 {
        let message = "no service has a share, so every request is refused".to_string();
        findings.push(Finding::error(path(), message));
    }
    findings
}

/// Keys that are empty or belong to two customers: requests with such a key are those of the last one.
fn check_keys(customers: &[Customer]) -> Vec<Finding> {
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    let mut findings = Vec::new();
    for customer in customers {
        let path = || FieldPath::field(Section::Customers, &customer.name, Field::Keys);
        for key in &customer.keys {
            if key.is_empty() {
                findings.push(Finding::error(path(), "a key is empty".to_string()));
            } else if let Some(holder) = holders.insert(key, &customer.name) {
                let message = format!("a key also belongs to {holder:?}");
                findings.push(Finding::error(path(), message));
            }
        }
    }
    findings
}
