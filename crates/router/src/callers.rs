//! HTTP for callers.

use crate::call::{Call, request_digest};
use crate::dispatch::{Opened, dispatch};
use crate::reply;
use crate::response_part::{Head, Part, PartReceiver};
use crate::shared::{Phase, Shared};
use bytes::Bytes;
use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
use sequoiaridge_http::{BodyError, BodySender, BodyStream, Handler, Reply, ReplyFuture, Request};
use sequoiaridge_store::KeyStatus;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Unread chunks of an answer after which its stream pauses.
const BODY_DEPTH: usize = 16;
const SOON: Duration = Duration::from_secs(1);

/// Answers callers.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, request: Request) -> ReplyFuture {
        Box::pin(async move {
            let reply = answer(&self.shared, request).await;
            // A caller that keeps its connection would stay with a router that goes away.
            match self.shared.phase() {
                Phase::Draining | Phase::Stopped => reply.with_header("connection", "close"),
                _ => reply,
            }
        })
    }
}

/// Reply to a request that breaks a limit of the server.
pub(crate) fn refuse(error: BodyError) -> Reply {
    let reason = match error {
        BodyError::TooLarge(_) => RefusalReason::TooLarge,
        BodyError::TooSlow(_) => RefusalReason::TooSlow,
        BodyError::Broken => RefusalReason::BadRequest,
    };
    reply::refused(&Refusal::not_run(reason, SOON))
}

/// Counts a call in flight for as long as it exists, so that a drain waits for it.
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

async fn answer(shared: &Arc<Shared>, request: Request) -> Reply {
    let id = shared.next_id();
    let in_flight = InFlight::new(shared);
    let arrival = shared.now();
    let call = match accept(shared, &request) {
        Ok(call) => call,
        Err(refusal) => return refused(shared, None, id, &refusal),
    };
    match dispatch(shared, &call, id).await {
        Ok(opened) => {
            shared
                .metrics
                .first_token(&call.class, shared.now().saturating_sub(arrival));
            pass_on(shared, call, id, opened, in_flight)
        }
        Err(refusal) => {
            let refusal = known_end(shared, &call, refusal).await;
            match refusal {
                Ok(opened) => pass_on(shared, call, id, opened, in_flight),
                Err(refusal) => refused(shared, Some(&call), id, &refusal),
            }
        }
    }
}

/// Checks that this router may take the call, and understands it.
fn accept(shared: &Shared, request: &Request) -> Result<Call, Refusal> {
    let refuse = |reason| Err(Refusal::not_run(reason, SOON));
    match shared.phase() {
        Phase::Starting => return refuse(RefusalReason::NotReady),
        Phase::Draining if shared.closed.load(Ordering::Relaxed) => {
            return refuse(RefusalReason::Draining);
        }
        Phase::Stopped => return refuse(RefusalReason::Draining),
        Phase::Serving | Phase::Draining => {}
    }
    if shared.isolated.load(Ordering::Relaxed) {
        return refuse(RefusalReason::Isolated);
    }
    let config = shared.config.current();
    let config = config.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady, SOON))?;
    Call::parse(request, &config, &shared.token_index)
}

/// A call under an idempotency key that was refused before its claim was looked at may have run in
/// an earlier attempt. The answer "not run" would then mislead, so the claim is read first.
async fn known_end(shared: &Shared, call: &Call, refusal: Refusal) -> Result<Opened, Refusal> {
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
        Ok(KeyStatus::Stored(answer)) => {
            return Ok(Opened {
                head: Head {
                    status: answer.status,
                    headers: answer.headers,
                },
                first: answer.body,
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

fn refused(shared: &Shared, call: Option<&Call>, id: u64, refusal: &Refusal) -> Reply {
    shared.count_refusal(refusal.reason, id);
    if let Some(call) = call {
        shared.metrics.ended(&call.class, refusal.verdict);
    }
    reply::refused(refusal)
}

/// Passes an answer on to the caller.
fn pass_on(
    shared: &Arc<Shared>,
    call: Call,
    id: u64,
    opened: Opened,
    in_flight: InFlight,
) -> Reply {
    let status = reply::status_of(&opened.head);
    let Some(rest) = opened.rest else {
        shared.metrics.ended(&call.class, Verdict::Done);
        return reply::with_head(Reply::new(status, opened.first), &opened.head);
    };
    let (sender, body) = BodyStream::new(BODY_DEPTH);
    let stream = Streaming {
        shared: shared.clone(),
        call,
        id,
        sender,
        _in_flight: in_flight,
    };
    tokio::spawn(stream.run(opened.first, rest));
    reply::with_head(Reply::stream(status, body), &opened.head)
}

/// A streamed answer on its way to the caller.
struct Streaming {
    shared: Arc<Shared>,
    call: Call,
    id: u64,
    sender: BodySender,
    _in_flight: InFlight,
}

impl Streaming {
    async fn run(self, first: Bytes, mut parts: PartReceiver) {
        let class = &self.call.class;
        let mut last = self.shared.now();
        if !self.sender.send(first).await {
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
        self.fail(&Refusal::may_have_run(RefusalReason::EndpointBroke, SOON))
            .await;
    }

    /// Ends the stream with an error event and without the end of an HTTP body.
    async fn fail(&self, refusal: &Refusal) {
        self.shared.count_refusal(refusal.reason, self.id);
        self.shared.metrics.ended(&self.call.class, refusal.verdict);
        let _ = self
            .sender
            .send(Bytes::from(reply::error_event(refusal)))
            .await;
        self.sender.fail("the answer broke off").await;
    }
}
