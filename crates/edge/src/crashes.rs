//! Requests and parts of prompts that crash endpoints: recording, sharing, clearing, saving and
//! logging.

use crate::network::is_reachable;
use crate::registry::{Registry, Saved, Table};
use crate::shared::{RoutingState, Shared, is_later_era};
use crate::terminations::{Loss, LossOutcome, Run};
use sequoiaridge_core::Event;
use sequoiaridge_log::{log, log_request};
use sequoiaridge_policy::{Aged, Crash, QuarantineState, SYNC_MIN_CRASHES, Suspect};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

/// Where the record of a crash or a success comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSource {
    /// A request of this router.
    Own,
    /// Another router.
    Router,
    /// The crashes that were saved in the registry.
    Registry,
    /// An operator who released a suspect.
    Operator,
}

impl CrashSource {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CrashSource::Own => "own",
            CrashSource::Router => "router",
            CrashSource::Registry => "registry",
            CrashSource::Operator => "operator",
        }
    }
}

/// Handles an attempt that ended without an answer and may have crashed its endpoint.
pub(crate) fn attempt_lost(shared: &Arc<Shared>, run: &Run, address: SocketAddr, loss: Loss) {
    let mut state = shared.lock_state();
    match state.terminations.record_loss(run, loss, shared.now()) {
        LossOutcome::Crashed => record_own_crashes(&mut state, shared, std::slice::from_ref(run)),
        LossOutcome::Pending => {}
        LossOutcome::Probe => {
            drop(state);
            let (shared, run) = (shared.clone(), run.clone());
            tokio::spawn(async move { probe(&shared, &run, address).await });
        }
    }
}

/// Handles an attempt that ended without an answer and whose endpoint cannot be reached.
pub(crate) fn attempt_unreachable(shared: &Shared, run: &Run) {
    let now = shared.now();
    let mut state = shared.lock_state();
    if state
        .terminations
        .record_loss(run, Loss::ConnectionLost, now)
        == LossOutcome::Crashed
    {
        record_own_crashes(&mut state, shared, std::slice::from_ref(run));
    }
    drop(state);
    endpoint_unreachable(shared, &run.attempt, &run.endpoint, &run.boot);
}

/// Probes whether the endpoint of a run terminated: one that only lost a connection can be reached.
async fn probe(shared: &Arc<Shared>, run: &Run, address: SocketAddr) {
    if is_reachable(shared.clone(), address).await {
        shared
            .lock_state()
            .terminations
            .record_reachable(&run.endpoint);
    } else {
        endpoint_unreachable(shared, "", &run.endpoint, &run.boot);
    }
}

/// Handles an endpoint, with its boot id, that cannot be reached: ejects it for a while and records
/// the crash for the requests that ran there.
pub(crate) fn endpoint_unreachable(shared: &Shared, attempt: &str, endpoint: &str, boot: &str) {
    let now = shared.now();
    let mut state = shared.lock_state();
    let until = state.health.record_failure(endpoint, now);
    if !state.isolation.is_isolated() {
        state.outbox.add_unreachable(endpoint, now);
        let runs = state.terminations.record_end(endpoint, boot, now);
        record_own_crashes(&mut state, shared, &runs);
    }
    drop(state);
    log_request(
        Event::EndpointDown,
        attempt,
        format_args!(
            "endpoint={endpoint} paused_ms={}",
            until.saturating_sub(now).as_millis()
        ),
    );
}

/// Records that endpoints crashed under attempts of this router, and queues the crashes for the
/// other routers.
pub(crate) fn record_own_crashes(state: &mut RoutingState, shared: &Shared, runs: &[Run]) {
    let now = shared.now();
    for run in runs {
        let departures = &mut state.departures;
        departures.record_crash(&run.endpoint, &run.boot, now);
    }
    for (run, crash) in runs
        .iter()
        .flat_map(|run| run.crashes().map(move |crash| (run, crash)))
    {
        let is_part = matches!(crash.suspect, Suspect::Part(_));
        let is_trusted = state
            .quarantine
            .recent_success(crash.suspect, now)
            .is_some();
        if state.quarantine.contains(&crash) || is_part && is_trusted {
            continue;
        }
        let (age, source) = (Duration::ZERO, CrashSource::Own);
        record_crash(state, shared, &run.attempt, &crash, age, source);
        let repeated = state.quarantine.strikes(crash.suspect, now) >= SYNC_MIN_CRASHES;
        state.outbox.add_crash(crash, now, is_part || repeated);
    }
}

/// Records that a suspect crashed an endpoint the given time ago.
pub(crate) fn record_crash(
    state: &mut RoutingState,
    shared: &Shared,
    attempt: &str,
    crash: &Crash,
    age: Duration,
    source: CrashSource,
) {
    let now = shared.now();
    let suspect = crash.suspect;
    let old_state = state.quarantine.state(suspect, now);
    let old_strikes = state.quarantine.strikes(suspect, now);
    let new_state = state.quarantine.strike_aged(crash, age, now);
    let new_strikes = state.quarantine.strikes(suspect, now);
    if new_strikes == old_strikes {
        return;
    }
    shared.metrics.crash_recorded(source);
    let detail = format!(
        "suspect={suspect} endpoint={} boot={} earlier={} source={} age_ms={} strikes={new_strikes}",
        crash.endpoint,
        crash.boot,
        crash.earlier,
        source.as_str(),
        age.as_millis()
    );
    log_request(Event::CrashStrike, attempt, format_args!("{detail}"));
    let held = |state| matches!(state, QuarantineState::Held { .. });
    if held(new_state) && !held(old_state) {
        log_request(Event::Quarantined, attempt, format_args!("{detail}"));
    }
}

/// Records that a suspect succeeded the given time ago, so it is not what crashed endpoints around
/// that time. Returns whether crashes counted against it.
pub(crate) fn suspect_succeeded(
    state: &mut RoutingState,
    shared: &Shared,
    attempt: &str,
    suspect: Suspect,
    age: Duration,
    source: CrashSource,
) -> bool {
    let now = shared.now();
    let strikes = state.quarantine.strikes(suspect, now);
    state.quarantine.record_success(suspect, age, now);
    if state.quarantine.strikes(suspect, now) >= strikes {
        return false;
    }
    shared.metrics.crashes_cleared(source);
    log_request(
        Event::CrashCleared,
        attempt,
        format_args!(
            "suspect={suspect} source={} age_ms={} strikes={strikes}",
            source.as_str(),
            age.as_millis()
        ),
    );
    true
}

/// Crashes of the suspects that are held, with the wall time of each in ms since the epoch.
type SavedCrashes = Vec<(Crash, u64)>;

/// Most crashes that are saved: with about 50 bytes each they fit in a row.
const MAX_SAVED_CRASHES: usize = 900;
/// Interval between checks whether the held suspects differ from the saved ones.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the next check after a save that failed, in addition to the interval.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Saves which suspects are held, whenever that changes, at the router that reads for the fleet.
/// Routers that start, or all of them after a power cut, then keep holding them. `saved` are the held
/// suspects that the registry has; `None` if that is not known.
pub(crate) async fn save_crashes(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    mut saved: Option<BTreeMap<Suspect, bool>>,
) {
    let mut era = shared.watch_era();
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let now = shared.now();
        if is_later_era(&mut era) {
            saved = None;
        }
        let (held, crashes) = {
            let state = shared.lock_state();
            let held = state.quarantine.held(now);
            if saved.as_ref() == Some(&held) || !state.endpoints.is_reader() {
                continue;
            }
            let crashes = held.keys().flat_map(|s| state.quarantine.crashes(*s, now));
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
                log(Event::CrashesSaved, &format!("suspects={}", held.len()));
                saved = Some(held);
            }
            Err(error) => {
                log(Event::CrashesNotSaved, &error.to_string());
                tokio::time::sleep(SAVE_RETRY_DELAY).await;
            }
        }
    }
}

fn encode(shared: &Shared, mut crashes: Vec<Aged<Crash>>) -> Result<Vec<u8>, postcard::Error> {
    crashes.sort_by_key(|crash| crash.age);
    let wall = wall_ms(shared);
    let crashes = crashes.into_iter().take(MAX_SAVED_CRASHES);
    let saved: SavedCrashes = crashes
        .map(|crash| (crash.value, wall.saturating_sub(crash.age.into())))
        .collect();
    postcard::to_allocvec(&saved)
}

/// Restores which suspects are held from what was saved last.
pub(crate) fn restore_crashes(shared: &Shared, bytes: &[u8]) {
    let saved: SavedCrashes = match postcard::from_bytes(bytes) {
        Ok(saved) => saved,
        Err(error) => return log(Event::CrashesRestored, &format!("crashes=0 {error}")),
    };
    let wall = wall_ms(shared);
    let mut state = shared.lock_state();
    for (crash, at) in &saved {
        let age = Duration::from_millis(wall.saturating_sub(*at));
        record_crash(&mut state, shared, "", crash, age, CrashSource::Registry);
    }
    drop(state);
    log(Event::CrashesRestored, &format!("crashes={}", saved.len()));
}

fn wall_ms(shared: &Shared) -> u64 {
    let wall = shared.clock.wall().duration_since(UNIX_EPOCH);
    let wall = wall.unwrap_or_default().as_millis();
    u64::try_from(wall).unwrap_or(u64::MAX)
}
