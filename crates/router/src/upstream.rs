//! Sends a request to an endpoint once, checks the response and forwards it in parts.

use crate::response_part::{Head, Part, PartSender};
use crate::sse::{EventReader, Progress, ResponseFields, Usage};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use sequoiaridge_core::{EndpointId, Refusal, RefusalReason, Verdict};
use sequoiaridge_http::{Client, ClientError, Response};
use serde::de::IgnoredAny;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size in bytes of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of times a broken stream is resumed at its engine.
const MAX_RESUMES: u32 = 2;
/// Delay before a broken stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Time after which a caller should retry a call whose endpoint failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers of endpoints' responses that are forwarded to callers.
const RETURNED_HEADERS: &[&str] = &["content-type", "x-engine-id"];

/// One attempt of a call: a request to one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Identifies the attempt. The endpoint repeats it in its response.
    pub(crate) request_id: String,
    /// Whether this is a chat, whose response must be in OpenAI's format, or a call to a plain
    /// service.
    pub(crate) chat: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    /// Longest wait for the head of the response.
    pub(crate) head_timeout: Duration,
    /// Longest wait for each chunk of the body.
    pub(crate) idle_timeout: Duration,
}

/// The endpoint to which a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
}

/// What is known of a run whose response is complete.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Completion {
    pub(crate) usage: Option<Usage>,
    /// Number of times the stream was resumed.
    pub(crate) resumes: u32,
}

/// Sends `attempt` once and forwards the response. The caller of this function sends the last part,
/// because it knows what else must happen before the response counts as complete.
///
/// # Errors
///
/// There is no complete response. The refusal says whether the request may have run.
pub(crate) async fn run(
    client: &Client,
    target: &Target,
    attempt: &Attempt,
    parts: &PartSender,
) -> Result<Completion, Refusal> {
    let request = request(attempt, &[])?;
    let response = client
        .send_fresh(
            target.address,
            request,
            attempt.head_timeout,
            attempt.idle_timeout,
        )
        .await
        .map_err(refusal)?;
    check_not_run(&response)?;
    check_request_id(&response, attempt)?;
    if response
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
    {
        return StreamForwarder {
            client,
            target,
            attempt,
            parts,
        }
        .run(response)
        .await;
    }
    forward_whole(response, attempt, parts).await
}

/// Checks that the endpoint did not refuse the request. A refusal carries `x-not-run` and certifies
/// that the request did not run.
fn check_not_run(response: &Response) -> Result<(), Refusal> {
    let refused =
        matches!(response.status.as_u16(), 429 | 503) && response.header("x-not-run") == Some("1");
    if !refused {
        return Ok(());
    }
    let seconds = response
        .header("retry-after")
        .and_then(|value| value.parse().ok())
        .unwrap_or(1);
    Err(Refusal::not_run(
        RefusalReason::EndpointRefused,
        Duration::from_secs(seconds),
    ))
}

/// Checks that the response does not name another request; such a response is never forwarded.
fn check_request_id(response: &Response, attempt: &Attempt) -> Result<(), Refusal> {
    match response.header("x-request-id") {
        Some(id) if id != attempt.request_id => Err(may_have_run(RefusalReason::EndpointInvalid)),
        _ => Ok(()),
    }
}

/// Forwards a response that is not streamed.
async fn forward_whole(
    response: Response,
    attempt: &Attempt,
    parts: &PartSender,
) -> Result<Completion, Refusal> {
    if attempt.chat && response.status.is_server_error() {
        return Err(may_have_run(RefusalReason::EndpointBroke));
    }
    let head = response_head(&response);
    let success = response.status.is_success();
    let json = response
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("application/json"));
    let body = response.bytes(MAX_RESPONSE_BYTES).await.map_err(refusal)?;
    // A body that is sent twice has a valid length; only its syntax shows the fault.
    if json && !body.is_empty() && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(may_have_run(RefusalReason::EndpointInvalid));
    }
    let mut completion = Completion::default();
    if attempt.chat && success {
        let fields: ResponseFields = serde_json::from_slice(&body)
            .map_err(|_| may_have_run(RefusalReason::EndpointInvalid))?;
        completion.usage = fields.usage;
    }
    let _ = parts.send(Part::Head(head)).await;
    let _ = parts.send(Part::Chunk(body)).await;
    Ok(completion)
}

/// Forwards a streamed response, which may be resumed at the same engine process.
struct StreamForwarder<'a> {
    client: &'a Client,
    target: &'a Target,
    attempt: &'a Attempt,
    parts: &'a PartSender,
}

impl StreamForwarder<'_> {
    async fn run(&self, mut response: Response) -> Result<Completion, Refusal> {
        let stream_id = response.header("x-stream-id").map(str::to_string);
        let boot = response.header("x-boot-id").map(str::to_string);
        let mut reader = EventReader::default();
        let mut resumes = 0;
        self.send(Part::Head(response_head(&response))).await?;
        loop {
            match self.forward_events(&mut response, &mut reader).await {
                Ok(()) => {
                    return Ok(Completion {
                        usage: reader.usage(),
                        resumes,
                    });
                }
                Err(refusal) if refusal.reason == RefusalReason::EndpointInvalid => {
                    return Err(refusal);
                }
                Err(refusal) => {
                    let Some(stream_id) = stream_id.as_deref().filter(|_| resumes < MAX_RESUMES)
                    else {
                        return Err(refusal);
                    };
                    resumes += 1;
                    reader.discard_partial();
                    tokio::time::sleep(RESUME_DELAY).await;
                    response = self
                        .resume(stream_id, boot.as_deref(), reader.events())
                        .await
                        .ok_or(refusal)?;
                }
            }
        }
    }

    /// Forwards events up to the last one.
    async fn forward_events(
        &self,
        response: &mut Response,
        reader: &mut EventReader,
    ) -> Result<(), Refusal> {
        loop {
            let chunk = response.chunk().await.map_err(refusal)?;
            let chunk = chunk.ok_or_else(|| may_have_run(RefusalReason::EndpointBroke))?;
            match reader.push(&chunk) {
                Progress::Invalid => return Err(may_have_run(RefusalReason::EndpointInvalid)),
                Progress::Done(events) => return self.send(Part::Chunk(events)).await,
                Progress::Events(events) if events.is_empty() => {}
                Progress::Events(events) => self.send(Part::Chunk(events)).await?,
            }
        }
    }

    /// Requests the rest of the stream from the engine; `None` if the same process does not provide
    /// it.
    async fn resume(&self, stream_id: &str, boot: Option<&str>, events: u64) -> Option<Response> {
        let offset = events.to_string();
        let headers = [
            ("x-stream-id", stream_id),
            ("x-stream-offset", offset.as_str()),
        ];
        let request = request(self.attempt, &headers).ok()?;
        let sent = self.client.send_fresh(
            self.target.address,
            request,
            self.attempt.head_timeout,
            self.attempt.idle_timeout,
        );
        let response = sent.await.ok()?;
        let resumed = response.status.is_success() && response.header("x-boot-id") == boot;
        (resumed && check_request_id(&response, self.attempt).is_ok()).then_some(response)
    }

    /// Forwards a part. If the receiver is gone, the error ends the request, and the engine cancels
    /// it.
    async fn send(&self, part: Part) -> Result<(), Refusal> {
        let sent = self.parts.send(part).await;
        sent.map_err(|_| may_have_run(RefusalReason::PeerBroke))
    }
}

/// Builds the HTTP request for `attempt`.
fn request(attempt: &Attempt, extra: &[(&str, &str)]) -> Result<http::Request<Bytes>, Refusal> {
    let mut request = http::Request::builder()
        .method(attempt.method.as_str())
        .uri(attempt.path.as_str())
        .body(attempt.body.clone())
        .map_err(|_| Refusal::not_run(RefusalReason::BadRequest, Duration::ZERO))?;
    let own = attempt
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let all = own
        .chain(extra.iter().copied())
        .chain([("x-request-id", attempt.request_id.as_str())]);
    set_headers(request.headers_mut(), all);
    Ok(request)
}

fn set_headers<'a>(map: &mut HeaderMap, headers: impl Iterator<Item = (&'a str, &'a str)>) {
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            map.insert(name, value);
        }
    }
}

/// Returns the head to forward for an endpoint's response.
fn response_head(response: &Response) -> Head {
    let headers = RETURNED_HEADERS
        .iter()
        .filter_map(|name| Some((name.to_string(), response.header(name)?.to_string())))
        .collect();
    Head {
        status: response.status.as_u16(),
        headers,
    }
}

/// Returns a refusal of a request that may have run.
fn may_have_run(reason: RefusalReason) -> Refusal {
    Refusal::may_have_run(reason, RETRY_AFTER)
}

/// Returns the refusal for a failed exchange with an endpoint.
fn refusal(error: ClientError) -> Refusal {
    let reason = match error {
        ClientError::Connect(_) => RefusalReason::NoEndpoint,
        ClientError::Invalid => RefusalReason::BadRequest,
        ClientError::Broken(_) => RefusalReason::EndpointBroke,
        ClientError::Silent(_) => RefusalReason::EndpointSilent,
        ClientError::TooLarge(..) => RefusalReason::EndpointInvalid,
    };
    let verdict = error.verdict();
    debug_assert!(verdict != Verdict::Done);
    Refusal {
        reason,
        verdict,
        retry_after: RETRY_AFTER,
    }
}
