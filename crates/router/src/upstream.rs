//! One request at one endpoint: sent once, its answer checked and passed on in parts.

use crate::response_part::{Head, Part, PartSender};
use crate::sse::{AnswerFields, EventReader, Progress, Usage};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use sequoiaridge_core::{EndpointId, Refusal, RefusalReason, Verdict};
use sequoiaridge_http::{Client, ClientError, Response};
use serde::de::IgnoredAny;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is not streamed, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// Times a broken stream is resumed at its engine.
const MAX_RESUMES: u32 = 2;
/// Pause before a broken stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a caller should come back when an endpoint broke off.
const AFTER_BREAK: Duration = Duration::from_secs(1);
/// Headers of endpoints that are passed on to callers.
const RETURNED: &[&str] = &["content-type", "x-engine-id"];

/// A request for one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// Identifies the attempt; the endpoint repeats it in its answer.
    pub(crate) request_id: String,
    /// A chat, whose answer is checked as OpenAI's format, or a call of a plain service.
    pub(crate) chat: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    /// Longest wait for the head of the answer.
    pub(crate) head: Duration,
    /// Longest pause within the answer.
    pub(crate) silence: Duration,
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
}

/// How an answer that became whole ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Finish {
    pub(crate) usage: Option<Usage>,
    /// Times the stream was resumed.
    pub(crate) resumes: u32,
}

/// Sends `work` once and passes its answer on. The last part is sent by the caller of this function,
/// which knows what else must happen before the answer counts as whole.
///
/// # Errors
///
/// The answer will not become whole; the refusal says whether the request may have run.
pub(crate) async fn run(
    client: &Client,
    target: &Target,
    work: &Work,
    parts: &PartSender,
) -> Result<Finish, Refusal> {
    let request = request(work, &[])?;
    let answer = client
        .send_fresh(target.address, request, work.head, work.silence)
        .await
        .map_err(refusal)?;
    check_refused(&answer)?;
    check_origin(&answer, work)?;
    if answer
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
    {
        return Stream {
            client,
            target,
            work,
            parts,
        }
        .run(answer)
        .await;
    }
    whole(answer, work, parts).await
}

/// An endpoint that refuses before running says so with `x-not-run`.
fn check_refused(answer: &Response) -> Result<(), Refusal> {
    let refused =
        matches!(answer.status.as_u16(), 429 | 503) && answer.header("x-not-run") == Some("1");
    if !refused {
        return Ok(());
    }
    let seconds = answer
        .header("retry-after")
        .and_then(|value| value.parse().ok())
        .unwrap_or(1);
    Err(Refusal::not_run(
        RefusalReason::EndpointRefused,
        Duration::from_secs(seconds),
    ))
}

/// An answer that names another request is not passed on, whatever it contains.
fn check_origin(answer: &Response, work: &Work) -> Result<(), Refusal> {
    match answer.header("x-request-id") {
        Some(id) if id != work.request_id => Err(broken(RefusalReason::EndpointInvalid)),
        _ => Ok(()),
    }
}

async fn whole(answer: Response, work: &Work, parts: &PartSender) -> Result<Finish, Refusal> {
    if work.chat && answer.status.is_server_error() {
        return Err(broken(RefusalReason::EndpointBroke));
    }
    let head = head_of(&answer);
    let success = answer.status.is_success();
    let json = answer
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("application/json"));
    let body = answer.bytes(MAX_ANSWER).await.map_err(refusal)?;
    // A body that is sent twice has a valid length; only its syntax shows the fault.
    if json && !body.is_empty() && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(broken(RefusalReason::EndpointInvalid));
    }
    let mut finish = Finish::default();
    if work.chat && success {
        let fields: AnswerFields =
            serde_json::from_slice(&body).map_err(|_| broken(RefusalReason::EndpointInvalid))?;
        finish.usage = fields.usage;
    }
    let _ = parts.send(Part::Head(head)).await;
    let _ = parts.send(Part::Chunk(body)).await;
    Ok(finish)
}

/// A streamed answer, which may be resumed at the same engine.
struct Stream<'a> {
    client: &'a Client,
    target: &'a Target,
    work: &'a Work,
    parts: &'a PartSender,
}

impl Stream<'_> {
    async fn run(&self, mut answer: Response) -> Result<Finish, Refusal> {
        let stream = answer.header("x-stream-id").map(str::to_string);
        let boot = answer.header("x-boot-id").map(str::to_string);
        let mut reader = EventReader::default();
        let mut resumes = 0;
        self.send(Part::Head(head_of(&answer))).await?;
        loop {
            match self.read(&mut answer, &mut reader).await {
                Ok(()) => {
                    return Ok(Finish {
                        usage: reader.usage(),
                        resumes,
                    });
                }
                Err(refusal) if refusal.reason == RefusalReason::EndpointInvalid => {
                    return Err(refusal);
                }
                Err(refusal) => {
                    let Some(stream) = stream.as_deref().filter(|_| resumes < MAX_RESUMES) else {
                        return Err(refusal);
                    };
                    resumes += 1;
                    reader.restart();
                    tokio::time::sleep(RESUME_PAUSE).await;
                    answer = self
                        .resume(stream, boot.as_deref(), reader.events())
                        .await
                        .ok_or(refusal)?;
                }
            }
        }
    }

    /// Passes events on until the last one.
    async fn read(&self, answer: &mut Response, reader: &mut EventReader) -> Result<(), Refusal> {
        loop {
            let chunk = answer.chunk().await.map_err(refusal)?;
            let chunk = chunk.ok_or_else(|| broken(RefusalReason::EndpointBroke))?;
            match reader.push(&chunk) {
                Progress::Invalid => return Err(broken(RefusalReason::EndpointInvalid)),
                Progress::Done(events) => return self.send(Part::Chunk(events)).await,
                Progress::Events(events) if events.is_empty() => {}
                Progress::Events(events) => self.send(Part::Chunk(events)).await?,
            }
        }
    }

    /// Asks the engine for the rest of the stream; `None` if the same process does not have it.
    async fn resume(&self, stream: &str, boot: Option<&str>, events: u64) -> Option<Response> {
        let offset = events.to_string();
        let headers = [
            ("x-stream-id", stream),
            ("x-stream-offset", offset.as_str()),
        ];
        let request = request(self.work, &headers).ok()?;
        let sent = self.client.send_fresh(
            self.target.address,
            request,
            self.work.head,
            self.work.silence,
        );
        let answer = sent.await.ok()?;
        let same = answer.status.is_success() && answer.header("x-boot-id") == boot;
        (same && check_origin(&answer, self.work).is_ok()).then_some(answer)
    }

    /// Passes a part on. A reader that has gone ends the request, which the engine then cancels.
    async fn send(&self, part: Part) -> Result<(), Refusal> {
        let sent = self.parts.send(part).await;
        sent.map_err(|_| broken(RefusalReason::PeerBroke))
    }
}

fn request(work: &Work, extra: &[(&str, &str)]) -> Result<http::Request<Bytes>, Refusal> {
    let mut request = http::Request::builder()
        .method(work.method.as_str())
        .uri(work.path.as_str())
        .body(work.body.clone())
        .map_err(|_| Refusal::not_run(RefusalReason::BadRequest, Duration::ZERO))?;
    let own = work
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let all = own
        .chain(extra.iter().copied())
        .chain([("x-request-id", work.request_id.as_str())]);
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

fn head_of(answer: &Response) -> Head {
    let headers = RETURNED
        .iter()
        .filter_map(|name| Some((name.to_string(), answer.header(name)?.to_string())))
        .collect();
    Head {
        status: answer.status.as_u16(),
        headers,
    }
}

fn broken(reason: RefusalReason) -> Refusal {
    Refusal::may_have_run(reason, AFTER_BREAK)
}

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
        retry_after: AFTER_BREAK,
    }
}
