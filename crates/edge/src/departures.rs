//! What endpoints say of themselves in their answers: that they leave, or want to be left alone.

use crate::manifest::EndpointEntry;
use crate::rest::{RestOutcome, RestRequest};
use crate::shared::{Board, Shared};
use sequoiaridge_core::Event;
use sequoiaridge_log::{log, log_request};
use std::time::Duration;

/// Takes over that an endpoint says that it leaves, and tells the other routers.
pub(crate) fn depart(board: &mut Board, shared: &Shared, attempt: &str, entry: &EndpointEntry) {
    let boot = entry.boot();
    let said = shared.clock.wall();
    if !board.roster.depart(&entry.id, &boot, said) {
        return;
    }
    log_request(
        Event::EndpointLeaving,
        attempt,
        format_args!("endpoint={} boot={boot} source=answer", entry.id),
    );
    board.news.add_leaving(&entry.id, &boot, shared.now());
}

/// Takes over that another router was told so by an endpoint, the given time ago.
pub(crate) fn hear_departed(
    board: &mut Board,
    shared: &Shared,
    id: &str,
    boot: &str,
    age: Duration,
) {
    let wall = shared.clock.wall();
    let said = wall.checked_sub(age).unwrap_or(wall);
    if board.roster.depart(id, boot, said) {
        let detail = format!(
            "endpoint={id} boot={boot} source=router age_ms={}",
            age.as_millis()
        );
        log(Event::EndpointLeaving, &detail);
    }
}

/// Takes over for how long an endpoint wants nothing from this router.
pub(crate) fn rest(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    id: &str,
    asked: RestRequest,
) {
    let now = shared.now();
    let granted = board.rests.request(id, asked, now, &mut rand::rng());
    let (until, outcome) = match granted {
        RestOutcome::Until(until) => (until, "granted"),
        RestOutcome::Shortened(until) => (until, "shortened"),
        RestOutcome::Ignored => (now, "ignored"),
    };
    if !matches!(granted, RestOutcome::Until(_)) {
        shared.metrics.rests_ignored.inc();
    }
    let left = until.saturating_sub(now).as_millis();
    log_request(
        Event::EndpointResting,
        attempt,
        format_args!("endpoint={id} asked={asked:?} outcome={outcome} left_ms={left}"),
    );
}

/// Notes the ends of rests.
pub(crate) fn end_rests(board: &mut Board, shared: &Shared) {
    for id in board.rests.expire(shared.now()) {
        log(Event::EndpointRested, &format!("endpoint={id}"));
    }
    let resting = i64::try_from(board.rests.len()).unwrap_or(i64::MAX);
    shared.metrics.resting.set(resting);
}
