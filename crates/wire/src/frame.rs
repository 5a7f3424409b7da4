//! The messages on TCP connections between routers. See section 5 of `docs/design.md`.

use bytes::Bytes;
use sequoiaridge_core::{
    ChatKey, ClassName, CustomerId, EndpointId, Fingerprint, ModelName, Refusal, Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// An HTTP header. Its value need not be UTF-8.
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

/// A call that a router forwards to the owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// Number of the call at the router that accepted it. It appears in the logs of both routers.
    pub id: u64,
    /// Customer of the call.
    pub customer: CustomerId,
    /// Class of work.
    pub class: ClassName,
    /// Model or service name: the group of endpoints that can run the call.
    pub group: ModelName,
    /// Endpoint that ranks first, which the receiver is expected to own.
    pub endpoint: EndpointId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// HTTP headers to forward.
    pub headers: Vec<Header>,
    /// HTTP body.
    pub body: Bytes,
    /// Key of the chat, if the call belongs to one.
    pub chat: Option<ChatKey>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Fingerprint under which crashes are recorded.
    pub fingerprint: Fingerprint,
    /// Time left until the deadline. It is a duration, because routers share no clock.
    pub remaining: Duration,
    /// Number of owners that were asked before the receiver.
    pub asked: u8,
    /// The candidates that rank after `endpoint`, best first.
    pub next: Vec<EndpointId>,
    /// Run the call only if the receiver has the chat in its index.
    pub lookup: bool,
    /// The sender cannot reach the owner, so the receiver admits the call in its place.
    pub substitute: bool,
    /// Endpoints that must not be used, because an attempt of this call failed at them.
    pub excluded: Vec<EndpointId>,
    /// An endpoint may have crashed on the call, even if the receiver does not know of the crash.
    pub suspect: bool,
}

/// One change of the configuration, with the version after it.
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
    /// Time since the chat was last used. It is a duration, because routers share no clock.
    pub age: Duration,
}

/// Request for a turn: the right to run one copy of a suspect, a request that may crash endpoints.
/// The owner of an endpoint asks for it before it runs the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Maximum time to wait for the turn.
    pub wait: Duration,
    /// Time after which the turn ends even if it was not given back.
    pub hold: Duration,
}

/// Whether a router could open a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// The connection is open.
    Opened,
    /// It was refused.
    Refused,
    /// Nothing answered, or the router does not connect there.
    Silent,
}

/// A message on a TCP connection between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A call for the receiver to run.
    Call(Box<CallFrame>),
    /// Status and headers of a response.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<Header>,
    },
    /// A part of a response body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The call ended without a complete response.
    Fail(Refusal),
    /// The owner is at its bound, so the sender of the call is to ask the owner of `endpoint` next.
    Forward {
        /// Endpoint whose owner is to be asked.
        endpoint: EndpointId,
        /// The candidates that rank after it, best first.
        next: Vec<EndpointId>,
        /// That owner is to run the call only if it has the chat in its index.
        lookup: bool,
    },
    /// The receiver of the call does not own the endpoint.
    NotOwner,
    /// Shows that the sender is alive while a stream is quiet.
    Keepalive,
    /// Requests the configuration changes after a version.
    ConfigPull {
        /// Version in force at the requesting router.
        since: Version,
    },
    /// Configuration changes, or a snapshot if the changes are no longer kept.
    ConfigPush {
        /// Changes in order of their versions.
        changes: Vec<VersionedChange>,
        /// Configuration as JSON; the changes apply after it.
        snapshot: Option<Bytes>,
    },
    /// Chat index entries for the receiver to add to its index.
    IndexPush {
        /// The entries.
        entries: Vec<IndexEntry>,
    },
    /// Acknowledges the last push or strike, or grants the turn.
    Ack,
    /// Requests a turn to run a copy of a suspect. The turn ends with the connection.
    Turn(TurnRequest),
    /// Requests the list of endpoints, the configuration, or both.
    SnapshotPull {
        /// Whether the list of endpoints is requested.
        endpoints: bool,
        /// Oldest version of the configuration that is of use; `None` if no configuration is
        /// requested.
        version: Option<Version>,
    },
    /// Response to a `SnapshotPull`.
    SnapshotPush {
        /// What was requested, encoded by the sender; `None` if it has nothing to send now.
        snapshot: Option<Bytes>,
    },
    /// Reports that an endpoint crashed on a request.
    Strike {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Endpoint that crashed.
        endpoint: EndpointId,
        /// Hash of the boot id that the endpoint had before the crash.
        boot: u64,
    },
    /// Requests a connection to an endpoint. If it opens, its bytes follow in both directions as
    /// `Chunk`s, and an `End` once the endpoint has closed it in order.
    Tunnel {
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Response to a `Tunnel`.
    TunnelReach(Reach),
}

impl Frame {
    /// Name of the variant in logs and counters.
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
            Frame::Tunnel { .. } => "tunnel",
            Frame::TunnelReach(_) => "tunnel-reach",
        }
    }
}
