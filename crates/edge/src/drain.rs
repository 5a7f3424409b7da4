//! Which requests a draining router accepts.
//!
//! The process ends at a fixed time after SIGTERM, whatever is in flight. A request that cannot end before
//! that is refused as not run, so that its caller turns to another router at once. See "Planned stops" in
//! docs/platform.md.

use std::time::Duration;

/// Time after SIGTERM during which the load balancer may still send new callers here: it checks readiness
/// once a second and stops after two failed checks.
const HANDOVER_TIME: Duration = Duration::from_millis(2700);
/// Margin between the end of the process and the end of the grace period, in which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the process in which what is still in flight is given up and its callers read the
/// answers that say so.
const GIVE_UP_TIME: Duration = Duration::from_millis(150);

/// A request as far as a drain is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainRequest {
    /// Time by which it must be answered.
    pub deadline: Duration,
    /// Time that requests of its route usually take; `None` if that is not known.
    pub usual: Option<Duration>,
    /// Whether its caller may send it again if its answer is lost.
    pub repeatable: bool,
}

/// A planned stop of one router, from SIGTERM to the end of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    start: Duration,
    end: Duration,
}

impl Drain {
    /// A drain that starts at `start`; the process is killed after `grace`.
    pub fn new(start: Duration, grace: Duration) -> Drain {
        Drain {
            start,
            end: start + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// When the drain started.
    pub fn start(&self) -> Duration {
        self.start
    }

    /// Time at which the process ends at the latest.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Time by which the last answers are given.
    pub fn last_answer(&self) -> Duration {
        self.end.saturating_sub(GIVE_UP_TIME).max(self.start)
    }

    /// Whether a request that would be sent to an endpoint at `now` is accepted.
    ///
    /// One whose deadline passes before the process ends cannot be cut off by it. A later deadline says
    /// little of the time that a request takes, and refusing all such requests at once would fail callers
    /// that the load balancer still sends here. Until it has noticed, requests are accepted that usually end
    /// in time; of routes whose usual time is not known, only those that callers can send again.
    pub fn accepts(&self, request: &DrainRequest, now: Duration) -> bool {
        if request.deadline <= self.last_answer() {
            return true;
        }
        let ends_in_time = match request.usual {
            Some(usual) => now + usual <= self.last_answer(),
            None => request.repeatable,
        };
        now < self.start + HANDOVER_TIME && ends_in_time
    }
}
