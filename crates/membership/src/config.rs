//! Settings of the failure detector.

use crate::MemberInfo;
use std::time::Duration;

/// Settings of a [`Detector`](crate::Detector). The defaults are those of section 4.5 of the
/// design.
#[derive(Clone, Debug)]
pub struct DetectorConfig {
    /// The router that runs the detector.
    pub local: MemberInfo,
    /// Start time of the process in milliseconds; higher than that of every earlier process.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Time between two probes. Default: 500 ms.
    pub period: Duration,
    /// Time without an answer after which other routers are asked to probe. Default: 200 ms.
    pub ack_timeout: Duration,
    /// Time after which a suspect that did not refute is dead. Default: 2 s.
    pub suspicion_timeout: Duration,
    /// Number of periods after which a peer of another domain is probed as well. Default: 4.
    pub remote_every: u64,
    /// Number of routers that are asked for an indirect probe. Default: 2.
    pub indirect_probes: usize,
    /// Time after which a dead member that was removed from the list is forgotten. Default: 30 s.
    pub removed_ttl: Duration,
    /// Time after which a dead member that was never listed is forgotten. It is longer than a usual
    /// partition between regions, so that both sides find each other without the list. Default:
    /// 10 min.
    pub unlisted_ttl: Duration,
    /// Time after which an unchanged load of this router is reported again. Default: 7 s, which is
    /// no multiple of the time between two probes of another domain (2 s); with a multiple, reports
    /// would always be sent to the same routers.
    pub load_refresh: Duration,
    /// Time after which a load report that was not refreshed is dropped. Default: 30 s.
    pub load_expiry: Duration,
    /// Time after which unchanged sums of this router are published again. Default: 9 s.
    pub sum_refresh: Duration,
    /// Time for which the capacity of a dead owner stays in the sums of the groups. Default: 5 s,
    /// in which the sums of the next owners reach the fleet.
    pub capacity_hold: Duration,
}

impl DetectorConfig {
    /// Creates settings for router `me` with the default times.
    pub fn new(me: MemberInfo, incarnation: u64, seed: u64) -> DetectorConfig {
        DetectorConfig {
            local: me,
            incarnation,
            seed,
            period: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(2),
            remote_every: 4,
            indirect_probes: 2,
            removed_ttl: Duration::from_secs(30),
            unlisted_ttl: Duration::from_secs(600),
            load_refresh: Duration::from_secs(7),
            load_expiry: Duration::from_secs(30),
            sum_refresh: Duration::from_secs(9),
            capacity_hold: Duration::from_secs(5),
        }
    }
}
