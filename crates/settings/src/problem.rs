//! Mistakes in settings.

use displaydoc::Display;
use std::fmt;

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum Mistake {
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
    /// {found} was given where {wanted} is needed
    WrongType {
        /// Kind of value that was given.
        found: &'static str,
        /// Value that the field takes.
        wanted: String,
    },
    /// {value} was given; the limit is {limits}
    OutOfRange {
        /// Value that was given, or its description if the value must not be printed.
        value: String,
        /// Values that the field takes.
        limits: String,
    },
    /// {0}
    Conflict(String),
}

/// One mistake with its place and remedy.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The settings file, or the environment.
    pub file: String,
    /// Line in the file, from 1.
    pub line: Option<u64>,
    /// Column in the line, from 1.
    pub column: Option<u64>,
    /// Field, such as `links.silence`; empty if the whole file is meant.
    pub field: String,
    /// What is wrong, with the limit.
    pub mistake: Mistake,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        for place in [self.line, self.column].into_iter().flatten() {
            write!(f, ":{place}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}; {}", self.mistake, self.remedy)
    }
}

impl std::error::Error for Problem {}
