//! Commands by which a test injects faults into the platform and changes its settings.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{Duration, Instant};

/// A command to the platform: the body of `POST /control`, for example
/// `{"order": "slow", "ms": 300}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformCommand {
    /// Ends every injected fault. The list, its lag and the limits stay.
    Heal,
    /// Every request is answered with status 503 and takes no effect.
    Outage,
    /// No request that arrives from now on is ever answered.
    Silent,
    /// Every request is delayed before it takes effect.
    Slow {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// The next writes take effect, but their answers are cut.
    LoseAnswers {
        /// Number of writes.
        count: u32,
    },
    /// The next writes are cut before they take effect.
    DropWrites {
        /// Number of writes.
        count: u32,
    },
    /// The answers of the next writes are cut at once; the writes take effect later.
    DelayWrites {
        /// Delay in milliseconds.
        ms: u64,
        /// Number of writes.
        #[serde(default = "one")]
        count: u32,
    },
    /// Replaces the membership list.
    Members {
        /// Entries in the HTTP service discovery format; they may be invalid on purpose.
        members: Vec<Value>,
    },
    /// Serves the list as it was some time ago.
    ListLag {
        /// Lag in milliseconds.
        ms: u64,
    },
    /// Limits table operations; a transaction counts as one write.
    Limits {
        /// Writes per second; no limit if absent.
        #[serde(default)]
        writes: Option<u32>,
        /// Reads per second; no limit if absent.
        #[serde(default)]
        reads: Option<u32>,
    },
}

fn one() -> u32 {
    1
}

/// How requests are treated before they reach the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Answered at once.
    Normal,
    /// Answered with status 503.
    Outage,
    /// Never answered.
    Silent,
    /// Answered after a delay.
    Slow(Duration),
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It takes effect and is answered.
    Normal,
    /// It takes effect and its answer is cut.
    LoseAnswer,
    /// Its connection is cut before it takes effect.
    Drop,
    /// Its connection is cut and it takes effect later.
    Delay(Duration),
}

/// Active faults.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) mode: Mode,
    lose_answers: u32,
    drop_writes: u32,
    delay_writes: (u32, Duration),
}

impl Faults {
    /// Returns a state without faults.
    pub(super) fn none() -> Faults {
        Faults {
            mode: Mode::Normal,
            lose_answers: 0,
            drop_writes: 0,
            delay_writes: (0, Duration::ZERO),
        }
    }

    /// Applies a command that injects or ends a fault; other commands change nothing.
    pub(super) fn apply(&mut self, command: &PlatformCommand) {
        match command {
            PlatformCommand::Heal => *self = Faults::none(),
            PlatformCommand::Outage => self.mode = Mode::Outage,
            PlatformCommand::Silent => self.mode = Mode::Silent,
            PlatformCommand::Slow { ms } => self.mode = Mode::Slow(Duration::from_millis(*ms)),
            PlatformCommand::LoseAnswers { count } => self.lose_answers = *count,
            PlatformCommand::DropWrites { count } => self.drop_writes = *count,
            PlatformCommand::DelayWrites { ms, count } => {
                self.delay_writes = (*count, Duration::from_millis(*ms))
            }
            PlatformCommand::Members { .. }
            | PlatformCommand::ListLag { .. }
            | PlatformCommand::Limits { .. } => {}
        }
    }

    /// Returns the outcome of the next write, and counts down the fault that caused it.
    pub(super) fn next_write(&mut self) -> WriteOutcome {
        if self.drop_writes > 0 {
            self.drop_writes -= 1;
            WriteOutcome::Drop
        } else if self.delay_writes.0 > 0 {
            self.delay_writes.0 -= 1;
            WriteOutcome::Delay(self.delay_writes.1)
        } else if self.lose_answers > 0 {
            self.lose_answers -= 1;
            WriteOutcome::LoseAnswer
        } else {
            WriteOutcome::Normal
        }
    }
}

/// Token bucket for a number of operations per second; its capacity is one second's worth.
#[derive(Debug)]
pub(super) struct RateLimit {
    rate: Option<u32>,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// Creates a limit of `rate` operations per second, or no limit.
    pub(super) fn new(rate: Option<u32>) -> RateLimit {
        RateLimit {
            rate,
            tokens: f64::from(rate.unwrap_or(0)),
            filled: Instant::now(),
        }
    }

    /// Takes one operation; returns `false` if the limit is reached.
    pub(super) fn take(&mut self) -> bool {
        let Some(rate) = self.rate.map(f64::from) else {
            return true;
        };
        let elapsed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
