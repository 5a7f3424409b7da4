//! What endpoints announce in their answers: that they are leaving, want to rest, or limit the requests that
//! they take.

use crate::brittle_services::REJECTION_PAUSE;
use crate::call::AnswerHead;
use crate::endpoint_limits::{LimitChange, LimitNotice, LimitReport, NamedLimit};
use crate::manifest::EndpointEntry;
use crate::rest::{RestOutcome, RestRequest};
use crate::shared::{RoutingState, Shared};
use sequoiaridge_core::Event;
use sequoiaridge_log::{log, log_request};
use std::time::Duration;

/// Records that an endpoint announced that it is leaving, and queues this for the other routers.
pub(crate) fn endpoint_leaving(
    state: &mut RoutingState,
    shared: &Shared,
    attempt: &str,
    entry: &EndpointEntry,
) {
    let boot = entry.boot();
    let announced_at = shared.clock.wall();
    if !state.roster.mark_leaving(&entry.id, &boot, announced_at) {
        return;
    }
    log_request(
        Event::EndpointLeaving,
        attempt,
        format_args!("endpoint={} boot={boot} source=answer", entry.id),
    );
    state.outbox.add_leaving(&entry.id, &boot, shared.now());
}

/// Records that an endpoint announced to another router, the given time ago, that it is leaving.
pub(crate) fn peer_reported_leaving(
    state: &mut RoutingState,
    shared: &Shared,
    id: &str,
    boot: &str,
    age: Duration,
) {
    let wall = shared.clock.wall();
    let announced_at = wall.checked_sub(age).unwrap_or(wall);
    if state.roster.mark_leaving(id, boot, announced_at) {
        let detail = format!(
            "endpoint={id} boot={boot} source=router age_ms={}",
            age.as_millis()
        );
        log(Event::EndpointLeaving, &detail);
    }
}

/// Records for how long an endpoint wants no requests from this router.
pub(crate) fn endpoint_rest(
    state: &mut RoutingState,
    shared: &Shared,
    attempt: &str,
    id: &str,
    request: RestRequest,
) {
    let now = shared.now();
    let answer = state.rests.request(id, request, now, &mut rand::rng());
    let (until, outcome) = match answer {
        RestOutcome::Until(until) => (until, "granted"),
        RestOutcome::Shortened(until) => (until, "shortened"),
        RestOutcome::Ignored => (now, "ignored"),
    };
    if !matches!(answer, RestOutcome::Until(_)) {
        shared.metrics.rests_ignored.inc();
    }
    let left = until.saturating_sub(now).as_millis();
    log_request(
        Event::EndpointResting,
        attempt,
        format_args!("endpoint={id} asked={request:?} outcome={outcome} left_ms={left}"),
    );
}

/// Records the limit on requests that an answer names, or that it names none any more.
pub(crate) fn endpoint_limit(
    state: &mut RoutingState,
    shared: &Shared,
    attempt: &str,
    entry: &EndpointEntry,
    notice: Option<LimitNotice>,
) {
    // Nearly all answers name no limit, of endpoints that never had one.
    if notice.is_none() && !state.limits.is_known(&entry.id) {
        return;
    }
    let per_second = match notice {
        Some(LimitNotice::Malformed) => {
            shared.metrics.limits_ignored.inc();
            return;
        }
        Some(LimitNotice::PerSecond(per_second)) => Some(per_second),
        None => None,
    };
    let limit = NamedLimit {
        boot: entry.boot(),
        per_second,
        at: shared.now(),
    };
    let change = state.limits.record(&entry.id, limit);
    log_limit_change(attempt, &entry.id, change, per_second, "answer");
    if change.is_some() || state.limits.is_repeat_due(&entry.id, shared.now()) {
        let report = LimitReport {
            endpoint: entry.id.clone(),
            boot: entry.boot(),
            per_second,
        };
        state.limits.note_told(&entry.id, shared.now());
        state.outbox.add_limit(report, shared.now());
    }
}

/// Records whether an endpoint says that it crashes if it has to reject requests, and leaves it alone for a
/// while if it has rejected one.
pub(crate) fn endpoint_brittle(
    state: &mut RoutingState,
    shared: &Shared,
    entry: &EndpointEntry,
    head: &AnswerHead,
) {
    let (now, service) = (shared.now(), &entry.service);
    if state.brittle.record(service, head.brittle.is_some(), now) {
        let event = if head.brittle.is_some() {
            Event::ServiceBrittle
        } else {
            Event::ServiceSound
        };
        log(
            event,
            &format!("service={service} rejections={:?}", head.brittle),
        );
    }
    if head.brittle.is_some() && head.not_run {
        let rest = RestRequest::For(REJECTION_PAUSE);
        state.rests.request(&entry.id, rest, now, &mut rand::rng());
        state.outbox.add_unreachable(&entry.id, now);
    }
}

/// Records a limit that another router heard of the given time ago.
pub(crate) fn peer_reported_limit(
    state: &mut RoutingState,
    shared: &Shared,
    report: LimitReport,
    age: Duration,
) {
    let now = shared.now();
    let per_second = report.per_second;
    state.outbox.drop_limit(&report);
    let limit = NamedLimit {
        boot: report.boot,
        per_second,
        at: now.saturating_sub(age),
    };
    let change = state.limits.record(&report.endpoint, limit);
    state.limits.note_told(&report.endpoint, now);
    log_limit_change("", &report.endpoint, change, per_second, "router");
}

fn log_limit_change(
    attempt: &str,
    id: &str,
    change: Option<LimitChange>,
    per_second: Option<f64>,
    source: &str,
) {
    match (change, per_second) {
        (Some(LimitChange::Named), Some(limit)) => log_request(
            Event::EndpointLimited,
            attempt,
            format_args!("endpoint={id} per_second={limit:.2} source={source}"),
        ),
        (Some(LimitChange::Ended), _) => log_request(
            Event::EndpointUnlimited,
            attempt,
            format_args!("endpoint={id} source={source}"),
        ),
        _ => {}
    }
}

/// Forgets the limits that no answer has named for a long time.
pub(crate) fn expire_limits(state: &mut RoutingState, shared: &Shared) {
    for id in state.limits.expire(shared.now()) {
        log(
            Event::EndpointUnlimited,
            &format!("endpoint={id} source=age"),
        );
    }
    state.limit_senders.expire(shared.now());
    let limited = i64::try_from(state.limits.len()).unwrap_or(i64::MAX);
    shared.metrics.limited.set(limited);
}

/// Ends the rests whose time is up.
pub(crate) fn expire_rests(state: &mut RoutingState, shared: &Shared) {
    for id in state.rests.expire(shared.now()) {
        log(Event::EndpointRested, &format!("endpoint={id}"));
    }
    let resting = i64::try_from(state.rests.len()).unwrap_or(i64::MAX);
    shared.metrics.resting.set(resting);
}
