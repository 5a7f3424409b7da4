//! Orders that are in force.

use super::{Order, Stage};
use std::time::Duration;

/// Text that crashes a stand-in, and how long it stays down.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) text: String,
    pub(crate) restart: Duration,
    /// Time from the start of the run to the crash.
    pub(crate) after: Duration,
}

/// Failures of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Added time before the answer starts.
    pub(crate) slow: Duration,
    /// Time for which the answer is held back.
    pub(crate) late: Duration,
    /// Where the connection is cut.
    pub(crate) cut: Option<Stage>,
    /// Whether the answer belongs to another request.
    pub(crate) crossed: bool,
    /// Whether the body is sent twice.
    pub(crate) duplicate: bool,
}

/// Orders in force at a stand-in.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) leaving: bool,
    pub(crate) crash: Option<Crash>,
    slow: Duration,
    refuse: u32,
    cut: Option<(Stage, u32)>,
    crossed: u32,
    duplicate: u32,
    late: (Duration, u32),
}

impl Faults {
    /// Takes an order; silence is the relay's business.
    pub(crate) fn take(&mut self, order: &Order) {
        match order.clone() {
            Order::Slow { ms } => self.slow = Duration::from_millis(ms),
            Order::Silent { .. } => {}
            Order::Refuse { count } => self.refuse = count,
            Order::CrashOn {
                text,
                restart_ms,
                after_ms,
            } => {
                let crash = Crash {
                    restart: Duration::from_millis(restart_ms),
                    after: Duration::from_millis(after_ms),
                    text,
                };
                self.crash = (!crash.text.is_empty()).then_some(crash);
            }
            Order::Cut { stage, count } => self.cut = Some((stage, count)),
            Order::Leave => self.leaving = true,
            Order::Unleave => self.leaving = false,
            Order::Crossed { count } => self.crossed = count,
            Order::Duplicate { count } => self.duplicate = count,
            Order::Late { ms, count } => self.late = (Duration::from_millis(ms), count),
            Order::Heal => {
                *self = Faults {
                    leaving: self.leaving,
                    ..Faults::default()
                }
            }
        }
    }

    /// Whether the next request is refused.
    pub(crate) fn refuses(&mut self) -> bool {
        spend(&mut self.refuse)
    }

    /// Failures of the next request that runs.
    pub(crate) fn plan(&mut self) -> Plan {
        let cut = self.cut.as_mut();
        let cut = cut.and_then(|(stage, count)| spend(count).then_some(*stage));
        let late = if spend(&mut self.late.1) {
            self.late.0
        } else {
            Duration::ZERO
        };
        Plan {
            slow: self.slow,
            late,
            cut,
            crossed: spend(&mut self.crossed),
            duplicate: spend(&mut self.duplicate),
        }
    }
}

fn spend(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}
