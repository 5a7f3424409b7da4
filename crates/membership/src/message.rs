//! Messages between detectors; see section 5 of `docs/design.md`.

use crate::EndpointState;
use sequoiaridge_core::{
    DomainId, EndpointId, Fingerprint, ModelName, RegionId, RouterId, Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What routers need to know to reach a router.
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

/// A statement about one router. Of two statements the one with the higher incarnation is valid; at
/// equal incarnations dead prevails over leaving, leaving over suspect and suspect over present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The router runs.
    Present {
        /// How to reach it.
        info: MemberInfo,
        /// Its incarnation.
        incarnation: u64,
        /// It drains and owns no endpoints any more.
        leaving: bool,
    },
    /// The router does not answer.
    Suspect {
        /// Name of the router.
        id: RouterId,
        /// Incarnation that does not answer.
        incarnation: u64,
    },
    /// The router did not answer for the time of suspicion.
    Dead {
        /// Name of the router.
        id: RouterId,
        /// Incarnation that is dead.
        incarnation: u64,
    },
}

impl Update {
    /// Name of the router.
    pub fn id(&self) -> &RouterId {
        match self {
            Update::Present { info, .. } => &info.id,
            Update::Suspect { id, .. } | Update::Dead { id, .. } => id,
        }
    }

    /// Incarnation of the statement.
    pub fn incarnation(&self) -> u64 {
        match self {
            Update::Present { incarnation, .. }
            | Update::Suspect { incarnation, .. }
            | Update::Dead { incarnation, .. } => *incarnation,
        }
    }
}

/// What a crash notice says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashKind {
    /// The request was in flight when the endpoint crashed.
    Strike,
    /// The request completed on the endpoint, which clears it.
    Cleared {
        /// Random value that tells repeated runs on one boot apart.
        nonce: u64,
    },
}

/// A notice about a request that may crash endpoints. Equal notices are delivered once, so two
/// routers that report one crash cause one strike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that ran it.
    pub endpoint: EndpointId,
    /// Boot of the endpoint during which it ran.
    pub boot: u64,
    /// What happened.
    pub kind: CrashKind,
}

/// A load report as sent, without the fields that reports of one owner have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that the owner has outstanding there.
    pub outstanding: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Sequence number above the group's base.
    pub seq_offset: u64,
}

/// Load reports of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLoads {
    /// Router that made the reports.
    pub owner: RouterId,
    /// Lowest sequence number of the group.
    pub base: u64,
    /// The reports.
    pub loads: Vec<SentLoad>,
}

/// Sum of one group as sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentSum {
    /// Number of the group in the digest's list of names.
    pub group: u8,
    /// Requests that the owner has outstanding on open endpoints.
    pub outstanding: u32,
    /// Slots of the open endpoints that the owner admits to.
    pub capacity: u32,
}

/// All sums of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerSums {
    /// Short id of the router that made the sums, a hash of its name.
    pub owner: u32,
    /// Sequence number of the owner below the digest's newest one; sums with a lower sequence number
    /// never replace these.
    pub seq_offset: u64,
    /// The sums.
    pub sums: Vec<SentSum>,
}

/// Sums of several owners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumDigest {
    /// Names of the groups that the sums number.
    pub groups: Vec<ModelName>,
    /// Highest sequence number.
    pub newest: u64,
    /// The sums.
    pub sums: Vec<OwnerSums>,
}

/// What travels on every message besides its own content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Configuration version in force at the sender.
    pub version: Version,
    /// The sender knows how to reach the receiver. If not, the receiver introduces itself.
    pub knows: bool,
    /// Statements about routers.
    pub updates: Vec<Update>,
    /// Crash notices.
    pub crashes: Vec<CrashNotice>,
    /// Load reports.
    pub loads: Vec<OwnerLoads>,
    /// Sums of work and capacity of owners.
    pub sums: Option<SumDigest>,
    /// Sums of whole domains, with the hash of the domain's name as owner.
    pub domains: Option<SumDigest>,
}

/// A message between detectors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Probe {
        /// Number that the answer repeats.
        seq: u64,
        /// What travels along.
        digest: Digest,
    },
    /// Answers a probe. Zero stands for no probe.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// What travels along.
        digest: Digest,
    },
    /// Asks the receiver to probe another router and to pass the answer on.
    ProbeFor {
        /// Number that the answer repeats.
        seq: u64,
        /// Router to probe.
        target: RouterId,
        /// Its address.
        addr: SocketAddr,
        /// What travels along.
        digest: Digest,
    },
    /// The sender drains; its updates say so.
    Leaving {
        /// What travels along.
        digest: Digest,
    },
    /// A configuration version is in force at the sender. The receiver answers with an
    /// [`Message::Ack`] when the version is in force there too.
    ConfigNotice {
        /// The version.
        version: Version,
        /// What travels along.
        digest: Digest,
    },
    /// A request crashed an endpoint, or no longer does.
    CrashNotice {
        /// The notice.
        notice: CrashNotice,
        /// What travels along.
        digest: Digest,
    },
}

impl Message {
    /// A notice that `version` is in force, for [`Detector::broadcast`](crate::Detector::broadcast).
    pub fn config_notice(version: Version) -> Message {
        let digest = Digest::default();
        Message::ConfigNotice { version, digest }
    }

    /// A crash notice, for [`Detector::broadcast`](crate::Detector::broadcast).
    pub fn crash_notice(notice: CrashNotice) -> Message {
        let digest = Digest::default();
        Message::CrashNotice { notice, digest }
    }

    /// What travels on the message.
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

    /// Replaces what travels on the message.
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

    /// Kind of control traffic to which the message counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Probe { .. } | Message::Ack { .. } | Message::ProbeFor { .. } => "gossip",
            Message::Leaving { .. }
            | Message::ConfigNotice { .. }
            | Message::CrashNotice { .. } => "notices",
        }
    }
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
