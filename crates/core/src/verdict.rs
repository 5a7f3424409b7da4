//! Whether a request may have run.

use crate::RefusalReason;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a request may have run. See section 4.3 of `docs/design.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte reached an endpoint, or the endpoint refused before running.
    NotRun,
    /// It is unknown whether the request ran; it must be treated as if it had.
    MayHaveRun,
    /// The request ran and its complete response is known.
    Done,
}

impl Verdict {
    /// Value of the `x-verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Done => "done",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a call got no response, whether it may have run, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason, which is counted in the metrics.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            verdict: Verdict::MayHaveRun,
            retry_after,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}

impl std::error::Error for Refusal {}
