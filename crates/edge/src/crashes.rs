//! Requests that crash endpoints: what is recorded, told, cleared and logged of them.

use crate::ends::{Finding, Loss, Run};
use crate::registry::{Registry, Saved, Table};
use crate::shared::{Board, Shared};
use crate::upstream::is_reachable;
use sequoiaridge_core::{Event, Fingerprint};
use sequoiaridge_log::{log, log_request};
use sequoiaridge_policy::{Aged, Crash, QuarantineState, SYNC_MIN_CRASHES};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

/// Who saw what is recorded of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A request of this router.
    Own,
    /// Another router told it.
    Router,
    /// It was saved in the registry.
    Registry,
}

impl Source {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Router => "router",
            Source::Registry => "registry",
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
        let grave = board.quarantine.strikes(run.crash.fingerprint, now) >= SYNC_MIN_CRASHES;
        board.news.crash(run.crash.clone(), now, grave);
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
    let standing = board.quarantine.strike_aged(crash, age, now);
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
    let held = |standing| matches!(standing, QuarantineState::Held { .. });
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
    board.quarantine.record_success(fingerprint, age, now);
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

/// Crashes of the requests that are held back, with the wall time of each in ms since the epoch.
type SavedCrashes = Vec<(Crash, u64)>;

/// Crashes that are saved: with some 50 bytes each a row has room for them.
const MAX_SAVED: usize = 900;
/// Pause between checks whether what is saved is still what is held back, and after a save that failed.
const SAVE_PERIOD: Duration = Duration::from_millis(500);
const SAVE_RETRY: Duration = Duration::from_secs(2);

/// Saves which requests are held back, at the router that reads for the fleet, whenever that changes:
/// routers that start, or all of them after a power cut, go on to hold them back.
pub(crate) async fn save_crashes(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let mut saved = shared.board().quarantine.held(shared.now());
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let now = shared.now();
        let (held, crashes) = {
            let board = shared.board();
            let held = board.quarantine.held(now);
            if held == saved || !board.endpoints.leads() {
                continue;
            }
            let crashes = held.iter().flat_map(|f| board.quarantine.crashes(*f, now));
            (held.clone(), crashes.collect::<Vec<_>>())
        };
        let outcome = match encode(&shared, crashes) {
            Ok(bytes) => registry.save(Saved::Crashes, bytes).await,
            Err(error) => return log(Event::CrashesNotSaved, &error.to_string()),
        };
        shared
            .metrics
            .registry_call(Table::Routers, outcome.is_ok());
        match outcome {
            Ok(()) => {
                log(Event::CrashesSaved, &format!("requests={}", held.len()));
                saved = held;
            }
            Err(error) => {
                log(Event::CrashesNotSaved, &error.to_string());
                tokio::time::sleep(SAVE_RETRY).await;
            }
        }
    }
}

fn encode(shared: &Shared, mut crashes: Vec<Aged<Crash>>) -> Result<Vec<u8>, postcard::Error> {
    crashes.sort_by_key(|crash| crash.age);
    let wall = wall_ms(shared);
    let crashes = crashes.into_iter().take(MAX_SAVED);
    let saved: SavedCrashes = crashes
        .map(|crash| (crash.value, wall.saturating_sub(crash.age.into())))
        .collect();
    postcard::to_allocvec(&saved)
}

/// Takes over which requests are held back, as it was saved last.
pub(crate) fn restore_crashes(shared: &Shared, bytes: &[u8]) {
    let saved: SavedCrashes = match postcard::from_bytes(bytes) {
        Ok(saved) => saved,
        Err(error) => return log(Event::CrashesRestored, &format!("crashes=0 {error}")),
    };
    let wall = wall_ms(shared);
    let mut board = shared.board();
    for (crash, at) in &saved {
        let age = Duration::from_millis(wall.saturating_sub(*at));
        strike(&mut board, shared, "", crash, age, Source::Registry);
    }
    drop(board);
    log(Event::CrashesRestored, &format!("crashes={}", saved.len()));
}

fn wall_ms(shared: &Shared) -> u64 {
    let wall = shared.clock.wall().duration_since(UNIX_EPOCH);
    let wall = wall.unwrap_or_default().as_millis();
    u64::try_from(wall).unwrap_or(u64::MAX)
}
