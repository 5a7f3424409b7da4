//! Time that a caller has already spent on earlier attempts of its request.
//!
//! Answers callers that come back after a refusal: their remaining time is smaller than that of a first
//! attempt. One that can no longer be in time must not take the room of one that can. Callers of one
//! route differ in their patience, so deadlines of first attempts are a range and not one value.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which the longest deadline of a route decays to half if no longer one arrives.
const HALF_LIFE_S: f64 = 60.0;
/// Time after which a route that is not used is dropped.
const RETENTION: Duration = Duration::from_secs(600);
/// Most routes that are tracked for one service.
const MAX_ROUTES: usize = 512;
/// Deadlines below this share of the longest one are those of callers that came back. A caller that
/// honors [`MIN_WAIT_SHARE`] comes back with less.
const FIRST_SHARE: f64 = 0.8;
/// Share of its time left that a refused caller is told to wait at least, so that its return can be told
/// from a first attempt.
pub const MIN_WAIT_SHARE: f64 = 1.0 - FIRST_SHARE;

/// Whether a request competes for room with first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// A first attempt, or a return that can still be in time.
    InTime,
    /// A return that can no longer be in time.
    Late,
}

/// The longest recent deadline by route.
#[derive(Clone, Debug, Default)]
pub struct SpentTime {
    routes: BTreeMap<String, (Duration, Duration)>,
}

impl SpentTime {
    /// Records the deadline of a request and returns the time that its caller has spent: none for a first
    /// attempt, and otherwise the difference to the longest deadline.
    pub fn record(&mut self, route: &str, deadline: Duration, now: Duration) -> Duration {
        let Some((longest, at)) = self.routes.get_mut(route) else {
            if self.routes.len() < MAX_ROUTES {
                self.routes.insert(route.to_string(), (deadline, now));
            }
            return Duration::ZERO;
        };
        let decayed = decayed(*longest, *at, now);
        if deadline >= decayed {
            (*longest, *at) = (deadline, now);
        }
        spent_of(decayed, deadline)
    }

    /// The time that the caller of a recorded request has spent.
    pub fn get(&self, route: &str, deadline: Duration, now: Duration) -> Duration {
        let longest = self.routes.get(route);
        longest.map_or(Duration::ZERO, |(longest, at)| {
            spent_of(decayed(*longest, *at, now), deadline)
        })
    }

    /// Drops routes that are not used.
    pub fn expire(&mut self, now: Duration) {
        self.routes
            .retain(|_, (_, at)| now.saturating_sub(*at) < RETENTION);
    }
}

fn decayed(longest: Duration, at: Duration, now: Duration) -> Duration {
    let age = now.saturating_sub(at).as_secs_f64();
    longest.mul_f64(0.5_f64.powf(age / HALF_LIFE_S))
}

/// The time spent by a caller with this deadline, if first attempts have up to `longest`.
fn spent_of(longest: Duration, deadline: Duration) -> Duration {
    if deadline >= longest.mul_f64(FIRST_SHARE) {
        return Duration::ZERO;
    }
    longest - deadline
}

/// Classifies a caller that has spent `spent`, for a request that runs for `hold` seconds and must be
/// answered within `target`.
pub fn caller_state(spent: Duration, hold: f64, target: Duration) -> CallerState {
    let target = target.as_secs_f64();
    if spent.is_zero() || spent.as_secs_f64() + hold.min(target) <= target {
        CallerState::InTime
    } else {
        CallerState::Late
    }
}
