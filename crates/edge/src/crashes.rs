//! Requests that crash endpoints: what is recorded, told, cleared and logged of them.

use crate::ends::{Finding, Loss, Run};
use crate::shared::{Board, Shared};
use crate::upstream::is_reachable;
use sequoiaridge_core::{Event, Fingerprint};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::{Crash, Standing};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Who saw what is recorded of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A request of this router.
    Own,
    /// Another router told it.
    Router,
}

impl Source {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Router => "router",
        }
    }
}

/// Takes over that an attempt ended without an answer: it may have crashed its endpoint.
pub(crate) fn lost(shared: &Arc<Shared>, run: &Run, address: SocketAddr, loss: Loss) {
    let mut board = shared.board();
    match board.ends.lost(run, loss, shared.now()) {
        Finding::Crashed => strike_own(&mut board, shared, std::slice::from_ref(run)),
        Finding::Open => {}
        Finding::Check => {
            drop(board);
            let (shared, crash) = (shared.clone(), run.crash.clone());
            tokio::spawn(async move { check(&shared, &crash, address).await });
        }
    }
}

/// Takes over that an attempt ended without an answer, and that its endpoint cannot be reached.
pub(crate) fn lost_with(shared: &Shared, run: &Run) {
    let now = shared.now();
    let mut board = shared.board();
    if board.ends.lost(run, Loss::Broke, now) == Finding::Crashed {
        strike_own(&mut board, shared, std::slice::from_ref(run));
    }
    drop(board);
    gone(shared, &run.attempt, &run.crash.endpoint, &run.crash.boot);
}

/// Finds out whether an endpoint ended: an endpoint that only lost a connection can be reached.
async fn check(shared: &Shared, crash: &Crash, address: SocketAddr) {
    if is_reachable(address).await {
        shared.board().ends.reached(&crash.endpoint);
    } else {
        gone(shared, "", &crash.endpoint, &crash.boot);
    }
}

/// Takes over that an endpoint with a boot id cannot be reached: it is left out for a while, and what ran
/// there is recorded.
pub(crate) fn gone(shared: &Shared, attempt: &str, endpoint: &str, boot: &str) {
    let now = shared.now();
    let mut board = shared.board();
    let until = board.health.failed(endpoint, now);
    board.news.failed(endpoint);
    let runs = board.ends.ended(endpoint, boot, now);
    strike_own(&mut board, shared, &runs);
    drop(board);
    log_request(
        Event::EndpointDown,
        attempt,
        format_args!(
            "endpoint={endpoint} paused_ms={}",
            until.saturating_sub(now).as_millis()
        ),
    );
}

/// Records that endpoints ended under attempts of this router, and tells the others.
pub(crate) fn strike_own(board: &mut Board, shared: &Shared, runs: &[Run]) {
    for run in runs {
        let now = shared.now();
        strike(
            board,
            shared,
            &run.attempt,
            &run.crash,
            Duration::ZERO,
            Source::Own,
        );
        board.news.crash(run.crash.clone(), now);
    }
}

/// Records that a request crashed an endpoint the given time ago.
pub(crate) fn strike(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    crash: &Crash,
    age: Duration,
    source: Source,
) {
    let now = shared.now();
    let fingerprint = crash.fingerprint;
    let before = board.quarantine.state(fingerprint, now);
    let strikes = board.quarantine.strikes(fingerprint, now);
    let standing = board.quarantine.hear(crash, age, now);
    let after = board.quarantine.strikes(fingerprint, now);
    if after == strikes {
        return;
    }
    shared.metrics.struck(source);
    let detail = format!(
        "fingerprint={fingerprint:016x} endpoint={} boot={} earlier={} source={} age_ms={} strikes={after}",
        crash.endpoint,
        crash.boot,
        crash.earlier,
        source.as_str(),
        age.as_millis()
    );
    log_request(Event::CrashStrike, attempt, format_args!("{detail}"));
    let held = |standing| matches!(standing, Standing::Held { .. });
    if held(standing) && !held(before) {
        log_request(Event::Quarantined, attempt, format_args!("{detail}"));
    }
}

/// Takes over that a request succeeded the given time ago: it is not what crashed endpoints around then.
/// Returns whether crashes counted against it.
pub(crate) fn ran(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    fingerprint: Fingerprint,
    age: Duration,
    source: Source,
) -> bool {
    let now = shared.now();
    let strikes = board.quarantine.strikes(fingerprint, now);
    board.quarantine.ran(fingerprint, age, now);
    if board.quarantine.strikes(fingerprint, now) == strikes {
        return false;
    }
    shared.metrics.cleared(source);
    log_request(
        Event::CrashCleared,
        attempt,
        format_args!(
            "fingerprint={fingerprint:016x} source={} age_ms={} strikes={strikes}",
            source.as_str(),
            age.as_millis()
        ),
    );
    true
}
