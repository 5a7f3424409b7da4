//! One request of a caller: endpoint selection, attempts, retries, and the head of the answer.

use crate::admission::RoomRefusal;
use crate::answer_end::AnswerEnd;
use crate::call::{AnswerHead, Attempt, Call, Prompt};
use crate::cold_refusals::HeldShare;
use crate::constraints::Homes;
use crate::hold_time::HoldTime;
use crate::manifest::{EndpointEntry, Kind, Route, ServiceName, SoftwareVersion};
use crate::room_gate::NotPlaced;
use crate::selection::Placed;
use crate::shared::{InFlight, Shared};
use crate::started_answer::{AnswerBody, ArrivingBody, Framing, LoadGuard, StartedAnswer};
use crate::stream_versions::StreamId;
use crate::terminations::Loss;
use crate::upstream::{Connection, SILENCE, SendError, is_reachable};
use crate::whole_body::{ReadBody, read_whole};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use rand::RngExt;
use sequoiaridge_core::{
    CustomerId, EndpointId, Event, Fingerprint, Refusal, RefusalReason, RetryReason, Verdict,
};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::Suspect;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Mean `Retry-After` when no endpoint could take a request. Each value is jittered between 0.5 and
/// 1.5 times the mean, so that callers do not retry together.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest wait for another endpoint when an answer has most likely arrived whole, and is repeated
/// or resumed only because its endpoint may have crashed. Callers give up a stream without an event
/// after two seconds.
pub(crate) const CONFIRM_TIME: Duration = Duration::from_secs(1);
/// Lowest priority that engines know; the highest is 0.
pub(crate) const LOWEST_PRIORITY: u8 = 9;
/// Largest answer of a known length, in bytes, that is buffered until it is complete. A longer one
/// is passed on as it arrives, and its request cannot be retried.
const MAX_BUFFERED_SIZED: usize = 256 * 1024;
/// Longest body of a refusal, in bytes, that is read so that its connection can be reused, and the
/// time limit for reading it.
const MAX_REFUSAL_BODY: usize = 16 * 1024;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A request of a caller with everything that its retries need.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) priority: u8,
    /// Regions that the request may reach.
    pub(crate) homes: Homes,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) started: Duration,
    /// Time on the router's clock by which the answer must be complete.
    pub(crate) deadline: Duration,
    /// Attempts sent to endpoints, without those that were misdirected.
    pub(crate) sent: u32,
    /// Attempts that arrived at another endpoint than the one they were meant for.
    pub(crate) misdirected: u32,
    /// Retries that were counted in the retry budget.
    pub(crate) charged: u32,
    /// Endpoints that are not tried again.
    pub(crate) tried: Vec<EndpointId>,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: bool,
    pub(crate) fingerprint: Fingerprint,
    /// What may crash endpoints: the request, and the parts of its prompt that others may share.
    pub(crate) suspects: Vec<Suspect>,
    /// The stream that the request begins or takes up.
    pub(crate) stream: StreamId,
    /// Version at which the stream must go on; `None` if it may begin at any.
    pub(crate) version: Option<SoftwareVersion>,
    /// Version of the endpoint that was tried last.
    pub(crate) tried_version: SoftwareVersion,
    /// Whether an event of the stream was passed on.
    pub(crate) begun: bool,
    /// How long the last attempt holds a slot of its endpoint.
    pub(crate) hold: HoldTime,
    /// The share of a cold endpoint that the request was held for.
    pub(crate) held_share: Option<HeldShare>,
    /// Why the request was refused for lack of room, for the log.
    pub(crate) no_room: Option<RoomRefusal>,
    pub(crate) _in_flight: InFlight,
}

/// Outcome of one attempt.
enum Outcome {
    Answer(Box<StartedAnswer>),
    /// A buffered answer whose endpoint may have crashed within it, of a request that may be
    /// repeated.
    Unsure(Box<StartedAnswer>),
    NotRun(RefusalReason, RetryReason),
    MayHaveRun(RefusalReason, RetryReason),
}

impl Exchange {
    /// Time left until the deadline or, if that is sooner, until a draining router gives its last answers.
    pub(crate) fn time_left(&self) -> Duration {
        let last = self.shared.drain().map(|drain| drain.last_answer());
        let end = last.map_or(self.deadline, |last| last.min(self.deadline));
        end.saturating_sub(self.shared.now())
    }

    /// Sends the request to one endpoint after another until one answers or no retry is allowed.
    ///
    /// # Errors
    ///
    /// No endpoint answered; the refusal says why and whether the request may have run.
    pub(crate) async fn send_with_retries(&mut self) -> Result<StartedAnswer, Refusal> {
        let mut fallback: Option<StartedAnswer> = None;
        let mut last: Option<RefusalReason> = None;
        let mut confirm_by: Option<Duration> = None;
        loop {
            if self.time_left().is_zero() {
                return self.give_up(fallback, RefusalReason::Deadline);
            }
            // The body, or an earlier attempt, may have taken long. What was begun goes on.
            if !self.begun && !self.shared.accepts(&self.route, self.deadline) {
                return self.give_up(fallback, RefusalReason::Draining);
            }
            let placed = match self.select_endpoint() {
                Ok(placed) => placed,
                Err(NotPlaced::Wait(no_room)) => {
                    let refusal = Refusal::from(&no_room);
                    self.no_room = Some(no_room);
                    return Err(refusal);
                }
                Err(NotPlaced::Refused(RefusalReason::Quarantined)) => {
                    return self.give_up(fallback, RefusalReason::Quarantined);
                }
                Err(NotPlaced::Refused(reason)) => {
                    // A stale address, or one that cannot be reached, must not cost the request its hold.
                    let may_hold = last.is_none() || self.sent == 0;
                    if reason == RefusalReason::ColdLimit && may_hold && self.hold_for_share().await
                    {
                        continue;
                    }
                    return self.give_up(fallback, last.unwrap_or(reason));
                }
            };
            let entry = placed.entry.clone();
            self.keep_share_of(Some(&entry.id));
            let outcome = self.attempt_until(placed, confirm_by).await;
            self.keep_share_of(None);
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(reason) => return self.give_up(fallback, reason),
            };
            let (reason, retry) = match outcome {
                Outcome::Answer(answer) => {
                    if !self.should_retry(&answer) {
                        return Ok(*answer);
                    }
                    let is_error = |kept: &StartedAnswer| kept.status.is_server_error();
                    if fallback.as_ref().is_none_or(is_error) {
                        fallback = Some(*answer);
                    }
                    (RefusalReason::EndpointBroke, RetryReason::EndpointBroke)
                }
                Outcome::Unsure(answer) => {
                    fallback = Some(*answer);
                    confirm_by.get_or_insert_with(|| self.shared.now() + CONFIRM_TIME);
                    self.may_have_run = true;
                    if self.is_suspected() {
                        return self.give_up(fallback, RefusalReason::EndpointBroke);
                    }
                    (RefusalReason::EndpointBroke, RetryReason::EndpointBroke)
                }
                Outcome::NotRun(reason, retry) => {
                    self.log_failure(&entry.id, reason, Verdict::NotRun);
                    (reason, retry)
                }
                Outcome::MayHaveRun(reason, retry) => {
                    self.log_failure(&entry.id, reason, Verdict::MayHaveRun);
                    self.may_have_run = true;
                    if !self.route.kind.repeatable() || self.is_suspected() {
                        return self.give_up(fallback, reason);
                    }
                    (reason, retry)
                }
            };
            // Nothing was sent to an endpoint whose share was lost, and its share returns.
            if reason != RefusalReason::ColdLimit {
                last = Some(reason);
                self.tried.push(entry.id.clone());
            }
            if let Err(reason) = self.take_retry(reason) {
                return self.give_up(fallback, reason);
            }
            self.shared.metrics.retried(retry);
            log_request(
                Event::CallRetried,
                &self.call.attempt,
                format_args!(
                    "reason={} from={} sent={}",
                    retry.as_str(),
                    entry.id,
                    self.sent
                ),
            );
        }
    }

    fn log_failure(&self, endpoint: &str, reason: RefusalReason, verdict: Verdict) {
        let elapsed = self.shared.now().saturating_sub(self.started);
        log_request(
            Event::AttemptFailed,
            &self.call.attempt,
            format_args!(
                "endpoint={endpoint} reason={} verdict={verdict} sent={} elapsed_ms={}",
                reason.as_str(),
                self.sent,
                elapsed.as_millis()
            ),
        );
    }

    /// Takes another attempt from the retry budget. Every arrival at a server beyond the first of a
    /// request counts there, also a misdirected one, which does not count against the route's limit on
    /// attempts. An attempt whose connection failed is no arrival, so the next one has been paid for.
    ///
    /// # Errors
    ///
    /// No further attempt is allowed. The reason is `reason`, the end of the last attempt, unless only
    /// the budget keeps a request that has not run from another endpoint.
    pub(crate) fn take_retry(&mut self, reason: RefusalReason) -> Result<(), RefusalReason> {
        if self.sent > 0 && self.sent >= self.route.attempts {
            return Err(reason);
        }
        if self.charged >= self.sent + self.misdirected {
            return Ok(());
        }
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let routers = (state.contacts.len() + 1).max(state.loads.router_count());
        if state.retries.try_take(&self.service, routers, now) {
            self.charged += 1;
            return Ok(());
        }
        Err(if self.may_have_run {
            reason
        } else {
            RefusalReason::RetryBudget
        })
    }

    /// Whether an answer is a server error that another endpoint may avoid.
    fn should_retry(&self, answer: &StartedAnswer) -> bool {
        self.route.kind == Kind::Idempotent
            && answer.status.is_server_error()
            && matches!(answer.body, AnswerBody::Whole(_))
    }

    /// The result when no further attempt is made: an endpoint's own answer if there is one,
    /// otherwise a refusal.
    pub(crate) fn give_up(
        &self,
        fallback: Option<StartedAnswer>,
        reason: RefusalReason,
    ) -> Result<StartedAnswer, Refusal> {
        if let Some(answer) = fallback {
            return Ok(answer);
        }
        let verdict = if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            let mut state = self.shared.lock_state();
            state.probes.cancel(&self.call.attempt);
            Verdict::NotRun
        };
        let retry_after = match reason {
            RefusalReason::Quarantined => self.quarantine_left(),
            RefusalReason::ColdLimit => self.cold_retry_after(),
            _ => self.retry_after_time(),
        };
        Err(Refusal {
            reason,
            verdict,
            retry_after,
        })
    }

    /// `Retry-After` for a caller. If every endpoint rests, the caller is to retry once the first
    /// rest has ended; the retries of callers that came during the rest are spread over as much
    /// time again.
    fn retry_after_time(&self) -> Duration {
        let mut rng = rand::rng();
        let now = self.shared.now();
        let usual = MEAN_RETRY_AFTER.mul_f64(rng.random_range(0.5..1.5));
        let state = self.shared.lock_state();
        let accepting = state.roster.accepting(&self.service, now);
        let rests = accepting.map(|entry| state.rests.until(&entry.id, now));
        // `None`, for an endpoint that does not rest, orders before any time.
        let Some(Some(first)) = rests.min() else {
            return usual;
        };
        let rest = first.saturating_sub(now);
        rest + usual.max(rest.mul_f64(rng.random_range(0.0..1.0)))
    }

    /// Time for which the request remains quarantined.
    fn quarantine_left(&self) -> Duration {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let block = state.quarantine.block(&self.suspects, now);
        block.map_or(Duration::ZERO, |block| block.retry_after)
    }

    /// Sends the request to one endpoint. Stops at `end`, if there is one, and when a draining router
    /// gives up what is in flight.
    ///
    /// # Errors
    ///
    /// The attempt did not end in time; the request may have run if it was sent.
    async fn attempt_until(
        &mut self,
        placed: Placed,
        end: Option<Duration>,
    ) -> Result<Outcome, RefusalReason> {
        let (shared, sent) = (self.shared.clone(), self.sent);
        let time = end.map(|end| end.saturating_sub(shared.now()));
        let expired = async move {
            match time {
                Some(time) => tokio::time::sleep(time).await,
                None => std::future::pending().await,
            }
        };
        let reason = tokio::select! {
            biased;
            outcome = self.attempt(placed) => return Ok(outcome),
            () = expired => RefusalReason::EndpointSilent,
            () = shared.given_up() => RefusalReason::Draining,
        };
        self.may_have_run |= self.sent > sent;
        Err(reason)
    }

    /// Sends the request to one endpoint.
    async fn attempt(&mut self, mut placed: Placed) -> Outcome {
        let entry = &placed.entry;
        let choice = &placed.choice;
        let once = !self.route.kind.repeatable();
        let shared = self.shared.clone();
        let connection = shared
            .pool
            .acquire(&entry.id, entry.address, once, shared.now());
        let mut connection = match connection.await {
            Ok(connection) => connection,
            Err(_) => {
                self.report_unreachable(entry);
                return Outcome::NotRun(RefusalReason::NoEndpoint, RetryReason::ConnectFailed);
            }
        };
        if !connection.used {
            shared.metrics.connections.inc();
        }
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Outcome::NotRun(RefusalReason::Deadline, RetryReason::ConnectFailed);
        }
        let request = match self.build_request(entry, placed.fetch, time_left) {
            Some(request) => request,
            None => return Outcome::NotRun(RefusalReason::BadRequest, RetryReason::ConnectFailed),
        };
        if let Some(reason) = self.withdrawn(entry) {
            return Outcome::NotRun(reason, RetryReason::EndpointRefused);
        }
        let subject = placed.subject;
        log_request(
            Event::CallPlaced,
            &self.call.attempt,
            format_args!(
                "endpoint={} requests={} mean={:.1} subject={:x} shared={} cached={} fetch={:?} route={} left_ms={} fingerprint={:016x} parts={}",
                entry.id,
                choice.requests,
                choice.mean,
                subject.key,
                subject.tokens,
                choice.cached,
                choice.fetch,
                self.route.name,
                time_left.as_millis(),
                self.fingerprint,
                shared_parts(&self.call)
            ),
        );
        self.sent += 1;
        self.hold = HoldTime::sent(self.call.resume.is_none(), shared.now());
        self.tried_version.clone_from(&entry.version);
        let run = shared.lock_state().terminations.begin(
            &self.call.attempt,
            &self.suspects,
            &entry.id,
            &entry.boot(),
        );
        let guard = &mut placed.guard;
        guard.run = Some(run);
        let silent =
            Outcome::MayHaveRun(RefusalReason::EndpointSilent, RetryReason::EndpointSilent);
        let sent = shared.now();
        let answer = while_reachable(entry.address, connection.send(request));
        let answer = tokio::time::timeout(time_left, answer).await;
        let response = match answer {
            Ok(Some(Ok(response))) => response,
            Ok(Some(Err(SendError::Broke))) => {
                self.report_broken(&entry.id);
                guard.lost(Loss::ConnectionLost);
                return Outcome::MayHaveRun(
                    RefusalReason::EndpointBroke,
                    RetryReason::EndpointBroke,
                );
            }
            Ok(Some(Err(SendError::Unsent | SendError::Connect))) => {
                guard.run = None;
                self.sent -= 1;
                return Outcome::NotRun(RefusalReason::NoEndpoint, RetryReason::ConnectFailed);
            }
            Ok(None) => {
                guard.gone();
                return silent;
            }
            Err(_) => {
                // The endpoint was reachable a moment ago; it is only slow.
                guard.lost(Loss::Abandoned);
                shared.lock_state().health.record_answer(&entry.id, true);
                return silent;
            }
        };
        self.read_answer(entry, response, connection, placed.guard, sent)
            .await
    }

    /// Why the chosen endpoint may no longer get the request: it started to leave or rest after the
    /// choice, another endpoint answered at its address, its domain is evacuated, the request was
    /// quarantined, or other requests took the router's share of a cold endpoint. A request that a
    /// cold endpoint may get is counted, so this is called right before it is sent.
    fn withdrawn(&self, entry: &EndpointEntry) -> Option<RefusalReason> {
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let block = state.quarantine.block(&self.suspects, now);
        if state.roster.is_leaving(entry)
            || state.rests.until(&entry.id, now).is_some()
            || state.health.is_misdirected(entry)
            || block.is_some_and(|block| !state.probes.is_probe(&block, &self.call.attempt))
            || state.evacuations.contains(&entry.domain)
        {
            return Some(RefusalReason::EndpointRefused);
        }
        let has_share = state.try_send_cold(entry, self.cold_booking(), now);
        (!has_share).then_some(RefusalReason::ColdLimit)
    }

    /// Validates the head of an answer and reads the whole body, unless the answer is a stream or
    /// larger than [`MAX_BUFFERED_SIZED`]. The request was sent at `sent`.
    async fn read_answer(
        &mut self,
        entry: &EndpointEntry,
        response: Response<Incoming>,
        mut connection: Connection,
        mut guard: LoadGuard,
        sent: Duration,
    ) -> Outcome {
        let (parts, mut body) = response.into_parts();
        let head = self.shared.dialect.answer(&parts);
        self.shared
            .lock_state()
            .terminations
            .record_reachable(&entry.id);
        let run = guard.run.take();
        self.apply_notices(entry, &head);
        self.record_pace_figure(entry, &head);
        // An answer with a missing or different attempt id may be a delayed answer to another
        // request.
        if head.attempt.as_deref() != Some(self.call.attempt.as_str()) {
            self.log_invalid(
                &entry.id,
                "the answer does not carry the request's attempt id",
            );
            return Outcome::MayHaveRun(RefusalReason::EndpointInvalid, RetryReason::EndpointBroke);
        }
        if head.not_run && !connection.record_refusal(&self.call.attempt) {
            self.log_invalid(&entry.id, "the endpoint repeats an earlier refusal");
            return Outcome::MayHaveRun(RefusalReason::EndpointInvalid, RetryReason::EndpointBroke);
        }
        if head.not_run {
            return self
                .handle_refusal(entry, &head, &mut body, connection)
                .await;
        }
        let (status, headers) = (parts.status, parts.headers);
        if head.encoded || !head.sealed {
            self.log_invalid(&entry.id, "the answer has no seal or has an encoded body");
            return Outcome::MayHaveRun(RefusalReason::EndpointInvalid, RetryReason::EndpointBroke);
        }
        // Callers take these statuses as a promise that the request has not run, which this
        // endpoint did not give.
        if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
            self.shared
                .lock_state()
                .health
                .record_answer(&entry.id, true);
            return Outcome::MayHaveRun(RefusalReason::EndpointBroke, RetryReason::EndpointBroke);
        }
        let error = status.is_server_error();
        self.shared
            .lock_state()
            .health
            .record_answer(&entry.id, error);
        self.record_load(&entry.id, &head);
        self.hold.answered(head.load.unwrap_or_default());
        let large = body.size_hint().lower() > MAX_BUFFERED_SIZED as u64;
        let streams = large || self.route.kind.streams() && status.is_success();
        guard.run = run;
        let framing = Framing::of(&headers, &body);
        let arriving = ArrivingBody {
            beginning: Bytes::new(),
            body,
            bytes_left: usize::MAX,
            connection,
            guard,
        };
        let answer = |body| StartedAnswer {
            status,
            headers,
            head: head.clone(),
            body,
            endpoint: entry.id.clone(),
            address: entry.address,
        };
        if streams {
            return Outcome::Answer(Box::new(answer(AnswerBody::Arriving(Box::new(arriving)))));
        }
        match self.collect_body(&head, framing, arriving).await {
            Some((body @ AnswerBody::Arriving(_), _)) => Outcome::Answer(Box::new(answer(body))),
            Some((body, end)) => {
                // Only a success clears the request: an error may occur before the part of the run
                // that crashes endpoints.
                if status.is_success() && end == AnswerEnd::Whole {
                    self.report_success();
                    self.record_answer_time(&entry.id, &head, sent);
                    self.record_hold();
                }
                let answer = Box::new(answer(body));
                if end == AnswerEnd::Unknown && self.route.kind.repeatable() {
                    Outcome::Unsure(answer)
                } else {
                    Outcome::Answer(answer)
                }
            }
            None => {
                self.report_broken(&entry.id);
                Outcome::MayHaveRun(RefusalReason::EndpointBroke, RetryReason::EndpointBroke)
            }
        }
    }

    /// Handles an answer which says that the endpoint did not run the request.
    async fn handle_refusal(
        &mut self,
        entry: &EndpointEntry,
        head: &AnswerHead,
        body: &mut Incoming,
        connection: Connection,
    ) -> Outcome {
        // The head is sufficient; the body is read only so that the connection can be reused.
        let reservation = self.shared.bytes.reservation();
        let read = read_whole(body, MAX_REFUSAL_BODY, reservation);
        let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await;
        if matches!(read, Ok(Ok(ReadBody::Whole(_)))) && !head.close {
            let now = self.shared.now();
            self.shared.pool.release(connection, head.idle, now);
        }
        if head.misdirected {
            self.sent -= 1;
            self.misdirected += 1;
            self.report_misdirected(entry);
        } else {
            self.record_load(&entry.id, head);
        }
        Outcome::NotRun(RefusalReason::EndpointRefused, RetryReason::EndpointRefused)
    }

    /// Builds the request for one endpoint; `None` if its URI is not valid.
    fn build_request(
        &self,
        entry: &EndpointEntry,
        fetch: Option<SocketAddr>,
        time_left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let attempt = Attempt {
            endpoint: entry.id.clone(),
            customer: self.customer.clone(),
            deadline: time_left,
            resume: self.call.resume,
            fetch,
            priority: self
                .call
                .prompt
                .is_some()
                .then_some(self.priority.min(LOWEST_PRIORITY)),
        };
        let headers = self.shared.dialect.attempt(&self.headers, &attempt);
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// The ids of the prompt's parts that other requests may share, for logs.
fn shared_parts(call: &Call) -> String {
    let parts = call.prompt.as_ref().map(Prompt::shared_parts);
    let ids = parts.unwrap_or_default().iter();
    ids.map(|part| format!("{:x}", part.id))
        .collect::<Vec<_>>()
        .join(",")
}

/// Waits for `answer`. Returns `None` if the endpoint at `address` sends nothing for [`SILENCE`]
/// and then cannot be reached.
async fn while_reachable<T>(address: SocketAddr, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = pin!(answer);
    loop {
        tokio::select! {
            output = answer.as_mut() => return Some(output),
            () = tokio::time::sleep(SILENCE) => {}
        }
        tokio::select! {
            output = answer.as_mut() => return Some(output),
            reachable = is_reachable(address) => if !reachable {
                return None;
            },
        }
    }
}
