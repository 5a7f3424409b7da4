//! Periodic maintenance: expires waiting calls, publishes load reports, checks isolation and
//! refreshes the view.

use crate::shared::{Phase, Shared, WaitOutcome, lock};
use crate::{admission, probes, refresh, sums};
use sequoiaridge_core::{EndpointId, Event, Role};
use sequoiaridge_log as event;
use sequoiaridge_membership::{EndpointLoad, EndpointState as Reported, MAX_COUNTED_ENDPOINTS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two maintenance rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of rounds after which the view is refreshed even if it is not marked stale.
const REFRESH_ROUNDS: u32 = 5;

/// Runs maintenance rounds until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    for number in 0_u32.. {
        tokio::select! {
            () = &mut stopped => return,
            _ = ticks.tick() => {}
        }
        if shared.view_stale.swap(false, Ordering::Relaxed) || number % REFRESH_ROUNDS == 0 {
            refresh::refresh(&shared);
            sums::exchange(&shared);
            shared.metrics.skew.set(skew(&shared));
        }
        expire_waiting(&shared);
        report_loads(&shared);
        check_isolation(&shared);
    }
}

/// Ends calls that waited too long, and starts waiting calls that an endpoint can take now.
fn expire_waiting(shared: &Shared) {
    let now = shared.now();
    let (ended, started) = {
        let mut owner = lock(&shared.owner);
        (owner.expire(now), owner.start_waiting(now))
    };
    for ended in ended {
        admission::notify(shared, ended.ticket, WaitOutcome::Refused(ended.refusal));
    }
    shared.start(started);
}

/// Publishes the states and outstanding requests of the endpoints to which this router admits
/// calls.
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
}

/// Returns the largest ratio of an engine's outstanding requests to the mean of its group; zero if
/// nothing is outstanding.
fn skew(shared: &Shared) -> f64 {
    let view = shared.view();
    if view.endpoints.len() > MAX_COUNTED_ENDPOINTS {
        return sums::own_skew(shared, &view);
    }
    let outstanding = shared.outstanding();
    let mut groups: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
    for (id, endpoint) in &view.endpoints {
        if endpoint.state != Reported::Up || endpoint.member.role != Role::Engine {
            continue;
        }
        let load = outstanding.get(id).copied().unwrap_or(0);
        for name in &endpoint.member.serves {
            let (sum, max, count) = groups.entry(name).or_default();
            *sum += load;
            *max = (*max).max(load);
            *count += 1;
        }
    }
    let skews = groups.values().filter(|(sum, _, _)| *sum > 0);
    skews
        .map(|(sum, max, count)| f64::from(*max * count) / f64::from(*sum))
        .fold(0.0, f64::max)
}

/// Marks the router as isolated if it knows peers but hears neither them nor the platform: it
/// cannot learn of a newer configuration.
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
