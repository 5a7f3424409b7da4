//! Policy derived from the targets of a class. See section 4.7 of `docs/design.md`.

use sequoiaridge_core::{Repeat, Targets, Verdict};
use std::time::Duration;

/// Lowest engine priority.
const LOWEST_PRIORITY: f64 = 9.0;
/// First-token target in seconds up to which a class gets the highest engine priority.
const TOP_PRIORITY_SECONDS: f64 = 0.1;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: f64 = 4.0;
/// Allowance for rounding errors: `log10(1 / (1 - 0.9))` is slightly above 1 in floating point.
const ROUNDING_ALLOWANCE: f64 = 1e-9;

/// Limits and priorities that the targets of a class imply for its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPolicy {
    /// Target time to the first token; orders the queue between classes.
    pub first_token: Duration,
    /// Longest wait in a queue, counted from the call's arrival.
    pub allowed_wait: Duration,
    /// Time from arrival after which a call is abandoned.
    pub deadline: Duration,
    /// Priority at the engine, from 0 (highest) to 9.
    pub engine_priority: u8,
    /// Maximum number of attempts of one call, counting the first.
    pub attempts: u32,
    /// Whether a call that may have run may be sent again.
    pub repeat: Repeat,
    /// Target share of calls that are answered; the class with the lowest target is shed first.
    pub answered: f64,
}

impl ClassPolicy {
    /// Derives the policy from the targets that operators set.
    pub fn from_targets(targets: &Targets) -> ClassPolicy {
        let nines = (1.0 / (1.0 - targets.answered)).log10() - ROUNDING_ALLOWANCE;
        let priority = (4.0 * (targets.first_token / TOP_PRIORITY_SECONDS).log10()
            + ROUNDING_ALLOWANCE)
            .floor();
        ClassPolicy {
            first_token: targets.first_token(),
            allowed_wait: targets.first_token() / 2,
            deadline: targets.deadline(),
            engine_priority: priority.clamp(0.0, LOWEST_PRIORITY) as u8,
            attempts: (1.0 + nines.ceil()).clamp(1.0, MAX_ATTEMPTS) as u32,
            repeat: targets.repeat,
            answered: targets.answered,
        }
    }

    /// Whether a call that ended with `verdict` after `attempts` attempts may be sent again.
    ///
    /// The caller must also check that no token was passed on and that the retry budget allows it.
    pub fn may_retry(&self, verdict: Verdict, attempts: u32) -> bool {
        let safe = match verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.repeat == Repeat::Allowed,
            Verdict::Done => false,
        };
        safe && attempts < self.attempts
    }

    /// Whether calls of this class are shed before calls of `other`.
    pub fn shed_before(&self, other: &ClassPolicy) -> bool {
        self.answered < other.answered
    }
}
