//! Schedule by which a router reads a table of the registry itself.
//!
//! One of up to hundreds of routers reads for the whole fleet. When it dies, freezes, is partitioned or is
//! refused by the registry, another one takes over within the operators' bounds. While the registry
//! answers nobody, all routers together call it no more often than ten routers would.

use crate::registry::Table;
use rand::RngExt;
use sequoiaridge_core::hash_parts;
use sequoiaridge_policy::Backoff;
use std::ops::Range;
use std::time::Duration;

/// Time that a read of the configuration waits for a change.
pub const CONFIG_WAIT: Duration = Duration::from_millis(1000);
/// Age of the endpoint data at which it is read again, as a fraction of the bound on requests to leaving
/// endpoints. It is small enough that the next routers can take over within the bound.
const ENDPOINT_AGE_FRACTION: f64 = 0.25;
/// Additional delay of each router over the one ranked before it; several times as long as a read and a
/// message take.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Additional delay of every router in a large fleet over the one that reads for all: enough for a round
/// of messages to repair losses.
const LARGE_FLEET_DELAY: Duration = Duration::from_millis(200);
/// Number of top-ranked routers that are the first to take over from the one that reads: of the fleet in a
/// small one, of each failure domain in a large one.
pub const FIRST_READERS: usize = 3;
/// Pause of a router for each router in the fleet, so that all other routers together read about once in
/// this time.
const PAUSE_PER_ROUTER: Duration = Duration::from_millis(100);
/// Backoff after consecutive failed calls; each delay is jittered between half and the whole.
const RETRY_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(800),
};
/// Upper limit of the pauses that grow with the fleet.
const MAX_FLEET_PAUSE: Duration = Duration::from_secs(30);
/// Time for which a router that lacks changes of endpoints waits for others to send them, as a fraction of
/// the bound on requests to leaving endpoints.
const ENDPOINT_GAP_FRACTION: f64 = 0.2;
/// Time for which a router that lacks the whole table of a later era waits for it, as a range of that
/// bound. The first routers take turns before.
const ERA_FRACTIONS: Range<f64> = 0.75..1.0;
/// The same for the configuration, as fractions of the bound on applying it: for the first routers, and a
/// range for the others, which get it from the first ones.
const FIRST_CONFIG_GAP_FRACTION: f64 = 0.1;
const CONFIG_GAP_FRACTIONS: Range<f64> = 0.25..0.4;

/// Rank of a router among those that may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderRank {
    /// Number of routers ranked before it: in the fleet if it is small, in its failure domain otherwise.
    pub before: usize,
    /// Number of routers in the fleet.
    pub routers: usize,
    /// Whether the fleet is so large that messages go to some of the routers only.
    pub large: bool,
}

impl ReaderRank {
    /// Whether the router is one of those that take over first; in a small fleet all are.
    pub fn takes_over_first(&self) -> bool {
        !self.large || self.before < FIRST_READERS
    }
}

/// The operators' bounds on the staleness of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time after which a leaving endpoint must get no more requests.
    pub leave_bound: Duration,
    /// Time within which a new version of the configuration must be in force.
    pub apply_bound: Duration,
}

impl Schedule {
    /// Age of a table's data at which a router reads the table again. `leads` says whether it is the one
    /// that reads for the fleet.
    pub fn period(&self, table: Table, leads: bool) -> Duration {
        match table {
            // Each read waits for a change, so reads follow each other without a pause.
            Table::Configuration if leads => Duration::ZERO,
            Table::Configuration => CONFIG_WAIT,
            Table::Endpoints | Table::Routers => self.leave_bound.mul_f64(ENDPOINT_AGE_FRACTION),
        }
    }

    /// Time after which a router that lacks changes of endpoints, and cannot read them, gets the whole table
    /// from another one.
    pub fn repair_time(&self) -> Duration {
        self.leave_bound.mul_f64(ENDPOINT_GAP_FRACTION)
    }

    /// Time for which a router waits for others to send the endpoint table of a later era, before it reads
    /// the table.
    pub fn era_timeout(&self, rank: ReaderRank, id: &str) -> Duration {
        let fraction = if rank.takes_over_first() {
            let turn = u32::try_from(rank.before + 1).unwrap_or(u32::MAX);
            (ENDPOINT_GAP_FRACTION * f64::from(turn)).min(ERA_FRACTIONS.start)
        } else {
            spread(&ERA_FRACTIONS, id)
        };
        self.leave_bound.mul_f64(fraction)
    }

    /// Time for which a router waits for others to send a change that it lacks, before it reads the table.
    pub fn gap_timeout(&self, table: Table, rank: ReaderRank, id: &str) -> Duration {
        match table {
            Table::Configuration if rank.takes_over_first() => {
                self.apply_bound.mul_f64(FIRST_CONFIG_GAP_FRACTION)
            }
            Table::Configuration => self.apply_bound.mul_f64(spread(&CONFIG_GAP_FRACTIONS, id)),
            Table::Endpoints | Table::Routers => self.leave_bound.mul_f64(ENDPOINT_GAP_FRACTION),
        }
    }
}

/// Additional delay of a router over the one that reads for the fleet.
pub fn takeover_delay(rank: ReaderRank, id: &str) -> Duration {
    let steps =
        RANK_DELAY * u32::try_from(rank.before.min(FIRST_READERS - 1) + 1).unwrap_or(u32::MAX);
    if !rank.large {
        return steps;
    }
    let jitter = if rank.takes_over_first() {
        Duration::ZERO
    } else {
        fleet_pause(rank.routers).mul_f64(unit_hash(id))
    };
    LARGE_FLEET_DELAY + steps + jitter
}

/// Delay before a router reads again after consecutive failed reads.
pub fn retry_delay(failures: u32, routers: usize) -> Duration {
    jittered(RETRY_BACKOFF.ceiling(failures).max(fleet_pause(routers)))
}

/// A random time between half and the whole of `longest`, so that routers do not call in lockstep.
pub fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn fleet_pause(routers: usize) -> Duration {
    let pause = PAUSE_PER_ROUTER * u32::try_from(routers).unwrap_or(u32::MAX);
    pause.min(MAX_FLEET_PAUSE)
}

/// A router's place in a range, by its id.
fn spread(range: &Range<f64>, id: &str) -> f64 {
    range.start + (range.end - range.start) * unit_hash(id)
}

/// A hash of a router's id as a number from 0 to 1.
fn unit_hash(id: &str) -> f64 {
    hash_parts(&[id.as_bytes()]) as f64 / u64::MAX as f64
}
