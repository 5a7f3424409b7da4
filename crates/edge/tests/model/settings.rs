//! Settings, faults and measurements of a simulated fleet.

use std::collections::BTreeMap;
use std::time::Duration;

/// Size and properties of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub routers: usize,
    pub domains: usize,
    pub leave_bound: Duration,
    pub loss_rate: f64,
    /// Share of the routers with a fast link.
    pub fast_share: f64,
    /// Number of endpoints that register while the routers start.
    pub registering: u64,
}

/// A fault that affects a share of the routers for some time.
#[derive(Clone, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    pub from: Duration,
    pub until: Duration,
    pub share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The router receives nothing and reaches nothing.
    Partitioned,
    /// The process is suspended; datagrams queue up.
    Frozen,
    /// The registry refuses the router's calls.
    Refused,
    /// The registry does not answer the router.
    Silent,
}

/// A return of the registry from a copy of itself, for which it was silent before.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    pub at: Duration,
    /// Age of the copy.
    pub copy_age: Duration,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from each change until it reached each router without a fault.
    pub delays: Vec<Duration>,
    /// The same for changes that were made after the first return of the registry, with the time of
    /// the change.
    pub delays_after_return: Vec<(Duration, Duration)>,
    /// When each router without a fault came to know the last era, if it did.
    pub era_known: Vec<Option<Duration>>,
    /// Reads of the whole table.
    pub whole_reads: u64,
    /// Calls to the registry after the initial read, by second.
    pub calls: BTreeMap<u64, u64>,
    /// Most datagrams with changes that one router sent in one second.
    pub peak_feeds: u64,
}

impl Outcome {
    pub fn max_delay(&self) -> Duration {
        self.delays.iter().max().copied().unwrap_or_default()
    }

    pub fn calls_between(&self, from: u64, until: u64) -> u64 {
        self.calls.range(from..until).map(|(_, calls)| calls).sum()
    }
}
