//! Applies what operators set: the configuration in force and the evacuated domains, as this router read them
//! or received them from another router.

use crate::constraints::{
    DomainKey, EvacuatedDomains, EvacuationRow, EvacuationUpdate, domain_key,
};
use crate::manifest::Manifest;
use crate::registry::{Entry, Position, Rows};
use crate::routes::RouteTable;
use crate::shared::{RoutingState, Shared};
use sequoiaridge_core::{DomainId, Event};
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Applies the operators' rows that were read by a call sent at `sent`: those that changed, or the whole
/// table. Versions of the configuration hold in all eras: a
/// registry that came back from a copy may have an older one until the operators write again.
pub(crate) fn apply_configuration(
    shared: &Shared,
    rows: Rows,
    whole: bool,
    sent: Duration,
    verified_at: Duration,
) {
    let mut state = shared.lock_state();
    let position = rows.position;
    let mut evacuations = Vec::new();
    for row in rows.rows {
        let evacuated = matches!(row.entry, Entry::Evacuation(_));
        match row.entry {
            Entry::Configuration(manifest) => {
                activate(&mut state, shared, manifest, row.position);
            }
            Entry::Evacuation(domain) | Entry::EvacuationEnded(domain) => {
                evacuations.push(EvacuationRow {
                    domain,
                    position: row.position,
                    evacuated,
                });
            }
            Entry::Malformed(reason) => {
                shared.metrics.operator_rows_rejected.inc();
                log(Event::ConfigInvalid, &format!("key={:?} {reason}", row.key));
            }
            _ => {}
        }
    }
    let now = shared.now();
    let update = if whole {
        state.evacuations.apply_whole(&evacuations, position, now)
    } else {
        state.evacuations.apply_changes(&evacuations, now)
    };
    report_evacuations(&state, shared, &update, "registry");
    if shared.note_era(position.era).is_some() {
        let detail = format!(
            "era={} before={} position={position} version={} source=registry",
            position.era,
            state.config_position.era,
            state.version()
        );
        log(Event::RegistryRestored, &detail);
    }
    state.config_position = state.config_position.max(position);
    let version = state.version();
    state.configuration.record_success();
    let started = state.configuration.revision().is_none();
    let revision = Position::new(0, version);
    state.configuration.apply_version(revision, verified_at);
    if !started {
        state.configuration.record_read(sent, verified_at);
    }
    drop(state);
    shared.notify_if_ready();
}

/// Applies the evacuated domains that another router knows.
pub(crate) fn apply_evacuations(state: &mut RoutingState, shared: &Shared, set: EvacuatedDomains) {
    let update = state.evacuations.merge(set, shared.now());
    report_evacuations(state, shared, &update, "router");
}

fn report_evacuations(
    state: &RoutingState,
    shared: &Shared,
    update: &EvacuationUpdate,
    source: &str,
) {
    let position = state.evacuations.known().map(|known| known.position);
    let position = position.unwrap_or_default();
    let changes = [
        (Event::EvacuationStarted, &update.started),
        (Event::EvacuationEnded, &update.ended),
    ];
    for (event, keys) in changes {
        for key in keys {
            let domain = domain_name(state, shared, *key);
            log(
                event,
                &format!("domain={domain:?} position={position} source={source}"),
            );
        }
    }
    for domain in &update.rejected {
        shared.metrics.operator_rows_rejected.inc();
        let detail = format!("domain={domain:?} evacuated={}", state.evacuations.len());
        log(Event::EvacuationRejected, &detail);
    }
    let evacuated = i64::try_from(state.evacuations.len()).unwrap_or(i64::MAX);
    shared.metrics.evacuated.set(evacuated);
}

/// Name of a domain, if this router knows one with that key; the key otherwise.
fn domain_name(state: &RoutingState, shared: &Shared, key: DomainKey) -> String {
    let listed = state.roster.domains();
    let known = shared.settings.regions.keys();
    let name = known.chain(listed).find(|domain| domain_key(domain) == key);
    let hex = || format!("{:08x}", u32::from_be_bytes(key));
    name.map_or_else(hex, DomainId::clone)
}

/// Applies the configuration of another router, or that there is none yet.
pub(crate) fn apply_manifest(
    shared: &Shared,
    manifest: Option<Arc<Manifest>>,
    position: Position,
    verified_at: Duration,
) {
    let mut state = shared.lock_state();
    let version = manifest.as_ref().map_or(0, |manifest| manifest.version);
    if let Some(manifest) = manifest {
        activate(&mut state, shared, manifest, position);
    }
    state.config_position = state.config_position.max(position);
    let revision = Position::new(0, version);
    state.configuration.apply_version(revision, verified_at);
    drop(state);
    shared.notify_if_ready();
}

/// Puts a configuration in force unless the current one is as new.
fn activate(
    state: &mut RoutingState,
    shared: &Shared,
    manifest: Arc<Manifest>,
    position: Position,
) {
    let version = manifest.version;
    let known = state.version();
    if known >= version {
        return;
    }
    let mut window = stream_window(&manifest);
    if known > 0 {
        // Streams that began under longer timeouts may still run.
        window = window.max(state.streams.window());
    }
    state.streams.set_window(window);
    state.versions.set_window(window);
    state.routes = Some(Arc::new(RouteTable::new(manifest)));
    let gauge = i64::try_from(version).unwrap_or(i64::MAX);
    shared.metrics.version.set(gauge);
    log(
        Event::ConfigApplied,
        &format!("version={version} before={known} position={position}"),
    );
}

/// Time for which a stream may be taken up: it runs for one timeout at most, and the last of several
/// attempts begins within another one.
fn stream_window(manifest: &Manifest) -> Duration {
    let resumable = manifest
        .routes
        .iter()
        .filter(|route| route.kind.streams() && route.kind.repeatable());
    let longest = resumable.map(|route| route.timeout).max();
    longest.unwrap_or_default() * 2
}
