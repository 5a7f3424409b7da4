//! Flap damping of endpoints that change state too often.

use crate::HealthConfig;
use std::collections::VecDeque;
use std::time::Duration;

/// Counts changes of state and derives the hold time, for which an endpoint must be up before it
/// counts as up again.
#[derive(Debug, Default)]
pub(crate) struct FlapDamper {
    changes: VecDeque<Duration>,
    hold: Option<Duration>,
}

impl FlapDamper {
    /// Records a change of state. Returns whether damping begins with it.
    pub(crate) fn change(&mut self, config: &HealthConfig, now: Duration) -> bool {
        let old = |at: &Duration| now.saturating_sub(*at) > config.flap_window;
        while self.changes.front().is_some_and(old) {
            self.changes.pop_front();
        }
        self.changes.push_back(now);
        // More entries would not change the hold time, which is at its limit by then.
        if self.changes.len() > config.flap_changes + 32 {
            self.changes.pop_front();
        }
        let begins = self.hold.is_none();
        let excess = self.changes.len().saturating_sub(config.flap_changes) as u32;
        let hold = match self.hold {
            Some(hold) => hold.saturating_mul(2),
            // A flap soon after a hold does not start over at the shortest hold time, because the
            // changes in the window still count.
            None if excess > 0 => config.hold.saturating_mul(1 << (excess - 1).min(16)),
            None => return false,
        };
        self.hold = Some(hold.min(config.hold_limit));
        begins
    }

    /// Returns the end of the damping of an endpoint that is up since `up`; `None` if it is not
    /// damped.
    pub(crate) fn until(&self, up: Duration) -> Option<Duration> {
        self.hold.map(|hold| up + hold)
    }

    /// Ends the damping.
    pub(crate) fn release(&mut self) {
        self.hold = None;
    }
}
