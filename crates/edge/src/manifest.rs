//! The operators' configuration: routes, services, customers and limits.

use sequoiaridge_core::{CustomerId, DomainId, EndpointId, RegionId, Version, hash_parts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of a service that routes send requests to.
pub type ServiceName = String;

/// Version of an endpoint's software, which is not that of its model. The text has no order.
pub type SoftwareVersion = String;

/// Longest version in bytes that is kept as it is. Rows travel between routers in datagrams.
pub(crate) const MAX_VERSION_BYTES: usize = 32;

/// The version that a row lists; a long one is replaced by its hash.
pub fn software_version(listed: &str) -> SoftwareVersion {
    if listed.len() <= MAX_VERSION_BYTES {
        return listed.to_string();
    }
    format!("{:016x}", hash_parts(&[listed.as_bytes()]))
}

/// How often a request on a route may run, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once for each attempt of a caller.
    Once,
    /// A request runs once and is answered with a stream of events.
    Stream {
        /// Whether another endpoint may continue the stream after the last event that was passed on.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be retried after it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be retried, and whether answers are streams.
    pub kind: Kind,
    /// Timeout of a request, from its start to the end of its answer.
    pub timeout: Duration,
    /// Target latency of an answer or, for a stream, of its first event.
    pub target: Duration,
    /// Target for the longest pause between events of a stream.
    pub pause: Option<Duration>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services with their relative shares of the requests.
    pub services: Vec<(ServiceName, u32)>,
    /// Largest number of endpoints to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Regions whose endpoints may get the requests; `None` if all may.
    pub regions: Option<Vec<RegionId>>,
}

impl Route {
    /// The service for a request, or `None` if no service has a share. `request_hash` is a hash of the
    /// request, so that choices for the same request agree.
    pub fn service(&self, request_hash: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        let mut left = request_hash.checked_rem(total)?;
        for (name, share) in &self.services {
            let share = u64::from(*share);
            if left < share {
                return Some(name);
            }
            left -= share;
        }
        None
    }
}

/// Configuration of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests in one batch.
    pub slots: u32,
    /// Capacity of the prompt cache in tokens.
    pub memory: u64,
    /// Bytes that one token takes when it is copied to another engine.
    pub token_bytes: u64,
}

/// A group of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health: String,
    /// Number of connections that one endpoint accepts from all callers.
    pub connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set if endpoints tolerate fewer requests for some time after a start.
    pub cold: Option<ColdStart>,
}

/// What an endpoint tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which an endpoint is cold after a start.
    pub time: Duration,
    /// Requests per second that it tolerates.
    pub per_second: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Largest body of a request in bytes.
    pub body: usize,
    /// Time within which the head of a request must arrive.
    pub arrival: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

/// A customer with its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name that is sent to endpoints.
    pub name: CustomerId,
    /// API keys of the customer's callers.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Regions whose endpoints may get the customer's requests; `None` if all may.
    pub regions: Option<Vec<RegionId>>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version number, which only increases.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Customers; if there are none, requests need no API key.
    pub customers: Vec<Customer>,
}

/// An endpoint as the registry lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Id under which the registry lists this start of the endpoint.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Remaining time for which it is cold, as of when the row was read.
    pub cold: Duration,
    /// Start of the endpoint in ms since the epoch. After a restart under the same id its cache is empty.
    pub born: Option<u64>,
    /// Version of its software; empty if the registry lists none. A stream only goes on at the
    /// version that began it.
    pub version: SoftwareVersion,
}

impl EndpointEntry {
    /// Boot id, which distinguishes restarts under the same id. It is empty if the registry does not list
    /// the start.
    pub fn boot(&self) -> String {
        self.born.map(|born| born.to_string()).unwrap_or_default()
    }

    /// Whether the entries are equal except for the time for which the endpoint is slow.
    pub fn equals_except_cold(&self, other: &EndpointEntry) -> bool {
        let other = EndpointEntry {
            cold: self.cold,
            ..other.clone()
        };
        *self == other
    }
}

/// A router of the fleet as the registry lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Name of the instance.
    pub id: String,
    /// Address at which it listens for other routers.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Start of the process in ms since the epoch.
    pub incarnation: u64,
}
