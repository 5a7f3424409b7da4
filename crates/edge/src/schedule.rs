//! When a router reads a table of the registry itself.
//!
//! Pattern: hundreds of routers, one of which reads for all, and which dies, freezes, is cut off or is
//! refused by the registry. Another one takes over within the operators' bounds, and while nobody gets
//! an answer, all of them together ask no more often than ten would.

use crate::registry::Table;
use rand::RngExt;
use sequoiaridge_core::hash_parts;
use sequoiaridge_policy::Backoff;
use std::ops::Range;
use std::time::Duration;

/// Longest wait of a read for a change of the configuration.
pub const CONFIG_WAIT: Duration = Duration::from_millis(1000);
/// Age of the news about endpoints at which they are read again, as a part of the bound on leaving
/// endpoints: the next routers can take over within the bound.
const ENDPOINT_PART: f64 = 0.25;
/// Time by which each router waits longer than the one before it in their order; several times as long
/// as a read and a message take.
const STEP: Duration = Duration::from_millis(150);
/// Time that each router of a large fleet waits longer than the one that reads for all: a round of
/// messages repairs what was lost on the way.
const LARGE_WAIT: Duration = Duration::from_millis(200);
/// Routers in their order that may take over from the one that reads: of all in a small fleet, of each
/// domain in a large one.
pub const FIRST: usize = 3;
/// Pause between the reads of all other routers together.
const FLEET_PAUSE: Duration = Duration::from_millis(100);
/// Pauses after calls that failed in a row; each is drawn between half and the whole.
const RETRY: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(800),
};
/// Longest of the pauses that grow with the fleet.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// Time for which a router with a gap in the endpoints waits for others to fill it, as a part of the
/// bound on leaving endpoints.
const GAP_PART: f64 = 0.2;
/// The same for the configuration, as a part of the bound on applying it: for the first routers, and
/// for the others, which get it from the first ones.
const FIRST_GAP_PART: f64 = 0.1;
const GAP_PARTS: Range<f64> = 0.25..0.4;

/// The place of a router among those that may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Routers before it: of all in a small fleet, of its domain in a large one.
    pub before: usize,
    /// Routers of the fleet.
    pub routers: usize,
    /// Whether messages reach some routers only, because the fleet is large.
    pub large: bool,
}

impl Place {
    /// Whether the router is one of those that take over first.
    pub fn is_first(&self) -> bool {
        !self.large || self.before < FIRST
    }
}

/// The operators' bounds on the age of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time within which a leaving endpoint must get no more requests.
    pub leave: Duration,
    /// Time within which a version of the configuration must be in force.
    pub apply: Duration,
}

impl Schedule {
    /// Age of the news at which the router that `leads`, or another one, reads a table.
    pub fn period(&self, table: Table, leads: bool) -> Duration {
        match table {
            // Each read waits for a change.
            Table::Configuration if leads => Duration::ZERO,
            Table::Configuration => CONFIG_WAIT,
            Table::Endpoints | Table::Routers => self.leave.mul_f64(ENDPOINT_PART),
        }
    }

    /// Time for which a router waits for a change that another one knows.
    pub fn patience(&self, table: Table, place: Place, id: &str) -> Duration {
        match table {
            Table::Configuration if place.is_first() => self.apply.mul_f64(FIRST_GAP_PART),
            Table::Configuration => {
                let span = GAP_PARTS.end - GAP_PARTS.start;
                self.apply.mul_f64(GAP_PARTS.start + span * lot(id))
            }
            Table::Endpoints | Table::Routers => self.leave.mul_f64(GAP_PART),
        }
    }
}

/// Time that a router waits longer than the one that reads for the fleet.
pub fn wait(place: Place, id: &str) -> Duration {
    let steps = STEP * u32::try_from(place.before.min(FIRST - 1) + 1).unwrap_or(u32::MAX);
    if !place.large {
        return steps;
    }
    let others = if place.is_first() {
        Duration::ZERO
    } else {
        fleet_pause(place.routers).mul_f64(lot(id))
    };
    LARGE_WAIT + steps + others
}

/// Time after which a router reads again when a read failed.
pub fn retry(failures: u32, routers: usize) -> Duration {
    drawn(RETRY.ceiling(failures).max(fleet_pause(routers)))
}

/// A time between half and the whole of `longest`, so that routers do not call in step.
pub fn drawn(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn fleet_pause(routers: usize) -> Duration {
    let pause = FLEET_PAUSE * u32::try_from(routers).unwrap_or(u32::MAX);
    pause.min(LONGEST_PAUSE)
}

/// A number from 0 to 1 that differs between routers and stays the same for each.
fn lot(id: &str) -> f64 {
    hash_parts(&[id.as_bytes()]) as f64 / u64::MAX as f64
}
