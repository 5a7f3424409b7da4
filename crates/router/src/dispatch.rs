//! A call at the router that received it: ranking, the walk over owners, retries.

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
use sequoiaridge_policy::{Backoff, ClassPolicy, QuarantineState, rank_top};
use sequoiaridge_wire::{CallFrame, Header};
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// Endpoints that are ranked for a call. Of these the owner prefers the least used for a chat without
/// cached context. Copies of one request run on no others while one of them runs, so that those sent at
/// once crash at most as many endpoints as the default of `quarantine.strikes` allows.
const RANKED: usize = 3;
/// Asked this many owners, the first one is asked again and lets the call wait.
const MAX_ASKED: u8 = 3;
/// Substitutes that are tried when owners cannot be reached.
const MAX_SUBSTITUTES: usize = 2;
/// Times that a moved owner is looked for again, and the pause between.
const MAX_MOVES: u32 = 10;
const MOVE_PAUSE: Duration = Duration::from_millis(100);
/// Largest answer that is collected before it is passed on, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
const SOON: Duration = Duration::from_secs(1);

/// An answer that has begun.
pub(crate) struct Opened {
    pub(crate) head: Head,
    /// The first chunk of a stream, or the whole body.
    pub(crate) first: Bytes,
    /// The rest of a stream; `None` if the answer is whole.
    pub(crate) rest: Option<PartReceiver>,
}

/// A call that failed, with the endpoint that is not to be tried again.
struct Failure {
    refusal: Refusal,
    endpoint: Option<EndpointId>,
}

impl Failure {
    fn new(refusal: Refusal, endpoint: &EndpointId) -> Failure {
        Failure {
            refusal,
            endpoint: Some(endpoint.clone()),
        }
    }

    fn not_run(reason: RefusalReason) -> Failure {
        Failure {
            refusal: Refusal::not_run(reason, SOON),
            endpoint: None,
        }
    }
}

/// Serves a call: sends it to owners, and again where the verdict and the budget allow it.
///
/// # Errors
///
/// The final refusal.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
    id: u64,
) -> Result<Opened, Refusal> {
    let arrival = shared.now();
    let policy = ClassPolicy::from_targets(&call.targets);
    let deadline = arrival + policy.deadline;
    let mut walk = Walk {
        shared,
        call,
        id,
        deadline,
        excluded: Vec::new(),
        uncertain: false,
        suspect: false,
    };
    lock(&shared.budgets).deposit(&call.class, &call.customer);
    let mut attempts = 1;
    loop {
        let failure = match walk.run().await {
            Ok(opened) => return Ok(opened),
            Err(failure) => failure,
        };
        walk.uncertain |= failure.refusal.verdict == Verdict::MayHaveRun;
        walk.suspect |= crash::is_possible(&failure.refusal);
        let reason = retry_reason(&failure.refusal);
        let may_retry = policy.may_retry(failure.refusal.verdict, attempts);
        let (Some(reason), true) = (reason, may_retry) else {
            return Err(walk.verdict(failure.refusal));
        };
        if !walk.take_retry() {
            return Err(walk.verdict(Refusal {
                reason: RefusalReason::RetryBudget,
                ..failure.refusal
            }));
        }
        let pause = Backoff::default().delay(attempts - 1, &mut shared.rng());
        if shared.now() + pause >= deadline {
            return Err(walk.verdict(failure.refusal));
        }
        shared.count_retry(reason, id);
        attempts += 1;
        walk.excluded.extend(failure.endpoint);
        tokio::time::sleep(pause).await;
    }
}

/// Why a call that failed so may be sent again; `None` if another attempt cannot help, or if the
/// fleet refused because it is at its bounds: repeating such a call would add to the overload.
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

/// The walks of a call over owners, one for each attempt, until one of them runs the call.
struct Walk<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    id: u64,
    deadline: Duration,
    excluded: Vec<EndpointId>,
    /// Whether an earlier attempt may have run, or may still run at a router that was lost.
    uncertain: bool,
    /// Whether an endpoint may have crashed on an earlier attempt. The strike may not have reached
    /// this router or the next owner.
    suspect: bool,
}

/// The owner to ask next.
#[derive(Clone)]
struct Step {
    endpoint: EndpointId,
    next: Vec<EndpointId>,
    asked: u8,
    lookup: bool,
}

impl Walk<'_> {
    /// The refusal that the caller gets. "Not run" of the last attempt says nothing about those
    /// before it, except that a key that was used for another request never ran for this one.
    fn verdict(&self, refusal: Refusal) -> Refusal {
        let conclusive = refusal.reason == RefusalReason::KeyReused;
        let verdict = match refusal.verdict {
            Verdict::NotRun if self.uncertain && !conclusive => Verdict::MayHaveRun,
            verdict => verdict,
        };
        Refusal { verdict, ..refusal }
    }

    /// Takes one retry from the budget; `false` if it is used up.
    fn take_retry(&self) -> bool {
        lock(&self.shared.budgets).take(&self.call.class, &self.call.customer)
    }

    async fn run(&mut self) -> Result<Opened, Failure> {
        let view = self.shared.view();
        let ranked = self.rank(&view)?;
        let home = Step {
            endpoint: ranked[0].clone(),
            next: ranked[1..].to_vec(),
            asked: 0,
            lookup: false,
        };
        let mut step = home.clone();
        loop {
            match self.ask(&step).await? {
                Reply::Opened(opened) => return Ok(opened),
                Reply::Forward {
                    endpoint,
                    next,
                    lookup,
                } => {
                    step = Step {
                        endpoint,
                        next,
                        asked: step.asked + 1,
                        lookup,
                    };
                }
                Reply::Refused(refusal) => step = self.after_refusal(&home, &step, refusal)?,
            }
        }
    }

    /// Where to go after an owner refused. Owners other than the first never let a call wait, so a
    /// call that found no place elsewhere returns to the first.
    fn after_refusal(&self, home: &Step, step: &Step, refusal: Refusal) -> Result<Step, Failure> {
        let elsewhere = step.asked > 0 && step.asked < MAX_ASKED;
        if !elsewhere || refusal.verdict != Verdict::NotRun || is_final(refusal.reason) {
            return Err(Failure::new(refusal, &step.endpoint));
        }
        if step.lookup {
            return Ok(Step {
                asked: 1,
                ..home.clone()
            });
        }
        match step.next.split_first() {
            Some((first, rest)) if step.asked + 1 < MAX_ASKED => Ok(Step {
                endpoint: first.clone(),
                next: rest.to_vec(),
                asked: step.asked + 1,
                lookup: false,
            }),
            _ => Ok(Step {
                asked: MAX_ASKED,
                ..home.clone()
            }),
        }
    }

    /// The best endpoints for the call.
    fn rank(&self, view: &View) -> Result<Vec<EndpointId>, Failure> {
        let call = self.call;
        let candidates = view.candidates(&call.group);
        // Copying thousands of candidates costs more than ranking them, so it is only done for retries.
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
                // The membership list was not read yet, so nothing is known about the model.
                RefusalReason::NotReady
            } else if view.knows_group(&call.group) {
                RefusalReason::NoEndpoint
            } else {
                RefusalReason::UnknownModel
            };
            return Err(Failure::not_run(reason));
        }
        let standing = lock(&self.shared.quarantine).state(call.fingerprint, self.shared.now());
        let clear = standing == QuarantineState::Clear && !self.suspect;
        let key = match (clear, call.chat) {
            (true, Some(chat)) => chat,
            _ => hash_parts(&[b"fingerprint", &call.fingerprint.to_le_bytes()]),
        };
        let mut ranked = rank_top(
            key,
            &usable,
            if call.chat.is_some() {
                RANKED
            } else {
                usable.len()
            },
        );
        if call.chat.is_none() {
            // Services have no cache to return to, so the least used instance goes first.
            let outstanding = self.shared.outstanding();
            ranked.sort_by_key(|id| {
                let endpoint = &view.endpoints[id];
                (
                    endpoint.state != EndpointState::Up,
                    outstanding.get(id).copied(),
                )
            });
            ranked.truncate(RANKED);
        }
        Ok(ranked)
    }

    /// Asks the owner of the step's endpoint, or a substitute if the owner cannot be reached.
    async fn ask(&mut self, step: &Step) -> Result<Reply, Failure> {
        let mut unreachable: Vec<RouterId> = Vec::new();
        let mut moves = 0;
        loop {
            let view = self.shared.view();
            let Some(owner) = view.owner_without(&step.endpoint, &unreachable) else {
                return Err(Failure::not_run(RefusalReason::NoEndpoint));
            };
            let substitute = !unreachable.is_empty();
            let mut parts = self.send(&view, &owner, step, substitute);
            match self.open(&mut parts).await {
                Begun::Reply(reply) => return Ok(reply),
                Begun::Opened(head, first, whole) => {
                    let rest = (!whole).then_some(parts);
                    return Ok(Reply::Opened(Opened { head, first, rest }));
                }
                Begun::NotOwner if moves < MAX_MOVES => {
                    moves += 1;
                    self.shared.count_retry(RetryReason::OwnerMoved, self.id);
                    self.pause(MOVE_PAUSE).await?;
                }
                Begun::NotOwner => return Err(Failure::not_run(RefusalReason::PeerBroke)),
                Begun::PeerLost(refusal) => {
                    // A call under a claim may be sent again through another router: the claim
                    // lets one of them run it.
                    let safe = refusal.verdict == Verdict::NotRun
                        || self.call.idempotent()
                        || self.call.key.is_some();
                    // A request that may have reached an endpoint is sent again from the budget.
                    if !safe
                        || unreachable.len() >= MAX_SUBSTITUTES
                        || refusal.verdict != Verdict::NotRun && !self.take_retry()
                    {
                        return Err(Failure {
                            refusal,
                            endpoint: None,
                        });
                    }
                    self.uncertain |= refusal.verdict == Verdict::MayHaveRun;
                    let reason = retry_reason(&refusal).unwrap_or(RetryReason::PeerBroke);
                    self.shared.count_retry(reason, self.id);
                    unreachable.push(owner);
                }
            }
        }
    }

    async fn pause(&self, pause: Duration) -> Result<(), Failure> {
        if self.shared.now() + pause >= self.deadline {
            return Err(Failure::not_run(RefusalReason::Deadline));
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }

    fn send(&self, view: &View, owner: &RouterId, step: &Step, substitute: bool) -> PartReceiver {
        let frame = self.frame(step, substitute);
        match view.routers.get(owner) {
            Some(address) if owner != self.shared.id() => {
                remote::call(self.shared, *address, frame)
            }
            _ => execute(self.shared, frame),
        }
    }

    fn frame(&self, step: &Step, substitute: bool) -> CallFrame {
        let call = self.call;
        let header = |(name, value): &(String, String)| Header::new(name.clone(), value.clone());
        CallFrame {
            id: self.id,
            customer: call.customer.clone(),
            class: call.class.clone(),
            group: call.group.clone(),
            endpoint: step.endpoint.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.iter().map(header).collect(),
            body: call.body.clone(),
            chat: call.chat,
            key: call.key.clone(),
            fingerprint: call.fingerprint,
            remaining: self.deadline.saturating_sub(self.shared.now()),
            asked: step.asked,
            next: step.next.clone(),
            lookup: step.lookup,
            substitute,
            excluded: self.excluded.clone(),
            suspect: self.suspect,
        }
    }

    /// Reads an answer until it may be passed on: up to the first chunk of a stream, else whole.
    async fn open(&self, parts: &mut PartReceiver) -> Begun {
        let mut head = None;
        let mut body = BytesMut::new();
        while let Some(part) = parts.recv().await {
            match part {
                Part::Head(new) => head = Some(new),
                Part::Chunk(chunk) => {
                    body.extend_from_slice(&chunk);
                    if body.len() > MAX_ANSWER {
                        return Begun::refused(RefusalReason::EndpointInvalid);
                    }
                    if self.call.stream && is_event_stream(head.as_ref()) {
                        let head = head.unwrap_or_else(Head::default);
                        return Begun::Opened(head, body.freeze(), false);
                    }
                }
                Part::End => {
                    return match head {
                        Some(head) => Begun::Opened(head, body.freeze(), true),
                        None => Begun::refused(RefusalReason::EndpointInvalid),
                    };
                }
                Part::Fail(refusal) if refusal.reason == RefusalReason::PeerBroke => {
                    return Begun::PeerLost(refusal);
                }
                Part::Fail(refusal) => return Begun::Reply(Reply::Refused(refusal)),
                Part::Forward {
                    endpoint,
                    next,
                    lookup,
                } => {
                    return Begun::Reply(Reply::Forward {
                        endpoint,
                        next,
                        lookup,
                    });
                }
                Part::NotOwner => return Begun::NotOwner,
            }
        }
        Begun::refused(RefusalReason::EndpointBroke)
    }
}

/// Refusals that end an attempt: no other owner would decide differently, or an endpoint has seen
/// the request.
fn is_final(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Quarantined
            | RefusalReason::Deadline
            | RefusalReason::UnknownClass
            | RefusalReason::KeyReused
            | RefusalReason::ClaimUnavailable
            // The request reached an endpoint, so the next one is a retry and needs the budget.
            | RefusalReason::EndpointRefused
    )
}

fn is_event_stream(head: Option<&Head>) -> bool {
    let value = |head: &Head| head.header("content-type").map(str::to_string);
    head.and_then(value)
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// What an owner said.
enum Reply {
    Opened(Opened),
    Forward {
        endpoint: EndpointId,
        next: Vec<EndpointId>,
        lookup: bool,
    },
    Refused(Refusal),
}

/// How an answer began.
enum Begun {
    /// Head, first bytes, and whether that is the whole answer.
    Opened(Head, Bytes, bool),
    Reply(Reply),
    NotOwner,
    PeerLost(Refusal),
}

impl Begun {
    fn refused(reason: RefusalReason) -> Begun {
        Begun::Reply(Reply::Refused(Refusal::may_have_run(reason, SOON)))
    }
}
