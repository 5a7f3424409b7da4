//! Messages on TCP connections between routers; see section 5 of `docs/design.md`.

use bytes::Bytes;
use sequoiaridge_core::{
    ChatKey, ClassName, CustomerId, EndpointId, Fingerprint, ModelName, Refusal, Version,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An HTTP header. The value may hold bytes that are not UTF-8.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Bytes,
}

impl Header {
    /// Creates a header.
    pub fn new(name: impl Into<String>, value: impl Into<Bytes>) -> Header {
        Header {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// A call, passed on to the owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// Number of the call at the router that accepted it; appears in logs of both routers.
    pub id: u64,
    /// Customer of the call.
    pub customer: CustomerId,
    /// Class of work.
    pub class: ClassName,
    /// Model or service name: the group of endpoints that can run the call.
    pub group: ModelName,
    /// Endpoint that ranks first and that the receiver is expected to own.
    pub endpoint: EndpointId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// HTTP headers to pass on.
    pub headers: Vec<Header>,
    /// HTTP body.
    pub body: Bytes,
    /// Key of the chat, if the call belongs to one.
    pub chat: Option<ChatKey>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Fingerprint under which crashes are recorded.
    pub fingerprint: Fingerprint,
    /// Time until the deadline. A duration, because routers share no clock.
    pub remaining: Duration,
    /// Owners that were asked before.
    pub asked: u8,
    /// Candidates after `endpoint`, best first.
    pub next: Vec<EndpointId>,
    /// The call is only to be run if the receiver has the chat in its index.
    pub lookup: bool,
    /// The sender cannot reach the owner, and the receiver is to admit the call in its place.
    pub substitute: bool,
    /// Endpoints that must not be used, because they failed this call before.
    pub excluded: Vec<EndpointId>,
    /// An endpoint may have crashed on the call, whether or not the receiver has heard of that.
    pub suspect: bool,
}

/// One change of the configuration with the version that it leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedChange {
    /// Version after the change.
    pub version: Version,
    /// The change as JSON.
    pub change: Bytes,
}

/// Where the context of one chat was last cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Key of the chat.
    pub chat: ChatKey,
    /// Endpoint that holds the context.
    pub endpoint: EndpointId,
    /// Time since the chat was last used. A duration, because routers share no clock.
    pub age: Duration,
}

/// What the owner of an endpoint asks for before it runs a copy of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Longest wait for the turn.
    pub wait: Duration,
    /// Time after which the turn ends in any case.
    pub hold: Duration,
}

/// A message on a TCP connection between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A call for the receiver to run.
    Call(Box<CallFrame>),
    /// Status and headers of an answer.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<Header>,
    },
    /// A part of an answer's body.
    Chunk(Bytes),
    /// The answer is complete.
    End,
    /// The call ended without a complete answer.
    Fail(Refusal),
    /// The owner is at its bound; the owner of `endpoint` is to be asked next.
    Forward {
        /// Endpoint whose owner is to be asked.
        endpoint: EndpointId,
        /// Candidates after it, best first.
        next: Vec<EndpointId>,
        /// The owner is only to run the call if it knows the chat.
        lookup: bool,
    },
    /// The receiver of the call does not own the endpoint.
    NotOwner,
    /// Shows that the sender is alive while a stream is quiet.
    Keepalive,
    /// Asks for the changes after a version.
    ConfigPull {
        /// Version of the asking router.
        since: Version,
    },
    /// Changes, or a snapshot if the changes are no longer kept.
    ConfigPush {
        /// Changes in order of their versions.
        changes: Vec<VersionedChange>,
        /// Configuration as JSON; the changes apply after it.
        snapshot: Option<Bytes>,
    },
    /// Chat index entries that the receiver takes over.
    IndexPush {
        /// The entries.
        entries: Vec<IndexEntry>,
    },
    /// The last push was taken over, or the turn is granted.
    Ack,
    /// Asks for the turn to run a copy of a suspect. The turn ends with the connection.
    Turn(TurnRequest),
    /// Asks for the list of endpoints, the configuration, or both.
    SnapshotPull {
        /// Whether the list is asked for.
        endpoints: bool,
        /// Oldest version of the configuration that is of use; `None` if it is not asked for.
        version: Option<Version>,
    },
    /// What was asked for, encoded by the sender; `None` if it has nothing to give now.
    SnapshotPush {
        /// The snapshot.
        snapshot: Option<Bytes>,
    },
    /// An endpoint crashed on a request.
    Strike {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Endpoint that crashed.
        endpoint: EndpointId,
        /// Boot of the endpoint before the crash.
        boot: u64,
    },
}

impl Frame {
    /// Name of the kind of message, for logs and counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Call(_) => "call",
            Frame::Head { .. } => "head",
            Frame::Chunk(_) => "chunk",
            Frame::End => "end",
            Frame::Fail(_) => "fail",
            Frame::Forward { .. } => "forward",
            Frame::NotOwner => "not-owner",
            Frame::Keepalive => "keepalive",
            Frame::ConfigPull { .. } => "config-pull",
            Frame::ConfigPush { .. } => "config-push",
            Frame::IndexPush { .. } => "index-push",
            Frame::Ack => "ack",
            Frame::Turn(_) => "turn",
            Frame::SnapshotPull { .. } => "snapshot-pull",
            Frame::SnapshotPush { .. } => "snapshot-push",
            Frame::Strike { .. } => "strike",
        }
    }
}
