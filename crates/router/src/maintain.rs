//! Periodic upkeep: the view, the owner's table, waiting calls, isolation.

use crate::shared::{Phase, Shared, Turn, lock};
use crate::view::View;
use crate::{admission, event, probes, sums};
use sequoiaridge_core::{EndpointId, Event, Member, MemberState};
use sequoiaridge_membership::{COUNTED_ENDPOINTS, EndpointLoad, EndpointState as Reported};
use sequoiaridge_policy::{EndpointInfo, EndpointState, RouterInfo};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Time between two rounds.
const TICK: Duration = Duration::from_millis(100);

/// Runs until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = ticks.tick() => round(&shared),
        }
    }
}

/// One round of upkeep.
pub(crate) fn round(shared: &Shared) {
    refresh_view(shared);
    refresh_owner(shared);
    sums::exchange(shared);
    expire(shared);
    report_loads(shared);
    check_isolation(shared);
}

/// State in the terms of the owner's table.
pub(crate) fn policy_state(state: Reported) -> EndpointState {
    match state {
        Reported::Up => EndpointState::Up,
        Reported::Leaving => EndpointState::Leaving,
        Reported::Unknown | Reported::Down | Reported::Released => EndpointState::Down,
    }
}

/// Description of an endpoint for the owner's table.
pub(crate) fn endpoint_info(
    member: &Member,
    own: bool,
    state: Reported,
    joined: Option<Duration>,
) -> EndpointInfo {
    EndpointInfo {
        id: member.id.clone(),
        capacity: member.capacity,
        groups: member.serves.clone(),
        state: policy_state(state),
        own,
        joined,
    }
}

fn refresh_view(shared: &Shared) {
    let members = lock(&shared.members).clone();
    let (peers, loads) = {
        let detector = lock(&shared.detector);
        (detector.view(), detector.loads())
    };
    // A draining router gives its endpoints up, unless nobody else could take them.
    let alone = !peers.iter().any(|peer| peer.state.owns());
    let owns = shared.phase() == Phase::Serving || (shared.phase() == Phase::Draining && alone);
    let me = owns.then(|| RouterInfo {
        id: shared.id().clone(),
        domain: shared.settings.domain.clone(),
        region: shared.settings.region.clone(),
    });
    let view = View::build(me, &peers, &members, &loads);
    {
        let mut owner = lock(&shared.owner);
        let now = shared.now();
        for load in loads.iter().filter(|load| &load.owner != shared.id()) {
            owner.report(&load.owner, &load.endpoint, load.outstanding, now);
        }
    }
    *shared.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
}

/// Brings health and owner tables up to date with the view.
fn refresh_owner(shared: &Shared) {
    let now = shared.now();
    let view = shared.view();
    let mut health = lock(&shared.health);
    let mut adopted = lock(&shared.adopted);
    adopted.retain(|_, end| *end > now);
    let own: BTreeSet<&EndpointId> = view
        .endpoints
        .iter()
        .filter(|(id, endpoint)| &endpoint.owner == shared.id() || adopted.contains_key(*id))
        .map(|(id, _)| id)
        .collect();
    let before = health.len();
    health.retain(|id, _| own.contains(id));
    let moved = health.len() < before;
    let mut owner = lock(&shared.owner);
    for (id, endpoint) in &view.endpoints {
        let member = &endpoint.member;
        let mut state = endpoint.state;
        if own.contains(id) {
            let entry = health
                .entry(id.clone())
                .or_insert_with(|| probes::new_health(shared));
            entry.listed(member.state == MemberState::Leaving, now);
            state = entry.state(now).into();
        } else if state == Reported::Unknown {
            // Before the owner's first report the endpoint may be tried; its owner decides.
            state = Reported::Up;
        }
        let joined = shared.joined(id);
        owner.set_endpoint(endpoint_info(member, own.contains(id), state, joined), now);
    }
    let known: Vec<EndpointId> = owner.counts().into_iter().map(|(id, _)| id).collect();
    for id in known.iter().filter(|id| !view.endpoints.contains_key(*id)) {
        owner.remove_endpoint(id);
    }
    drop((owner, adopted, health));
    if moved {
        shared.move_waiting();
    }
}

/// Ends calls that waited too long, and starts calls for which room appeared.
fn expire(shared: &Shared) {
    let now = shared.now();
    let (ended, started) = {
        let mut owner = lock(&shared.owner);
        (owner.expire(now), owner.start_waiting(now))
    };
    for ended in ended {
        admission::tell(shared, ended.ticket, Turn::Refused(ended.refusal));
    }
    shared.start(started);
}

/// Publishes counts and states of the endpoints that this router admits to.
fn report_loads(shared: &Shared) {
    let own: Vec<EndpointId> = lock(&shared.health).keys().cloned().collect();
    let states: BTreeMap<EndpointId, Reported> = own
        .into_iter()
        .map(|id| (id.clone(), probes::state_of(shared, &id)))
        .collect();
    let counts: BTreeMap<EndpointId, u32> = lock(&shared.owner).counts().into_iter().collect();
    let busy = counts
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(id, _)| id);
    let ids: BTreeSet<&EndpointId> = states.keys().chain(busy).collect();
    let loads: Vec<EndpointLoad> = ids
        .into_iter()
        .map(|id| EndpointLoad {
            endpoint: id.clone(),
            outstanding: counts.get(id).copied().unwrap_or(0),
            state: states.get(id).copied().unwrap_or(Reported::Unknown),
        })
        .collect();
    lock(&shared.detector).set_loads(&loads, shared.now());
    let view = shared.view();
    let skew = match view.endpoints.len() > COUNTED_ENDPOINTS {
        true => sums::own_skew(shared, &view),
        false => skew(&view),
    };
    shared.metrics.skew.set(skew);
}

/// Largest load over the mean among the groups, or zero when nothing is outstanding.
fn skew(view: &View) -> f64 {
    let mut groups: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
    for endpoint in view.endpoints.values().filter(|e| e.state == Reported::Up) {
        for name in &endpoint.member.serves {
            let (sum, max, count) = groups.entry(name).or_default();
            *sum += endpoint.outstanding;
            *max = (*max).max(endpoint.outstanding);
            *count += 1;
        }
    }
    let skews = groups.values().filter(|(sum, _, _)| *sum > 0);
    skews
        .map(|(sum, max, count)| f64::from(*max * count) / f64::from(*sum))
        .fold(0.0, f64::max)
}

/// A router that hears neither the platform nor any peer, though it knows peers, cannot know of a newer
/// configuration.
fn check_isolation(shared: &Shared) {
    let now = shared.now();
    let limit = shared.settings.config.isolation;
    let (peers, peer_heard) = {
        let detector = lock(&shared.detector);
        (detector.view().len(), detector.last_heard())
    };
    let platform_heard = *lock(&shared.platform_heard);
    let heard = peer_heard.max(platform_heard);
    let quiet = heard.is_none_or(|at| now.saturating_sub(at) > limit);
    let isolated = peers > 0 && quiet && shared.phase() >= Phase::Serving;
    let before = shared.isolated.swap(isolated, Ordering::Relaxed);
    match (before, isolated) {
        (false, true) => event::log(Event::Isolated, ""),
        (true, false) => event::log(Event::Rejoined, ""),
        _ => {}
    }
}
