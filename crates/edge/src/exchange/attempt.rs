//! Sends a request of a caller to one endpoint and waits for the head of the answer.

use super::outcome::Outcome;
use super::{Exchange, LOWEST_PRIORITY};
use crate::call::{Attempt, Call, Prompt};
use crate::hold_time::HoldTime;
use crate::manifest::EndpointEntry;
use crate::network::AwaitedStart;
use crate::selection::Placed;
use crate::shared::Shared;
use crate::started_answer::StartedAnswer;
use crate::terminations::Loss;
use crate::upstream::{SILENCE, SendError};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sequoiaridge_core::{Event, RefusalReason, RetryReason};
use sequoiaridge_log::log_request;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

impl Exchange {
    /// Sends the request to one endpoint. Stops at `end`, if there is one, and when a draining router
    /// gives up what is in flight.
    ///
    /// # Errors
    ///
    /// The attempt did not end in time; the request may have run if it was sent.
    pub(super) async fn attempt_until(
        &mut self,
        placed: Placed,
        end: Option<Duration>,
    ) -> Result<Outcome<Box<StartedAnswer>>, RefusalReason> {
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
    async fn attempt(&mut self, mut placed: Placed) -> Outcome<Box<StartedAnswer>> {
        let entry = &placed.entry;
        let choice = &placed.choice;
        let once = !self.route.kind.repeatable();
        let shared = self.shared.clone();
        let connection = shared.pool.acquire(&shared, &entry.id, entry.address, once);
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
        let awaited = AwaitedStart {
            endpoint: entry.id.clone(),
            boot: entry.boot(),
            address: entry.address,
            direct: connection.direct,
            paused: false,
        };
        let answer = while_alive(&shared, awaited, connection.send(request));
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

/// Waits for `answer`. Returns `None` if the endpoint sends nothing for [`SILENCE`] and is then taken for gone.
async fn while_alive<T>(
    shared: &Arc<Shared>,
    mut awaited: AwaitedStart,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let mut answer = pin!(answer);
    loop {
        tokio::select! {
            output = answer.as_mut() => return Some(output),
            () = tokio::time::sleep(SILENCE) => {}
        }
        tokio::select! {
            output = answer.as_mut() => return Some(output),
            alive = awaited.clone().outlive_silence(shared.clone()) => awaited = alive?,
        }
    }
}
