//! The operators' configuration: routes, services, customers and limits.

use sequoiaridge_core::{CustomerId, DomainId, EndpointId, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Names a service that routes lead to.
pub type ServiceName = String;

/// How often a request of a route may run, and what its answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run once for each attempt of a caller.
    Once,
    /// Runs once and answers with a stream of events.
    Stream {
        /// Whether the stream may go on at another endpoint after its last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again after it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A rule that leads requests to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// Rank of the requests, 0 first.
    pub priority: u8,
    /// Services with their shares of the requests.
    pub services: Vec<(ServiceName, u32)>,
    /// Endpoints to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request; `draw` is a hash of the request, so that a repeated choice for the
    /// same request agrees.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        let mut left = draw.checked_rem(total)?;
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

/// What the configuration says of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for tokens.
    pub memory: u64,
    /// Bytes that one token takes when it is copied to another engine.
    pub token_bytes: u64,
}

/// A group of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health: String,
    /// Connections that one endpoint accepts from all callers.
    pub connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Time in which a head must arrive.
    pub arrival: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name that endpoints are told.
    pub name: CustomerId,
    /// Keys that callers use.
    pub keys: Vec<String>,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version; it only grows.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Customers; if there are none, requests need no key.
    pub customers: Vec<Customer>,
}

/// What the registry says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of this start of the endpoint.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address of its requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Start of the endpoint in ms since the epoch; a new one under the same id knows nothing.
    pub born: Option<u64>,
}

impl EndpointEntry {
    /// Boot id: tells this start from others under the same id, where the registry says it.
    pub fn boot(&self) -> String {
        self.born.map(|born| born.to_string()).unwrap_or_default()
    }

    /// Whether the other entry says the same but for the time since the start.
    pub fn says_same(&self, other: &EndpointEntry) -> bool {
        let other = EndpointEntry {
            cold: self.cold,
            ..other.clone()
        };
        *self == other
    }
}

/// What the registry says of a router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Name of the instance.
    pub id: String,
    /// Address of its datagrams.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Start of the process in ms since the epoch.
    pub incarnation: u64,
}
