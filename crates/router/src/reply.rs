//! Replies to callers.

use crate::response_part::Head;
use http::StatusCode;
use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
use sequoiaridge_http::Reply;
use serde::Serialize;
use std::time::Duration;

/// Error object in OpenAI's format, with the verdict and the retry time added.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    r#type: &'a str,
    message: String,
    verdict: &'a str,
    retry_after: u64,
}

/// Returns the time until the caller should retry, in whole seconds; at least one, because zero
/// means "immediately".
fn retry_seconds(after: Duration) -> u64 {
    (after.as_secs_f64().ceil() as u64).max(1)
}

/// Returns the JSON body for a refusal.
pub(crate) fn error_json(refusal: &Refusal) -> Vec<u8> {
    let error = ErrorDetail {
        r#type: refusal.reason.as_str(),
        message: refusal.reason.to_string(),
        verdict: refusal.verdict.as_str(),
        retry_after: retry_seconds(refusal.retry_after),
    };
    serde_json::to_vec(&ErrorBody { error }).unwrap_or_default()
}

/// Returns the event that ends a broken stream, so that no reader takes the stream for complete.
pub(crate) fn error_event(refusal: &Refusal) -> Vec<u8> {
    let mut event = b"data: ".to_vec();
    event.extend(error_json(refusal));
    event.extend(b"\n\n");
    event
}

/// Returns the reply to a refused call.
pub(crate) fn refusal_reply(refusal: &Refusal) -> Reply {
    Reply::json(refusal_status(refusal.reason), error_json(refusal))
        .with_header("x-verdict", refusal.verdict.as_str())
        .with_header("x-refusal", refusal.reason.as_str())
        .with_header(
            "retry-after",
            &retry_seconds(refusal.retry_after).to_string(),
        )
}

/// Adds the headers of an endpoint's response to a reply.
pub(crate) fn with_head(mut reply: Reply, head: &Head) -> Reply {
    for (name, value) in &head.headers {
        reply = reply.with_header(name, value);
    }
    reply.with_header("x-verdict", Verdict::Done.as_str())
}

/// Returns the status of an endpoint's response; 502 if it is not a valid status code.
pub(crate) fn response_status(head: &Head) -> StatusCode {
    StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Returns the status of the reply to a refused call.
fn refusal_status(reason: RefusalReason) -> StatusCode {
    use RefusalReason as R;
    match reason {
        R::BadToken => StatusCode::UNAUTHORIZED,
        R::BadRequest | R::UnknownClass | R::KeyMissing => StatusCode::BAD_REQUEST,
        R::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        R::TooSlow => StatusCode::REQUEST_TIMEOUT,
        R::UnknownModel | R::UnknownRoute => StatusCode::NOT_FOUND,
        R::KeyReused | R::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        R::KeyClaimed => StatusCode::CONFLICT,
        R::CustomerShare => StatusCode::TOO_MANY_REQUESTS,
        R::Deadline | R::EndpointSilent => StatusCode::GATEWAY_TIMEOUT,
        R::EndpointBroke | R::EndpointInvalid | R::PeerBroke => StatusCode::BAD_GATEWAY,
        R::ClaimUnavailable
        | R::Overload
        | R::NoEndpoint
        | R::EndpointRefused
        | R::RetryBudget
        | R::VersionUnknown
        | R::VersionGone
        | R::Isolated
        | R::NotReady
        | R::Draining
        | R::ColdLimit => StatusCode::SERVICE_UNAVAILABLE,
    }
}
