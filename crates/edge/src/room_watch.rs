//! Keeps the room of each service up to date that admission applies to.
//!
//! Looking at an endpoint takes a fraction of a microsecond, and large fleets have thousands on a tenth of a core.
//! So while a service has plenty of room in a large fleet, it is looked at less often.

use crate::admission::{EndpointRoom, RoomChange, RoomFigures, ServiceRoom};
use crate::endpoint_scan::EndpointTables;
use crate::manifest::{Manifest, ServiceName};
use crate::shared::{RoutingState, Shared};
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between looks at a service.
const INTERVAL: Duration = Duration::from_millis(100);
/// Share of its room from which the demand on a service makes it near its room.
const NEAR_SHARE: f64 = 0.5;
/// Endpoints that are looked at in a second while no service is near its room.
const CALM_ENDPOINTS_PER_SECOND: f64 = 10_000.0;

/// Looks at the services until the process ends.
pub(crate) async fn watch_room(shared: Arc<Shared>) {
    let mut watched = BTreeMap::new();
    let mut period = tokio::time::interval(INTERVAL);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = shared.endpoint_overfull() => {}
        }
        refresh_services(&shared, &mut watched);
    }
}

/// Refreshes the services that are due. `watched` holds when that was done last for each.
fn refresh_services(shared: &Shared, watched: &mut BTreeMap<ServiceName, Duration>) {
    let now = shared.now();
    let mut state = shared.lock_state();
    let Some(routes) = state.routes.clone() else {
        return;
    };
    let manifest = routes.manifest();
    let is_on = |service: &str| {
        manifest.services.contains_key(service) && state.admission.is_on(service, now)
    };
    watched.retain(|service, _| {
        let keeps = is_on(service);
        if !keeps {
            shared.metrics.forget_room(service);
        }
        keeps
    });
    let calm_interval = INTERVAL.max(Duration::from_secs_f64(
        state.roster.len() as f64 / CALM_ENDPOINTS_PER_SECOND,
    ));
    let is_due = |service: &str| {
        let figures = state.admission.figures(service);
        let is_near = figures.is_some_and(|known| known.demand > NEAR_SHARE * known.room);
        let interval = if is_near { INTERVAL } else { calm_interval };
        // Ticks may come a little early or late.
        let last = watched.get(service);
        let is_urgent = state.admission.is_urgent(service);
        is_urgent || last.is_none_or(|last| now + INTERVAL / 4 >= *last + interval)
    };
    let names = manifest.services.keys().map(String::as_str);
    let due: Vec<&str> = names.filter(|name| is_on(name) && is_due(name)).collect();
    if due.is_empty() {
        return;
    }
    let rooms = endpoint_rooms(&state, &due, now);
    let routers = state.routers();
    let mut changes = Vec::new();
    for (service, endpoints) in rooms {
        let room = ServiceRoom {
            service,
            endpoints,
            routers,
            target: shortest_target(manifest, service),
        };
        let change = state.admission.refresh(&room, now);
        let figures = state.admission.figures(service);
        changes.push((service, change, figures));
        watched.insert(service.to_string(), now);
    }
    drop(state);
    for (service, change, figures) in changes {
        note_room(shared, service, change, figures);
    }
}

/// The usable endpoints of some services. Those that could not be reached a moment ago count only if no
/// other one is left, as for placement.
fn endpoint_rooms<'a>(
    state: &RoutingState,
    services: &[&'a str],
    now: Duration,
) -> BTreeMap<&'a str, Vec<EndpointRoom>> {
    let paces = |service: &str| state.loads.paces().at(service, now);
    let none = || (Vec::new(), Vec::new());
    let rooms = services
        .iter()
        .map(|service| (*service, (paces(service), none())));
    let mut rooms: BTreeMap<&'a str, _> = rooms.collect();
    let tables = EndpointTables {
        roster: &state.roster,
        loads: &state.loads,
        health: &state.health,
        rests: &state.rests,
    };
    for endpoint in tables.scan(|entry| services.contains(&entry.service.as_str()), now) {
        let entry = endpoint.entry;
        let Some((paces, (usable, paused))) = rooms.get_mut(entry.service.as_str()) else {
            continue;
        };
        if endpoint.leaving || endpoint.resting || endpoint.health.is_misdirected(entry) {
            continue;
        }
        // A limited endpoint holds as many requests as its limit admits.
        let slots = if state.is_limited(entry) {
            entry.slots.min(endpoint.work.requests.max(1))
        } else {
            entry.slots
        };
        let room = EndpointRoom {
            slots,
            requests: endpoint.work.requests,
            pace: paces.of_key(endpoint.key),
        };
        if endpoint.health.is_paused(now) {
            paused.push(room);
        } else {
            usable.push(room);
        }
    }
    let rooms = rooms.into_iter();
    rooms
        .map(|(service, (_, (usable, paused)))| {
            let endpoints = if usable.is_empty() { paused } else { usable };
            (service, endpoints)
        })
        .collect()
}

/// The shortest target of the routes that lead to a service.
fn shortest_target(manifest: &Manifest, service: &str) -> Duration {
    let routes = manifest.routes.iter();
    let leading = routes.filter(|route| {
        let mut shares = route.services.iter();
        shares.any(|(name, share)| name == service && *share > 0)
    });
    leading.map(|route| route.target).min().unwrap_or_default()
}

/// Logs a change of the room of a service and exports its figures.
fn note_room(
    shared: &Shared,
    service: &str,
    change: Option<RoomChange>,
    figures: Option<RoomFigures>,
) {
    if let Some(figures) = figures {
        shared.metrics.set_room(service, &figures);
    }
    let Some(change) = change else {
        return;
    };
    let event = if change.short {
        Event::RoomShort
    } else {
        Event::RoomSufficient
    };
    let detail = format!(
        "service={service} demand={:.1} room={:.1} correction={:.2} routers_heard={}",
        change.demand, change.room, change.correction, change.routers_heard
    );
    log(event, &detail);
}
