//! The history of software versions as the fleet saves it, for routers that start.

use crate::registry::{Era, Registry, RegistryError, Saved, Table};
use crate::schedule::jittered;
use crate::shared::{RoutingState, Shared, is_later_era};
use crate::version_history::ServiceVersions;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether the versions differ from the saved ones.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a save that failed, in addition to the interval; drawn between half and the whole.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time within which a call that got no answer may still be performed, after later ones.
const LATE_CALL_TIME: Duration = Duration::from_secs(10);

/// Records the versions that are listed now.
pub(crate) fn note_versions(state: &mut RoutingState, now: Duration) {
    let listed = state.roster.versions();
    state.versions.note_listed(&listed, now);
}

/// Records that the registry has no history. At the first start of the fleet, there is none to know.
pub(crate) fn note_no_versions(shared: &Shared, era: Era) {
    let is_first = shared.settings.first_start && era == 0;
    if is_first {
        shared.lock_state().versions.note_first_start();
    }
    let detail = format!("services=0 first_start={is_first} saved=false");
    log(Event::VersionsRestored, &detail);
}

/// The history for another router; empty if it cannot be encoded.
pub(crate) fn encode_versions(shared: &Shared) -> Vec<u8> {
    let (era, now, wall) = (shared.era(), shared.now(), shared.clock.wall());
    let encoded = shared.lock_state().versions.snapshot(era, now, wall);
    encoded.unwrap_or_else(|error| {
        log(Event::VersionsNotSaved, &error.to_string());
        Vec::new()
    })
}

/// Restores a history that was read in an era of the registry, or that another router sent.
pub(crate) fn restore_versions(shared: &Shared, bytes: &[u8], era: Option<Era>) {
    let (now, wall) = (shared.now(), shared.clock.wall());
    let mut state = shared.lock_state();
    let restored = state.versions.restore(bytes, era, now, wall);
    let services = state.versions.versions(now).len();
    let is_mixed = state.versions.has_mixed(now);
    drop(state);
    let source = if era.is_some() { "registry" } else { "router" };
    let detail = match restored {
        Ok(()) => format!("services={services} mixed={is_mixed} source={source}"),
        Err(error) => format!("services={services} mixed={is_mixed} source={source} {error}"),
    };
    log(Event::VersionsRestored, &detail);
}

/// Saves the versions of the services whenever they change, at the router that reads for the fleet.
/// Routers that start, or all of them after a power cut, then know of a version whose endpoints are
/// gone.
pub(crate) async fn save_versions(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    // What the registry has; `None` if that is not known.
    let mut saved: Option<ServiceVersions> = None;
    // Until when an earlier save may replace the last one.
    let mut late_until: Option<Duration> = None;
    let mut era = shared.watch_era();
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let now = shared.now();
        if is_later_era(&mut era) {
            saved = None;
        }
        if late_until.is_some_and(|until| now >= until) {
            late_until = None;
            saved = None;
        }
        let versions = {
            let state = shared.lock_state();
            if !state.endpoints.is_reader() {
                // Another router saves meanwhile.
                saved = None;
                continue;
            }
            state.versions.versions(now)
        };
        if saved.as_ref() == Some(&versions) {
            continue;
        }
        let bytes = encode_versions(&shared);
        if bytes.is_empty() {
            continue;
        }
        let outcome = registry.save(Saved::Versions, bytes).await;
        let answered = outcome.is_ok();
        shared.metrics.registry_call(Table::Routers, answered);
        match outcome {
            Ok(()) => {
                let mixed = versions.values().filter(|service| service.len() > 1);
                let detail = format!("services={} mixed={}", versions.len(), mixed.count());
                log(Event::VersionsSaved, &detail);
                saved = Some(versions);
            }
            Err(error) => {
                log(Event::VersionsNotSaved, &error.to_string());
                if error == RegistryError::Unreachable {
                    late_until = Some(now + LATE_CALL_TIME);
                }
                tokio::time::sleep(jittered(SAVE_RETRY_DELAY)).await;
            }
        }
    }
}
