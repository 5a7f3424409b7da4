//! Messages between detectors. See section 5 of `docs/design.md`.

use crate::EndpointState;
use sequoiaridge_core::{
    DomainId, EndpointId, Fingerprint, ModelName, RegionId, RouterId, Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name, address and location of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the router.
    pub id: RouterId,
    /// Address of its peer links, UDP and TCP.
    pub addr: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
}

/// An update about the state of one router. Of two updates, the one with the higher incarnation
/// wins; at equal incarnations, dead overrides leaving, leaving overrides suspect and suspect
/// overrides present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The router runs.
    Present {
        /// How to reach it.
        info: MemberInfo,
        /// Its incarnation.
        incarnation: u64,
        /// Whether it drains and no longer owns endpoints.
        leaving: bool,
    },
    /// The router does not answer.
    Suspect {
        /// Name of the router.
        id: RouterId,
        /// Incarnation that does not answer.
        incarnation: u64,
    },
    /// The router did not answer before the suspicion timeout.
    Dead {
        /// Name of the router.
        id: RouterId,
        /// Incarnation that is dead.
        incarnation: u64,
    },
}

impl Update {
    /// Returns the name of the router.
    pub fn id(&self) -> &RouterId {
        match self {
            Update::Present { info, .. } => &info.id,
            Update::Suspect { id, .. } | Update::Dead { id, .. } => id,
        }
    }

    /// Returns the incarnation to which the update applies.
    pub fn incarnation(&self) -> u64 {
        match self {
            Update::Present { incarnation, .. }
            | Update::Suspect { incarnation, .. }
            | Update::Dead { incarnation, .. } => *incarnation,
        }
    }
}

/// Event that a crash notice reports.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashKind {
    /// The request was in flight when the endpoint crashed.
    Strike,
    /// The request completed on the endpoint, which clears it.
    Cleared {
        /// Random value that distinguishes repeated runs on one boot of the endpoint.
        nonce: u64,
    },
}

/// A notice about a request that may crash endpoints. Equal notices are delivered once, so a crash
/// that two routers report causes one strike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that ran it.
    pub endpoint: EndpointId,
    /// Boot id of the endpoint process in which it ran.
    pub boot: u64,
    /// What happened.
    pub kind: CrashKind,
}

/// Encoded form of a load report, without the fields that are equal in all reports of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that the owner has outstanding there.
    pub outstanding: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Sequence number minus [`OwnerLoads::base`].
    pub seq_offset: u64,
}

/// Load reports of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLoads {
    /// Router that made the reports.
    pub owner: RouterId,
    /// Lowest sequence number of the reports.
    pub base: u64,
    /// The reports.
    pub loads: Vec<SentLoad>,
}

/// Encoded form of the sum of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentSum {
    /// Index of the group in [`SumDigest::groups`].
    pub group: u8,
    /// Requests that the owner has outstanding on open endpoints.
    pub outstanding: u32,
    /// Slots of the open endpoints of the owner.
    pub capacity: u32,
}

/// Encoded form of all sums of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerSums {
    /// Short id of the router that made the sums, a hash of its name.
    pub owner: u32,
    /// [`SumDigest::newest`] minus the owner's sequence number. Sums with a lower sequence number
    /// never replace these.
    pub seq_offset: u64,
    /// The sums.
    pub sums: Vec<SentSum>,
}

/// Sums of several owners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumDigest {
    /// Names of the groups, to which the sums refer by index.
    pub groups: Vec<ModelName>,
    /// Highest sequence number of the sums.
    pub newest: u64,
    /// The sums.
    pub sums: Vec<OwnerSums>,
}

/// State that is piggybacked on every message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Configuration version in force at the sender.
    pub version: Version,
    /// Whether the sender knows the receiver's address. If not, the receiver sends an update about
    /// itself.
    pub knows: bool,
    /// Updates about routers.
    pub updates: Vec<Update>,
    /// Crash notices.
    pub crashes: Vec<CrashNotice>,
    /// Load reports.
    pub loads: Vec<OwnerLoads>,
    /// Sums of outstanding work and capacity of single owners.
    pub sums: Option<SumDigest>,
    /// Sums of whole domains, with the hash of the domain's name as owner.
    pub domains: Option<SumDigest>,
}

/// A message between detectors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Ack`].
    Probe {
        /// Probe number, which the answer repeats.
        seq: u64,
        /// Piggybacked state.
        digest: Digest,
    },
    /// Answers a probe, or carries only a digest.
    Ack {
        /// Number of the answered probe; zero if there is none.
        seq: u64,
        /// Piggybacked state.
        digest: Digest,
    },
    /// Asks the receiver to probe another router and to relay the answer.
    ProbeFor {
        /// Probe number, which the answer repeats.
        seq: u64,
        /// Router to probe.
        target: RouterId,
        /// Its address.
        addr: SocketAddr,
        /// Piggybacked state.
        digest: Digest,
    },
    /// The sender drains. The digest contains its update about itself.
    Leaving {
        /// Piggybacked state.
        digest: Digest,
    },
    /// A configuration version is in force at the sender. The receiver answers with an
    /// [`Message::Ack`] when the version is in force there too.
    ConfigNotice {
        /// The version.
        version: Version,
        /// Piggybacked state.
        digest: Digest,
    },
    /// A request crashed an endpoint, or completed on one.
    CrashNotice {
        /// The notice.
        notice: CrashNotice,
        /// Piggybacked state.
        digest: Digest,
    },
}

impl Message {
    /// Creates a notice that `version` is in force, for
    /// [`Detector::broadcast`](crate::Detector::broadcast).
    pub fn config_notice(version: Version) -> Message {
        let digest = Digest::default();
        Message::ConfigNotice { version, digest }
    }

    /// Creates a crash notice, for [`Detector::broadcast`](crate::Detector::broadcast).
    pub fn crash_notice(notice: CrashNotice) -> Message {
        let digest = Digest::default();
        Message::CrashNotice { notice, digest }
    }

    /// Returns the piggybacked digest.
    pub fn digest(&self) -> &Digest {
        match self {
            Message::Probe { digest, .. }
            | Message::Ack { digest, .. }
            | Message::ProbeFor { digest, .. }
            | Message::Leaving { digest }
            | Message::ConfigNotice { digest, .. }
            | Message::CrashNotice { digest, .. } => digest,
        }
    }

    /// Replaces the piggybacked digest.
    pub(crate) fn with_digest(mut self, new: Digest) -> Message {
        match &mut self {
            Message::Probe { digest, .. }
            | Message::Ack { digest, .. }
            | Message::ProbeFor { digest, .. }
            | Message::Leaving { digest }
            | Message::ConfigNotice { digest, .. }
            | Message::CrashNotice { digest, .. } => *digest = new,
        }
        self
    }

    /// Returns the kind of control traffic as which metrics count the message.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Probe { .. } | Message::Ack { .. } | Message::ProbeFor { .. } => "gossip",
            Message::Leaving { .. }
            | Message::ConfigNotice { .. }
            | Message::CrashNotice { .. } => "notices",
        }
    }
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
