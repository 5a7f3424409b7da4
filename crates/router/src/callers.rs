//! HTTP server for callers.

use crate::call::{Call, request_digest};
use crate::dispatch::{StartedResponse, dispatch};
use crate::reply;
use crate::response_part::{Head, Part, PartReceiver};
use crate::shared::{Phase, Shared};
use bytes::Bytes;
use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
use sequoiaridge_http::{BodyError, BodySender, BodyStream, Handler, Reply, ReplyFuture, Request};
use sequoiaridge_policy::ClassPolicy;
use sequoiaridge_store::KeyStatus;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of chunks not yet read by the caller at which a stream pauses.
const BODY_CHANNEL_CHUNKS: usize = 16;
/// Time after which a caller should retry a call that this router cannot serve now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the requests of callers.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, request: Request) -> ReplyFuture {
        Box::pin(async move {
            let reply = handle_call(&self.shared, request).await;
            // A caller that kept its connection open would stay with a router that is about to
            // stop.
            match self.shared.phase() {
                Phase::Draining | Phase::Stopped => reply.with_header("connection", "close"),
                _ => reply,
            }
        })
    }
}

/// Returns the reply to a request whose body could not be received within the server's limits.
pub(crate) fn refuse(error: BodyError) -> Reply {
    let reason = match error {
        BodyError::TooLarge(_) => RefusalReason::TooLarge,
        BodyError::TooSlow(_) => RefusalReason::TooSlow,
        BodyError::Broken => RefusalReason::BadRequest,
    };
    reply::refusal_reply(&Refusal::not_run(reason, RETRY_AFTER))
}

/// Counts a call as in flight while it exists, so that a drain waits for the call.
struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    fn new(shared: &Arc<Shared>) -> InFlight {
        shared.metrics.in_flight.inc();
        InFlight {
            shared: shared.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.dec();
    }
}

async fn handle_call(shared: &Arc<Shared>, request: Request) -> Reply {
    let id = shared.next_id();
    let in_flight = InFlight::new(shared);
    let arrival = shared.now();
    let call = match parse_call(shared, &request) {
        Ok(call) => call,
        Err(refusal) => return refuse_call(shared, None, id, &refusal),
    };
    match dispatch(shared, &call, id).await {
        Ok(response) => {
            shared
                .metrics
                .first_token(&call.class, shared.now().saturating_sub(arrival));
            forward(shared, call, id, response, in_flight)
        }
        Err(refusal) => {
            let refusal = check_claim(shared, &call, refusal).await;
            match refusal {
                Ok(response) => forward(shared, call, id, response, in_flight),
                Err(refusal) => refuse_call(shared, Some(&call), id, &refusal),
            }
        }
    }
}

/// Checks that this router accepts calls, and parses the request.
fn parse_call(shared: &Shared, request: &Request) -> Result<Call, Refusal> {
    let refuse = |reason| Err(Refusal::not_run(reason, RETRY_AFTER));
    match shared.phase() {
        Phase::Starting => return refuse(RefusalReason::NotReady),
        Phase::Draining if shared.refuses_calls.load(Ordering::Relaxed) => {
            return refuse(RefusalReason::Draining);
        }
        Phase::Stopped => return refuse(RefusalReason::Draining),
        Phase::Serving | Phase::Draining => {}
    }
    if shared.isolated.load(Ordering::Relaxed) {
        return refuse(RefusalReason::Isolated);
    }
    let config = shared.config.current();
    let config = config.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady, RETRY_AFTER))?;
    let call = Call::parse(request, &config, &shared.token_index)?;
    let deadline = shared.now() + ClassPolicy::from_targets(&call.targets).deadline;
    if shared.drain_end.get().is_some_and(|end| deadline > *end) {
        // The drain could cut the call, while another router can serve it.
        return refuse(RefusalReason::Draining);
    }
    Ok(call)
}

/// Checks the claim of a call with an idempotency key that was refused as "not run". The call may
/// have run in an earlier attempt, if it was refused before its claim was read. In that case the
/// caller gets the stored response or the refusal that the claim implies.
///
/// # Errors
///
/// The refusal for the caller.
async fn check_claim(
    shared: &Shared,
    call: &Call,
    refusal: Refusal,
) -> Result<StartedResponse, Refusal> {
    let Some(key) = call
        .key
        .as_ref()
        .filter(|_| refusal.verdict == Verdict::NotRun)
    else {
        return Err(refusal);
    };
    if refusal.reason == RefusalReason::KeyReused {
        return Err(refusal);
    }
    let digest = request_digest(&call.method, &call.path, &call.body);
    let reason = match shared.ledger.peek(&call.customer, key, &digest).await {
        Ok(KeyStatus::Stored(stored)) => {
            return Ok(StartedResponse {
                head: Head {
                    status: stored.status,
                    headers: stored.headers,
                },
                first_chunk: stored.body,
                rest: None,
            });
        }
        Ok(KeyStatus::Claimed) => RefusalReason::KeyClaimed,
        Ok(KeyStatus::OtherRequest) => RefusalReason::KeyReused,
        Ok(KeyStatus::Absent) | Err(_) => return Err(refusal),
    };
    let verdict = match reason {
        RefusalReason::KeyClaimed => Verdict::MayHaveRun,
        _ => Verdict::NotRun,
    };
    Err(Refusal {
        reason,
        verdict,
        ..refusal
    })
}

/// Counts a refusal and returns the reply for it.
fn refuse_call(shared: &Shared, call: Option<&Call>, id: u64, refusal: &Refusal) -> Reply {
    shared.count_refusal(refusal.reason, id);
    if let Some(call) = call {
        shared.metrics.ended(&call.class, refusal.verdict);
    }
    reply::refusal_reply(refusal)
}

/// Forwards a response to the caller. The rest of a stream is forwarded in the background.
fn forward(
    shared: &Arc<Shared>,
    call: Call,
    id: u64,
    response: StartedResponse,
    in_flight: InFlight,
) -> Reply {
    let status = reply::response_status(&response.head);
    let Some(rest) = response.rest else {
        shared.metrics.ended(&call.class, Verdict::Done);
        return reply::with_head(Reply::new(status, response.first_chunk), &response.head);
    };
    let (sender, body) = BodyStream::new(BODY_CHANNEL_CHUNKS);
    let stream = StreamedReply {
        shared: shared.clone(),
        call,
        id,
        sender,
        _in_flight: in_flight,
    };
    tokio::spawn(stream.run(response.first_chunk, rest));
    reply::with_head(Reply::stream(status, body), &response.head)
}

/// A streamed response that is being forwarded to the caller.
struct StreamedReply {
    shared: Arc<Shared>,
    call: Call,
    id: u64,
    sender: BodySender,
    _in_flight: InFlight,
}

impl StreamedReply {
    async fn run(self, first_chunk: Bytes, mut parts: PartReceiver) {
        let class = &self.call.class;
        let mut last = self.shared.now();
        if !self.sender.send(first_chunk).await {
            return;
        }
        while let Some(part) = parts.recv().await {
            match part {
                Part::Chunk(chunk) => {
                    let now = self.shared.now();
                    self.shared
                        .metrics
                        .between_tokens(class, now.saturating_sub(last));
                    last = now;
                    if !self.sender.send(chunk).await {
                        return;
                    }
                }
                Part::End => return self.shared.metrics.ended(class, Verdict::Done),
                Part::Fail(refusal) => return self.fail(&refusal).await,
                Part::Head(_) | Part::Forward { .. } | Part::NotOwner => break,
            }
        }
        self.fail(&Refusal::may_have_run(
            RefusalReason::EndpointBroke,
            RETRY_AFTER,
        ))
        .await;
    }

    /// Ends the stream with an error event, and aborts the HTTP body so that it does not look
    /// complete.
    async fn fail(&self, refusal: &Refusal) {
        self.shared.count_refusal(refusal.reason, self.id);
        self.shared.metrics.ended(&self.call.class, refusal.verdict);
        let _ = self
            .sender
            .send(Bytes::from(reply::error_event(refusal)))
            .await;
        self.sender
            .fail("response ended before it was complete")
            .await;
    }
}
