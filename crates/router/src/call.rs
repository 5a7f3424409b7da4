//! Calls as callers send them: who asks, for what, under which class.

use crate::token_index::TokenIndex;
use bytes::Bytes;
use sequoiaridge_core::{
    ChatKey, ClassName, CustomerId, Fingerprint, FleetConfig, ModelName, Refusal, RefusalReason,
    Targets, hash_parts, token_digest,
};
use sequoiaridge_http::Request;
use sequoiaridge_store::RequestDigest;
use serde::Deserialize;
use std::time::Duration;

/// Path of chat calls.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of calls to plain services: `/services/{name}/{path}`.
const SERVICE_PREFIX: &str = "/services/";
/// Class of calls that name none.
const DEFAULT_CLASS: &str = "default";
/// Longest idempotency key and chat id in bytes.
const MAX_KEY: usize = 128;
/// Time after which a caller may come back after a mistake of its own; it will not help sooner.
const AFTER_MISTAKE: Duration = Duration::from_secs(60);

/// Headers of callers that are passed on to endpoints. The rest stays here: it is meant for the
/// router, or it describes the caller's connection.
const FORWARDED: &[&str] = &["accept", "content-type", "accept-language", "traceparent"];

/// A call that was understood and authenticated.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) class: ClassName,
    pub(crate) targets: Targets,
    /// Model or service name.
    pub(crate) group: ModelName,
    /// Set for chats, absent for plain services.
    pub(crate) chat: Option<ChatKey>,
    /// Whether the caller asked for server-sent events.
    pub(crate) stream: bool,
    /// Idempotency key; only kept for classes whose calls must not be repeated.
    pub(crate) key: Option<String>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: String,
    /// Path and query at the endpoint.
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct ChatBody<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    prompt_cache_key: Option<String>,
    #[serde(borrow)]
    messages: Vec<ChatMessage<'a>>,
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    role: String,
    #[serde(borrow)]
    content: &'a serde_json::value::RawValue,
}

impl Call {
    /// Understands and authenticates a request.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets; nothing was sent to an endpoint.
    pub(crate) fn parse(
        request: &Request,
        config: &FleetConfig,
        tokens: &TokenIndex,
    ) -> Result<Call, Refusal> {
        let customer = authenticate(request, config, tokens)?;
        let class = request
            .header("x-work-class")
            .unwrap_or(DEFAULT_CLASS)
            .to_string();
        let targets = config
            .classes
            .get(&class)
            .map(|class| class.targets.clone())
            .ok_or_else(|| mistake(RefusalReason::UnknownClass))?;
        let key = idempotency_key(request, &targets)?;
        let target = Target::parse(request, &customer)?;
        Ok(Call {
            fingerprint: hash_parts(&[customer.as_bytes(), target.path.as_bytes(), &request.body]),
            headers: forwarded_headers(request),
            method: request.method.to_string(),
            body: request.body.clone(),
            customer,
            class,
            targets,
            group: target.group,
            chat: target.chat,
            stream: target.stream,
            path: target.path,
            key,
        })
    }

    /// Whether the call may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.targets.repeat == sequoiaridge_core::Repeat::Allowed
    }
}

/// What a request is addressed to.
struct Target {
    group: ModelName,
    chat: Option<ChatKey>,
    stream: bool,
    path: String,
}

impl Target {
    fn parse(request: &Request, customer: &CustomerId) -> Result<Target, Refusal> {
        if request.path == CHAT_PATH && request.method == http::Method::POST {
            return Target::chat(request, customer);
        }
        let rest = request.path.strip_prefix(SERVICE_PREFIX);
        let (name, path) = rest
            .and_then(|rest| rest.split_once('/').or(Some((rest, ""))))
            .filter(|(name, _)| !name.is_empty())
            .ok_or_else(|| mistake(RefusalReason::BadRequest))?;
        let query = if request.query.is_empty() {
            String::new()
        } else {
            format!("?{}", request.query)
        };
        Ok(Target {
            group: name.to_string(),
            chat: None,
            stream: false,
            path: format!("/{path}{query}"),
        })
    }

    fn chat(request: &Request, customer: &CustomerId) -> Result<Target, Refusal> {
        let body: ChatBody<'_> = serde_json::from_slice(&request.body)
            .map_err(|_| mistake(RefusalReason::BadRequest))?;
        if body.messages.is_empty() || body.model.is_empty() {
            return Err(mistake(RefusalReason::BadRequest));
        }
        let named = request
            .header("x-chat-id")
            .map(str::to_string)
            .or(body.prompt_cache_key.clone());
        let chat = match named {
            Some(id) if id.len() > MAX_KEY => return Err(mistake(RefusalReason::BadRequest)),
            Some(id) => hash_parts(&[b"id", customer.as_bytes(), id.as_bytes()]),
            None => opening_key(customer, &body.messages),
        };
        Ok(Target {
            group: body.model,
            chat: Some(chat),
            stream: body.stream,
            path: CHAT_PATH.to_string(),
        })
    }
}

/// Key of a chat that has no id: its opening messages, up to and including the first of the user,
/// stay the same in every turn.
fn opening_key(customer: &CustomerId, messages: &[ChatMessage<'_>]) -> ChatKey {
    let opening = messages
        .iter()
        .position(|message| message.role == "user")
        .unwrap_or(0);
    let mut parts: Vec<&[u8]> = vec![b"opening", customer.as_bytes()];
    for message in &messages[..=opening] {
        parts.push(message.role.as_bytes());
        parts.push(message.content.get().as_bytes());
    }
    hash_parts(&parts)
}

fn authenticate(
    request: &Request,
    config: &FleetConfig,
    tokens: &TokenIndex,
) -> Result<CustomerId, Refusal> {
    let digest = request.bearer().map(token_digest);
    let customer = digest.and_then(|digest| tokens.customer(config, &digest));
    customer.ok_or_else(|| mistake(RefusalReason::BadToken))
}

fn idempotency_key(request: &Request, targets: &Targets) -> Result<Option<String>, Refusal> {
    if targets.repeat == sequoiaridge_core::Repeat::Allowed {
        return Ok(None);
    }
    let key = request
        .header("idempotency-key")
        .ok_or_else(|| mistake(RefusalReason::KeyMissing))?;
    let valid = (1..=MAX_KEY).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if !valid {
        return Err(mistake(RefusalReason::BadRequest));
    }
    Ok(Some(key.to_string()))
}

fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    FORWARDED
        .iter()
        .filter_map(|name| Some((name.to_string(), request.header(name)?.to_string())))
        .collect()
}

/// Digest by which a repeated request is told from another one under the same idempotency key.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut digest = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest
            .update(&(part.len() as u64).to_le_bytes())
            .update(part);
    }
    *digest.finalize().as_bytes()
}

fn mistake(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, AFTER_MISTAKE)
}
