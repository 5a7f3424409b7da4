//! Snapshots: transfer of the configuration and the endpoint table between routers.
//!
//! Calls to the registry are priced by the call and the byte and limited in rate, and a router with
//! a slow link takes a second to read a long table. So a router that starts into a running fleet
//! takes both from another one, and a new version spreads from the first routers of each failure
//! domain to the others.

use crate::constraints::EvacuatedDomains;
use crate::crashes::{CrashSource, record_crash};
use crate::endpoint_limits::LimitReport;
use crate::endpoint_notices::{peer_reported_leaving, peer_reported_limit};
use crate::feed::{ChangedRow, Feed};
use crate::manifest::Manifest;
use crate::network;
use crate::registry::Position;
use crate::saved_versions::{encode_versions, restore_versions};
use crate::schedule::{FIRST_READERS, jittered};
use crate::shared::{Contact, RoutingState, Shared};
use crate::sync::{apply_evacuations, apply_manifest, replace_endpoints};
use bytes::Bytes;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{EndpointId, Event, Version};
use sequoiaridge_log::log;
use sequoiaridge_policy::{Aged, Crash};
use sequoiaridge_wire::{Frame, FrameStream, LinkError, LinkPool, LinkPoolConfig, PeerKeys};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Time in which routers that start together discover each other; drawn between half and the whole.
const DISCOVERY_WAIT: Duration = Duration::from_millis(1000);
/// The same at the first start of the whole fleet, when hundreds of routers start within a second.
const FIRST_DISCOVERY_WAIT: Duration = Duration::from_millis(2000);
/// Pause between requests to two routers; drawn between half and the whole.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a router reads the registry itself; drawn between half and the whole. Snapshots
/// reach all routers of a failure domain within three seconds.
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);
/// The same at the first start of the whole fleet, when no caller waits yet. It does not apply to
/// the first routers of each failure domain.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Age up to which a table is given to other routers, as a share of the bounds on leaving endpoints
/// and on applying a configuration: the requester learns what changed since then within the other
/// half.
const FRESH_SHARE: f64 = 0.5;
/// Snapshots that are sent at the same time: a few more would fill a link of 10 Mbit/s.
const MAX_TRANSFERS: usize = 4;
/// Most crashes in a snapshot; with about 50 bytes each they add a tenth to a table of 600
/// endpoints.
const MAX_CRASHES: usize = 120;
/// Routers that a starting router asks while callers wait.
const MAX_START_ATTEMPTS: u32 = 2;
/// Time in which another router of the fleet must accept a connection, and in which it must answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The endpoint table in a snapshot.
#[derive(Serialize, Deserialize)]
struct EndpointSnapshot {
    /// Time since it was known to be complete, in ms.
    age_ms: u32,
    list: Vec<ChangedRow>,
    /// The latest changes that led to the list.
    tail: Feed,
    /// Endpoints that are not used because only a copy of the registry lists them.
    doubted: Vec<EndpointId>,
}

/// The configuration in a snapshot.
#[derive(Serialize, Deserialize)]
struct ConfigurationSnapshot {
    /// Time since it was known to be the newest, in ms.
    age_ms: u32,
    position: Position,
    /// `None` if the operators have written none yet.
    manifest: Option<Manifest>,
}

/// A snapshot as one router sends it to another.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    endpoints: Option<EndpointSnapshot>,
    configuration: Option<ConfigurationSnapshot>,
    /// Crashes that all routers must know.
    crashes: Vec<Aged<Crash>>,
    /// Endpoints that announced that they are leaving, with their boot ids.
    leaving: Vec<(EndpointId, String)>,
    /// Limits that endpoints named.
    limits: Vec<Aged<LimitReport>>,
    /// History of the services' software versions; empty if it cannot be encoded.
    versions: Vec<u8>,
    /// The evacuated domains; `None` if the sender knows no set yet.
    evacuations: Option<EvacuatedDomains>,
}

/// The parts of a snapshot that are requested.
#[derive(Clone, Copy, Debug)]
struct SnapshotRequest {
    endpoints: bool,
    version: Option<Version>,
}

/// Serves snapshots to other routers. Until this router has joined, connections are closed.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_TRANSFERS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log(Event::AcceptFailed, &error.to_string());
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(keys) = shared.keys() else {
            continue;
        };
        let (shared, slots) = (shared.clone(), slots.clone());
        tokio::spawn(async move {
            if let Err(error) = send_snapshot(&shared, stream, &keys, &slots).await {
                log(Event::PeerRejected, &format!("snapshot: {error}"));
            }
        });
    }
}

async fn send_snapshot(
    shared: &Shared,
    stream: TcpStream,
    keys: &PeerKeys,
    slots: &Semaphore,
) -> Result<(), LinkError> {
    let mut stream = FrameStream::accept(stream, keys, &Default::default()).await?;
    let (endpoints, version) = match stream.recv_within(FETCH_TIMEOUT).await? {
        Some(Frame::SnapshotPull { endpoints, version }) => (endpoints, version),
        Some(Frame::Tunnel { address }) => return network::serve(shared, stream, address).await,
        _ => return Ok(()),
    };
    let slot = slots.try_acquire();
    let request = SnapshotRequest { endpoints, version };
    let snapshot = slot
        .is_ok()
        .then(|| build_snapshot(shared, request))
        .flatten();
    stream.send(&Frame::SnapshotPush { snapshot }).await?;
    // The requester closes the connection when it has everything, and the slot is taken until then.
    stream.recv_within(FETCH_TIMEOUT).await.map(drop)
}

/// The requested parts that this router knows and that are fresh; `None` if there are none.
fn build_snapshot(shared: &Shared, request: SnapshotRequest) -> Option<Bytes> {
    let now = shared.now();
    let settings = &shared.settings;
    let state = shared.lock_state();
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let age = state.endpoints.age(now);
    let age = age.filter(|age| *age <= settings.leave_bound.mul_f64(FRESH_SHARE));
    let endpoints = age.filter(|_| request.endpoints).and_then(|age| {
        Some(EndpointSnapshot {
            age_ms: millis(age),
            doubted: state.roster.doubted(now),
            list: state.roster.rows(now),
            tail: state.endpoints.tail()?,
        })
    });
    let age = state.configuration.age(now);
    let age = age.filter(|age| *age <= settings.apply_bound.mul_f64(FRESH_SHARE));
    let newer = request
        .version
        .is_some_and(|version| state.version() >= version);
    let configuration = age.filter(|_| newer).map(|age| ConfigurationSnapshot {
        age_ms: millis(age),
        position: state.config_position,
        manifest: state
            .routes
            .as_ref()
            .map(|routes| routes.manifest().clone()),
    });
    let repeated = state.quarantine.sync_set(now);
    let crashes = repeated
        .iter()
        .flat_map(|f| state.quarantine.crashes(*f, now));
    let crashes = crashes.take(MAX_CRASHES).collect();
    let leaving = state.roster.announced_leaving();
    let limits = state.limits.reports(now);
    let evacuations = state.evacuations.known().cloned();
    drop(state);
    if endpoints.is_none() && configuration.is_none() {
        return None;
    }
    let versions = encode_versions(shared);
    let snapshot = Snapshot {
        endpoints,
        configuration,
        crashes,
        leaving,
        limits,
        versions,
        evacuations,
    };
    match postcard::to_allocvec(&snapshot) {
        Ok(snapshot) => Some(snapshot.into()),
        Err(error) => {
            log(Event::PeerRejected, &format!("own snapshot: {error}"));
            None
        }
    }
}

/// Fetches both tables from another router, if one has them. A router that starts while callers
/// wait asks two routers and then reads the registry itself; at the first start of the fleet, all
/// but the first routers of each failure domain wait for those.
pub(crate) async fn fetch_at_start(shared: &Shared) {
    let deadline = shared.now() + FIRST_FETCH_TIMEOUT;
    let first_start = shared.settings.first_start;
    if first_start {
        // Before that, not all other routers are known.
        tokio::time::sleep(jittered(FIRST_DISCOVERY_WAIT)).await;
    }
    let request = SnapshotRequest {
        endpoints: true,
        version: Some(0),
    };
    for attempt in 0.. {
        let keeps_waiting =
            first_start && routers_ahead(shared) >= FIRST_READERS && shared.now() < deadline;
        if shared.lock_state().endpoints.revision().is_some()
            || attempt >= MAX_START_ATTEMPTS && !keeps_waiting
        {
            return;
        }
        let Some(address) = draw_peer(&shared.lock_state(), shared, |_| true) else {
            return;
        };
        fetch_from(shared, address, request).await;
        if keeps_waiting {
            tokio::time::sleep(jittered(RETRY_PAUSE)).await;
        }
    }
}

/// Fetches a configuration that this router lacks from another router. Returns whether one had it.
pub(crate) async fn fetch_configuration(shared: &Shared) -> bool {
    let address = {
        let state = shared.lock_state();
        let own = state.version();
        let newer = |contact: &Contact| contact.configuration.is_some_and(|known| known > own);
        let domain = &shared.settings.domain;
        let mut near = state.contacts.values().filter(|c| c.domain == *domain);
        // The other routers of the failure domain get it from the first ones.
        let far = !near.any(newer) && state.reader_rank(&shared.settings).takes_over_first();
        draw_peer(&state, shared, |contact| {
            newer(contact) && (far || contact.domain == *domain)
        })
    };
    let Some(address) = address else {
        return false;
    };
    let version = shared.lock_state().version() + 1;
    let request = SnapshotRequest {
        endpoints: false,
        version: Some(version),
    };
    fetch_from(shared, address, request).await;
    shared.lock_state().version() >= version
}

/// Fetches the endpoint table from another router if changes do not lead to its state. Returns
/// whether one had it.
pub(crate) async fn fetch_endpoints(shared: &Shared, repair_time: Duration) -> bool {
    let needs_table = || {
        let state = shared.lock_state();
        state.endpoints.needs_table(repair_time, shared.now())
    };
    if !needs_table() {
        return false;
    }
    let address = {
        let state = shared.lock_state();
        let own = state.endpoints.revision();
        let newer = |contact: &Contact| contact.endpoints > own;
        draw_peer(&state, shared, newer)
    };
    let Some(address) = address else {
        return false;
    };
    let request = SnapshotRequest {
        endpoints: true,
        version: None,
    };
    fetch_from(shared, address, request).await;
    !needs_table()
}

/// Waits until another router provides the endpoint table; false if this router should read it
/// itself.
pub(crate) async fn wait_for_endpoints(shared: &Shared) -> bool {
    let deadline = shared.now() + jittered(FETCH_TIMEOUT);
    if shared.lock_state().loads.router_count() == 1 {
        tokio::time::sleep(jittered(DISCOVERY_WAIT)).await;
    }
    let request = SnapshotRequest {
        endpoints: true,
        version: None,
    };
    while shared.now() < deadline {
        if routers_ahead(shared) == 0 {
            return false;
        }
        let has_endpoints = |contact: &Contact| contact.endpoints.is_some();
        let address = draw_peer(&shared.lock_state(), shared, has_endpoints);
        if let Some(address) = address {
            fetch_from(shared, address, request).await;
            if shared.lock_state().endpoints.revision().is_some() {
                return true;
            }
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
    false
}

/// Number of routers of this failure domain whose ids come before this router's. It need not have
/// heard from them: if the first one is gone, the next ones read once their timeout is over.
fn routers_ahead(shared: &Shared) -> usize {
    let own = &shared.settings;
    let state = shared.lock_state();
    let contacts = state.contacts.iter();
    let before = contacts.filter(|(id, contact)| contact.domain == own.domain && **id < own.id);
    before.count()
}

/// Draws one of the routers that match, from this failure domain if there is one.
fn draw_peer(
    state: &RoutingState,
    shared: &Shared,
    matches: impl Fn(&Contact) -> bool,
) -> Option<SocketAddr> {
    let own = &shared.settings.domain;
    let matching = || state.contacts.values().filter(|contact| matches(contact));
    let near = matching().filter(|contact| contact.domain == *own);
    let near = near.choose(&mut rand::rng());
    let drawn = near.or_else(|| matching().choose(&mut rand::rng()));
    drawn.map(|contact| contact.address)
}

/// Requests a snapshot from one router and applies it.
async fn fetch_from(shared: &Shared, address: SocketAddr, request: SnapshotRequest) {
    let sent = shared.now();
    match request_snapshot(shared, address, request).await {
        Ok(Some(snapshot)) => apply_snapshot(shared, address, snapshot, sent),
        Ok(None) => {}
        Err(error) => log(
            Event::PeerRejected,
            &format!("snapshot from {address}: {error}"),
        ),
    }
}

fn apply_snapshot(shared: &Shared, address: SocketAddr, snapshot: Snapshot, sent: Duration) {
    let verified_at = |age_ms: u32| sent.saturating_sub(Duration::from_millis(age_ms.into()));
    if let Some(EndpointSnapshot {
        age_ms,
        list,
        tail,
        doubted,
    }) = snapshot.endpoints
    {
        let detail = format!(
            "endpoints={} position={} age_ms={age_ms} from={address}",
            list.len(),
            tail.to
        );
        log(Event::ListReceived, &detail);
        replace_endpoints(shared, list, &tail, &doubted, verified_at(age_ms));
    }
    let mut state = shared.lock_state();
    for crash in &snapshot.crashes {
        let (crash, age) = (&crash.value, crash.age());
        record_crash(&mut state, shared, "", crash, age, CrashSource::Router);
    }
    for (id, boot) in &snapshot.leaving {
        peer_reported_leaving(&mut state, shared, id, boot, Duration::ZERO);
    }
    for limit in snapshot.limits {
        let age = limit.age();
        peer_reported_limit(&mut state, shared, limit.value, age);
    }
    // Before the configuration, which makes this router read only later changes of the table.
    if let Some(set) = snapshot.evacuations {
        apply_evacuations(&mut state, shared, set);
    }
    drop(state);
    if !snapshot.versions.is_empty() {
        restore_versions(shared, &snapshot.versions, None);
    }
    if let Some(configuration) = snapshot.configuration {
        let manifest = configuration.manifest.map(Arc::new);
        let version = manifest.as_ref().map_or(0, |manifest| manifest.version);
        let detail = format!(
            "version={version} age_ms={} from={address}",
            configuration.age_ms
        );
        log(Event::ConfigReceived, &detail);
        apply_manifest(
            shared,
            manifest,
            configuration.position,
            verified_at(configuration.age_ms),
        );
    }
}

async fn request_snapshot(
    shared: &Shared,
    address: SocketAddr,
    request: SnapshotRequest,
) -> Result<Option<Snapshot>, LinkError> {
    let Some(keys) = shared.keys() else {
        return Ok(None);
    };
    let config = LinkPoolConfig {
        connect_timeout: CONNECT_TIMEOUT,
        silence: ANSWER_TIMEOUT,
        ..LinkPoolConfig::default()
    };
    let links = LinkPool::new(keys, config);
    let mut link = match tokio::time::timeout(CONNECT_TIMEOUT * 2, links.connect(address)).await {
        Ok(link) => link?,
        Err(_) => return Err(LinkError::Silent(CONNECT_TIMEOUT * 2)),
    };
    let SnapshotRequest { endpoints, version } = request;
    link.send(&Frame::SnapshotPull { endpoints, version })
        .await?;
    let Some(Frame::SnapshotPush { snapshot }) = link.recv().await? else {
        return Err(LinkError::Truncated);
    };
    let Some(snapshot) = snapshot else {
        return Ok(None);
    };
    let snapshot = postcard::from_bytes(&snapshot);
    snapshot
        .map(Some)
        .map_err(|error| LinkError::Broken(error.to_string()))
}
