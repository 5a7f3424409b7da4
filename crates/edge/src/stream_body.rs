//! Body of an answer to a caller: a buffered body, or a stream that is resumed if its endpoint fails.

use crate::answer_deadline::AnswerDeadline;
use crate::answer_end::AnswerEnd;
use crate::byte_budget::Reservation;
use crate::call::AnswerHead;
use crate::event_scan::{EVENT_END, EventScan};
use crate::exchange::{CONFIRM_TIME, Exchange};
use crate::manifest::Kind;
use crate::pace::StreamSampler;
use crate::silence_watch::SilenceWatch;
use crate::started_answer::{AnswerBody, ArrivingBody, EndCheck, Framing, StartedAnswer};
use crate::terminations::Loss;
use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use sequoiaridge_core::{EndpointId, Event, Refusal, RefusalReason, RetryReason, hash_parts};
use sequoiaridge_log::log_request;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, timeout};

/// Longest event of a resumable stream in bytes. Events of such streams are buffered until they are
/// complete, as far as the memory allows.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Number of events from which an answer has progressed.
const PROGRESS_EVENTS: usize = 2;

/// Why an answer ends early. The connection to the caller is closed, so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum BodyError {
    /// the endpoint broke off
    Broke,
    /// the request's time has passed
    Deadline,
    /// the caller closed its connection
    CallerLeft,
}

impl std::error::Error for BodyError {}

/// Future of a stream that is being resumed: it returns the exchange with the new answer.
type Resumed =
    Pin<Box<dyn Future<Output = (Box<Exchange>, Result<StartedAnswer, Refusal>)> + Send>>;

enum Source {
    Whole(Option<Bytes>),
    Arriving(Box<ArrivingBody>),
    Resuming(Resumed),
    Ended,
}

/// What a poll of a body returns; `None` at its end.
type PolledFrame = Option<Result<Frame<Bytes>, BodyError>>;

/// How an answer from an endpoint failed.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection broke.
    Broke,
    /// The endpoint is silent and cannot be reached.
    Unreachable,
    /// The endpoint has ended after its answer, most likely as planned.
    Ended,
}

/// The endpoint that sends a stream, with the connection reuse that its answer allows.
struct Origin {
    endpoint: EndpointId,
    address: SocketAddr,
    watch: SilenceWatch,
    idle: Option<Duration>,
    close: bool,
    framing: Framing,
    events: EventScan,
    sampler: StreamSampler,
    /// Usual pause between events of the service, as of the last sample.
    usual_pause: Option<Duration>,
    /// Wakes the stream when its pause becomes longer than usual.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Origin {
    fn new(
        endpoint: EndpointId,
        address: SocketAddr,
        head: &AnswerHead,
        framing: Framing,
    ) -> Origin {
        Origin {
            endpoint,
            address,
            watch: SilenceWatch::new(),
            idle: head.idle,
            close: head.close,
            framing,
            events: EventScan::default(),
            sampler: StreamSampler::new(),
            usual_pause: None,
            stall: None,
        }
    }
}

/// Body of an answer: either complete, or a stream that may continue on another endpoint when one fails.
pub(crate) struct StreamBody {
    source: Source,
    exchange: Option<Box<Exchange>>,
    /// Set for streams.
    origin: Option<Origin>,
    /// Set when the answer has ended with its connection, until it is known what that means.
    ending: Option<EndCheck>,
    /// Whether nothing shows that more was to come than has arrived, so that the answer counts as
    /// whole if no other endpoint goes on.
    may_be_whole: bool,
    /// Bytes of an event that is not complete yet, and their reservation.
    partial: BytesMut,
    partial_bytes: Option<Reservation>,
    deadline: Option<Pin<Box<Sleep>>>,
    /// Tells the task of the caller's connection when the body must end, since a body is not polled while
    /// its caller does not read.
    due: AnswerDeadline,
    /// Whether the answer has a success status.
    success: bool,
    /// Frames passed on to the caller, logged as `chunks`.
    frames: u64,
}

impl StreamBody {
    /// Creates a complete body.
    pub(crate) fn whole(body: Bytes) -> StreamBody {
        StreamBody {
            source: Source::Whole(Some(body)),
            exchange: None,
            origin: None,
            ending: None,
            may_be_whole: false,
            partial: BytesMut::new(),
            partial_bytes: None,
            deadline: None,
            due: AnswerDeadline::default(),
            success: false,
            frames: 0,
        }
    }

    /// Creates the body of an answer whose head has arrived.
    pub(crate) fn new(
        exchange: Box<Exchange>,
        answer: StartedAnswer,
        due: AnswerDeadline,
    ) -> StreamBody {
        let arriving = match answer.body {
            AnswerBody::Whole(body) => return StreamBody::whole(body),
            AnswerBody::Arriving(arriving) => arriving,
        };
        let framing = Framing::of(&answer.headers, &arriving.body);
        let origin = Origin::new(answer.endpoint, answer.address, &answer.head, framing);
        let deadline = Instant::now() + exchange.time_left();
        due.set(Some(deadline));
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        StreamBody {
            source: Source::Arriving(arriving),
            exchange: Some(exchange),
            origin: Some(origin),
            ending: None,
            may_be_whole: false,
            partial: BytesMut::new(),
            partial_bytes: None,
            deadline: Some(deadline),
            due,
            success: answer.status.is_success(),
            frames: 0,
        }
    }

    fn poll_unreachable(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.origin {
            Some(origin) => origin.watch.poll_unreachable(origin.address, cx),
            None => Poll::Pending,
        }
    }

    /// Samples the endpoint when the stream has been without an event for too long.
    fn poll_stall(&mut self, cx: &mut Context<'_>) {
        let (Some(origin), Some(exchange)) = (&mut self.origin, &self.exchange) else {
            return;
        };
        let Some(stall) = &mut origin.stall else {
            return;
        };
        if stall.as_mut().poll(cx).is_ready() {
            origin.stall = None;
            let now = exchange.shared.now();
            let stall = origin.sampler.stall(now);
            let mut state = exchange.shared.lock_state();
            let paces = state.loads.paces_mut();
            let (service, run) = (&exchange.service, run_of(exchange));
            paces.record_stall(service, &origin.endpoint, run, stall, now);
        }
    }

    fn resumable(&self) -> bool {
        let exchange = self.exchange.as_ref();
        exchange.is_some_and(|exchange| may_resume(exchange.route.kind))
    }

    /// Returns the bytes to pass on now. Of a resumable stream these are complete events only, so that
    /// another endpoint can continue after the last one.
    fn pass_on(&mut self, data: Bytes) -> Bytes {
        if !self.resumable() {
            return data;
        }
        let data = if self.partial.is_empty() && data.ends_with(EVENT_END) {
            data
        } else {
            self.partial.extend_from_slice(&data);
            let end = self.partial.windows(2).rposition(|pair| pair == EVENT_END);
            self.partial.split_to(end.map_or(0, |end| end + 2)).freeze()
        };
        if let Some(exchange) = &mut self.exchange
            && !data.is_empty()
        {
            if self.success {
                exchange.record_event();
            }
            if let Some(event) = exchange.shared.dialect.last_event(&data) {
                exchange.call.resume = Some(event);
            }
        }
        data
    }

    /// Records the events that arrived. An endpoint that crashes on a part of the prompt may still
    /// send the first one.
    fn scan_events(&mut self, data: &[u8]) {
        let (Some(origin), Some(exchange)) = (&mut self.origin, &mut self.exchange) else {
            return;
        };
        let had_event = origin.events.ends > 0;
        let had_progressed = origin.events.ends >= PROGRESS_EVENTS;
        origin.events.record(data);
        if self.success && exchange.route.kind.streams() {
            sample_events(origin, exchange);
        }
        if !had_event && origin.events.ends > 0 && exchange.route.kind.streams() {
            exchange.hold.first_event(exchange.shared.now());
        }
        if !had_progressed && origin.events.ends >= PROGRESS_EVENTS {
            exchange.report_progress();
            if let Source::Arriving(arriving) = &mut self.source {
                arriving.guard.progressed();
            }
        }
    }

    /// Whether a stream stopped where none ends. Its endpoint broke off, however the answer ended.
    fn is_cut(&self) -> bool {
        let (Some(exchange), Some(origin)) = (&self.exchange, &self.origin) else {
            return false;
        };
        let goes_on = exchange.call.resume.is_some();
        let is_at_end = origin.events.is_at_end(origin.framing, goes_on);
        self.success && exchange.route.kind.streams() && !is_at_end
    }

    /// The check that is needed if nothing but the end of its connection tells that the answer is
    /// whole.
    fn end_check(&self) -> Option<EndCheck> {
        let origin = self.origin.as_ref()?;
        match &self.source {
            Source::Arriving(arriving) if origin.framing == Framing::Connection => {
                Some(arriving.guard.check_end())
            }
            _ => None,
        }
    }

    /// Ends a body that is complete.
    fn finish(&mut self) {
        self.due.set(None);
        let source = std::mem::replace(&mut self.source, Source::Ended);
        let (Some(exchange), Some(origin)) = (self.exchange.take(), &self.origin) else {
            return;
        };
        let now = exchange.shared.now();
        if let Source::Arriving(mut arriving) = source {
            arriving.guard.run = None;
            if !origin.close {
                let pool = &exchange.shared.pool;
                pool.release(arriving.connection, origin.idle, now);
            }
        }
        if self.success && !self.may_be_whole {
            exchange.report_success();
            exchange.record_hold();
        }
        exchange.record_end();
        exchange.record_time();
        log_request(
            Event::CallEnded,
            &exchange.call.attempt,
            format_args!(
                "outcome=whole endpoint={} framing={} events={} chunks={} elapsed_ms={}",
                origin.endpoint,
                origin.framing.as_str(),
                origin.events.ends,
                self.frames,
                now.saturating_sub(exchange.started).as_millis()
            ),
        );
    }

    /// Ends a body that is not complete.
    fn end_early(&mut self, error: BodyError) {
        self.due.set(None);
        self.source = Source::Ended;
        let (Some(exchange), Some(origin)) = (self.exchange.take(), &self.origin) else {
            return;
        };
        let elapsed = exchange.shared.now().saturating_sub(exchange.started);
        log_request(
            Event::CallEnded,
            &exchange.call.attempt,
            format_args!(
                "outcome=broken cause={error} endpoint={} framing={} events={} chunks={} elapsed_ms={}",
                origin.endpoint,
                origin.framing.as_str(),
                origin.events.ends,
                self.frames,
                elapsed.as_millis()
            ),
        );
    }

    /// Records that the answer from the endpoint failed, which may be a crash.
    fn lost(&mut self, failure: Failure) {
        if let Source::Arriving(arriving) = &mut self.source {
            match failure {
                Failure::Broke => arriving.guard.lost(Loss::ConnectionLost),
                Failure::Unreachable => arriving.guard.gone(),
                Failure::Ended => arriving.guard.run = None,
            }
        }
    }

    /// Starts to resume the stream on another endpoint. Returns whether that is allowed.
    fn resume(&mut self, failure: Failure) -> bool {
        self.lost(failure);
        let (Some(exchange), Some(origin)) = (&mut self.exchange, &self.origin) else {
            return false;
        };
        match failure {
            Failure::Broke => exchange.report_broken(&origin.endpoint),
            Failure::Unreachable | Failure::Ended => {
                exchange.shared.pool.forget(&origin.endpoint);
            }
        }
        if !may_resume(exchange.route.kind) {
            return false;
        }
        exchange.may_have_run = true;
        exchange.tried.push(origin.endpoint.clone());
        let reason = RefusalReason::EndpointBroke;
        if exchange.is_suspected() || exchange.take_retry(reason).is_err() {
            return false;
        }
        let Some(mut exchange) = self.exchange.take() else {
            return false;
        };
        self.partial.clear();
        exchange.shared.metrics.retried(RetryReason::StreamResumed);
        log_request(
            Event::CallRetried,
            &exchange.call.attempt,
            format_args!(
                "reason={} from={} after_event={:?} chunks={}",
                RetryReason::StreamResumed.as_str(),
                origin.endpoint,
                exchange.call.resume,
                self.frames
            ),
        );
        exchange.log_own_resume();
        let confirms = self.may_be_whole;
        self.source = Source::Resuming(Box::pin(async move {
            let answer = if confirms {
                let answer = timeout(CONFIRM_TIME, exchange.send_with_retries()).await;
                answer.unwrap_or_else(|_| exchange.give_up(None, RefusalReason::EndpointSilent))
            } else {
                exchange.send_with_retries().await
            };
            (exchange, answer)
        }));
        true
    }

    /// Continues with the answer of another endpoint. Returns false if that is not a stream.
    fn resumed(&mut self, exchange: Box<Exchange>, answer: Result<StartedAnswer, Refusal>) -> bool {
        self.exchange = Some(exchange);
        match answer {
            Ok(answer) if answer.status.is_success() => {
                let AnswerBody::Arriving(arriving) = answer.body else {
                    return false;
                };
                let framing = Framing::of(&answer.headers, &arriving.body);
                let origin = Origin::new(answer.endpoint, answer.address, &answer.head, framing);
                self.origin = Some(origin);
                self.source = Source::Arriving(arriving);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Polls the answer that arrives. Returns what to pass on, or `None` if nothing is to be passed
    /// on yet: more may have arrived, or another endpoint goes on.
    fn poll_arriving(&mut self, cx: &mut Context<'_>) -> Poll<Option<PolledFrame>> {
        if let Some(check) = &mut self.ending {
            let end = ready!(check.as_mut().poll(cx));
            self.ending = None;
            return Poll::Ready(match end {
                AnswerEnd::Whole => {
                    self.may_be_whole = false;
                    self.finish();
                    Some(None)
                }
                AnswerEnd::Broken => self.resume_or_end(Failure::Unreachable),
                AnswerEnd::Unknown => {
                    self.may_be_whole = true;
                    self.resume_or_end(Failure::Ended)
                }
            });
        }
        let Source::Arriving(arriving) = &mut self.source else {
            return Poll::Ready(None);
        };
        if !arriving.beginning.is_empty() {
            let beginning = std::mem::take(&mut arriving.beginning);
            return Poll::Ready(self.receive(beginning));
        }
        let Poll::Ready(frame) = Pin::new(&mut arriving.body).poll_frame(cx) else {
            arriving.guard.progress.wait();
            self.poll_stall(cx);
            ready!(self.poll_unreachable(cx));
            return Poll::Ready(self.resume_or_end(Failure::Unreachable));
        };
        if matches!(frame, Some(Ok(_))) {
            arriving.guard.prompt_read();
        }
        if let Some(origin) = &mut self.origin {
            origin.watch.restart();
        }
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                match arriving.bytes_left.checked_sub(data.len()) {
                    Some(left) => {
                        arriving.bytes_left = left;
                        self.receive(data)
                    }
                    None => Some(self.break_off()),
                }
            }
            None if !self.is_cut() => self.reach_end(),
            None | Some(Err(_)) => self.resume_or_end(Failure::Broke),
        })
    }

    /// Handles data from the endpoint. Returns what to pass on.
    fn receive(&mut self, data: Bytes) -> Option<PolledFrame> {
        self.scan_events(&data);
        self.may_be_whole &= data.is_empty();
        let data = self.pass_on(data);
        if !self.reserve_partial() {
            return Some(self.break_off());
        }
        if data.is_empty() {
            return None;
        }
        self.frames += 1;
        if let Source::Arriving(arriving) = &self.source {
            arriving.guard.progress.stall();
        }
        Some(Some(Ok(Frame::data(data))))
    }

    /// Reserves the bytes of the event that is not complete yet. Returns false if it is too long.
    fn reserve_partial(&mut self) -> bool {
        let length = self.partial.len();
        if length == 0 {
            self.partial_bytes = None;
            return true;
        }
        let Some(exchange) = &self.exchange else {
            return true;
        };
        let bytes = &exchange.shared.bytes;
        let held = self
            .partial_bytes
            .get_or_insert_with(|| bytes.reservation());
        length <= MAX_EVENT_BYTES && held.grow(length)
    }

    /// Ends an answer that is longer than it may be.
    fn break_off(&mut self) -> PolledFrame {
        self.end_early(BodyError::Broke);
        Some(Err(BodyError::Broke))
    }

    /// Ends a body that looks whole, or starts the check for a crash that it needs first.
    fn reach_end(&mut self) -> Option<PolledFrame> {
        self.ending = self.end_check();
        if self.ending.is_some() {
            return None;
        }
        self.finish();
        Some(None)
    }

    /// Resumes the stream on another endpoint, or ends it early if that is not allowed.
    fn resume_or_end(&mut self, failure: Failure) -> Option<PolledFrame> {
        if self.resume(failure) {
            return None;
        }
        Some(self.end_unresumed(BodyError::Broke))
    }

    /// Ends a body that no other endpoint continues.
    fn end_unresumed(&mut self, error: BodyError) -> PolledFrame {
        if self.may_be_whole {
            // The connection is of no further use.
            self.source = Source::Ended;
            self.finish();
            return None;
        }
        self.end_early(error);
        Some(Err(error))
    }
}

/// Samples the endpoint with the events that arrived, and sets when the next pause is too long.
fn sample_events(origin: &mut Origin, exchange: &Exchange) {
    let now = exchange.shared.now();
    let sample = origin.sampler.record(origin.events.ends, now);
    if sample.is_some() || origin.usual_pause.is_none() && origin.events.ends == 1 {
        let mut state = exchange.shared.lock_state();
        let paces = state.loads.paces_mut();
        if let Some(pause) = sample {
            let run = run_of(exchange);
            paces.record_pause(&exchange.service, &origin.endpoint, run, pause, now);
        }
        origin.usual_pause = paces.usual_pause(&exchange.service, now);
    }
    let stall_at = origin
        .usual_pause
        .and_then(|usual| origin.sampler.stall_at(usual));
    let Some(stall_at) = stall_at else {
        origin.stall = None;
        return;
    };
    let at = Instant::now() + stall_at.saturating_sub(now);
    match &mut origin.stall {
        Some(stall) => stall.as_mut().reset(at),
        None => origin.stall = Some(Box::pin(tokio::time::sleep_until(at))),
    }
}

/// Tells the stream of an exchange apart from others.
fn run_of(exchange: &Exchange) -> u64 {
    hash_parts(&[exchange.call.attempt.as_bytes()])
}

/// Whether an answer that was partly passed on can continue on another endpoint.
fn may_resume(kind: Kind) -> bool {
    kind.streams() && kind.repeatable()
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<PolledFrame> {
        let this = self.get_mut();
        if let Some(deadline) = &mut this.deadline
            && deadline.as_mut().poll(cx).is_ready()
        {
            this.deadline = None;
            return Poll::Ready(this.end_unresumed(BodyError::Deadline));
        }
        loop {
            match &mut this.source {
                Source::Ended => return Poll::Ready(None),
                Source::Whole(body) => {
                    let body = body.take();
                    this.source = Source::Ended;
                    return match body {
                        Some(body) if !body.is_empty() => Poll::Ready(Some(Ok(Frame::data(body)))),
                        _ => Poll::Ready(None),
                    };
                }
                Source::Resuming(resumed) => {
                    let (exchange, answer) = ready!(resumed.as_mut().poll(cx));
                    if !this.resumed(exchange, answer) {
                        return Poll::Ready(this.end_unresumed(BodyError::Broke));
                    }
                }
                Source::Arriving(_) => {
                    if let Some(frame) = ready!(this.poll_arriving(cx)) {
                        return Poll::Ready(frame);
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Ended => true,
            Source::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            Source::Arriving(_) | Source::Resuming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Source::Whole(None) | Source::Ended => SizeHint::with_exact(0),
            Source::Arriving(_) | Source::Resuming(_) => SizeHint::default(),
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if self.exchange.is_some() {
            self.end_early(BodyError::CallerLeft);
        }
    }
}
