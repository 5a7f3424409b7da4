//! Room of a service, with a correction that follows what the endpoints report.
//!
//! Answers wrong holding times, wrong counts of routers and slow endpoints: whatever is wrong, too many
//! admitted requests show as waiting ones and too few as empty slots.

use super::EndpointRoom;
use crate::pace::EFFECTIVE_PACE;
use std::time::Duration;

/// Time between two steps of the correction. Reports are 100 to 300 ms old, so a step sees most of the
/// effect of the one before.
const STEP: Duration = Duration::from_millis(200);
/// Bounds of the correction.
const BOUNDS: (f64, f64) = (0.2, 4.0);
/// Share of the shortest target that requests may wait at least, and the share of what a run leaves of it.
/// Short waits absorb bursts that callers would otherwise notice as refusals.
const WAIT_SHARE: f64 = 0.25;
const SPARE_TIME_SHARE: f64 = 0.5;
/// Share of its distance to 1 that the correction keeps with each step while nothing is refused, so that
/// a twentieth is left after 2 s.
const RETURN: f64 = 0.75;
/// Share by which room shrinks if requests wait a quarter of the target longer than is aimed at, and the
/// bounds of that. The correction alone sums up, as the queue does, and the two would swing.
const BRAKE: f64 = 0.15;
const BRAKES: (f64, f64) = (0.5, 1.1);
/// Share of the wait that is aimed at. A few waiting requests keep all slots busy; the rest of the
/// queue takes what routers do not know of yet.
const AIM: f64 = 0.55;
/// Change of the correction with each step if requests wait a quarter of the target longer than is aimed
/// at, and the bounds of a change.
const GAIN: f64 = 0.1;
const CHANGES: (f64, f64) = (-0.1, 0.05);
/// Largest fall with a step that makes the room as small as the demand. Reports of the end of a surge are
/// older than its demand.
const JUMP: f64 = -0.2;
/// Holding time in seconds up to which a service follows within a step; slower ones are corrected slower.
const SHORT_HOLD: f64 = 0.3;
/// Longest fill that is aimed at. Queues of servers are bounded, and longer ones run nothing more.
const MAX_FULL: f64 = 2.7;
/// Fill below which refusals are wrong: the surge is over, or its demand was never there.
const EMPTY_FILL: f64 = 0.5;
/// Growth of the room with each refresh while that is so, its bound, and its decay afterwards.
const SPARE_GROWTH: f64 = 0.5;
const MAX_SPARE: f64 = 10.0;
const SPARE_DECAY: f64 = 0.5;
/// Fill from which demand beyond the room is believed. Below it slots are empty whatever is estimated.
pub const BUSY_FILL: f64 = 0.8;

/// Room of one service.
#[derive(Clone, Debug)]
pub struct Room {
    slots: f64,
    fill: f64,
    /// Fill of the third of the endpoints that is filled most.
    top_fill: f64,
    /// Rise of that fill since the last time.
    rise: f64,
    /// Fill beyond which requests wait for too long.
    full: f64,
    correction: f64,
    /// Factor that answers the fill at once.
    brake: f64,
    /// Factor that grows while slots are empty although requests are refused.
    spare: f64,
    stepped: Duration,
}

impl Room {
    /// Creates the room of a service without endpoints.
    pub fn new(now: Duration) -> Room {
        Room {
            slots: 0.0,
            fill: 0.0,
            top_fill: 0.0,
            rise: 0.0,
            full: 1.0,
            correction: 1.0,
            brake: 1.0,
            spare: 1.0,
            stepped: now,
        }
    }

    /// Takes over what is known of the endpoints.
    pub fn observe(&mut self, endpoints: &[EndpointRoom]) {
        let usable = || endpoints.iter().filter(|endpoint| endpoint.slots > 0);
        self.slots = usable()
            .map(|endpoint| f64::from(endpoint.slots) / endpoint.pace.max(0.1))
            .sum();
        let fills = usable().map(fill_of);
        self.fill = mean(&fills.collect::<Vec<f64>>());
        // What waits at a slow endpoint says nothing about the demand.
        let fills = usable().filter(|endpoint| endpoint.pace < EFFECTIVE_PACE);
        let mut fills: Vec<f64> = fills.map(fill_of).collect();
        let top = fills.len().div_ceil(3);
        if top < fills.len() {
            fills.select_nth_unstable_by(top, |a, b| b.total_cmp(a));
            fills.truncate(top);
        }
        // In order, so that the sum is rounded the same way each time.
        fills.sort_unstable_by(|a, b| b.total_cmp(a));
        let top_fill = mean(&fills);
        self.rise = top_fill - self.top_fill;
        self.top_fill = top_fill;
    }

    /// Moves the correction, at most once per step, and the brake. `hold` is the mean holding time in
    /// seconds, `demand` what is known of the fleet's; `hold_back` says that the correction must not fall yet.
    pub fn correct(
        &mut self,
        target: Duration,
        hold: f64,
        demand: f64,
        refusing: bool,
        hold_back: bool,
        now: Duration,
    ) {
        self.full = target_fill(target, hold);
        let aim = self.aim();
        // Relative to the wait that is allowed. Negative if slots are empty.
        let excess = (self.fill - aim) / (self.full - 1.0).max(0.01);
        self.brake = (1.0 - BRAKE * excess).clamp(BRAKES.0, BRAKES.1);
        let speed = (SHORT_HOLD / (hold + SHORT_HOLD)).min(1.0);
        self.spare = if refusing && self.fill < EMPTY_FILL {
            (self.spare * (1.0 + SPARE_GROWTH * speed)).min(MAX_SPARE)
        } else {
            1.0 + (self.spare - 1.0) * SPARE_DECAY
        };
        if now < self.stepped + STEP {
            return;
        }
        self.stepped = now;
        if !refusing && !hold_back && excess > 0.5 {
            // More waits than the demand explains, so that the room is less than the demand.
            let change = demand / (self.slots * self.correction).max(f64::MIN_POSITIVE) - 1.0;
            self.correction *= 1.0 + change.clamp(JUMP, 0.0);
        } else if refusing || excess > 0.0 {
            // What waits beyond the allowed time counts twice.
            let change = -GAIN * speed * (excess + (excess - 1.0).max(0.0));
            let least = if hold_back { 0.0 } else { CHANGES.0 };
            self.correction *= 1.0 + change.clamp(least, CHANGES.1);
        } else {
            self.correction = 1.0 + (self.correction - 1.0) * RETURN;
        }
        self.correction = self.correction.clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Fill that is aimed at while requests are refused.
    pub fn aim(&self) -> f64 {
        1.0 + AIM * (self.full - 1.0)
    }

    /// Rise of the fill within a refresh, at the third of the endpoints that is filled most.
    pub fn rise(&self) -> f64 {
        self.rise
    }

    /// Whether requests wait for much longer than they should at a third of the endpoints. In a surge a
    /// router hears of one endpoint after the other, and all are as full as the first.
    pub fn is_overfull(&self) -> bool {
        self.is_overfull_at(self.top_fill)
    }

    /// Whether requests wait for much longer than they should at an endpoint of this fill.
    pub fn is_overfull_at(&self, fill: f64) -> bool {
        fill > 1.1 * self.full
    }

    /// Room in slots, after the correction.
    pub fn corrected(&self) -> f64 {
        self.slots * self.correction * self.brake * self.spare
    }

    /// Room in slots without regard to what waits.
    pub fn unbraked(&self) -> f64 {
        self.slots * self.correction
    }

    /// Correction of the room.
    pub fn correction(&self) -> f64 {
        self.correction
    }

    /// Running and waiting requests per slot, as a mean over the endpoints.
    pub fn fill(&self) -> f64 {
        self.fill
    }
}

/// Running and waiting requests of an endpoint per slot.
fn fill_of(endpoint: &EndpointRoom) -> f64 {
    f64::from(endpoint.requests) / f64::from(endpoint.slots)
}

fn mean(fills: &[f64]) -> f64 {
    fills.iter().sum::<f64>() / fills.len().max(1) as f64
}

/// Fill at which requests wait for as long as they may.
fn target_fill(target: Duration, hold: f64) -> f64 {
    let target = target.as_secs_f64();
    let wait = (WAIT_SHARE * target).max(SPARE_TIME_SHARE * (target - hold));
    (1.0 + wait / hold.max(0.001)).min(MAX_FULL)
}
