//! Failures and settings that a test orders from the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{Duration, Instant};

/// An order to the platform: the body of `POST /control`, for example
/// `{"order": "slow", "ms": 300}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    /// Ends every ordered failure. The list, its lag and the limits stay.
    Heal,
    /// Every request is answered 503 without taking effect.
    Outage,
    /// No request that arrives from now on is ever answered.
    Silent,
    /// Every request waits before it takes effect.
    Slow {
        /// Wait in milliseconds.
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
    /// Answered 503.
    Outage,
    /// Never answered.
    Silent,
    /// Answered after a wait.
    Slow(Duration),
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteFate {
    /// It takes effect and is answered.
    Normal,
    /// It takes effect and its answer is cut.
    LoseAnswer,
    /// Its connection is cut before it takes effect.
    Drop,
    /// Its connection is cut and it takes effect later.
    Delay(Duration),
}

/// The failures in force.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) mode: Mode,
    lose: u32,
    drop: u32,
    delay: (u32, Duration),
}

impl Faults {
    /// No failure.
    pub(super) fn none() -> Faults {
        Faults {
            mode: Mode::Normal,
            lose: 0,
            drop: 0,
            delay: (0, Duration::ZERO),
        }
    }

    /// Takes over an order that is about failures; other orders change nothing.
    pub(super) fn order(&mut self, order: &Order) {
        match order {
            Order::Heal => *self = Faults::none(),
            Order::Outage => self.mode = Mode::Outage,
            Order::Silent => self.mode = Mode::Silent,
            Order::Slow { ms } => self.mode = Mode::Slow(Duration::from_millis(*ms)),
            Order::LoseAnswers { count } => self.lose = *count,
            Order::DropWrites { count } => self.drop = *count,
            Order::DelayWrites { ms, count } => self.delay = (*count, Duration::from_millis(*ms)),
            Order::Members { .. } | Order::ListLag { .. } | Order::Limits { .. } => {}
        }
    }

    /// The fate of the next write; uses up one ordered failure.
    pub(super) fn next_write(&mut self) -> WriteFate {
        if self.drop > 0 {
            self.drop -= 1;
            WriteFate::Drop
        } else if self.delay.0 > 0 {
            self.delay.0 -= 1;
            WriteFate::Delay(self.delay.1)
        } else if self.lose > 0 {
            self.lose -= 1;
            WriteFate::LoseAnswer
        } else {
            WriteFate::Normal
        }
    }
}

/// Allows a number of operations per second; up to one second's worth may come at once.
#[derive(Debug)]
pub(super) struct RateLimit {
    rate: Option<u32>,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// A limit of `rate` operations per second, or none.
    pub(super) fn new(rate: Option<u32>) -> RateLimit {
        RateLimit {
            rate,
            tokens: f64::from(rate.unwrap_or(0)),
            filled: Instant::now(),
        }
    }

    /// Takes one operation; `false` if the limit is reached.
    pub(super) fn take(&mut self) -> bool {
        let Some(rate) = self.rate.map(f64::from) else {
            return true;
        };
        let passed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + passed * rate).min(rate);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
