//! Targets of a class of work, which are all that operators set for it. See section 4.7 of
//! `docs/design.md`.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether calls of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Calls are idempotent.
    Allowed,
    /// Each call runs at most once and carries an idempotency key.
    Never,
}

/// Targets of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Seconds to the first token, at the 95th percentile.
    pub first_token: f64,
    /// Seconds between tokens, at the 95th percentile.
    pub between_tokens: f64,
    /// Fraction of calls that must be answered.
    pub answered: f64,
    /// Seconds after which a call is given up.
    pub deadline: f64,
    /// Whether calls may run more than once.
    pub repeat: Repeat,
}

/// Why a target is invalid.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum TargetError {
    /// {field} is {value}; it must be from {low} to {high}
    OutOfRange {
        /// Name of the target.
        field: &'static str,
        /// The value that was given.
        value: f64,
        /// Smallest value allowed.
        low: f64,
        /// Largest value allowed.
        high: f64,
    },
    /// first_token is {first_token} s, which is not below the deadline of {deadline} s
    DeadlineTooShort {
        /// First-token target in seconds.
        first_token: f64,
        /// Deadline in seconds.
        deadline: f64,
    },
}

impl std::error::Error for TargetError {}

impl Targets {
    /// Checks the targets and returns every problem; empty if they are valid.
    pub fn problems(&self) -> Vec<TargetError> {
        let ranges = [
            ("first_token", self.first_token, 0.01, 600.0),
            ("between_tokens", self.between_tokens, 0.001, 60.0),
            ("answered", self.answered, 0.5, 0.9999),
            ("deadline", self.deadline, 0.1, 3600.0),
        ];
        let mut problems: Vec<TargetError> = ranges
            .into_iter()
            .filter(|(_, value, low, high)| !(low..=high).contains(&value))
            .map(|(field, value, low, high)| TargetError::OutOfRange {
                field,
                value,
                low,
                high,
            })
            .collect();
        if self.first_token >= self.deadline {
            let (first_token, deadline) = (self.first_token, self.deadline);
            problems.push(TargetError::DeadlineTooShort {
                first_token,
                deadline,
            });
        }
        problems
    }

    /// The deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_secs_f64(self.deadline)
    }

    /// The first-token target as a duration.
    pub fn first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token)
    }
}

impl Default for Targets {
    /// The targets that apply until an operator sets others: those of a fleet of the target size.
    fn default() -> Targets {
        Targets {
            first_token: 0.64,
            between_tokens: 0.03,
            answered: 0.99,
            deadline: 60.0,
            repeat: Repeat::Allowed,
        }
    }
}
