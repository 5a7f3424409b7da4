//! What a configuration changes compared with the version in force.

use super::finding::{Field, FieldPath, Finding, Section};
use crate::manifest::{CallerLimits, Customer, Manifest, Route, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

pub(super) fn compare(in_force: &Manifest, next: &Manifest) -> Vec<Finding> {
    let mut findings = Vec::new();
    if next.version <= in_force.version {
        let message = format!(
            "{} is not later than {}, which is in force; routers ignore it",
            next.version, in_force.version
        );
        findings.push(Finding::error(
            FieldPath::entry(Section::Version, ""),
            message,
        ));
    }
    let by_name = |manifest: &'_ Manifest| -> BTreeMap<String, Route> {
        let routes = manifest.routes.iter();
        routes
            .map(|route| (route.name.clone(), route.clone()))
            .collect()
    };
    let (old, new) = (by_name(in_force), by_name(next));
    findings.extend(entries(Section::Routes, &old, &new, route_fields));
    let (old, new) = (&in_force.services, &next.services);
    findings.extend(entries(Section::Services, old, new, service_fields));
    findings.extend(limit_fields(&in_force.limits, &next.limits));
    let by_name = |manifest: &'_ Manifest| -> BTreeMap<String, Customer> {
        let customers = manifest.customers.iter();
        customers
            .map(|customer| (customer.name.clone(), customer.clone()))
            .collect()
    };
    let (old, new) = (by_name(in_force), by_name(next));
    findings.extend(entries(Section::Customers, &old, &new, customer_fields));
    findings
}

/// Entries that were added or removed, and the fields that changed in the others.
fn entries<T>(
    section: Section,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    fields: fn(&T, &T) -> Vec<(Field, String)>,
) -> Vec<Finding> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut findings = Vec::new();
    for name in names {
        let entry = || FieldPath::entry(section, name);
        match (old.get(name), new.get(name)) {
            (Some(_), None) => findings.push(Finding::change(entry(), "removed".to_string())),
            (None, Some(_)) => findings.push(Finding::change(entry(), "added".to_string())),
            (Some(old), Some(new)) => {
                findings.extend(fields(old, new).into_iter().map(|(field, message)| {
                    Finding::change(FieldPath::field(section, name, field), message)
                }))
            }
            (None, None) => {}
        }
    }
    findings
}

fn route_fields(old: &Route, new: &Route) -> Vec<(Field, String)> {
    let changes = [
        changed(Field::Host, &old.host, &new.host),
        changed(Field::Prefix, &old.prefix, &new.prefix),
        changed(Field::Kind, &old.kind, &new.kind),
        changed(Field::Timeout, &old.timeout, &new.timeout),
        changed(Field::Target, &old.target, &new.target),
        changed(Field::Pause, &old.pause, &new.pause),
        changed(Field::Priority, &old.priority, &new.priority),
        changed(Field::Services, &old.services, &new.services),
        changed(Field::Attempts, &old.attempts, &new.attempts),
        changed(Field::Anonymous, &old.anonymous, &new.anonymous),
        changed(Field::Regions, &old.regions, &new.regions),
    ];
    changes.into_iter().flatten().collect()
}

fn service_fields(old: &Service, new: &Service) -> Vec<(Field, String)> {
    let changes = [
        changed(Field::Health, &old.health, &new.health),
        changed(Field::Connections, &old.connections, &new.connections),
        changed(Field::Engine, &old.engine, &new.engine),
        changed(Field::Cold, &old.cold, &new.cold),
    ];
    changes.into_iter().flatten().collect()
}

fn customer_fields(old: &Customer, new: &Customer) -> Vec<(Field, String)> {
    let changes = [
        changed_keys(&old.keys, &new.keys),
        changed(Field::Priority, &old.priority, &new.priority),
        changed(Field::Regions, &old.regions, &new.regions),
    ];
    changes.into_iter().flatten().collect()
}

fn limit_fields(old: &CallerLimits, new: &CallerLimits) -> Vec<Finding> {
    let changes = [
        changed(Field::Head, &old.head, &new.head),
        changed(Field::Body, &old.body, &new.body),
        changed(Field::Arrival, &old.arrival, &new.arrival),
        changed(Field::Idle, &old.idle, &new.idle),
    ];
    let changes = changes.into_iter().flatten();
    changes
        .map(|(field, message)| {
            Finding::change(FieldPath::field(Section::Limits, "", field), message)
        })
        .collect()
}

fn changed<T: PartialEq + Debug>(field: Field, old: &T, new: &T) -> Option<(Field, String)> {
    (old != new).then(|| (field, format!("{old:?} becomes {new:?}")))
}

/// Counts keys that were added and removed; keys themselves are secret.
fn changed_keys(old: &[String], new: &[String]) -> Option<(Field, String)> {
    let added = new.iter().filter(|key| !old.contains(key)).count();
    let removed = old.iter().filter(|key| !new.contains(key)).count();
    let message = format!("{added} added, {removed} removed");
    (added + removed > 0).then_some((Field::Keys, message))
}
