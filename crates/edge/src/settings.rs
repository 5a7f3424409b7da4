//! Settings of one router.

use sequoiaridge_core::{DomainId, RegionId, RouterId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one router, decoded from the platform's settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub id: RouterId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address at which it listens for callers.
    pub callers: SocketAddr,
    /// Address at which it serves readiness and metrics. If it is that of callers, only readiness.
    pub readiness: SocketAddr,
    /// Address at which it listens for other routers.
    pub peers: SocketAddr,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time after which a leaving endpoint must get no more requests.
    pub leave_bound: Duration,
    /// Time within which a new version of the configuration must be in force.
    pub apply_bound: Duration,
    /// Retries allowed as a share of the requests to a service.
    pub retry_share: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Retries allowed in a window in addition to the share, over all routers.
    pub retry_extra: f64,
    /// Largest load of an endpoint as a multiple of the mean load of its service.
    pub load_multiple: f64,
    /// Window within which the operators count a prompt part that is processed again; see
    /// [`CacheMap::with_window`](crate::CacheMap::with_window).
    pub reuse_window: Duration,
    /// Bandwidth of the instance's link in Mbit/s.
    pub link: u32,
    /// Whether the whole fleet starts for the first time, when no callers are waiting yet.
    pub first_start: bool,
    /// Memory of the instance in bytes.
    pub memory: u64,
    /// Region of each failure domain.
    pub regions: BTreeMap<DomainId, RegionId>,
    /// Limit on requests to cold endpoints; `None` if the operators set none.
    pub cold: Option<ColdLimit>,
    /// Whether all services divide scarce room by rank and customer, and learn how fast their endpoints
    /// are. Other services do so while their endpoints report how long work takes on their machines.
    pub shares_room: bool,
}

/// Limit on the requests that a cold endpoint gets in any one second from all routers: its own rate times
/// `overshoot`, plus `tolerance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Multiple of the rate that a cold endpoint tolerates.
    pub overshoot: f64,
    /// Requests allowed in addition.
    pub tolerance: f64,
}
