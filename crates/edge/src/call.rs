//! A caller's request and an endpoint's answer, independent of the wire format.

use crate::endpoint_limits::LimitNotice;
use crate::placement::Subject;
use crate::rest::RestRequest;
use sequoiaridge_core::{ModelName, hash_parts};
use std::time::Duration;

/// Identifies one attempt of a caller. A retry by the caller has a different id.
pub type AttemptId = String;
/// Identifies a part of a prompt that requests may share.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u64,
}

/// What a request asks of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model that must answer.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens that may be generated.
    pub output: u64,
    /// Parts of the prompt in order. The last one is specific to the request or its chat.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The parts that other requests may share: all except the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The group of prompts that share all parts except the last one.
    pub fn subject(&self) -> Subject {
        let shared = match self.shared_parts() {
            [] => self.parts.as_slice(),
            shared => shared,
        };
        let id = shared.last().map_or(0, |part| part.id);
        let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        Subject {
            key: hash_parts(&[self.model.as_bytes(), &id.to_le_bytes()]),
            tokens: tokens.max(1),
        }
    }
}

/// A caller's request without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id of the caller's attempt.
    pub attempt: AttemptId,
    /// Host of the request without the port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key, if the request has one.
    pub key: Option<String>,
    /// Time for which the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resume: Option<u64>,
    /// The attempt that brought the first event of the stream, if the caller resumes one and names it.
    pub origin: Option<AttemptId>,
    /// The prompt, if the request is for a model engine.
    pub prompt: Option<Prompt>,
}

impl Call {
    /// Time within which the request must be answered on a route with this timeout.
    pub fn time_limit(&self, timeout: Duration) -> Duration {
        self.deadline.map_or(timeout, |wait| wait.min(timeout))
    }
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes on the endpoint's machine at this moment, in percent of the usual; `None` if
    /// the endpoint does not report it.
    pub pace_percent: Option<u32>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Attempt that the answer belongs to.
    pub attempt: Option<AttemptId>,
    /// Whether the answer carries the endpoint's seal.
    pub sealed: bool,
    /// Whether the body has a content encoding. Endpoints use none, so such a body is not the endpoint's own.
    pub encoded: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the address now belongs to another endpoint.
    pub misdirected: bool,
    /// Whether the endpoint says that it is leaving and wants no new requests.
    pub leaving: bool,
    /// Time for which an endpoint that refuses the request wants no requests from this router.
    pub rest: Option<RestRequest>,
    /// The endpoint's limit on requests per second from all routers; `None` if it names none.
    pub limit: Option<LimitNotice>,
    /// Requests that the endpoint can reject in a second for want of room before it crashes; `None` if it
    /// does not say that it is brittle.
    pub brittle: Option<u32>,
    /// Load that the endpoint reports.
    pub load: Option<EndpointLoad>,
    /// Time for which the endpoint says that it stays cold.
    pub cold: Option<Duration>,
    /// Time for which the endpoint keeps the idle connection open.
    pub idle: Option<Duration>,
    /// Whether the endpoint closes the connection after this answer.
    pub close: bool,
}

/// What is sent to an endpoint on behalf of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Id of the endpoint that must run the request.
    pub endpoint: String,
    /// Customer on whose behalf the request runs.
    pub customer: Option<String>,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub resume: Option<u64>,
    /// Address of an endpoint from which more of the prompt can be copied.
    pub fetch: Option<std::net::SocketAddr>,
    /// Priority of the request; 0 is the highest.
    pub priority: Option<u8>,
}
