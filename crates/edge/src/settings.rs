//! Settings of one router on the platform.

use sequoiaridge_core::{DomainId, RouterId};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one router, decoded from the platform's settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub id: RouterId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness and metrics.
    pub readiness: SocketAddr,
    /// Address for datagrams of other routers.
    pub peers: SocketAddr,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time within which a leaving endpoint must get no more requests.
    pub leave: Duration,
    /// Time within which a version of the configuration must be in force.
    pub apply: Duration,
    /// Repeats allowed as a share of the requests of a service.
    pub retry_share: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Repeats allowed in a window beyond the share, over all routers.
    pub retry_extra: f64,
    /// Largest multiple of the mean load of a service.
    pub load_multiple: f64,
    /// Time after its last use for which a part counts as cached.
    pub reuse: Duration,
    /// Bandwidth of the instance's link in Mbit/s.
    pub link: u32,
    /// Whether the whole fleet starts for the first time, so that no caller waits yet.
    pub first_start: bool,
    /// Memory of the instance in bytes.
    pub memory: u64,
}
