//! A call at the router that owns the endpoint: admission, claim, one run, its end.

use crate::admission::{Admission, Slot, admit};
use crate::call::request_digest;
use crate::response_part::{Part, PartReceiver, PartSender, channel};
use crate::shared::{Shared, lock};
use crate::turns::{self, Turn};
use crate::upstream::{self, Finish, Target, Work};
use crate::{crash, probes};
use sequoiaridge_core::{EndpointId, Event, Refusal, RefusalReason, Targets, Verdict};
use sequoiaridge_log as event;
use sequoiaridge_policy::{Call, ClassPolicy, QuarantineState};
use sequoiaridge_store::{Claim, HeldClaim, StoredResponse};
use sequoiaridge_wire::{CallFrame, TurnRequest};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller should come back when the router cannot serve the call now.
const SOON: Duration = Duration::from_secs(1);
/// A head that takes this many times the first-token target is not waited for.
const HEAD_FACTOR: u32 = 10;
/// A pause of this many times the target between tokens ends a stream.
const SILENCE_FACTOR: f64 = 50.0;
/// Shortest bounds on the wait for a head and on a pause, whatever the targets.
const MIN_WAIT: Duration = Duration::from_secs(2);

/// Longest wait for the release of a claim before "not run" is answered; as long as one request to
/// the platform may take.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// Bytes of a request that count as one more unit of work.
const COST_BYTES: usize = 4096;

/// Runs a call here. Dropping the receiver cancels a call that may be repeated; one that must not be
/// repeated runs on once it was sent to the endpoint, so that its answer can be stored.
pub(crate) fn execute(shared: &Arc<Shared>, frame: CallFrame) -> PartReceiver {
    let (parts, receiver) = channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let gone = parts.clone();
        let keyed = frame.key.is_some();
        let execution = Execution::new(shared, frame, parts);
        tokio::select! {
            () = execution.run() => {}
            () = gone.closed(), if !keyed => {}
        }
    });
    receiver
}

struct Execution {
    shared: Arc<Shared>,
    frame: CallFrame,
    parts: PartSender,
    arrival: Duration,
}

impl Execution {
    fn new(shared: Arc<Shared>, frame: CallFrame, parts: PartSender) -> Execution {
        let arrival = shared.now();
        Execution {
            shared,
            frame,
            parts,
            arrival,
        }
    }

    async fn run(self) {
        let placed = self.place().await;
        let part = match placed {
            Ok((Admission::Run(slot), _turn)) => self.serve(slot).await,
            Ok((
                Admission::Forward {
                    endpoint,
                    next,
                    lookup,
                },
                _,
            )) => {
                self.note_forward(&endpoint, lookup);
                Part::Forward {
                    endpoint,
                    next,
                    lookup,
                }
            }
            Ok((Admission::Refused(refusal), _)) | Err(Ending::Refused(refusal)) => {
                Part::Fail(refusal)
            }
            Ok((Admission::Moved, _)) | Err(Ending::NotOwner) => Part::NotOwner,
        };
        let _ = self.parts.send(part).await;
    }

    fn deadline(&self) -> Duration {
        self.arrival + self.frame.remaining
    }

    /// Checks that this router is to run the call, and finds a place for it. A suspect gets its turn
    /// first, which lasts for as long as the returned [`Turn`].
    async fn place(&self) -> Result<(Admission, Option<Turn>), Ending> {
        let targets = self.targets()?;
        let needs_turn = self.check_quarantine()? || self.frame.suspect;
        self.check_owner().await?;
        if !needs_turn {
            let admission = self.admit(&targets, false).await;
            // The request may have crashed an endpoint while this call waited. It needs a turn then,
            // and gives its place back first, because a suspect does not run beside a copy of itself.
            if !matches!(admission, Admission::Run(_)) || !self.check_quarantine()? {
                return Ok((admission, None));
            }
        }
        let turn = self.turn(&targets).await?;
        let suspect = self.check_quarantine()?;
        let admission = self.admit(&targets, suspect).await;
        self.check_quarantine()?;
        Ok((admission, Some(turn)))
    }

    /// Waits for the turn to run a copy of a suspect.
    async fn turn(&self, targets: &Targets) -> Result<Turn, Ending> {
        let policy = ClassPolicy::from_targets(targets);
        let request = TurnRequest {
            fingerprint: self.frame.fingerprint,
            wait: policy.allowed_wait.min(self.frame.remaining),
            hold: self.frame.remaining,
        };
        turns::take(&self.shared, request)
            .await
            .map_err(Ending::Refused)
    }

    async fn admit(&self, targets: &Targets, suspect: bool) -> Admission {
        let call = self.call(targets, suspect);
        let mut candidates = vec![self.frame.endpoint.clone()];
        candidates.extend(self.frame.next.iter().cloned());
        candidates.retain(|id| !self.frame.excluded.contains(id));
        let asked = u32::from(self.frame.asked);
        admit(&self.shared, &call, &candidates, asked).await
    }

    fn targets(&self) -> Result<Targets, Ending> {
        let config = self.shared.config.current();
        let class = config
            .as_ref()
            .and_then(|config| config.classes.get(&self.frame.class));
        class
            .map(|class| class.targets.clone())
            .ok_or_else(|| Ending::Refused(Refusal::not_run(RefusalReason::UnknownClass, SOON)))
    }

    /// Whether the call is known as a suspect here.
    ///
    /// # Errors
    ///
    /// The refusal of a request that is held back.
    fn check_quarantine(&self) -> Result<bool, Ending> {
        let now = self.shared.now();
        let state = lock(&self.shared.quarantine).state(self.frame.fingerprint, now);
        match state {
            QuarantineState::Clear => Ok(false),
            QuarantineState::Suspect => Ok(true),
            QuarantineState::Held { retry_after } => Err(Ending::Refused(Refusal::not_run(
                RefusalReason::Quarantined,
                retry_after,
            ))),
        }
    }

    async fn check_owner(&self) -> Result<(), Ending> {
        let view = self.shared.view();
        let Some(endpoint) = view.endpoints.get(&self.frame.endpoint) else {
            return Err(Ending::NotOwner);
        };
        if &endpoint.owner == self.shared.id() {
            probes::ensure_probed(&self.shared, &endpoint.member).await;
            return Ok(());
        }
        if !self.frame.substitute {
            return Err(Ending::NotOwner);
        }
        probes::adopt(&self.shared, &endpoint.member).await;
        Ok(())
    }

    fn call(&self, targets: &Targets, suspect: bool) -> Call {
        Call {
            ticket: self.shared.next_id(),
            customer: self.frame.customer.clone(),
            class: self.frame.class.clone(),
            policy: ClassPolicy::from_targets(targets),
            group: self.frame.group.clone(),
            cost: cost(self.frame.body.len()),
            chat: self.frame.chat,
            fingerprint: self.frame.fingerprint,
            suspect,
            cached_only: self.frame.lookup,
            arrival: self.arrival,
            deadline: self.deadline(),
        }
    }

    /// Remembers where a displaced chat goes, so that its next turn goes there as well.
    fn note_forward(&self, endpoint: &EndpointId, lookup: bool) {
        if let Some(chat) = self.frame.chat.filter(|_| !lookup) {
            lock(&self.shared.owner).record_chat(chat, endpoint, self.shared.now());
        }
    }

    /// Runs the admitted call and returns the last part of its answer.
    async fn serve(&self, slot: Slot) -> Part {
        let Some(endpoint) = self.shared.view().endpoints.get(slot.endpoint()).cloned() else {
            return Part::Fail(Refusal::not_run(RefusalReason::NoEndpoint, SOON));
        };
        let target = Target {
            id: slot.endpoint().clone(),
            address: endpoint.member.address,
        };
        if self.frame.key.is_none() || endpoint.member.deduplicates {
            return last_part(self.dispatch(&target, &self.parts).await.map(drop));
        }
        match self.claim().await {
            Ok(Claim::Held(claim)) => self.serve_claimed(claim, &target).await,
            Ok(Claim::Stored(answer)) => self.replay(answer).await,
            Err(refusal) => Part::Fail(refusal),
        }
    }

    async fn claim(&self) -> Result<Claim, Refusal> {
        let key = self.frame.key.clone().unwrap_or_default();
        let frame = &self.frame;
        let digest = request_digest(&frame.method, &frame.path, &frame.body);
        self.shared
            .ledger
            .claim(&self.frame.customer, &key, digest, self.claim_end())
            .await
    }

    /// Time until which a claim is tried. In an outage of the platform the caller gets its final
    /// answer then, and not only at the deadline.
    fn claim_end(&self) -> Duration {
        let first_token = self
            .targets()
            .map_or(Duration::ZERO, |targets| targets.first_token());
        let wait = first_token.max(self.shared.settings.platform.timeout * 2);
        self.deadline().min(self.arrival + wait)
    }

    /// Runs the call once under its claim. The answer is collected before it is passed on, because
    /// it is stored whole.
    async fn serve_claimed(&self, claim: HeldClaim, target: &Target) -> Part {
        let ledger = &self.shared.ledger;
        // The router that sent the call may have given it up while this one was paused; its caller then
        // repeats the key elsewhere.
        if !ledger.may_dispatch(&claim) || self.parts.is_closed() {
            self.release(claim).await;
            return Part::Fail(Refusal::not_run(RefusalReason::Deadline, SOON));
        }
        let (parts, receiver) = channel();
        let collector = tokio::spawn(collect(receiver));
        let result = self.dispatch(target, &parts).await;
        drop(parts);
        let answer = collector.await.ok().flatten();
        match (result, answer) {
            (Ok(_), Some(answer)) => {
                self.store(claim, answer.clone());
                self.replay(answer).await
            }
            (Err(refusal), _) if refusal.verdict == Verdict::NotRun => {
                self.release(claim).await;
                Part::Fail(refusal)
            }
            (Err(refusal), _) => Part::Fail(refusal),
            (Ok(_), None) => {
                Part::Fail(Refusal::may_have_run(RefusalReason::EndpointInvalid, SOON))
            }
        }
    }

    /// Gives the claim up before "not run" is answered: a retry, or the caller's next attempt, would
    /// otherwise find the row and be told that the call may have run. If the platform does not answer
    /// in time, the release goes on in the background.
    async fn release(&self, claim: HeldClaim) {
        let id = self.frame.id;
        let mut released = self.shared.ledger.release(claim);
        if tokio::time::timeout(RELEASE_WAIT, &mut released)
            .await
            .is_err()
        {
            tokio::spawn(async move { note_release(id, released.await.unwrap_or(false)) });
        }
    }

    /// Stores the answer in the background; until then, repeated calls get "may have run".
    fn store(&self, claim: HeldClaim, answer: StoredResponse) {
        let stored = self.shared.ledger.store(claim, answer);
        let id = self.frame.id;
        tokio::spawn(async move {
            if !stored.await.unwrap_or(false) {
                event::log(Event::AnswerNotStored, &format!("call {id}"));
            }
        });
    }

    async fn replay(&self, answer: StoredResponse) -> Part {
        let head = crate::response_part::Head {
            status: answer.status,
            headers: answer.headers,
        };
        let _ = self.parts.send(Part::Head(head)).await;
        let _ = self.parts.send(Part::Chunk(answer.body)).await;
        Part::End
    }

    /// Sends the call to the endpoint, once, and learns from how it ended.
    async fn dispatch(&self, target: &Target, parts: &PartSender) -> Result<Finish, Refusal> {
        let now = self.shared.now();
        if now >= self.deadline() {
            return Err(Refusal::not_run(RefusalReason::Deadline, SOON));
        }
        let left = self.deadline() - now;
        let work = self.work(left);
        let boot = probes::boot_of(&self.shared, &target.id);
        self.shared.metrics.attempts.inc();
        let run = upstream::run(&self.shared.client, target, &work, parts);
        let result = tokio::time::timeout(left, run)
            .await
            .unwrap_or_else(|_| Err(Refusal::may_have_run(RefusalReason::Deadline, SOON)));
        match &result {
            Ok(finish) => self.finished(finish),
            Err(refusal) => {
                if refusal.reason == RefusalReason::EndpointInvalid {
                    event::log(Event::EndpointInvalid, &target.id);
                }
                crash::after_failure(&self.shared, &self.frame, target, boot, refusal).await
            }
        }
        result
    }

    fn finished(&self, finish: &Finish) {
        let metrics = &self.shared.metrics;
        if let Some(usage) = finish.usage {
            metrics.prompt_tokens.inc_by(usage.prompt_tokens);
            metrics.cached_tokens.inc_by(usage.cached_tokens());
        }
        for _ in 0..finish.resumes {
            self.shared
                .count_retry(sequoiaridge_core::RetryReason::StreamResumed, self.frame.id);
        }
        crash::clear(&self.shared, self.frame.fingerprint);
    }

    fn work(&self, left: Duration) -> Work {
        let targets = self.targets().unwrap_or_else(|_| Targets::default());
        let policy = ClassPolicy::from_targets(&targets);
        let chat = self.frame.chat.is_some();
        let silence =
            Duration::from_secs_f64(targets.between_tokens * SILENCE_FACTOR).max(MIN_WAIT);
        let head = (targets.first_token() * HEAD_FACTOR).max(MIN_WAIT);
        let mut headers: Vec<(String, String)> = self
            .frame
            .headers
            .iter()
            .map(|header| {
                (
                    header.name.clone(),
                    String::from_utf8_lossy(&header.value).into_owned(),
                )
            })
            .collect();
        headers.push(("x-priority".to_string(), policy.engine_priority.to_string()));
        headers.extend(
            self.frame
                .key
                .clone()
                .map(|key| ("idempotency-key".to_string(), key)),
        );
        Work {
            request_id: format!(
                "{}-{}-{}",
                self.shared.id(),
                self.shared.incarnation,
                self.shared.next_id()
            ),
            chat,
            method: self.frame.method.clone(),
            path: self.frame.path.clone(),
            headers,
            body: self.frame.body.clone(),
            // A plain service answers in one piece, so only the deadline bounds the wait.
            head: if chat { head.min(left) } else { left },
            silence: silence.min(left),
        }
    }
}

/// Why a call was not even placed.
#[derive(Debug)]
enum Ending {
    Refused(Refusal),
    NotOwner,
}

/// Logs a claim that could not be released in the background either.
fn note_release(call: u64, released: bool) {
    if !released {
        event::log(Event::ClaimUnresolved, &format!("call {call}"));
    }
}

/// Work of a call for the fair queue: longer requests take an engine longer.
fn cost(body: usize) -> u32 {
    u32::try_from(1 + body / COST_BYTES).unwrap_or(u32::MAX)
}

fn last_part(result: Result<(), Refusal>) -> Part {
    result.map_or_else(Part::Fail, |()| Part::End)
}

/// Gathers a whole answer; `None` if it has no head.
async fn collect(mut parts: PartReceiver) -> Option<StoredResponse> {
    let mut answer: Option<StoredResponse> = None;
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head(head) => {
                let body = bytes::Bytes::new();
                answer = Some(StoredResponse {
                    status: head.status,
                    headers: head.headers,
                    body,
                });
            }
            Part::Chunk(chunk) => {
                if let Some(answer) = &mut answer {
                    let mut body = Vec::from(std::mem::take(&mut answer.body));
                    body.extend_from_slice(&chunk);
                    answer.body = body.into();
                }
            }
            _ => {}
        }
    }
    answer
}
