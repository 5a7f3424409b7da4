//! Body of an answer to a caller: a buffered body, or a stream that is resumed if its endpoint fails.

mod origin;
mod resumption;
mod stall_watch;
mod unfinished_event;

use crate::answer_deadline::AnswerDeadline;
use crate::answer_end::AnswerEnd;
use crate::exchange::Exchange;
use crate::silence_watch::SilenceWatch;
use crate::started_answer::{AnswerBody, ArrivingBody, EndCheck, Framing, StartedAnswer};
use crate::terminations::Loss;
use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use origin::Origin;
use resumption::{Failure, Resumed, may_resume};
use sequoiaridge_core::{Event, Refusal, hash_parts};
use sequoiaridge_log::log_request;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep};
use unfinished_event::UnfinishedEvent;

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

enum Source {
    Whole(Option<Bytes>),
    Arriving(Box<ArrivingBody>),
    Resuming(Resumed),
    Ended,
}

/// What a poll of a body returns; `None` at its end.
type PolledFrame = Option<Result<Frame<Bytes>, BodyError>>;

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
    unfinished: UnfinishedEvent,
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
            unfinished: UnfinishedEvent::default(),
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
        let watch = SilenceWatch::new(arriving.awaited_start());
        let origin = Origin::new(answer.endpoint, watch, &answer.head, framing);
        let deadline = Instant::now() + exchange.time_left();
        due.set(Some(deadline));
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        StreamBody {
            source: Source::Arriving(arriving),
            exchange: Some(exchange),
            origin: Some(origin),
            ending: None,
            may_be_whole: false,
            unfinished: UnfinishedEvent::default(),
            deadline: Some(deadline),
            due,
            success: answer.status.is_success(),
            frames: 0,
        }
    }

    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match (&mut self.origin, &self.exchange) {
            (Some(origin), Some(exchange)) => origin.watch.poll_gone(&exchange.shared, cx),
            _ => Poll::Pending,
        }
    }

    /// Samples the endpoint when the stream has been without an event for too long.
    fn poll_stall(&mut self, cx: &mut Context<'_>) {
        let (Some(origin), Some(exchange)) = (&mut self.origin, &self.exchange) else {
            return;
        };
        if origin.stall.poll_stall(cx).is_ready() {
            let now = exchange.shared.now();
            let sample = origin.stall.sample(now);
            let mut state = exchange.shared.lock_state();
            let paces = state.loads.paces_mut();
            let (service, run) = (&exchange.service, run_of(exchange));
            paces.record_stall(service, &origin.endpoint, run, sample, now);
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
        let data = self.unfinished.complete(data);
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
        let endpoint = &origin.endpoint;
        if !resumption::take_attempt(exchange, endpoint, failure) {
            return false;
        }
        let Some(exchange) = self.exchange.take() else {
            return false;
        };
        self.unfinished.clear();
        let resumed = resumption::resume(exchange, endpoint, self.frames, self.may_be_whole);
        self.source = Source::Resuming(resumed);
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
                let watch = SilenceWatch::new(arriving.awaited_start());
                let origin = Origin::new(answer.endpoint, watch, &answer.head, framing);
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
            ready!(self.poll_gone(cx));
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
        if !self.reserve_unfinished() {
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
    fn reserve_unfinished(&mut self) -> bool {
        let Some(exchange) = &self.exchange else {
            return true;
        };
        self.unfinished.reserve(&exchange.shared.bytes)
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

/// Samples the endpoint with the events that arrived.
fn sample_events(origin: &mut Origin, exchange: &Exchange) {
    let now = exchange.shared.now();
    let (service, endpoint) = (&exchange.service, &origin.endpoint);
    origin.stall.record(origin.events.ends, now, |pause| {
        let mut state = exchange.shared.lock_state();
        let paces = state.loads.paces_mut();
        if let Some(pause) = pause {
            paces.record_pause(service, endpoint, run_of(exchange), pause, now);
        }
        paces.usual_pause(service, now)
    });
}

/// Tells the stream of an exchange apart from others.
fn run_of(exchange: &Exchange) -> u64 {
    hash_parts(&[exchange.call.attempt.as_bytes()])
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
