//! Entries of the platform's membership list.

use crate::{DomainId, InstanceId, ModelName, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A process of this fleet.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance in the platform's list, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The instance is in service.
    Live,
    /// The instance will go away and takes no new work.
    Leaving,
}

/// One entry of the platform's membership list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// What it does.
    pub role: Role,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Region of the failure domain.
    #[serde(default)]
    pub region: RegionId,
    /// State in the list.
    pub state: MemberState,
    /// Endpoints: HTTP address. Routers: address of the peer links, UDP and TCP.
    pub address: SocketAddr,
    /// Models that an engine serves, or the name of a plain service.
    #[serde(default)]
    pub serves: Vec<ModelName>,
    /// Requests that the endpoint runs at the same time; zero for routers.
    #[serde(default)]
    pub capacity: u32,
    /// The service recognises repeated idempotency keys itself, so no claim is needed.
    #[serde(default)]
    pub deduplicates: bool,
}
