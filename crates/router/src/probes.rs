//! Health probes of the endpoints that this router owns. See section 4.5 of `docs/design.md`.

use crate::metrics::Traffic;
use crate::refresh;
use crate::shared::{Shared, lock};
use bytes::Bytes;
use http::Method;
use sequoiaridge_core::{EndpointId, Event, Member, MemberState, hash64};
use sequoiaridge_log as event;
use sequoiaridge_membership::{
    EndpointHealth, EndpointReport, EndpointState, HealthConfig, HealthEvent, HealthState,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Time for which this router stays a substitute owner after it took a call as one.
const ADOPTION_TIME: Duration = Duration::from_secs(5);
/// Approximate size of a probe without the response body: request line, headers and response head.
const PROBE_OVERHEAD_BYTES: usize = 256;

/// Body of an endpoint's response to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadReport {
    boot: String,
    state: ReportedState,
    running: u32,
    capacity: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Up,
    Leaving,
}

/// Probes endpoints until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = ticks.tick() => {}
        }
        for (id, address) in due(&shared) {
            let shared = shared.clone();
            tokio::spawn(async move { probe(&shared, &id, address).await });
        }
    }
}

/// Returns this router's endpoints that are due for a probe.
fn due(shared: &Shared) -> Vec<(EndpointId, SocketAddr)> {
    let now = shared.now();
    let view = shared.view();
    let mut health = lock(&shared.health);
    let mut due = Vec::new();
    for (id, health) in health.iter_mut() {
        let Some(endpoint) = view.endpoints.get(id) else {
            continue;
        };
        if health.probe_due(now) {
            due.push((id.clone(), endpoint.member.address));
        }
    }
    due
}

/// Probes an endpoint now and returns its boot id, or `None` if the probe fails.
pub(crate) async fn probe(shared: &Shared, id: &EndpointId, address: SocketAddr) -> Option<u64> {
    let sent = shared.now();
    let result = fetch(shared, address).await;
    let now = shared.now();
    let answered = result.is_ok().then_some(sent);
    let boot = result.as_ref().ok().map(|report| report.boot);
    {
        let mut health = lock(&shared.health);
        let Some(health) = health.get_mut(id) else {
            return boot;
        };
        match result {
            Ok(report) => health.probe_ok(report, now),
            Err(connect) => health.probe_failed(now, connect),
        }
    }
    apply_health(shared, id, answered);
    boot
}

/// Fetches a load report.
///
/// # Errors
///
/// `true` if the connection could not be opened, `false` for any other failure.
async fn fetch(shared: &Shared, address: SocketAddr) -> Result<EndpointReport, bool> {
    shared
        .metrics
        .sent(Traffic::Probe, PROBE_OVERHEAD_BYTES / 2);
    let timeout = shared.settings.health.silence;
    let request = http::Request::builder()
        .method(Method::GET)
        .uri("/load")
        .body(Bytes::new())
        .map_err(|_| false)?;
    let answer = shared
        .client
        .send_fresh(address, request, timeout, timeout)
        .await
        .map_err(|error| matches!(error, sequoiaridge_http::ClientError::Connect(_)))?;
    if !answer.status.is_success() {
        return Err(false);
    }
    let body = tokio::time::timeout(timeout, answer.bytes(MAX_REPORT_BYTES)).await;
    let body = body.map_err(|_| false)?.map_err(|_| false)?;
    shared
        .metrics
        .received(Traffic::Probe, body.len() + PROBE_OVERHEAD_BYTES / 2);
    let report: LoadReport = serde_json::from_slice(&body).map_err(|_| false)?;
    Ok(EndpointReport {
        boot: hash64(report.boot.as_bytes()),
        leaving: matches!(report.state, ReportedState::Leaving),
        running: report.running,
        capacity: report.capacity,
    })
}

/// Copies the health of an endpoint to the admission state and logs changes.
///
/// `answered` is the time at which an answered probe was sent. The answer proves nothing about the
/// time after that.
fn apply_health(shared: &Shared, id: &EndpointId, answered: Option<Duration>) {
    let now = shared.now();
    let (state, report, events) = {
        let mut health = lock(&shared.health);
        let Some(health) = health.get_mut(id) else {
            return;
        };
        (health.state(now), health.report(), health.events())
    };
    for change in events {
        record_change(shared, id, change);
    }
    let started = {
        let mut owner = lock(&shared.owner);
        owner.set_state(id, refresh::policy_state(state.into()), now);
        if let (HealthState::Up, Some(report), Some(sent)) = (state, report, answered) {
            owner.record_probe(id, report.running, sent);
        }
        owner.start_waiting(now)
    };
    shared.start(started);
}

/// Logs a change of health. After an outage or a restart, the endpoint counts as newly joined.
fn record_change(shared: &Shared, id: &EndpointId, change: HealthEvent) {
    if matches!(change, HealthEvent::Down | HealthEvent::Restarted { .. }) {
        shared.note_joined(id);
    }
    let event = match change {
        HealthEvent::Up => Event::EndpointUp,
        HealthEvent::Leaving => Event::EndpointLeaving,
        HealthEvent::Down => Event::EndpointDown,
        HealthEvent::Damped => Event::EndpointDamped,
        HealthEvent::Restarted { .. } => Event::EndpointRestarted,
    };
    event::log(event, id);
}

/// Returns the boot id that an endpoint reported at its last successful probe.
pub(crate) fn boot_of(shared: &Shared, id: &EndpointId) -> Option<u64> {
    lock(&shared.health)
        .get(id)?
        .report()
        .map(|report| report.boot)
}

/// Returns the state of an endpoint that this router reports to its peers.
pub(crate) fn state_of(shared: &Shared, id: &EndpointId) -> EndpointState {
    let now = shared.now();
    lock(&shared.health)
        .get(id)
        .map_or(EndpointState::Unknown, |health| health.state(now).into())
}

/// Creates the health state of an endpoint that this router starts to admit to.
pub(crate) fn new_health(shared: &Shared) -> EndpointHealth {
    let probe_every = shared.settings.health.interval;
    EndpointHealth::new(HealthConfig {
        probe_every,
        ..HealthConfig::default()
    })
}

/// Probes one of this router's endpoints if it was not probed yet. A router that has just become
/// the owner would otherwise refuse calls until its first regular probe.
pub(crate) async fn ensure_probed(shared: &Shared, member: &Member) {
    let unknown = {
        let mut health = lock(&shared.health);
        let entry = health
            .entry(member.id.clone())
            .or_insert_with(|| new_health(shared));
        entry.set_listed_leaving(member.state == MemberState::Leaving, shared.now());
        entry.state(shared.now()) == HealthState::Unknown
    };
    if unknown {
        probe(shared, &member.id, member.address).await;
    }
}

/// Makes this router a substitute owner of an endpoint whose owner cannot be reached by the router
/// that sent the call. The endpoint is probed first, because an endpoint without a probe admits
/// nothing.
pub(crate) async fn adopt(shared: &Shared, member: &Member) {
    let now = shared.now();
    let adopted_before = {
        let mut health = lock(&shared.health);
        let mut adopted = lock(&shared.adopted);
        let adopted_before = adopted
            .insert(member.id.clone(), now + ADOPTION_TIME)
            .is_some_and(|end| end > now);
        let entry = health
            .entry(member.id.clone())
            .or_insert_with(|| new_health(shared));
        entry.set_listed_leaving(member.state == MemberState::Leaving, now);
        let info = refresh::endpoint_info(member, true, entry.state(now).into(), None);
        if !adopted_before {
            lock(&shared.owner).set_endpoint(info, now);
        }
        adopted_before
    };
    if !adopted_before {
        probe(shared, &member.id, member.address).await;
    }
}
