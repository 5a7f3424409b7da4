//! Requests from callers, up to the head of the answer: admission, body, and refusals.

use crate::answer_deadline::AnswerDeadline;
use crate::byte_budget::HeldBody;
use crate::call::{Call, Prompt};
use crate::constraints::Homes;
use crate::exchange::Exchange;
use crate::hold_time::HoldTime;
use crate::manifest::{CallerLimits, Route, SoftwareVersion};
use crate::retry_after::OTHER_ROUTER_RETRY_AFTER;
use crate::routes::RouteTable;
use crate::shared::{InFlight, Shared};
use crate::started_answer::{AnswerBody, StartedAnswer};
use crate::stream_body::StreamBody;
use crate::take_up::beginning;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sequoiaridge_core::{
    CustomerId, Event, Fingerprint, Refusal, RefusalReason, Verdict, hash_parts,
};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::Suspect;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a request waits for the first configuration after a router's start. The registry
/// answers within milliseconds.
const MAX_START_WAIT: Duration = Duration::from_millis(250);
/// Largest number of parts of a prompt, counted from its end, that are suspected of a crash.
const MAX_SUSPECT_PARTS: usize = 64;

/// Answers one request from a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    due: AnswerDeadline,
) -> Response<StreamBody> {
    let started = shared.now();
    let in_flight = InFlight::new(&shared);
    shared.metrics.requests.inc();
    let (parts, body) = request.into_parts();
    let call = match shared.dialect.call(&parts) {
        Ok(call) => call,
        Err(error) => {
            log_request(
                Event::CallRefused,
                "",
                format_args!("reason=bad-request {error}"),
            );
            let refusal = Refusal::not_run(RefusalReason::BadRequest, Duration::ZERO);
            return refuse(&shared, None, &refusal, started);
        }
    };
    if !shared.is_draining() {
        shared.wait_ready(MAX_START_WAIT).await;
    }
    let admitted = admit_call(&shared, &call, started);
    let Admitted {
        route,
        customer,
        priority,
        homes,
        limits,
        deadline,
    } = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&shared, Some(&call), &refusal, started),
    };
    let time_left = deadline.saturating_sub(shared.now());
    let body = tokio::select! {
        body = collect_body(&shared, body, limits.body, time_left) => body,
        () = shared.given_up() => Err(RefusalReason::Draining),
    };
    let body = match body {
        Ok(body) => body,
        Err(reason) => {
            let retry_after = match reason {
                RefusalReason::Overload | RefusalReason::Draining => OTHER_ROUTER_RETRY_AFTER,
                _ => Duration::ZERO,
            };
            let refusal = Refusal::not_run(reason, retry_after);
            let mut response = refuse(&shared, Some(&call), &refusal, started);
            set_close(&mut response);
            return response;
        }
    };
    // All requests for one stream go to the service that began it.
    let origin = call.origin.as_ref().filter(|_| call.resume.is_some());
    let request_hash = hash_parts(&[origin.unwrap_or(&call.attempt).as_bytes()]);
    let Some(service) = route.service(request_hash).cloned() else {
        let refusal = Refusal::not_run(RefusalReason::NoEndpoint, OTHER_ROUTER_RETRY_AFTER);
        return refuse(&shared, Some(&call), &refusal, started);
    };
    shared
        .lock_state()
        .retries
        .record_request(&service, started);
    let fingerprint = fingerprint(&parts, customer.as_ref(), &body);
    let suspects = suspects(fingerprint, &call);
    let stream = beginning(&call.attempt, call.resume, call.origin.as_deref());
    let mut exchange = Box::new(Exchange {
        shared: shared.clone(),
        call,
        route,
        service,
        customer,
        priority,
        homes,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        started,
        deadline,
        sent: 0,
        misdirected: 0,
        charged: 0,
        tried: Vec::new(),
        may_have_run: false,
        fingerprint,
        suspects,
        stream,
        version: None,
        tried_version: SoftwareVersion::new(),
        begun: false,
        hold: HoldTime::default(),
        held_share: None,
        no_room: None,
        _in_flight: in_flight,
    });
    let answer = match exchange.find_version().await {
        Ok(()) => {
            let asked = exchange.ask_room();
            exchange.no_room = asked.err();
            match &exchange.no_room {
                Some(no_room) => Err(Refusal::from(no_room)),
                None => exchange.send_with_retries().await,
            }
        }
        Err(reason) => exchange.give_up(None, reason),
    };
    match answer {
        Ok(answer) => forward_answer(&shared, exchange, answer, due),
        Err(refusal) => {
            if refusal.verdict == Verdict::MayHaveRun {
                exchange.record_time();
            }
            let detail = exchange.room_detail();
            refuse_with(&shared, Some(&exchange.call), &refusal, started, &detail)
        }
    }
}

/// What the configuration says of a call that the router takes.
struct Admitted {
    route: Arc<Route>,
    customer: Option<CustomerId>,
    priority: u8,
    homes: Homes,
    limits: CallerLimits,
    /// Time on the router's clock by which the answer must be complete.
    deadline: Duration,
}

/// Selects the route, checks the API key, and refuses requests that a draining router no longer takes.
fn admit_call(shared: &Shared, call: &Call, started: Duration) -> Result<Admitted, Refusal> {
    let routes = shared.lock_state().routes.clone();
    let Some(routes) = routes else {
        return Err(Refusal::not_run(
            RefusalReason::NotReady,
            OTHER_ROUTER_RETRY_AFTER,
        ));
    };
    let Some(route) = routes.select(&call.host, &call.path) else {
        return Err(Refusal::not_run(
            RefusalReason::UnknownRoute,
            Duration::ZERO,
        ));
    };
    let (customer, priority, homes) = customer(&routes, route, call)?;
    let deadline = started + call.time_limit(route.timeout);
    if !shared.accepts(route, deadline) {
        return Err(Refusal::not_run(
            RefusalReason::Draining,
            OTHER_ROUTER_RETRY_AFTER,
        ));
    }
    Ok(Admitted {
        route: route.clone(),
        customer,
        priority,
        homes,
        limits: routes.manifest().limits.clone(),
        deadline,
    })
}

fn customer(
    routes: &RouteTable,
    route: &Route,
    call: &Call,
) -> Result<(Option<CustomerId>, u8, Homes), Refusal> {
    let known = call.key.as_ref().and_then(|key| routes.customer(key));
    let homes = Homes::new(route, known);
    match known {
        Some(customer) => {
            let priority = customer.priority.unwrap_or(route.priority);
            Ok((Some(customer.name.clone()), priority, homes))
        }
        None if routes.needs_key(route) => {
            Err(Refusal::not_run(RefusalReason::BadToken, Duration::ZERO))
        }
        None => Ok((None, route.priority, homes)),
    }
}

/// Identifies a request, also if the caller sends it again under another attempt id.
fn fingerprint(head: &Parts, customer: Option<&CustomerId>, body: &Bytes) -> Fingerprint {
    let customer = customer.map_or("", String::as_str);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = head.method.as_str();
    hash_parts(&[
        customer.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        body,
    ])
}

/// What may crash the endpoints that run a request: itself, and the parts of its prompt that others
/// may share. The last part is the request's own.
fn suspects(fingerprint: Fingerprint, call: &Call) -> Vec<Suspect> {
    let parts = call.prompt.as_ref().map(Prompt::shared_parts);
    let parts = parts.unwrap_or_default().iter().rev();
    let parts = parts.map(|part| Suspect::Part(part.id));
    let parts: BTreeSet<Suspect> = parts.take(MAX_SUSPECT_PARTS).collect();
    std::iter::once(Suspect::Request(fingerprint))
        .chain(parts)
        .collect()
}

/// Reads a whole body of at most `limit` bytes within `time`. The bytes of a body of known length are
/// reserved before it is read.
async fn collect_body(
    shared: &Shared,
    mut body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, RefusalReason> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(RefusalReason::TooLarge);
    }
    let known = hint.exact().and_then(|exact| usize::try_from(exact).ok());
    let reservation = match known {
        Some(bytes) => shared.bytes.reserve(bytes).ok_or(RefusalReason::Overload)?,
        None => shared.bytes.reservation(),
    };
    let read = async {
        let mut whole = HeldBody::new(reservation);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole.len() + data.len() > limit {
                return Err(RefusalReason::TooLarge);
            }
            if !whole.extend(&data) {
                return Err(RefusalReason::Overload);
            }
        }
        Ok(whole.freeze())
    };
    let whole = tokio::time::timeout(time, read).await;
    whole.unwrap_or(Err(RefusalReason::TooSlow))
}

/// Builds the response to the caller from an endpoint's answer.
fn forward_answer(
    shared: &Shared,
    exchange: Box<Exchange>,
    mut answer: StartedAnswer,
    due: AnswerDeadline,
) -> Response<StreamBody> {
    let status = answer.status;
    let elapsed = shared.now().saturating_sub(exchange.started);
    shared.metrics.answered(status.as_u16(), elapsed);
    if matches!(answer.body, AnswerBody::Whole(_)) {
        exchange.record_time();
    }
    log_request(
        Event::CallAnswered,
        &exchange.call.attempt,
        format_args!(
            "status={} endpoint={} sent={} elapsed_ms={}",
            status.as_u16(),
            answer.endpoint,
            exchange.sent,
            elapsed.as_millis()
        ),
    );
    let mut headers = std::mem::take(&mut answer.headers);
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        HeaderName::from_static("keep-alive"),
    ] {
        headers.remove(name);
    }
    let mut response = Response::new(StreamBody::new(exchange, answer, due));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    close_if_draining(shared, &mut response);
    response
}

/// Builds the response for a refusal by the router itself.
fn refuse(
    shared: &Shared,
    call: Option<&Call>,
    refusal: &Refusal,
    started: Duration,
) -> Response<StreamBody> {
    refuse_with(shared, call, refusal, started, "")
}

/// The same with further fields of the log line, each after a space.
fn refuse_with(
    shared: &Shared,
    call: Option<&Call>,
    refusal: &Refusal,
    started: Duration,
    detail: &str,
) -> Response<StreamBody> {
    let status = status(refusal);
    let elapsed = shared.now().saturating_sub(started);
    shared.metrics.refused(refusal.reason);
    shared.metrics.answered(status.as_u16(), elapsed);
    log_request(
        Event::CallRefused,
        call.map_or("", |call| call.attempt.as_str()),
        format_args!(
            "status={} reason={} verdict={} elapsed_ms={}{detail}",
            status.as_u16(),
            refusal.reason.as_str(),
            refusal.verdict,
            elapsed.as_millis()
        ),
    );
    let mut response = Response::new(StreamBody::whole(Bytes::new()));
    *response.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{:.3}", refusal.retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    // The body was not read to its end; its rest must not be parsed as the next request.
    let unread = matches!(
        refusal.reason,
        RefusalReason::TooLarge | RefusalReason::TooSlow | RefusalReason::BadRequest
    );
    if unread {
        set_close(&mut response);
    }
    close_if_draining(shared, &mut response);
    response
}

/// Status of a refusal. Statuses that promise that a request has not run are used only if that is known.
fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.verdict) {
        (RefusalReason::BadRequest, Verdict::NotRun) => StatusCode::BAD_REQUEST,
        (RefusalReason::BadToken, _) => StatusCode::UNAUTHORIZED,
        (RefusalReason::UnknownRoute, _) => StatusCode::NOT_FOUND,
        (RefusalReason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (RefusalReason::TooSlow, _) => StatusCode::REQUEST_TIMEOUT,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::Deadline | RefusalReason::EndpointSilent, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Verdict::MayHaveRun | Verdict::Done) => StatusCode::BAD_GATEWAY,
    }
}

/// Makes the caller open its next connection to another router if this one is draining.
fn close_if_draining(shared: &Shared, response: &mut Response<StreamBody>) {
    if shared.is_draining() {
        set_close(response);
    }
}

fn set_close(response: &mut Response<StreamBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}
