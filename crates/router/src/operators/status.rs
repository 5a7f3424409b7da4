//! Status query of the administration API: the state of the fleet as one router sees it.

use super::auth::Operator;
use crate::metrics::claim_counts;
use crate::shared::{Phase, Shared, lock};
use crate::view::{EndpointView, View};
use sequoiaridge_core::{
    ClassName, EndpointId, FleetConfig, MemberState, RouterId, Targets, TeamId, Version,
};
use sequoiaridge_membership::{EndpointState, HealthState};
use sequoiaridge_policy::LoadBound;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// State of the fleet as this router sees it. Counters cover only this router, since its start.
#[derive(Serialize)]
pub(crate) struct Status {
    router: RouterId,
    domain: String,
    phase: &'static str,
    isolated: bool,
    version: Version,
    platform: &'static str,
    platform_quiet: Option<f64>,
    in_flight: i64,
    routers: Vec<RouterStatus>,
    endpoints: Vec<EndpointStatus>,
    classes: BTreeMap<ClassName, ClassStatus>,
    refusals: BTreeMap<&'static str, u64>,
    retries: BTreeMap<&'static str, u64>,
    control_bytes: BTreeMap<&'static str, ControlBytes>,
    claims: BTreeMap<&'static str, u64>,
}

#[derive(Serialize)]
struct RouterStatus {
    id: RouterId,
    domain: String,
    state: String,
    version: Version,
    /// Seconds since the last message directly from the router; `None` for this router and for one
    /// that has sent none yet.
    quiet: Option<f64>,
}

#[derive(Serialize)]
struct EndpointStatus {
    id: EndpointId,
    domain: String,
    serves: Vec<String>,
    owner: RouterId,
    state: String,
    reason: String,
    outstanding: u32,
    bound: u64,
    capacity: u32,
}

#[derive(Serialize)]
struct ClassStatus {
    team: TeamId,
    targets: Targets,
    calls: BTreeMap<&'static str, u64>,
    answered: Option<f64>,
    first_token_p95: Option<f64>,
    between_tokens_p95: Option<f64>,
    missed: Vec<&'static str>,
}

#[derive(Serialize)]
struct ControlBytes {
    sent: u64,
    received: u64,
}

/// Collects the status. Each table is locked separately, so the parts may be from slightly
/// different times.
pub(crate) fn status(shared: &Shared, operator: &Operator, config: &FleetConfig) -> Status {
    let heard = *lock(&shared.platform_heard);
    let quiet = |at: Duration| shared.now().saturating_sub(at).as_secs_f64();
    let refusals = shared.metrics.refusal_counts().into_iter();
    let retries = shared.metrics.retry_counts().into_iter();
    let control = shared.metrics.control_bytes().into_iter();
    Status {
        router: shared.id().clone(),
        domain: shared.settings.domain.clone(),
        phase: phase_name(shared.phase()),
        isolated: shared.isolated.load(Ordering::Relaxed),
        version: config.version,
        platform: if heard.is_some() { "up" } else { "down" },
        platform_quiet: heard.map(quiet),
        in_flight: shared.metrics.in_flight.get(),
        routers: routers(shared, config.version),
        endpoints: endpoints(shared),
        classes: classes(shared, operator, config),
        refusals: refusals.map(|(r, count)| (r.as_str(), count)).collect(),
        retries: retries.map(|(r, count)| (r.as_str(), count)).collect(),
        control_bytes: control
            .map(|(kind, sent, received)| (kind, ControlBytes { sent, received }))
            .collect(),
        claims: claim_counts(shared.ledger.stats()).into_iter().collect(),
    }
}

/// Returns this router and its peers, sorted by id.
fn routers(shared: &Shared, version: Version) -> Vec<RouterStatus> {
    let peers = lock(&shared.detector).view();
    let now = shared.now();
    let me = RouterStatus {
        id: shared.id().clone(),
        domain: shared.settings.domain.clone(),
        state: if shared.phase() < Phase::Draining {
            "alive".to_string()
        } else {
            "leaving".to_string()
        },
        version,
        quiet: None,
    };
    let peers = peers.into_iter().map(|peer| RouterStatus {
        id: peer.id,
        domain: peer.domain,
        state: format!("{:?}", peer.state).to_lowercase(),
        version: peer.version,
        quiet: peer
            .last_heard
            .map(|at| now.saturating_sub(at).as_secs_f64()),
    });
    let mut all: Vec<RouterStatus> = peers.chain([me]).collect();
    all.sort_by(|a, b| a.id.cmp(&b.id));
    all
}

/// Returns all endpoints in the view, sorted by id.
fn endpoints(shared: &Shared) -> Vec<EndpointStatus> {
    let view = shared.view();
    let now = shared.now();
    let health: BTreeMap<EndpointId, (HealthState, bool)> = {
        let health = lock(&shared.health);
        let bound = shared.settings.health.leave_bound;
        let entries = health.iter();
        entries
            .map(|(id, health)| {
                let fresh = health.admissible(now, bound);
                (id.clone(), (health.state(now), fresh))
            })
            .collect()
    };
    let outstanding = shared.outstanding();
    let group_loads = group_loads(&view, &outstanding);
    let multiple = shared.settings.load.multiple;
    let entry = |(id, endpoint): (&EndpointId, &EndpointView)| {
        let own = health.get(id).copied();
        EndpointStatus {
            id: id.clone(),
            domain: endpoint.member.domain.clone(),
            serves: endpoint.member.serves.clone(),
            owner: endpoint.owner.clone(),
            state: format!("{:?}", endpoint.state).to_lowercase(),
            reason: reason(endpoint, own, now),
            outstanding: outstanding.get(id).copied().unwrap_or(0),
            bound: bound(endpoint, &group_loads, multiple),
            capacity: endpoint.member.capacity,
        }
    };
    view.endpoints.iter().map(entry).collect()
}

/// Returns why an endpoint has its state. Only the owner knows the reason; other routers know just
/// the state.
fn reason(endpoint: &EndpointView, own: Option<(HealthState, bool)>, now: Duration) -> String {
    if endpoint.member.state == MemberState::Leaving {
        return "the membership list has it as leaving".to_string();
    }
    match own {
        Some((HealthState::Unknown, _)) => "it was not probed yet".to_string(),
        Some((HealthState::Up, true)) => "probes succeed".to_string(),
        Some((HealthState::Up, false)) => {
            "the last successful probe is too old; no new work is sent".to_string()
        }
        Some((HealthState::Leaving, _)) => "it reports that it is leaving".to_string(),
        Some((HealthState::Down, _)) => "probes fail".to_string(),
        Some((HealthState::Damped { until }, _)) => format!(
            "it changed state too often; it counts as up in {:.0} s if it stays up",
            until.saturating_sub(now).as_secs_f64().ceil()
        ),
        None if endpoint.state == EndpointState::Unknown => {
            format!("{} has not reported it yet", endpoint.owner)
        }
        None => format!("reported by {}", endpoint.owner),
    }
}

/// Outstanding requests and capacity of a group.
#[derive(Clone, Copy, Default)]
struct GroupLoad {
    work: u64,
    capacity: u64,
}

/// Sums up the endpoints of each group that are up.
fn group_loads<'a>(
    view: &'a View,
    outstanding: &BTreeMap<EndpointId, u32>,
) -> BTreeMap<&'a str, GroupLoad> {
    let mut group_loads: BTreeMap<&str, GroupLoad> = BTreeMap::new();
    let up = |endpoint: &EndpointView| endpoint.state == EndpointState::Up;
    for (id, endpoint) in view.endpoints.iter().filter(|(_, endpoint)| up(endpoint)) {
        let load = outstanding.get(id).copied().unwrap_or(0);
        for name in &endpoint.member.serves {
            let group = group_loads.entry(name).or_default();
            group.work += u64::from(load);
            group.capacity += u64::from(endpoint.member.capacity);
        }
    }
    group_loads
}

/// Returns the most requests that the endpoint may hold if one more arrives now. See section 4.1 of
/// `docs/design.md`.
fn bound(endpoint: &EndpointView, group_loads: &BTreeMap<&str, GroupLoad>, multiple: f64) -> u64 {
    if endpoint.state != EndpointState::Up {
        return 0;
    }
    let capacity = u64::from(endpoint.member.capacity);
    let limit =
        |group: &GroupLoad| LoadBound { multiple }.limit(group.work + 1, capacity, group.capacity);
    let names = endpoint.member.serves.iter();
    let limits = names.filter_map(|name| group_loads.get(name.as_str()).map(limit));
    limits.min().unwrap_or(0).min(capacity)
}

/// Returns the state of each class that the operator may see, with the targets that it misses.
fn classes(
    shared: &Shared,
    operator: &Operator,
    config: &FleetConfig,
) -> BTreeMap<ClassName, ClassStatus> {
    let percentiles = shared.metrics.percentiles();
    let visible = config.classes.iter().filter(|(_, c)| operator.can_see(c));
    let entry = |name: &ClassName, team: &TeamId, targets: &Targets| {
        let calls = shared.metrics.calls_of(name);
        let latency = percentiles.get(name).copied().unwrap_or_default();
        let all: u64 = calls.values().sum();
        let done = calls.get("done").copied().unwrap_or(0);
        let answered = (all > 0).then(|| done as f64 / all as f64);
        let above = |value: Option<f64>, target| value.is_some_and(|value| value > target);
        let checks = [
            (
                "answered",
                answered.is_some_and(|share| share < targets.answered),
            ),
            (
                "first_token",
                above(latency.first_token, targets.first_token),
            ),
            (
                "between_tokens",
                above(latency.between_tokens, targets.between_tokens),
            ),
        ];
        let missed = checks.into_iter().filter(|(_, missed)| *missed);
        ClassStatus {
            team: team.clone(),
            targets: targets.clone(),
            calls,
            answered,
            first_token_p95: latency.first_token,
            between_tokens_p95: latency.between_tokens,
            missed: missed.map(|(target, _)| target).collect(),
        }
    };
    visible
        .map(|(name, class)| (name.clone(), entry(name, &class.team, &class.targets)))
        .collect()
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::Stopped => "stopped",
    }
}
