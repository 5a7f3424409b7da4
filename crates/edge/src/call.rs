//! A caller's request and the answer of an endpoint, free of any wire format.

use crate::placement::Subject;
use crate::rest::RestRequest;
use sequoiaridge_core::{ModelName, hash_parts};
use std::time::Duration;

/// Names one attempt of a caller. A repeat by the caller has another one.
pub type AttemptId = String;
/// Names a part of a prompt that requests may share.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name of the part.
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
    /// Parts of the prompt in order. The last one belongs to the request or its chat alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The group of prompts that share everything but their last parts.
    pub fn subject(&self) -> Subject {
        let shared = match self.parts.split_last() {
            Some((_, shared)) if !shared.is_empty() => shared,
            _ => &self.parts,
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
    /// The caller's attempt.
    pub attempt: AttemptId,
    /// Host that the request names, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key, if the request has one.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has, if it resumes a stream.
    pub resume: Option<u64>,
    /// What is asked of a model engine; plain services get none.
    pub prompt: Option<Prompt>,
}

/// Load that an endpoint tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Attempt that the answer belongs to.
    pub attempt: Option<AttemptId>,
    /// Whether the endpoint vouches for the answer.
    pub sealed: bool,
    /// Whether the body is encoded, so that it cannot be the endpoint's own.
    pub encoded: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint has the address.
    pub misdirected: bool,
    /// Whether the endpoint says that it leaves and wants no new requests.
    pub leaving: bool,
    /// For how long the endpoint, which turns the request away, wants nothing from this router.
    pub rest: Option<RestRequest>,
    /// Load that the endpoint tells.
    pub load: Option<EndpointLoad>,
    /// Time for which the endpoint keeps the idle connection open.
    pub idle: Option<Duration>,
    /// Whether the endpoint closes the connection after this answer.
    pub close: bool,
}

/// What is sent to an endpoint on behalf of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The endpoint that must run the request.
    pub endpoint: String,
    /// Customer on whose behalf the request runs.
    pub customer: Option<String>,
    /// Time left.
    pub deadline: Duration,
    /// Last event that the caller has.
    pub resume: Option<u64>,
    /// Address of an endpoint that keeps more of the prompt.
    pub fetch: Option<std::net::SocketAddr>,
    /// Rank of the request, 0 first.
    pub priority: Option<u8>,
}
