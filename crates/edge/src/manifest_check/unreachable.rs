//! Entries that no request can ever match.

use super::finding::{Field, FieldPath, Finding, Section};
use crate::manifest::{Manifest, Route};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(manifest: &Manifest) -> Vec<Finding> {
    let mut findings = check_routes(&manifest.routes);
    findings.extend(check_services(manifest));
    findings.extend(check_customers(manifest));
    findings
}

/// Routes that never match: those with the host and prefix of an earlier one, and those whose prefix is
/// not one.
fn check_routes(routes: &[Route]) -> Vec<Finding> {
    let mut first: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    let mut findings = Vec::new();
    for route in routes {
        let path = |field| FieldPath::field(Section::Routes, &route.name, field);
        if route.host.is_empty() {
            let message = "the host is empty, and no request has an empty one".to_string();
            findings.push(Finding::error(path(Field::Host), message));
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let message = format!("{:?} does not begin and end with a slash", route.prefix);
            findings.push(Finding::error(path(Field::Prefix), message));
        }
        match first.get(&(route.host.as_str(), route.prefix.as_str())) {
            Some(other) => {
                let message = format!("never matches: {other:?} has the same host and prefix");
                findings.push(Finding::error(path(Field::Prefix), message));
            }
            None => {
                first.insert((&route.host, &route.prefix), &route.name);
            }
        }
        if route.regions.as_ref().is_some_and(Vec::is_empty) {
            let message = "no region is allowed, so every request is refused".to_string();
            findings.push(Finding::warning(path(Field::Regions), message));
        }
    }
    findings
}

/// Services that get no requests, and services of a route without a share.
fn check_services(manifest: &Manifest) -> Vec<Finding> {
    let mut used: BTreeSet<&str> = BTreeSet::new();
    let mut findings = Vec::new();
    for route in &manifest.routes {
        for (name, share) in &route.services {
            if *share > 0 {
                used.insert(name);
                continue;
            }
            let path = FieldPath::field(Section::Routes, &route.name, Field::Services);
            let message = format!("{name:?} has a share of 0 and gets no requests");
            findings.push(Finding::warning(path, message));
        }
    }
    for name in manifest.services.keys() {
        if !used.contains(name.as_str()) {
            let path = FieldPath::entry(Section::Services, name);
            let message = "no route leads to this service".to_string();
            findings.push(Finding::warning(path, message));
        }
    }
    findings
}

/// Customers that cannot send a request at all, or none on some route.
fn check_customers(manifest: &Manifest) -> Vec<Finding> {
    let mut findings = Vec::new();
    for customer in &manifest.customers {
        if customer.keys.is_empty() {
            let path = FieldPath::field(Section::Customers, &customer.name, Field::Keys);
            let message = "the customer has no key and can send nothing".to_string();
            findings.push(Finding::warning(path, message));
        }
        let Some(own) = &customer.regions else {
            continue;
        };
        for route in manifest.routes.iter().filter(|route| !route.anonymous) {
            let shares_region =
                |regions: &Vec<_>| regions.iter().any(|region| own.contains(region));
            if !route.regions.as_ref().is_none_or(shares_region) {
                let path = FieldPath::field(Section::Customers, &customer.name, Field::Regions);
                let message = format!("no region is allowed on route {:?}, too", route.name);
                findings.push(Finding::warning(path, message));
            }
        }
    }
    findings
}
