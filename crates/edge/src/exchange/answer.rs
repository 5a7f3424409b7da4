//! Decides what an endpoint's answer means for the request: whether it counts as an answer, whether its body
//! is buffered, and whether the endpoint refused the request.

use super::Exchange;
use super::outcome::Outcome;
use crate::answer_end::AnswerEnd;
use crate::call::AnswerHead;
use crate::manifest::EndpointEntry;
use crate::started_answer::{AnswerBody, ArrivingBody, Framing, LoadGuard, StartedAnswer};
use crate::upstream::Connection;
use crate::whole_body::{ReadBody, read_whole};
use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Incoming};
use sequoiaridge_core::{RefusalReason, RetryReason};
use std::time::Duration;

/// Largest answer of a known length, in bytes, that is buffered until it is complete. A longer one
/// is passed on as it arrives, and its request cannot be retried.
const MAX_BUFFERED_SIZED: usize = 256 * 1024;
/// Longest body of a refusal, in bytes, that is read so that its connection can be reused, and the
/// time limit for reading it.
const MAX_REFUSAL_BODY: usize = 16 * 1024;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

impl Exchange {
    /// Validates the head of an answer and reads the whole body, unless the answer is a stream or
    /// larger than [`MAX_BUFFERED_SIZED`]. The request was sent at `sent`.
    pub(super) async fn read_answer(
        &mut self,
        entry: &EndpointEntry,
        response: Response<Incoming>,
        mut connection: Connection,
        mut guard: LoadGuard,
        sent: Duration,
    ) -> Outcome<Box<StartedAnswer>> {
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
    ) -> Outcome<Box<StartedAnswer>> {
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
}
