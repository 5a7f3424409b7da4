//! Check of a configuration before operators send it.
//!
//! The platform's store accepts any configuration that is well formed. This finds what is well formed
//! and still wrong: references to nothing, entries that can never match, limits that contradict each
//! other; and it lists what differs from the version in force. API keys are never part of a finding.

mod contradictions;
mod differences;
mod finding;
mod references;
mod unreachable;

pub use finding::{Field, FieldPath, Finding, Section, Severity};

use crate::manifest::Manifest;

/// Finds errors and suspicious entries in a configuration, in the order of its sections.
pub fn check_manifest(manifest: &Manifest) -> Vec<Finding> {
    let mut findings = references::check(manifest);
    findings.extend(unreachable::check(manifest));
    findings.extend(contradictions::check(manifest));
    findings.sort_by(|a, b| a.path.cmp(&b.path));
    findings
}

/// Lists what a configuration changes compared with the version in force. A version that is not later
/// than that is an error, because routers ignore it.
pub fn manifest_differences(in_force: &Manifest, next: &Manifest) -> Vec<Finding> {
    differences::compare(in_force, next)
}
