//! One request: choice of endpoints, sending, repeats, and the answer's head.

use crate::call::{AnswerHead, Attempt, Call};
use crate::crashes::{Source, gone, ran};
use crate::departures::{depart, rest};
use crate::ends::Loss;
use crate::manifest::{EndpointEntry, Kind, Route, ServiceName};
use crate::opened::{AnswerBody, Arriving, Opened, Ticket};
use crate::place::Placed;
use crate::shared::{HeldBytes, InFlight, Shared};
use crate::upstream::{Link, SILENCE, SendError, is_reachable};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use sequoiaridge_core::{
    CustomerId, EndpointId, Event, Fingerprint, Refusal, RefusalReason, RetryReason, Verdict,
};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::QuarantineState;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller comes back when no endpoint could take its request, on average. Each is
/// drawn between half and one and a half of it, so that callers do not come back together.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Last rank that engines know; the first is 0.
const LAST_PRIORITY: u8 = 9;
/// Largest answer of a known length that is held until it is whole; a longer one is passed on as it
/// arrives and cannot be asked for again.
const WHOLE_ANSWER: usize = 256 * 1024;
/// Largest answer without a length.
const LONGEST_ANSWER: usize = 4 << 20;

/// Longest body of a refusal that is read so that its connection can be used again, and the time for it.
const LONGEST_REFUSAL: usize = 16 * 1024;
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// A request of a caller with everything that its repeats need.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) priority: u8,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) started: Duration,
    pub(crate) sent: u32,
    pub(crate) tried: Vec<EndpointId>,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: bool,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) _held: HeldBytes,
    pub(crate) _in_flight: InFlight,
}

/// What became of one attempt.
enum Outcome {
    Answer(Box<Opened>),
    NotRun(RefusalReason, RetryReason),
    MayHaveRun(RefusalReason, RetryReason),
}

impl Exchange {
    /// Time at which the request must have its final answer.
    pub(crate) fn deadline(&self) -> Duration {
        let wait = self
            .call
            .deadline
            .map_or(self.route.timeout, |wait| wait.min(self.route.timeout));
        self.started + wait
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline().saturating_sub(self.shared.now())
    }

    /// Sends the request until an endpoint answers or nothing more can be done.
    pub(crate) async fn open(&mut self) -> Result<Opened, Refusal> {
        let mut fallback: Option<Opened> = None;
        let mut last: Option<RefusalReason> = None;
        loop {
            if self.left().is_zero() {
                return self.give_up(fallback, RefusalReason::Deadline);
            }
            let placed = match self.place() {
                Ok(placed) => placed,
                Err(RefusalReason::Quarantined) => {
                    return self.give_up(fallback, RefusalReason::Quarantined);
                }
                Err(reason) => return self.give_up(fallback, last.unwrap_or(reason)),
            };
            let entry = placed.entry.clone();
            let outcome = self.attempt(placed).await;
            let (reason, retry) = match outcome {
                Outcome::Answer(opened) => {
                    if !self.is_worth_repeating(&opened) {
                        return Ok(*opened);
                    }
                    fallback = Some(*opened);
                    (RefusalReason::EndpointBroke, RetryReason::EndpointBroke)
                }
                Outcome::NotRun(reason, retry) => {
                    self.note_failure(&entry.id, reason, Verdict::NotRun);
                    (reason, retry)
                }
                Outcome::MayHaveRun(reason, retry) => {
                    self.note_failure(&entry.id, reason, Verdict::MayHaveRun);
                    self.may_have_run = true;
                    if !self.route.kind.repeatable() {
                        return self.give_up(fallback, reason);
                    }
                    (reason, retry)
                }
            };
            last = Some(reason);
            self.tried.push(entry.id.clone());
            if !self.may_repeat() {
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

    fn note_failure(&self, endpoint: &str, reason: RefusalReason, verdict: Verdict) {
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

    /// Whether the number of endpoints and the budget allow another attempt.
    pub(crate) fn may_repeat(&self) -> bool {
        if self.sent == 0 {
            return true;
        }
        if self.sent >= self.route.attempts {
            return false;
        }
        let now = self.shared.now();
        let mut board = self.shared.board();
        let routers = (board.contacts.len() + 1).max(board.loads.routers());
        board.repeats.take(&self.service, routers, now)
    }

    /// Whether an answer is a failure that another endpoint may not repeat.
    fn is_worth_repeating(&self, opened: &Opened) -> bool {
        self.route.kind == Kind::Idempotent
            && opened.status.is_server_error()
            && matches!(opened.body, AnswerBody::Whole(_))
    }

    /// The answer when nothing more can be done: an endpoint's own failure if there is one.
    fn give_up(&self, fallback: Option<Opened>, reason: RefusalReason) -> Result<Opened, Refusal> {
        if let Some(opened) = fallback {
            return Ok(opened);
        }
        let verdict = if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let retry_after = match reason {
            RefusalReason::Quarantined => self.hold(),
            _ => self.come_back(),
        };
        Err(Refusal {
            reason,
            verdict,
            retry_after,
        })
    }

    /// Time after which a caller is to come back. Where every endpoint rests, that is when the first of
    /// them may be asked again; callers that came during the rest are spread over as much time again.
    fn come_back(&self) -> Duration {
        let mut rng = rand::rng();
        let now = self.shared.now();
        let usual = RETRY_AFTER.mul_f64(rng.random_range(0.5..1.5));
        let board = self.shared.board();
        let open = board.roster.open(&self.service, now);
        let rests = open.map(|entry| board.rests.until(&entry.id, now));
        // `None`, for an endpoint that does not rest, is the least.
        let Some(Some(first)) = rests.min() else {
            return usual;
        };
        let rest = first.saturating_sub(now);
        rest + usual.max(rest.mul_f64(rng.random_range(0.0..1.0)))
    }

    /// Time for which the request is still held back.
    fn hold(&self) -> Duration {
        let now = self.shared.now();
        match self.shared.board().quarantine.state(self.fingerprint, now) {
            QuarantineState::Held { retry_after } => retry_after,
            QuarantineState::Suspect | QuarantineState::Clear => Duration::ZERO,
        }
    }

    /// Sends the request to one endpoint.
    async fn attempt(&mut self, mut placed: Placed) -> Outcome {
        let entry = &placed.entry;
        let choice = &placed.choice;
        let once = !self.route.kind.repeatable();
        let shared = self.shared.clone();
        let link = shared
            .upstream
            .link(&entry.id, entry.address, once, shared.now());
        let mut link = match link.await {
            Ok(link) => link,
            Err(_) => {
                self.gone(entry);
                return Outcome::NotRun(RefusalReason::NoEndpoint, RetryReason::ConnectFailed);
            }
        };
        if !link.used {
            shared.metrics.connections.inc();
        }
        let left = self.left();
        if left.is_zero() {
            return Outcome::NotRun(RefusalReason::Deadline, RetryReason::ConnectFailed);
        }
        let request = match self.request(entry, placed.fetch, left) {
            Some(request) => request,
            None => return Outcome::NotRun(RefusalReason::BadRequest, RetryReason::ConnectFailed),
        };
        if self.is_withdrawn(entry) {
            return Outcome::NotRun(RefusalReason::EndpointRefused, RetryReason::EndpointRefused);
        }
        let subject = placed.subject;
        log_request(
            Event::CallPlaced,
            &self.call.attempt,
            format_args!(
                "endpoint={} requests={} mean={:.1} subject={:x} shared={} cached={} fetch={:?} route={} left_ms={} fingerprint={:016x}",
                entry.id,
                choice.requests,
                choice.mean,
                subject.key,
                subject.tokens,
                choice.cached,
                choice.fetch,
                self.route.name,
                left.as_millis(),
                self.fingerprint
            ),
        );
        self.sent += 1;
        let run = shared.board().ends.begin(
            &self.call.attempt,
            self.fingerprint,
            &entry.id,
            &entry.boot(),
        );
        let ticket = &mut placed.ticket;
        ticket.run = Some(run);
        let silent =
            Outcome::MayHaveRun(RefusalReason::EndpointSilent, RetryReason::EndpointSilent);
        let answer = while_reachable(entry.address, link.send(request));
        let answer = tokio::time::timeout(left, answer).await;
        let response = match answer {
            Ok(Some(Ok(response))) => response,
            Ok(Some(Err(SendError::Broke))) => {
                self.broke(&entry.id);
                ticket.lost(Loss::Broke);
                return Outcome::MayHaveRun(
                    RefusalReason::EndpointBroke,
                    RetryReason::EndpointBroke,
                );
            }
            Ok(Some(Err(SendError::Unsent | SendError::Connect))) => {
                ticket.run = None;
                self.sent -= 1;
                return Outcome::NotRun(RefusalReason::NoEndpoint, RetryReason::ConnectFailed);
            }
            Ok(None) => {
                ticket.gone();
                return silent;
            }
            Err(_) => {
                // The endpoint could be reached a moment ago and only takes too long.
                ticket.lost(Loss::Left);
                shared.board().health.answered(&entry.id, true);
                return silent;
            }
        };
        self.read_answer(entry, response, link, placed.ticket).await
    }

    /// Whether an endpoint that was chosen may no longer get the request: it was heard since then that it
    /// leaves or rests, or that the request is held back.
    fn is_withdrawn(&self, entry: &EndpointEntry) -> bool {
        let now = self.shared.now();
        let board = self.shared.board();
        let standing = board.quarantine.state(self.fingerprint, now);
        board.roster.is_leaving(entry)
            || board.rests.until(&entry.id, now).is_some()
            || matches!(standing, QuarantineState::Held { .. })
    }

    /// Checks the head of an answer and, for plain services, waits for the whole body.
    async fn read_answer(
        &mut self,
        entry: &EndpointEntry,
        response: Response<Incoming>,
        link: Link,
        mut ticket: Ticket,
    ) -> Outcome {
        let (parts, mut body) = response.into_parts();
        let head = self.shared.dialect.answer(&parts);
        self.shared.board().ends.reached(&entry.id);
        let run = ticket.run.take();
        self.heed(entry, &head);
        // An answer that does not say whose it is may be a late copy of another one.
        if head.attempt.as_deref() != Some(self.call.attempt.as_str()) {
            self.invalid(&entry.id, "the answer belongs to another request");
            return Outcome::MayHaveRun(RefusalReason::EndpointInvalid, RetryReason::EndpointBroke);
        }
        if head.not_run {
            return self.refused(entry, &head, &mut body, link).await;
        }
        let (status, headers) = (parts.status, parts.headers);
        if head.encoded || !head.sealed {
            self.invalid(&entry.id, "the endpoint does not vouch for the answer");
            return Outcome::MayHaveRun(RefusalReason::EndpointInvalid, RetryReason::EndpointBroke);
        }
        // These statuses promise that a request has not run, which the endpoint does not say.
        if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
            self.shared.board().health.answered(&entry.id, true);
            return Outcome::MayHaveRun(RefusalReason::EndpointBroke, RetryReason::EndpointBroke);
        }
        let error = status.is_server_error();
        self.shared.board().health.answered(&entry.id, error);
        if let Some(load) = head.load {
            let now = self.shared.now();
            self.shared.board().loads.report(&entry.id, load, now);
        }
        let large = body.size_hint().lower() > WHOLE_ANSWER as u64;
        let streams = large || self.route.kind.streams() && status.is_success();
        ticket.run = run;
        let arriving = Arriving { body, link, ticket };
        let opened = |body| Opened {
            status,
            headers,
            head: head.clone(),
            body,
            endpoint: entry.id.clone(),
            address: entry.address,
        };
        if streams {
            return Outcome::Answer(Box::new(opened(AnswerBody::Arriving(Box::new(arriving)))));
        }
        match self.collect(&head, arriving).await {
            Some(body) => {
                // A failure may come before the part of the run that crashes endpoints.
                if status.is_success() {
                    self.succeeded();
                }
                Outcome::Answer(Box::new(opened(body)))
            }
            None => {
                self.broke(&entry.id);
                Outcome::MayHaveRun(RefusalReason::EndpointBroke, RetryReason::EndpointBroke)
            }
        }
    }

    /// Reads a body up to the bound on whole answers; `None` if it breaks off.
    async fn collect(&self, head: &AnswerHead, mut arriving: Arriving) -> Option<AnswerBody> {
        let read = read_whole(&mut arriving.body, LONGEST_ANSWER);
        let whole = match tokio::time::timeout(self.left(), read).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(Cut::Broke)) => {
                arriving.ticket.lost(Loss::Broke);
                return None;
            }
            Ok(Err(Cut::TooLong)) | Err(_) => {
                arriving.ticket.lost(Loss::Left);
                return None;
            }
        };
        arriving.ticket.run = None;
        if !head.close {
            let now = self.shared.now();
            self.shared.upstream.park(arriving.link, head.idle, now);
        }
        Some(AnswerBody::Whole(whole))
    }

    /// An endpoint that says it did not run the request.
    async fn refused(
        &mut self,
        entry: &EndpointEntry,
        head: &AnswerHead,
        body: &mut Incoming,
        link: Link,
    ) -> Outcome {
        // The head has said all; the body only matters for the connection.
        let rest = read_whole(body, LONGEST_REFUSAL);
        let rest = tokio::time::timeout(REFUSAL_TIME, rest).await;
        if matches!(rest, Ok(Ok(_))) && !head.close {
            let now = self.shared.now();
            self.shared.upstream.park(link, head.idle, now);
        }
        if head.misdirected {
            self.sent -= 1;
            self.gone(entry);
            self.shared.upstream.forget(&entry.id);
        }
        Outcome::NotRun(RefusalReason::EndpointRefused, RetryReason::EndpointRefused)
    }

    /// The request as one endpoint gets it.
    fn request(
        &self,
        entry: &EndpointEntry,
        fetch: Option<SocketAddr>,
        left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let attempt = Attempt {
            endpoint: entry.id.clone(),
            customer: self.customer.clone(),
            deadline: left,
            resume: self.call.resume,
            fetch,
            priority: self
                .call
                .prompt
                .is_some()
                .then_some(self.priority.min(LAST_PRIORITY)),
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

    /// Takes over that an endpoint leaves, or for how long it wants to be left alone.
    fn heed(&self, entry: &EndpointEntry, head: &AnswerHead) {
        if head.attempt.as_deref() != Some(self.call.attempt.as_str()) || head.misdirected {
            return;
        }
        let (shared, attempt) = (&self.shared, &self.call.attempt);
        if head.leaving {
            depart(&mut shared.board(), shared, attempt, entry);
        }
        if let Some(asked) = head.rest {
            rest(&mut shared.board(), shared, attempt, &entry.id, asked);
        }
    }

    /// An endpoint that cannot be reached: it is left out for a while.
    fn gone(&self, entry: &EndpointEntry) {
        gone(&self.shared, &self.call.attempt, &entry.id, &entry.boot());
    }

    /// A connection to an endpoint broke during a run.
    pub(crate) fn broke(&self, endpoint: &str) {
        self.shared.upstream.forget(endpoint);
        self.shared.board().health.answered(endpoint, true);
    }

    /// The request succeeded, so it is not what crashes endpoints.
    pub(crate) fn succeeded(&self) {
        let (shared, attempt) = (&self.shared, &self.call.attempt);
        let mut board = shared.board();
        let age = Duration::ZERO;
        if ran(
            &mut board,
            shared,
            attempt,
            self.fingerprint,
            age,
            Source::Own,
        ) {
            board.news.ran(self.fingerprint, shared.now());
        }
    }

    fn invalid(&self, id: &str, what: &str) {
        log_request(
            Event::EndpointInvalid,
            &self.call.attempt,
            format_args!("endpoint={id} {what}"),
        );
    }
}

/// Why a body was not read to its end.
enum Cut {
    /// The endpoint broke off.
    Broke,
    /// The body is longer than the bound.
    TooLong,
}

/// Reads a body of at most `limit` bytes.
async fn read_whole(body: &mut Incoming, limit: usize) -> Result<Bytes, Cut> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cut::Broke)?;
        let data = frame.into_data().unwrap_or_default();
        if whole.len() + data.len() > limit {
            return Err(Cut::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// The output of `answer`, or `None` once the endpoint is silent and cannot be reached.
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
