//! Dispatch of a call at the router that received it: ranking endpoints, asking their owners,
//! retries.

use crate::call::Call;
use crate::crash;
use crate::execute::execute;
use crate::remote;
use crate::response_part::{Head, Part, PartReceiver};
use crate::shared::{Shared, lock};
use crate::view::View;
use bytes::{Bytes, BytesMut};
use sequoiaridge_core::{
    EndpointId, Refusal, RefusalReason, RetryReason, RouterId, Verdict, hash_parts,
};
use sequoiaridge_membership::EndpointState;
use sequoiaridge_policy::{Backoff, ClassPolicy, QuarantineState, Suspect, rank_top};
use sequoiaridge_wire::{CallFrame, Header};
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of endpoints ranked for a call. Of these, the owner prefers the least utilized
/// for a chat without cached context. While a copy of a request runs, other copies run on no other
/// endpoints than these, so that copies sent at once crash at most as many endpoints as the default
/// of `quarantine.strikes` allows.
const MAX_RANKED: usize = 3;
/// Number of owners asked in one attempt before the first one is asked again, which then queues the
/// call.
const MAX_OWNERS_ASKED: u8 = 3;
/// Maximum number of substitutes asked in place of an owner that cannot be reached.
const MAX_SUBSTITUTES: usize = 2;
/// Maximum number of times the owner is looked up again after a router replied that it is not the
/// owner.
const MAX_OWNER_MOVES: u32 = 10;
/// Delay before the owner is looked up again.
const OWNER_MOVE_DELAY: Duration = Duration::from_millis(100);
/// Maximum size in bytes of a response body that is collected before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a caller should retry a call that failed here.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response whose head and first bytes have been received.
pub(crate) struct StartedResponse {
    pub(crate) head: Head,
    /// The first chunk of a stream, or the whole body.
    pub(crate) first_chunk: Bytes,
    /// The rest of a stream; `None` if `first_chunk` is the whole body.
    pub(crate) rest: Option<PartReceiver>,
}

/// A failed attempt, with the endpoint that later attempts are to avoid.
struct AttemptFailure {
    refusal: Refusal,
    endpoint: Option<EndpointId>,
}

impl AttemptFailure {
    fn new(refusal: Refusal, endpoint: &EndpointId) -> AttemptFailure {
        AttemptFailure {
            refusal,
            endpoint: Some(endpoint.clone()),
        }
    }

    fn not_run(reason: RefusalReason) -> AttemptFailure {
        AttemptFailure {
            refusal: Refusal::not_run(reason, RETRY_AFTER),
            endpoint: None,
        }
    }
}

/// Sends a call to owners of endpoints, and retries it where the verdict and the retry budget allow
/// it.
///
/// # Errors
///
/// The refusal for the caller, after the last attempt.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
    id: u64,
) -> Result<StartedResponse, Refusal> {
    let arrival = shared.now();
    let policy = ClassPolicy::from_targets(&call.targets);
    let deadline = arrival + policy.deadline;
    let mut state = Dispatch {
        shared,
        call,
        id,
        deadline,
        excluded: Vec::new(),
        may_have_run: false,
        suspect: false,
    };
    lock(&shared.retry_budget).deposit(&call.class, &call.customer);
    let mut attempts = 1;
    loop {
        let failure = match state.attempt().await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        state.may_have_run |= failure.refusal.verdict == Verdict::MayHaveRun;
        state.suspect |= crash::may_have_crashed(&failure.refusal);
        let reason = retry_reason(&failure.refusal);
        let may_retry = policy.may_retry(failure.refusal.verdict, attempts);
        let (Some(reason), true) = (reason, may_retry) else {
            return Err(state.final_refusal(failure.refusal));
        };
        if !state.spend_retry() {
            return Err(state.final_refusal(Refusal {
                reason: RefusalReason::RetryBudget,
                ..failure.refusal
            }));
        }
        let delay = Backoff::default().delay(attempts - 1, &mut shared.rng());
        if shared.now() + delay >= deadline {
            return Err(state.final_refusal(failure.refusal));
        }
        shared.count_retry(reason, id);
        attempts += 1;
        state.excluded.extend(failure.endpoint);
        tokio::time::sleep(delay).await;
    }
}

/// Reason under which a call with this refusal is retried. `None` if another attempt cannot help,
/// or if the fleet refused because it is at its bounds: a retry would add to the overload.
fn retry_reason(refusal: &Refusal) -> Option<RetryReason> {
    match (refusal.reason, refusal.verdict) {
        (RefusalReason::NoEndpoint, _) => Some(RetryReason::ConnectFailed),
        (RefusalReason::EndpointRefused, _) => Some(RetryReason::EndpointRefused),
        (RefusalReason::EndpointBroke | RefusalReason::EndpointInvalid, _) => {
            Some(RetryReason::EndpointBroke)
        }
        (RefusalReason::EndpointSilent, _) => Some(RetryReason::EndpointSilent),
        (RefusalReason::PeerBroke, Verdict::NotRun) => Some(RetryReason::PeerUnreachable),
        (RefusalReason::PeerBroke, _) => Some(RetryReason::PeerBroke),
        _ => None,
    }
}

/// State of one call across its attempts. Each attempt asks owners until one of them runs the call.
struct Dispatch<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    id: u64,
    deadline: Duration,
    excluded: Vec<EndpointId>,
    /// Whether an earlier attempt may have run, or may still run at a router whose connection
    /// broke.
    may_have_run: bool,
    /// Whether an endpoint may have crashed on an earlier attempt. Sent with the call, because the
    /// strike may not have reached this router or the next owner yet.
    suspect: bool,
}

/// One request to the owner of an endpoint within an attempt.
#[derive(Clone)]
struct Hop {
    endpoint: EndpointId,
    /// Candidates after `endpoint`, best first.
    next: Vec<EndpointId>,
    /// Number of owners asked before this one in the attempt.
    asked: u8,
    /// The owner is to run the call only if its index holds the chat.
    cached_only: bool,
}

impl Dispatch<'_> {
    /// Returns the refusal for the caller. The verdict "not run" of the last attempt says nothing
    /// about earlier attempts, which may have run. `KeyReused` is the exception: if the key was
    /// used for another request, it never ran for this one.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        let conclusive = refusal.reason == RefusalReason::KeyReused;
        let verdict = match refusal.verdict {
            Verdict::NotRun if self.may_have_run && !conclusive => Verdict::MayHaveRun,
            verdict => verdict,
        };
        Refusal { verdict, ..refusal }
    }

    /// Takes one retry from the budget. Returns `false` if the budget is used up.
    fn spend_retry(&self) -> bool {
        lock(&self.shared.retry_budget).take(&self.call.class, &self.call.customer)
    }

    async fn attempt(&mut self) -> Result<StartedResponse, AttemptFailure> {
        let view = self.shared.view();
        let ranked = self.rank(&view)?;
        let first_hop = Hop {
            endpoint: ranked[0].clone(),
            next: ranked[1..].to_vec(),
            asked: 0,
            cached_only: false,
        };
        let mut hop = first_hop.clone();
        loop {
            match self.ask_owner(&hop).await? {
                OwnerReply::Started(response) => return Ok(response),
                OwnerReply::Forward {
                    endpoint,
                    next,
                    cached_only,
                } => {
                    hop = Hop {
                        endpoint,
                        next,
                        asked: hop.asked + 1,
                        cached_only,
                    };
                }
                OwnerReply::Refused(refusal) => hop = self.next_hop(&first_hop, &hop, refusal)?,
            }
        }
    }

    /// Chooses the next owner after one refused. Owners other than the first never queue a call, so
    /// a call that no other owner admitted returns to the first.
    ///
    /// # Errors
    ///
    /// The refusal ends the attempt.
    fn next_hop(
        &self,
        first_hop: &Hop,
        hop: &Hop,
        refusal: Refusal,
    ) -> Result<Hop, AttemptFailure> {
        let elsewhere = hop.asked > 0 && hop.asked < MAX_OWNERS_ASKED;
        if !elsewhere || refusal.verdict != Verdict::NotRun || ends_attempt(refusal.reason) {
            return Err(AttemptFailure::new(refusal, &hop.endpoint));
        }
        if hop.cached_only {
            return Ok(Hop {
                asked: 1,
                ..first_hop.clone()
            });
        }
        match hop.next.split_first() {
            Some((first, rest)) if hop.asked + 1 < MAX_OWNERS_ASKED => Ok(Hop {
                endpoint: first.clone(),
                next: rest.to_vec(),
                asked: hop.asked + 1,
                cached_only: false,
            }),
            _ => Ok(Hop {
                asked: MAX_OWNERS_ASKED,
                ..first_hop.clone()
            }),
        }
    }

    /// Ranks the endpoints that can serve the call, best first.
    ///
    /// # Errors
    ///
    /// No endpoint is available.
    fn rank(&self, view: &View) -> Result<Vec<EndpointId>, AttemptFailure> {
        let call = self.call;
        let candidates = view.candidates(&call.group);
        // Copying thousands of candidates costs more than ranking them, so only retries copy.
        let mut usable = Cow::Borrowed(candidates);
        if !self.excluded.is_empty() {
            let others = candidates
                .iter()
                .filter(|c| !self.excluded.contains(c.id()));
            let others: Vec<_> = others.cloned().collect();
            if !others.is_empty() {
                usable = Cow::Owned(others);
            }
        }
        if usable.is_empty() {
            let reason = if view.endpoints.is_empty() {
                // The membership list has not been read yet, so the model may exist.
                RefusalReason::NotReady
            } else if view.knows_group(&call.group) {
                RefusalReason::NoEndpoint
            } else {
                RefusalReason::UnknownModel
            };
            return Err(AttemptFailure::not_run(reason));
        }
        let state = lock(&self.shared.quarantine)
            .state(Suspect::Request(call.fingerprint), self.shared.now());
        let clear = state == QuarantineState::Clear && !self.suspect;
        let key = match (clear, call.chat) {
            (true, Some(chat)) => chat,
            _ => hash_parts(&[b"fingerprint", &call.fingerprint.to_le_bytes()]),
        };
        let mut ranked = rank_top(
            key,
            &usable,
            if call.chat.is_some() {
                MAX_RANKED
            } else {
                usable.len()
            },
        );
        if call.chat.is_none() {
            // Services cache no context, so the endpoint with the least outstanding work ranks
            // first.
            let outstanding = self.shared.outstanding();
            ranked.sort_by_key(|id| {
                let endpoint = &view.endpoints[id];
                (
                    endpoint.state != EndpointState::Up,
                    outstanding.get(id).copied(),
                )
            });
            ranked.truncate(MAX_RANKED);
        }
        Ok(ranked)
    }

    /// Asks the owner of the hop's endpoint, or a substitute if the owner cannot be reached.
    async fn ask_owner(&mut self, hop: &Hop) -> Result<OwnerReply, AttemptFailure> {
        let mut unreachable: Vec<RouterId> = Vec::new();
        let mut moves = 0;
        loop {
            let view = self.shared.view();
            let Some(owner) = view.owner_without(&hop.endpoint, &unreachable) else {
                return Err(AttemptFailure::not_run(RefusalReason::NoEndpoint));
            };
            let substitute = !unreachable.is_empty();
            let mut parts = self.send(&view, &owner, hop, substitute);
            match self.read_start(&mut parts).await {
                ResponseStart::Reply(reply) => return Ok(reply),
                ResponseStart::Started(head, first_chunk, whole) => {
                    let rest = (!whole).then_some(parts);
                    return Ok(OwnerReply::Started(StartedResponse {
                        head,
                        first_chunk,
                        rest,
                    }));
                }
                ResponseStart::NotOwner if moves < MAX_OWNER_MOVES => {
                    moves += 1;
                    self.shared.count_retry(RetryReason::OwnerMoved, self.id);
                    self.sleep(OWNER_MOVE_DELAY).await?;
                }
                ResponseStart::NotOwner => {
                    return Err(AttemptFailure::not_run(RefusalReason::PeerBroke));
                }
                ResponseStart::PeerLost(refusal) => {
                    // A call with an idempotency key may be sent through another router: its claim
                    // lets only one of them run it.
                    let safe = refusal.verdict == Verdict::NotRun
                        || self.call.idempotent()
                        || self.call.key.is_some();
                    // Resending a request that may have reached an endpoint uses the retry budget.
                    if !safe
                        || unreachable.len() >= MAX_SUBSTITUTES
                        || refusal.verdict != Verdict::NotRun && !self.spend_retry()
                    {
                        return Err(AttemptFailure {
                            refusal,
                            endpoint: None,
                        });
                    }
                    self.may_have_run |= refusal.verdict == Verdict::MayHaveRun;
                    let reason = retry_reason(&refusal).unwrap_or(RetryReason::PeerBroke);
                    self.shared.count_retry(reason, self.id);
                    unreachable.push(owner);
                }
            }
        }
    }

    /// Sleeps, unless the deadline would pass meanwhile.
    async fn sleep(&self, delay: Duration) -> Result<(), AttemptFailure> {
        if self.shared.now() + delay >= self.deadline {
            return Err(AttemptFailure::not_run(RefusalReason::Deadline));
        }
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn send(&self, view: &View, owner: &RouterId, hop: &Hop, substitute: bool) -> PartReceiver {
        let frame = self.frame(hop, substitute);
        match view.routers.get(owner) {
            Some(address) if owner != self.shared.id() => {
                remote::call(self.shared, *address, frame)
            }
            _ => execute(self.shared, frame),
        }
    }

    fn frame(&self, hop: &Hop, substitute: bool) -> CallFrame {
        let call = self.call;
        let header = |(name, value): &(String, String)| Header::new(name.clone(), value.clone());
        CallFrame {
            id: self.id,
            customer: call.customer.clone(),
            class: call.class.clone(),
            group: call.group.clone(),
            endpoint: hop.endpoint.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.iter().map(header).collect(),
            body: call.body.clone(),
            chat: call.chat,
            key: call.key.clone(),
            fingerprint: call.fingerprint,
            remaining: self.deadline.saturating_sub(self.shared.now()),
            asked: hop.asked,
            next: hop.next.clone(),
            lookup: hop.cached_only,
            substitute,
            excluded: self.excluded.clone(),
            suspect: self.suspect,
        }
    }

    /// Reads a response until it can be forwarded: up to the first chunk of a stream, otherwise to
    /// its end.
    async fn read_start(&self, parts: &mut PartReceiver) -> ResponseStart {
        let mut head = None;
        let mut body = BytesMut::new();
        while let Some(part) = parts.recv().await {
            match part {
                Part::Head(new) => head = Some(new),
                Part::Chunk(chunk) => {
                    body.extend_from_slice(&chunk);
                    if body.len() > MAX_RESPONSE_BYTES {
                        return ResponseStart::refused(RefusalReason::EndpointInvalid);
                    }
                    if self.call.stream && is_event_stream(head.as_ref()) {
                        let head = head.unwrap_or_else(Head::default);
                        return ResponseStart::Started(head, body.freeze(), false);
                    }
                }
                Part::End => {
                    return match head {
                        Some(head) => ResponseStart::Started(head, body.freeze(), true),
                        None => ResponseStart::refused(RefusalReason::EndpointInvalid),
                    };
                }
                Part::Fail(refusal) if refusal.reason == RefusalReason::PeerBroke => {
                    return ResponseStart::PeerLost(refusal);
                }
                Part::Fail(refusal) => {
                    return ResponseStart::Reply(OwnerReply::Refused(refusal));
                }
                Part::Forward {
                    endpoint,
                    next,
                    cached_only,
                } => {
                    return ResponseStart::Reply(OwnerReply::Forward {
                        endpoint,
                        next,
                        cached_only,
                    });
                }
                Part::NotOwner => return ResponseStart::NotOwner,
            }
        }
        ResponseStart::refused(RefusalReason::EndpointBroke)
    }
}

/// Whether a refusal ends the attempt: no other owner would decide differently, or an endpoint has
/// received the request.
fn ends_attempt(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Quarantined
            | RefusalReason::Deadline
            | RefusalReason::UnknownClass
            | RefusalReason::KeyReused
            | RefusalReason::ClaimUnavailable
            // The request reached an endpoint, so sending it to another one is a retry and uses the
            // budget.
            | RefusalReason::EndpointRefused
    )
}

fn is_event_stream(head: Option<&Head>) -> bool {
    let value = |head: &Head| head.header("content-type").map(str::to_string);
    head.and_then(value)
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Reply of an owner to a call.
enum OwnerReply {
    Started(StartedResponse),
    Forward {
        endpoint: EndpointId,
        next: Vec<EndpointId>,
        cached_only: bool,
    },
    Refused(Refusal),
}

/// Result of reading the start of a response from an owner.
enum ResponseStart {
    /// Head, first bytes of the body, and whether these are the whole body.
    Started(Head, Bytes, bool),
    Reply(OwnerReply),
    /// The router does not own the endpoint.
    NotOwner,
    /// The connection to the owner failed.
    PeerLost(Refusal),
}

impl ResponseStart {
    fn refused(reason: RefusalReason) -> ResponseStart {
        ResponseStart::Reply(OwnerReply::Refused(Refusal::may_have_run(
            reason,
            RETRY_AFTER,
        )))
    }
}
