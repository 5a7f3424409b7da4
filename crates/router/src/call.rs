//! Parsing and authentication of callers' requests.

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

/// Path of chat completions.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of calls to plain services: `/services/{name}/{path}`.
const SERVICE_PREFIX: &str = "/services/";
/// Class of calls that do not name one.
const DEFAULT_CLASS: &str = "default";
/// Maximum length of an idempotency key or chat id in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Time after which a caller may retry a request that it must correct first. Retrying sooner does
/// not help.
const CALLER_ERROR_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Headers of callers that are forwarded to endpoints. The others are meant for the router or
/// describe the caller's connection.
const FORWARDED_HEADERS: &[&str] = &["accept", "content-type", "accept-language", "traceparent"];

/// A parsed and authenticated call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) class: ClassName,
    pub(crate) targets: Targets,
    /// Name of the model or service.
    pub(crate) group: ModelName,
    /// Key of the chat; `None` for calls to plain services.
    pub(crate) chat: Option<ChatKey>,
    /// Whether the caller requested server-sent events.
    pub(crate) stream: bool,
    /// Idempotency key; `None` for classes whose calls may be repeated.
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
    /// Authenticates and parses a request.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. Nothing was sent to an endpoint.
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
            .ok_or_else(|| caller_error(RefusalReason::UnknownClass))?;
        let key = idempotency_key(request, &targets)?;
        let target = CallTarget::parse(request, &customer)?;
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

/// What a request's path and body ask for.
struct CallTarget {
    group: ModelName,
    chat: Option<ChatKey>,
    stream: bool,
    path: String,
}

impl CallTarget {
    fn parse(request: &Request, customer: &CustomerId) -> Result<CallTarget, Refusal> {
        if request.path == CHAT_PATH && request.method == http::Method::POST {
            return CallTarget::chat(request, customer);
        }
        let rest = request.path.strip_prefix(SERVICE_PREFIX);
        let (name, path) = rest
            .and_then(|rest| rest.split_once('/').or(Some((rest, ""))))
            .filter(|(name, _)| !name.is_empty())
            .ok_or_else(|| caller_error(RefusalReason::BadRequest))?;
        let query = if request.query.is_empty() {
            String::new()
        } else {
            format!("?{}", request.query)
        };
        Ok(CallTarget {
            group: name.to_string(),
            chat: None,
            stream: false,
            path: format!("/{path}{query}"),
        })
    }

    fn chat(request: &Request, customer: &CustomerId) -> Result<CallTarget, Refusal> {
        let body: ChatBody<'_> = serde_json::from_slice(&request.body)
            .map_err(|_| caller_error(RefusalReason::BadRequest))?;
        if body.messages.is_empty() || body.model.is_empty() {
            return Err(caller_error(RefusalReason::BadRequest));
        }
        let chat_id = request
            .header("x-chat-id")
            .map(str::to_string)
            .or(body.prompt_cache_key.clone());
        let chat = match chat_id {
            Some(id) if id.len() > MAX_KEY_BYTES => {
                return Err(caller_error(RefusalReason::BadRequest));
            }
            Some(id) => hash_parts(&[b"id", customer.as_bytes(), id.as_bytes()]),
            None => opening_key(customer, &body.messages),
        };
        Ok(CallTarget {
            group: body.model,
            chat: Some(chat),
            stream: body.stream,
            path: CHAT_PATH.to_string(),
        })
    }
}

/// Returns the key of a chat without an id. It is a hash of the opening messages, up to and
/// including the first one of the user, which are the same in every call of the chat.
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

/// Returns the customer whose token the request carries.
fn authenticate(
    request: &Request,
    config: &FleetConfig,
    tokens: &TokenIndex,
) -> Result<CustomerId, Refusal> {
    let digest = request.bearer().map(token_digest);
    let customer = digest.and_then(|digest| tokens.customer(config, &digest));
    customer.ok_or_else(|| caller_error(RefusalReason::BadToken))
}

/// Returns the idempotency key of a call that must not be repeated.
fn idempotency_key(request: &Request, targets: &Targets) -> Result<Option<String>, Refusal> {
    if targets.repeat == sequoiaridge_core::Repeat::Allowed {
        return Ok(None);
    }
    let key = request
        .header("idempotency-key")
        .ok_or_else(|| caller_error(RefusalReason::KeyMissing))?;
    let valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if !valid {
        return Err(caller_error(RefusalReason::BadRequest));
    }
    Ok(Some(key.to_string()))
}

fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| Some((name.to_string(), request.header(name)?.to_string())))
        .collect()
}

/// Returns the digest that tells a repeated request from a different one under the same idempotency
/// key.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut digest = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest
            .update(&(part.len() as u64).to_le_bytes())
            .update(part);
    }
    *digest.finalize().as_bytes()
}

/// Returns the refusal of a request that the caller must correct.
fn caller_error(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, CALLER_ERROR_RETRY_AFTER)
}
