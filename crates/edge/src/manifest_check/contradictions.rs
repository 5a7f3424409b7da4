//! Limits that contradict each other.

use super::finding::{Field, FieldPath, Finding, Section};
use crate::manifest::{CallerLimits, Manifest, Route};

/// Lowest priority that engines know; lower ones count as this one.
const LOWEST_PRIORITY: u8 = 9;

pub(super) fn check(manifest: &Manifest) -> Vec<Finding> {
    let mut findings: Vec<Finding> = manifest.routes.iter().flat_map(check_route).collect();
    findings.extend(check_limits(&manifest.limits));
    for customer in &manifest.customers {
        if let Some(priority) = customer.priority {
            let path = FieldPath::field(Section::Customers, &customer.name, Field::Priority);
            findings.extend(check_priority(path, priority));
        }
    }
    findings
}

fn check_route(route: &Route) -> Vec<Finding> {
    let path = |field| FieldPath::field(Section::Routes, &route.name, field);
    let mut findings = Vec::new();
    if route.timeout.is_zero() {
        let message = "0: every request is refused as too late".to_string();
        findings.push(Finding::error(path(Field::Timeout), message));
    }
    if route.attempts == 0 {
        let message = "0: no request may be sent to an endpoint".to_string();
        findings.push(Finding::error(path(Field::Attempts), message));
    }
    if route.target > route.timeout {
        let message = format!(
            "{} ms is beyond the timeout of {} ms, so the target limits nothing",
            route.target.as_millis(),
            route.timeout.as_millis()
        );
        findings.push(Finding::warning(path(Field::Target), message));
    }
    if let Some(pause) = route.pause {
        if !route.kind.streams() {
            let message = "only streams have pauses between events".to_string();
            findings.push(Finding::warning(path(Field::Pause), message));
        } else if pause > route.timeout {
            let message = format!(
                "{} ms is beyond the timeout of {} ms, so it limits nothing",
                pause.as_millis(),
                route.timeout.as_millis()
            );
            findings.push(Finding::warning(path(Field::Pause), message));
        }
    }
    if route.kind.streams() && route.kind.repeatable() && route.attempts == 1 {
        let message = "1: the stream may be resumed, but no router may do so itself".to_string();
        findings.push(Finding::warning(path(Field::Attempts), message));
    }
    findings.extend(check_priority(path(Field::Priority), route.priority));
    findings
}

fn check_priority(path: FieldPath, priority: u8) -> Option<Finding> {
    let message = format!("{priority} counts as {LOWEST_PRIORITY}, the lowest that engines know");
    (priority > LOWEST_PRIORITY).then(|| Finding::warning(path, message))
}

fn check_limits(limits: &CallerLimits) -> Vec<Finding> {
    let path = |field| FieldPath::field(Section::Limits, "", field);
    let mut findings = Vec::new();
    if limits.head == 0 {
        let message = "0: no request fits".to_string();
        findings.push(Finding::error(path(Field::Head), message));
    }
    if limits.arrival.is_zero() {
        let message = "0: no head of a request arrives in time".to_string();
        findings.push(Finding::error(path(Field::Arrival), message));
    }
    if limits.body == 0 {
        let message = "0: only requests without a body are accepted".to_string();
        findings.push(Finding::warning(path(Field::Body), message));
    }
    if limits.idle < limits.arrival {
        let message = format!(
            "{} ms is below the {} ms in which the head of a request may arrive",
            limits.idle.as_millis(),
            limits.arrival.as_millis()
        );
        findings.push(Finding::warning(path(Field::Idle), message));
    }
    findings
}
