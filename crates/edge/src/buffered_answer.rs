//! Reads an answer to its end before it is passed on, so that its request can still be repeated.

use crate::answer_end::AnswerEnd;
use crate::call::AnswerHead;
use crate::exchange::Exchange;
use crate::started_answer::{AnswerBody, ArrivingBody, Framing};
use crate::terminations::Loss;
use crate::whole_body::{ReadBody, ReadError, read_whole};
use sequoiaridge_core::Event;
use sequoiaridge_log::log_request;

/// Largest answer without a known length, in bytes. It is buffered, unless other bodies take too much
/// memory: then it is passed on as it arrives.
const MAX_BUFFERED: usize = 4 << 20;

impl Exchange {
    /// Reads a body of up to [`MAX_BUFFERED`] bytes, as far as the memory allows; `None` if it breaks
    /// off, is longer or does not end before the deadline. Of a body that ends with its connection, it
    /// may be unknown whether it is whole.
    pub(crate) async fn collect_body(
        &self,
        head: &AnswerHead,
        framing: Framing,
        mut arriving: ArrivingBody,
    ) -> Option<(AnswerBody, AnswerEnd)> {
        let reservation = self.shared.bytes.reservation();
        let read = read_whole(&mut arriving.body, MAX_BUFFERED, reservation);
        let whole = match tokio::time::timeout(self.time_left(), read).await {
            Ok(Ok(ReadBody::Whole(whole))) => whole,
            Ok(Ok(ReadBody::Beginning(beginning))) => {
                log_request(
                    Event::AnswerUnbuffered,
                    &self.call.attempt,
                    format_args!(
                        "endpoint={} read={} used={}",
                        arriving.guard.endpoint,
                        beginning.len(),
                        self.shared.bytes.used()
                    ),
                );
                arriving.bytes_left = MAX_BUFFERED - beginning.len();
                arriving.beginning = beginning;
                return Some((AnswerBody::Arriving(Box::new(arriving)), AnswerEnd::Unknown));
            }
            Ok(Err(ReadError::Broke)) => {
                arriving.guard.lost(Loss::ConnectionLost);
                return None;
            }
            Ok(Err(ReadError::TooLong)) | Err(_) => {
                arriving.guard.lost(Loss::Abandoned);
                return None;
            }
        };
        let end = match framing {
            Framing::Connection => arriving.guard.check_end().await,
            Framing::Chunks | Framing::Length => AnswerEnd::Whole,
        };
        if end == AnswerEnd::Broken {
            arriving.guard.gone();
            return None;
        }
        arriving.guard.run = None;
        if !head.close {
            let now = self.shared.now();
            self.shared
                .pool
                .release(arriving.connection, head.idle, now);
        }
        Some((AnswerBody::Whole(whole), end))
    }
}
