//! Findings, and the paths of the fields that they are about.

use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration must not be sent.
    Error,
    /// It can be sent, but the entry has no effect or contradicts another one.
    Warning,
    /// It differs from the version in force.
    Change,
}

impl Severity {
    /// Name in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Change => "change",
        }
    }
}

/// Part of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The version number.
    Version,
    /// The list of routes.
    Routes,
    /// The services.
    Services,
    /// The limits on callers.
    Limits,
    /// The list of customers.
    Customers,
}

/// Field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[expect(
    missing_docs,
    reason = "the names are those of the fields of `Manifest` and its parts"
)]
pub enum Field {
    Name,
    Host,
    Prefix,
    Kind,
    Timeout,
    Target,
    Pause,
    Priority,
    Services,
    Attempts,
    Anonymous,
    Regions,
    Health,
    Connections,
    Engine,
    Cold,
    Keys,
    Head,
    Body,
    Arrival,
    Idle,
}

/// Where a finding is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldPath {
    /// Part of the configuration.
    pub section: Section,
    /// Name of the entry; empty for sections without entries.
    pub entry: String,
    /// Field of the entry, if the finding is about one.
    pub field: Option<Field>,
}

impl FieldPath {
    /// The path of an entry, or of a section if `entry` is empty.
    pub(crate) fn entry(section: Section, entry: &str) -> FieldPath {
        FieldPath {
            section,
            entry: entry.to_string(),
            field: None,
        }
    }

    /// The path of a field of an entry.
    pub(crate) fn field(section: Section, entry: &str, field: Field) -> FieldPath {
        FieldPath {
            field: Some(field),
            ..FieldPath::entry(section, entry)
        }
    }
}

/// Something about a configuration that its operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Where it is.
    pub path: FieldPath,
    /// What was found, and the limit or the other entry. It contains no API key.
    pub message: String,
}

impl Finding {
    pub(crate) fn error(path: FieldPath, message: String) -> Finding {
        Finding {
            severity: Severity::Error,
            path,
            message,
        }
    }

    pub(crate) fn warning(path: FieldPath, message: String) -> Finding {
        Finding {
            severity: Severity::Warning,
            path,
            message,
        }
    }

    pub(crate) fn change(path: FieldPath, message: String) -> Finding {
        Finding {
            severity: Severity::Change,
            path,
            message,
        }
    }
}
