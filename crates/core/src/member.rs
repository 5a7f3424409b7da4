//! Entries of the platform's membership list.

use crate::{DomainId, InstanceId, ModelName, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A router of this fleet.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance in the platform's list. The list lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The instance is in service.
    Live,
    /// The instance is about to stop and takes no new work.
    Leaving,
}

/// One entry of the platform's membership list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the failure domain.
    #[serde(default)]
    pub region: RegionId,
    /// State of the instance.
    pub state: MemberState,
    /// Endpoints: HTTP address. Routers: address of the peer links, UDP and TCP.
    pub address: SocketAddr,
    /// Models that an engine serves, or the name of a plain service.
    #[serde(default)]
    pub serves: Vec<ModelName>,
    /// Maximum number of requests that the endpoint runs concurrently; zero for routers.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the service deduplicates idempotency keys itself, so that no claim is needed.
    #[serde(default)]
    pub deduplicates: bool,
}
