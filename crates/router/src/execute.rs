//! Execution of a call at the router that owns the endpoint: admission, claim and one run.

use crate::admission::{Admission, Slot, admit};
use crate::call::request_digest;
use crate::response_part::{Part, PartReceiver, PartSender, channel};
use crate::shared::{Shared, lock};
use crate::turns::{self, Turn};
use crate::upstream::{self, Attempt, Completion, Target};
use crate::{crash, probes};
use sequoiaridge_core::{EndpointId, Event, Refusal, RefusalReason, Targets, Verdict};
use sequoiaridge_log as event;
use sequoiaridge_policy::{Call, ClassPolicy, QuarantineState, Suspect};
use sequoiaridge_store::{Claim, HeldClaim, StoredResponse};
use sequoiaridge_wire::{CallFrame, TurnRequest};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller should retry a call that the router cannot run now.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for the head of a response, as a multiple of the first-token target.
const HEAD_TIMEOUT_FACTOR: u32 = 10;
/// Longest pause within a response, as a multiple of the target between tokens.
const IDLE_TIMEOUT_FACTOR: f64 = 50.0;
/// Lower bound of both timeouts, whatever the targets. Only the deadline may shorten them further.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the release of a claim before "not run" is returned; as long as one request to
/// the platform may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the request body, in bytes, that adds one unit to the cost of a call.
const BYTES_PER_COST_UNIT: usize = 4096;

/// Runs a call at an endpoint of this router. Dropping the receiver cancels a call without an
/// idempotency key. A call with a key continues once it was sent to the endpoint, so that its
/// response can be stored.
pub(crate) fn execute(shared: &Arc<Shared>, frame: CallFrame) -> PartReceiver {
    let (parts, receiver) = channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let sender = parts.clone();
        let has_key = frame.key.is_some();
        let execution = Execution::new(shared, frame, parts);
        tokio::select! {
            () = execution.run() => {}
            () = sender.closed(), if !has_key => {}
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
            Ok((Admission::Run(slot), _turn)) => self.run_admitted(slot).await,
            Ok((
                Admission::Forward {
                    endpoint,
                    next,
                    cached_only,
                },
                _,
            )) => {
                self.record_forward(&endpoint, cached_only);
                Part::Forward {
                    endpoint,
                    next,
                    cached_only,
                }
            }
            Ok((Admission::Refused(refusal), _)) | Err(NotPlaced::Refused(refusal)) => {
                Part::Fail(refusal)
            }
            Ok((Admission::Moved, _)) | Err(NotPlaced::NotOwner) => Part::NotOwner,
        };
        let _ = self.parts.send(part).await;
    }

    fn deadline(&self) -> Duration {
        self.arrival + self.frame.remaining
    }

    /// Checks that this router is to run the call, and admits it. A suspect waits for its turn
    /// first, which lasts until the returned [`Turn`] is dropped.
    ///
    /// # Errors
    ///
    /// The call is neither run, forwarded nor queued here.
    async fn place(&self) -> Result<(Admission, Option<Turn>), NotPlaced> {
        let targets = self.targets()?;
        let needs_turn = self.check_quarantine()? || self.frame.suspect;
        self.check_owner().await?;
        if !needs_turn {
            let admission = self.admit(&targets, false).await;
            // The request may have crashed an endpoint while this call waited. In that case the
            // call needs a turn and gives its slot back first, because a suspect must not run
            // beside a copy of itself.
            if !matches!(admission, Admission::Run(_)) || !self.check_quarantine()? {
                return Ok((admission, None));
            }
        }
        let turn = self.take_turn(&targets).await?;
        let suspect = self.check_quarantine()?;
        let admission = self.admit(&targets, suspect).await;
        self.check_quarantine()?;
        Ok((admission, Some(turn)))
    }

    /// Waits for the turn to run a copy of a suspect.
    async fn take_turn(&self, targets: &Targets) -> Result<Turn, NotPlaced> {
        let policy = ClassPolicy::from_targets(targets);
        let request = TurnRequest {
            fingerprint: self.frame.fingerprint,
            wait: policy.allowed_wait.min(self.frame.remaining),
            hold: self.frame.remaining,
        };
        turns::acquire(&self.shared, request)
            .await
            .map_err(NotPlaced::Refused)
    }

    async fn admit(&self, targets: &Targets, suspect: bool) -> Admission {
        let call = self.call(targets, suspect);
        let mut candidates = vec![self.frame.endpoint.clone()];
        candidates.extend(self.frame.next.iter().cloned());
        candidates.retain(|id| !self.frame.excluded.contains(id));
        let asked = u32::from(self.frame.asked);
        admit(&self.shared, &call, &candidates, asked).await
    }

    fn targets(&self) -> Result<Targets, NotPlaced> {
        let config = self.shared.config.current();
        let class = config
            .as_ref()
            .and_then(|config| config.classes.get(&self.frame.class));
        class.map(|class| class.targets.clone()).ok_or_else(|| {
            NotPlaced::Refused(Refusal::not_run(RefusalReason::UnknownClass, RETRY_AFTER))
        })
    }

    /// Whether this router knows the request as a suspect.
    ///
    /// # Errors
    ///
    /// The request is quarantined.
    fn check_quarantine(&self) -> Result<bool, NotPlaced> {
        let now = self.shared.now();
        let state =
            lock(&self.shared.quarantine).state(Suspect::Request(self.frame.fingerprint), now);
        match state {
            QuarantineState::Clear => Ok(false),
            QuarantineState::Suspect => Ok(true),
            QuarantineState::Held { retry_after } => Err(NotPlaced::Refused(Refusal::not_run(
                RefusalReason::Quarantined,
                retry_after,
            ))),
        }
    }

    /// Checks that this router owns the endpoint or was asked to substitute for the owner, and that
    /// the endpoint has been probed.
    ///
    /// # Errors
    ///
    /// This router is not to run the call.
    async fn check_owner(&self) -> Result<(), NotPlaced> {
        let view = self.shared.view();
        let Some(endpoint) = view.endpoints.get(&self.frame.endpoint) else {
            return Err(NotPlaced::NotOwner);
        };
        if &endpoint.owner == self.shared.id() {
            probes::ensure_probed(&self.shared, &endpoint.member).await;
            return Ok(());
        }
        if !self.frame.substitute {
            return Err(NotPlaced::NotOwner);
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

    /// Records the endpoint to which a chat is forwarded, so that the chat's next call goes there
    /// as well.
    fn record_forward(&self, endpoint: &EndpointId, cached_only: bool) {
        if let Some(chat) = self.frame.chat.filter(|_| !cached_only) {
            lock(&self.shared.owner).record_chat(chat, endpoint, self.shared.now());
        }
    }

    /// Runs the admitted call and returns the last part of its response.
    async fn run_admitted(&self, slot: Slot) -> Part {
        let Some(endpoint) = self.shared.view().endpoints.get(slot.endpoint()).cloned() else {
            return Part::Fail(Refusal::not_run(RefusalReason::NoEndpoint, RETRY_AFTER));
        };
        let target = Target {
            id: slot.endpoint().clone(),
            address: endpoint.member.address,
        };
        if self.frame.key.is_none() || endpoint.member.deduplicates {
            return last_part(self.send_once(&target, &self.parts).await.map(drop));
        }
        match self.claim().await {
            Ok(Claim::Held(claim)) => self.run_claimed(claim, &target).await,
            Ok(Claim::Stored(response)) => self.send_response(response).await,
            Err(refusal) => Part::Fail(refusal),
        }
    }

    /// Claims the idempotency key of the call.
    async fn claim(&self) -> Result<Claim, Refusal> {
        let key = self.frame.key.clone().unwrap_or_default();
        let frame = &self.frame;
        let digest = request_digest(&frame.method, &frame.path, &frame.body);
        self.shared
            .ledger
            .claim(&self.frame.customer, &key, digest, self.claim_deadline())
            .await
    }

    /// Returns the time until which the claim is retried. During an outage of the platform, the
    /// caller is refused at that time instead of at the call's deadline.
    fn claim_deadline(&self) -> Duration {
        let first_token = self
            .targets()
            .map_or(Duration::ZERO, |targets| targets.first_token());
        let wait = first_token.max(self.shared.settings.platform.timeout * 2);
        self.deadline().min(self.arrival + wait)
    }

    /// Runs the call once under its claim. The response is collected before it is forwarded,
    /// because it is stored whole.
    async fn run_claimed(&self, claim: HeldClaim, target: &Target) -> Part {
        let ledger = &self.shared.ledger;
        // The router that sent the call may have given up while this process was paused. Its caller
        // then repeats the key elsewhere.
        if !ledger.may_dispatch(&claim) || self.parts.is_closed() {
            self.release(claim).await;
            return Part::Fail(Refusal::not_run(RefusalReason::Deadline, RETRY_AFTER));
        }
        let (parts, receiver) = channel();
        let collector = tokio::spawn(collect_response(receiver));
        let result = self.send_once(target, &parts).await;
        drop(parts);
        let response = collector.await.ok().flatten();
        match (result, response) {
            (Ok(_), Some(response)) => {
                self.store(claim, response.clone());
                self.send_response(response).await
            }
            (Err(refusal), _) if refusal.verdict == Verdict::NotRun => {
                self.release(claim).await;
                Part::Fail(refusal)
            }
            (Err(refusal), _) => Part::Fail(refusal),
            (Ok(_), None) => Part::Fail(Refusal::may_have_run(
                RefusalReason::EndpointInvalid,
                RETRY_AFTER,
            )),
        }
    }

    /// Releases the claim before "not run" is returned: otherwise a retry, or the caller's next
    /// attempt, would find the row and get the verdict "may have run". If the platform does not
    /// respond in time, the release continues in the background.
    async fn release(&self, claim: HeldClaim) {
        let id = self.frame.id;
        let mut released = self.shared.ledger.release(claim);
        if tokio::time::timeout(RELEASE_TIMEOUT, &mut released)
            .await
            .is_err()
        {
            tokio::spawn(async move { log_release(id, released.await.unwrap_or(false)) });
        }
    }

    /// Stores the response in the background. Until it is stored, repeated calls get "may have
    /// run".
    fn store(&self, claim: HeldClaim, response: StoredResponse) {
        let stored = self.shared.ledger.store(claim, response);
        let id = self.frame.id;
        tokio::spawn(async move {
            if !stored.await.unwrap_or(false) {
                event::log(Event::AnswerNotStored, &format!("call {id}"));
            }
        });
    }

    /// Sends the head and body of a whole response, and returns its last part.
    async fn send_response(&self, response: StoredResponse) -> Part {
        let head = crate::response_part::Head {
            status: response.status,
            headers: response.headers,
        };
        let _ = self.parts.send(Part::Head(head)).await;
        let _ = self.parts.send(Part::Chunk(response.body)).await;
        Part::End
    }

    /// Sends the call to the endpoint once, and records whether the run succeeded or may have
    /// crashed the endpoint.
    async fn send_once(&self, target: &Target, parts: &PartSender) -> Result<Completion, Refusal> {
        let now = self.shared.now();
        if now >= self.deadline() {
            return Err(Refusal::not_run(RefusalReason::Deadline, RETRY_AFTER));
        }
        let remaining = self.deadline() - now;
        let attempt = self.attempt(remaining);
        let boot = probes::boot_of(&self.shared, &target.id);
        self.shared.metrics.attempts.inc();
        let run = upstream::run(&self.shared.client, target, &attempt, parts);
        let result = tokio::time::timeout(remaining, run)
            .await
            .unwrap_or_else(|_| Err(Refusal::may_have_run(RefusalReason::Deadline, RETRY_AFTER)));
        match &result {
            Ok(completion) => self.record_success(completion),
            Err(refusal) => {
                if refusal.reason == RefusalReason::EndpointInvalid {
                    event::log(Event::EndpointInvalid, &target.id);
                }
                crash::handle_failure(&self.shared, &self.frame, target, boot, refusal).await
            }
        }
        result
    }

    /// Records the token usage and the resumed streams of a successful run, and clears the request
    /// of earlier crashes.
    fn record_success(&self, completion: &Completion) {
        let metrics = &self.shared.metrics;
        if let Some(usage) = completion.usage {
            metrics.prompt_tokens.inc_by(usage.prompt_tokens);
            metrics.cached_tokens.inc_by(usage.cached_tokens());
        }
        for _ in 0..completion.resumes {
            self.shared
                .count_retry(sequoiaridge_core::RetryReason::StreamResumed, self.frame.id);
        }
        crash::clear_strikes(&self.shared, self.frame.fingerprint);
    }

    fn attempt(&self, remaining: Duration) -> Attempt {
        let targets = self.targets().unwrap_or_else(|_| Targets::default());
        let policy = ClassPolicy::from_targets(&targets);
        let chat = self.frame.chat.is_some();
        let idle_timeout =
            Duration::from_secs_f64(targets.between_tokens * IDLE_TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        let head_timeout = (targets.first_token() * HEAD_TIMEOUT_FACTOR).max(MIN_TIMEOUT);
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
        Attempt {
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
            // A plain service responds in one piece, so only the deadline bounds the wait.
            head_timeout: if chat {
                head_timeout.min(remaining)
            } else {
                remaining
            },
            idle_timeout: idle_timeout.min(remaining),
        }
    }
}

/// Why a call is neither run, forwarded nor queued here.
#[derive(Debug)]
enum NotPlaced {
    Refused(Refusal),
    NotOwner,
}

/// Logs a claim that could not be released in the background either.
fn log_release(call: u64, released: bool) {
    if !released {
        event::log(Event::ClaimUnresolved, &format!("call {call}"));
    }
}

/// Returns the cost of a call in the fair queue. Longer requests take an engine longer.
fn cost(body: usize) -> u32 {
    u32::try_from(1 + body / BYTES_PER_COST_UNIT).unwrap_or(u32::MAX)
}

/// Converts the result of a run to the last part of the response.
fn last_part(result: Result<(), Refusal>) -> Part {
    result.map_or_else(Part::Fail, |()| Part::End)
}

/// Collects a whole response; `None` if it has no head.
async fn collect_response(mut parts: PartReceiver) -> Option<StoredResponse> {
    let mut response: Option<StoredResponse> = None;
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head(head) => {
                let body = bytes::Bytes::new();
                response = Some(StoredResponse {
                    status: head.status,
                    headers: head.headers,
                    body,
                });
            }
            Part::Chunk(chunk) => {
                if let Some(response) = &mut response {
                    let mut body = Vec::from(std::mem::take(&mut response.body));
                    body.extend_from_slice(&chunk);
                    response.body = body.into();
                }
            }
            _ => {}
        }
    }
    response
}
