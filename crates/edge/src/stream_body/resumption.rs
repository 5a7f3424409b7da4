//! Decides whether a stream that broke off may continue on another endpoint, and sends its request there.

use crate::exchange::{CONFIRM_TIME, Exchange};
use crate::manifest::Kind;
use crate::started_answer::StartedAnswer;
use sequoiaridge_core::{Event, Refusal, RefusalReason, RetryReason};
use sequoiaridge_log::log_request;
use std::pin::Pin;
use tokio::time::timeout;

/// Future of a stream that is being resumed: it returns the exchange with the new answer.
pub(super) type Resumed =
    Pin<Box<dyn Future<Output = (Box<Exchange>, Result<StartedAnswer, Refusal>)> + Send>>;

/// How an answer from an endpoint failed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Failure {
    /// The connection broke.
    Broke,
    /// The endpoint is silent and cannot be reached.
    Unreachable,
    /// The endpoint has ended after its answer, most likely as planned.
    Ended,
}

/// Whether an answer that was partly passed on can continue on another endpoint.
pub(super) fn may_resume(kind: Kind) -> bool {
    kind.streams() && kind.repeatable()
}

/// Records that the answer of an endpoint failed, and takes another attempt from the retry budget. Returns
/// whether that is allowed.
pub(super) fn take_attempt(exchange: &mut Exchange, endpoint: &str, failure: Failure) -> bool {
    match failure {
        Failure::Broke => exchange.report_broken(endpoint),
        Failure::Unreachable | Failure::Ended => exchange.shared.pool.forget(endpoint),
    }
    if !may_resume(exchange.route.kind) {
        return false;
    }
    exchange.may_have_run = true;
    exchange.tried.push(endpoint.to_string());
    let reason = RefusalReason::EndpointBroke;
    !exchange.is_suspected() && exchange.take_retry(reason).is_ok()
}

/// Sends the request of a stream whose first `frames` frames came from an endpoint to another one. If the
/// stream only `confirms` that it is whole, the wait for that is short.
pub(super) fn resume(
    mut exchange: Box<Exchange>,
    endpoint: &str,
    frames: u64,
    confirms: bool,
) -> Resumed {
    exchange.shared.metrics.retried(RetryReason::StreamResumed);
    log_request(
        Event::CallRetried,
        &exchange.call.attempt,
        format_args!(
            "reason={} from={endpoint} after_event={:?} chunks={frames}",
            RetryReason::StreamResumed.as_str(),
            exchange.call.resume
        ),
    );
    exchange.log_own_resume();
    Box::pin(async move {
        let answer = if confirms {
            let answer = timeout(CONFIRM_TIME, exchange.send_with_retries()).await;
            answer.unwrap_or_else(|_| exchange.give_up(None, RefusalReason::EndpointSilent))
        } else {
            exchange.send_with_retries().await
        };
        (exchange, answer)
    })
}
