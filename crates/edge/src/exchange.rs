//! One request of a caller: which endpoint is tried, whether another one follows, and the refusal if none
//! answers.

mod answer;
mod attempt;
mod outcome;

use crate::admission::RoomRefusal;
use crate::call::Call;
use crate::cold_refusals::HeldShare;
use crate::constraints::Homes;
use crate::hold_time::HoldTime;
use crate::manifest::{Kind, Route, ServiceName, SoftwareVersion};
use crate::retry_after;
use crate::room_gate::NotPlaced;
use crate::shared::{InFlight, Shared};
use crate::started_answer::{AnswerBody, StartedAnswer};
use crate::stream_versions::StreamId;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use outcome::Outcome;
use sequoiaridge_core::{
    CustomerId, EndpointId, Event, Fingerprint, Refusal, RefusalReason, RetryReason, Verdict,
};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::Suspect;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for another endpoint when an answer has most likely arrived whole, and is repeated
/// or resumed only because its endpoint may have crashed. Callers give up a stream without an event
/// after two seconds.
pub(crate) const CONFIRM_TIME: Duration = Duration::from_secs(1);
/// Lowest priority that engines know; the highest is 0.
pub(crate) const LOWEST_PRIORITY: u8 = 9;

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
            _ => retry_after::pause(self.rest_left(), &mut rand::rng()),
        };
        Err(Refusal {
            reason,
            verdict,
            retry_after,
        })
    }

    /// Time until the first rest of an endpoint ends; `None` unless every endpoint rests.
    fn rest_left(&self) -> Option<Duration> {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let accepting = state.roster.accepting(&self.service, now);
        let rests = accepting.map(|entry| state.rests.until(&entry.id, now));
        // `None`, for an endpoint that does not rest, orders before any time.
        let first = rests.min().flatten()?;
        Some(first.saturating_sub(now))
    }

    /// Time for which the request remains quarantined.
    fn quarantine_left(&self) -> Duration {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let block = state.quarantine.block(&self.suspects, now);
        block.map_or(Duration::ZERO, |block| block.retry_after)
    }
}
