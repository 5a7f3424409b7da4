//! Problems in settings.

use displaydoc::Display;
use std::fmt;

/// What is wrong. The documentation of the variants is the text of the message.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum ProblemKind {
    /// the file cannot be read ({0})
    Unreadable(String),
    /// this is not valid YAML ({0})
    Syntax(String),
    /// there is no such field
    Unknown,
    /// the field is given twice, first in line {0}
    Duplicate(u64),
    /// the field is missing and has no default
    Missing,
    /// {found} was given where {expected} is needed
    WrongType {
        /// Type of the value that was given.
        found: &'static str,
        /// Type that the field takes.
        expected: String,
    },
    /// {value} was given; the limit is {limits}
    InvalidValue {
        /// Value that was given, or its description if the value must not be printed.
        value: String,
        /// Values that the field takes.
        limits: String,
    },
    /// {0}
    Conflict(String),
}

/// One problem with its position and remedy.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Name of the settings file, or `environment`.
    pub file: String,
    /// Line in the file, from 1.
    pub line: Option<u64>,
    /// Column in the line, from 1.
    pub column: Option<u64>,
    /// Path of the field, such as `links.silence`; empty if the problem concerns the whole file.
    pub field: String,
    /// What is wrong, with the limit.
    pub kind: ProblemKind,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        for position in [self.line, self.column].into_iter().flatten() {
            write!(f, ":{position}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}; {}", self.kind, self.remedy)
    }
}

impl std::error::Error for Problem {}
