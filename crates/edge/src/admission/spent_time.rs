//! Time that a caller has already spent on earlier attempts of its request.
//!
//! Answers callers that come back after a refusal: their remaining time is smaller than that of a first
//! attempt. One that can no longer be in time must not take the room of one that can.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which the longest deadline of a route has decayed to half, if no longer one arrives.
const HALF_LIFE_S: f64 = 60.0;
/// Time after which a route that is not used is dropped.
const RETENTION: Duration = Duration::from_secs(600);
/// Most routes that are tracked for one service.
const MAX_ROUTES: usize = 512;
/// A caller that honors `Retry-After` comes back after a ninth of its time or later. One that comes back
/// before has ignored it; the margin to a ninth allows for clocks.
const EARLY: f64 = 0.1;
/// Differences of deadlines up to this number of seconds are taken as rounding. A larger share would let
/// callers that repeat every few milliseconds pass as new ones.
const ROUNDING: f64 = 0.005;

/// Whether a request is a first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// A first attempt, or a return that can still be in time.
    InTime,
    /// A return before the time that the caller was told.
    Early,
    /// A return that can no longer be in time.
    Late,
}

/// The longest recent deadline by route.
#[derive(Clone, Debug, Default)]
pub struct SpentTime {
    routes: BTreeMap<String, (Duration, Duration)>,
}

impl SpentTime {
    /// Records the deadline of a request and returns what its caller has already spent, and of how much.
    pub fn record(
        &mut self,
        route: &str,
        deadline: Duration,
        now: Duration,
    ) -> (Duration, Duration) {
        if let Some((longest, at)) = self.routes.get_mut(route) {
            let age = now.saturating_sub(*at).as_secs_f64();
            let decayed = longest.mul_f64(0.5_f64.powf(age / HALF_LIFE_S));
            if deadline >= decayed {
                (*longest, *at) = (deadline, now);
                return (Duration::ZERO, deadline);
            }
            return (decayed - deadline, decayed);
        }
        if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_string(), (deadline, now));
        }
        (Duration::ZERO, deadline)
    }

    /// Drops routes that are not used.
    pub fn expire(&mut self, now: Duration) {
        self.routes
            .retain(|_, (_, at)| now.saturating_sub(*at) < RETENTION);
    }
}

/// Classifies a caller that has spent `spent` of `first`, for a request that runs for `hold` seconds and
/// must be answered within `target`.
pub fn caller_state(spent: (Duration, Duration), hold: f64, target: Duration) -> CallerState {
    let (spent, first) = (spent.0.as_secs_f64(), spent.1.as_secs_f64());
    if spent <= ROUNDING {
        CallerState::InTime
    } else if spent < EARLY * first {
        CallerState::Early
    } else if spent + hold.min(target.as_secs_f64()) > target.as_secs_f64() {
        CallerState::Late
    } else {
        CallerState::InTime
    }
}
