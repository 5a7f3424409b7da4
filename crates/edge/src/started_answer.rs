//! An answer whose head has arrived, and the guard that counts its request as load of the endpoint.

use crate::answer_end::{AnswerEnd, EndEvidence};
use crate::call::AnswerHead;
use crate::crashes::{attempt_lost, attempt_unreachable};
use crate::departures::start_of_run;
use crate::network::{AwaitedStart, is_refusing};
use crate::open_runs::RunProgress;
use crate::shared::Shared;
use crate::terminations::{Loss, Run};
use crate::upstream::Connection;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use hyper::body::{Body, Incoming};
use sequoiaridge_core::{EndpointId, Event};
use sequoiaridge_log::log_request;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// The head of an answer, with its body or the connection that the body arrives on.
pub(crate) struct StartedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: AnswerBody,
    pub(crate) endpoint: EndpointId,
}

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The last chunk.
    Chunks,
    /// Its length, which is announced or, for an answer without a body, follows from its status.
    Length,
    /// The end of the connection, which is also what the crash of an endpoint looks like.
    Connection,
}

impl Framing {
    /// The framing of an answer of which nothing but the head has been read.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunks
        } else if body.size_hint().exact().is_some() {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Framing::Chunks => "chunks",
            Framing::Length => "length",
            Framing::Connection => "connection",
        }
    }
}

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still arriving.
    Arriving(Box<ArrivingBody>),
}

/// A body that is still arriving, with the connection that it arrives on.
pub(crate) struct ArrivingBody {
    /// What was read before it became clear that the body cannot be buffered.
    pub(crate) beginning: Bytes,
    pub(crate) body: Incoming,
    /// Bytes that may still arrive.
    pub(crate) bytes_left: usize,
    pub(crate) connection: Connection,
    pub(crate) guard: LoadGuard,
}

impl ArrivingBody {
    /// The start of an endpoint that sends the body.
    pub(crate) fn awaited_start(&self) -> AwaitedStart {
        let run = self.guard.run.as_ref();
        AwaitedStart {
            endpoint: self.guard.endpoint.clone(),
            boot: run.map(|run| run.boot.clone()).unwrap_or_default(),
            address: self.guard.address,
            direct: self.connection.direct,
            paused: false,
        }
    }
}

/// Future that returns what the end of an answer's connection means.
pub(crate) type EndCheck = Pin<Box<dyn Future<Output = AnswerEnd> + Send>>;

/// Time for other answers of an endpoint to end before they count as outstanding, and the interval
/// between looks at them.
const SETTLE_TIME: Duration = Duration::from_millis(50);
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// Counts one attempt as outstanding work of its endpoint until it is dropped.
pub(crate) struct LoadGuard {
    pub(crate) shared: Arc<Shared>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) unread: u32,
    pub(crate) progress: Arc<RunProgress>,
    /// Set while the request may be running on the endpoint. If the guard is dropped with a run, the
    /// caller left before the answer was complete.
    pub(crate) run: Option<Run>,
}

impl LoadGuard {
    /// Records the first data of the answer, which shows that the endpoint has processed the prompt.
    pub(crate) fn prompt_read(&mut self) {
        if self.unread > 0 {
            self.shared
                .lock_state()
                .loads
                .first_event(&self.endpoint, self.unread);
            self.unread = 0;
        }
    }

    /// Records that the answer went on after its beginning, so that no part of the prompt crashes
    /// endpoints.
    pub(crate) fn progressed(&mut self) {
        if let Some(run) = &mut self.run {
            run.progressed = true;
        }
    }

    /// Checks what it means that an answer has ended with its connection: a crash closes
    /// connections in order, too.
    pub(crate) fn check_end(&self) -> EndCheck {
        let (shared, address) = (self.shared.clone(), self.address);
        let (endpoint, progress) = (self.endpoint.clone(), self.progress.clone());
        let run = self.run.as_ref();
        let (attempt, boot) = run.map_or_else(Default::default, |run| {
            (run.attempt.clone(), run.boot.clone())
        });
        Box::pin(async move {
            let ended_at = shared.now();
            progress.end(ended_at);
            let refuses = is_refusing(&shared, address).await;
            let gather = || end_evidence(&shared, &endpoint, &boot, refuses, (&progress, ended_at));
            let mut evidence = gather();
            // Other answers that ended before the endpoint did may not have been read to their ends.
            while depends_on_others(&evidence) && shared.now() < ended_at + SETTLE_TIME {
                tokio::time::sleep(SETTLE_INTERVAL).await;
                evidence = gather();
            }
            let end = evidence.answer_end();
            shared.metrics.answer_ended(end);
            if refuses {
                log_request(
                    Event::AnswerEndChecked,
                    &attempt,
                    format_args!(
                        "verdict={} endpoint={endpoint} boot={boot} framing={} left_ms={} drain_ms={} others_lost={} crashed={}",
                        end.as_str(),
                        Framing::Connection.as_str(),
                        left_ms(evidence.left_for),
                        evidence.drain_time.as_millis(),
                        evidence.others_lost,
                        evidence.crashed
                    ),
                );
            }
            end
        })
    }

    /// Records that the run ended without a complete answer.
    pub(crate) fn lost(&mut self, loss: Loss) {
        if let Some(run) = self.run.take() {
            self.note_loss(loss);
            attempt_lost(&self.shared, &run, self.address, loss);
        }
    }

    /// Records that the run ended without a complete answer and that its endpoint cannot be reached.
    pub(crate) fn gone(&mut self) {
        if self.shared.lock_state().isolation.is_isolated() {
            // The link is lost, and nothing shows that the endpoint is.
            return self.lost(Loss::Abandoned);
        }
        if let Some(run) = self.run.take() {
            self.note_loss(Loss::ConnectionLost);
            attempt_unreachable(&self.shared, &run);
        }
    }

    fn note_loss(&self, loss: Loss) {
        if loss == Loss::ConnectionLost {
            let now = self.shared.now();
            let mut state = self.shared.lock_state();
            state.departures.record_loss(&self.endpoint, now);
        }
    }
}

/// What is known of an endpoint, with a boot id, after the answer of a run ended with its connection
/// at `ended_at`.
fn end_evidence(
    shared: &Shared,
    endpoint: &str,
    boot: &str,
    refuses: bool,
    (progress, ended_at): (&Arc<RunProgress>, Duration),
) -> EndEvidence {
    let now = shared.now();
    let state = shared.lock_state();
    let entry = state.roster.get(endpoint);
    let listed = state.roster.last_boot(endpoint);
    let start = start_of_run(boot, &listed);
    let start = start_of_run(start, state.departures.last_start(endpoint));
    let left_for = state.departures.left_for(endpoint, start, ended_at);
    let left_for = left_for.or_else(|| {
        let entry = entry.filter(|entry| state.roster.is_leaving(entry))?;
        // A leaving that is only announced began after the table was known without it.
        let age = state.endpoints.age(ended_at).filter(|_| !entry.leaving);
        Some(age.unwrap_or(Duration::MAX))
    });
    let has_others = state.open_runs.has_other_cut(endpoint, progress, ended_at);
    EndEvidence {
        refuses,
        left_for,
        drain_time: shared.settings.leave_bound,
        others_lost: has_others || state.departures.has_loss(endpoint, now),
        crashed: [boot, start]
            .iter()
            .any(|boot| state.departures.has_crash(endpoint, boot, now)),
    }
}

/// Whether only other runs at the endpoint show that it crashed.
fn depends_on_others(evidence: &EndEvidence) -> bool {
    let alone = EndEvidence {
        others_lost: false,
        ..*evidence
    };
    evidence.answer_end() != alone.answer_end()
}

/// A time since an endpoint started to leave, for logs.
fn left_ms(left_for: Option<Duration>) -> String {
    match left_for {
        None => "none".to_string(),
        Some(Duration::MAX) => "unbounded".to_string(),
        Some(time) => time.as_millis().to_string(),
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.lost(Loss::Abandoned);
        let mut state = self.shared.lock_state();
        state.loads.end(&self.endpoint, self.unread);
        state.open_runs.end(&self.endpoint, &self.progress);
    }
}
