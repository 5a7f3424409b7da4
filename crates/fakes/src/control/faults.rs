//! Faults that are active at a fake.

use super::{FaultCommand, Stage};
use std::time::Duration;

/// Text that crashes a fake, and how long it then stays down.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) text: String,
    pub(crate) restart: Duration,
    /// Time from the start of the run to the crash.
    pub(crate) after: Duration,
}

/// Faults that apply to one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestFaults {
    /// Added time before the answer starts.
    pub(crate) slow: Duration,
    /// Delay of the finished answer.
    pub(crate) late: Duration,
    /// Where the connection is cut.
    pub(crate) cut: Option<Stage>,
    /// Whether the answer belongs to another request.
    pub(crate) crossed: bool,
    /// Whether the body is sent twice.
    pub(crate) duplicate: bool,
}

/// Active faults of a fake.
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
    /// Applies a command. [`FaultCommand::Silent`] changes nothing here, because the proxy applies
    /// it.
    pub(crate) fn apply(&mut self, command: &FaultCommand) {
        match command.clone() {
            FaultCommand::Slow { ms } => self.slow = Duration::from_millis(ms),
            FaultCommand::Silent { .. } => {}
            FaultCommand::Refuse { count } => self.refuse = count,
            FaultCommand::CrashOn {
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
            FaultCommand::Cut { stage, count } => self.cut = Some((stage, count)),
            FaultCommand::Leave => self.leaving = true,
            FaultCommand::Unleave => self.leaving = false,
            FaultCommand::Crossed { count } => self.crossed = count,
            FaultCommand::Duplicate { count } => self.duplicate = count,
            FaultCommand::Late { ms, count } => self.late = (Duration::from_millis(ms), count),
            FaultCommand::Heal => {
                *self = Faults {
                    leaving: self.leaving,
                    ..Faults::default()
                }
            }
        }
    }

    /// Returns whether the next request is refused, and counts down.
    pub(crate) fn take_refusal(&mut self) -> bool {
        take_one(&mut self.refuse)
    }

    /// Returns the faults of the next request that runs, and counts down.
    pub(crate) fn take_request(&mut self) -> RequestFaults {
        let cut = self.cut.as_mut();
        let cut = cut.and_then(|(stage, count)| take_one(count).then_some(*stage));
        let late = if take_one(&mut self.late.1) {
            self.late.0
        } else {
            Duration::ZERO
        };
        RequestFaults {
            slow: self.slow,
            late,
            cut,
            crossed: take_one(&mut self.crossed),
            duplicate: take_one(&mut self.duplicate),
        }
    }
}

/// Counts down; returns whether the count was above zero.
fn take_one(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}
