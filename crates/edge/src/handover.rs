//! Configuration and list of endpoints from router to router.
//!
//! The registry is priced by the call and the byte and has a limited rate, and a long list takes a router
//! with a slow link a second to read. So a router that starts into a running fleet takes both from
//! another one, and a new version spreads from the first routers of each domain to the others.

use crate::crashes::{Source, strike};
use crate::departures::hear_departed;
use crate::feed::Feed;
use crate::manifest::Manifest;
use crate::registry::Position;
use crate::schedule::{FIRST, drawn};
use crate::shared::{Board, Contact, Shared};
use crate::sync::{take_list, take_manifest};
use bytes::Bytes;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{EndpointId, Event, Version};
use sequoiaridge_log::log;
use sequoiaridge_policy::{Aged, Crash};
use sequoiaridge_wire::{Frame, FrameStream, LinkError, Links, LinksConfig, PeerKeys};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Time in which routers that start together hear each other; drawn between half and the whole.
const MEET: Duration = Duration::from_millis(1000);
/// The same at the first start of the whole fleet, when hundreds start within a second.
const FIRST_MEET: Duration = Duration::from_millis(2000);
/// Pause between two routers that are asked; drawn between half and the whole.
const PAUSE: Duration = Duration::from_millis(300);
/// Time after which a router reads the registry itself; drawn between half and the whole. Lists reach
/// all routers of a domain within three seconds.
const PATIENCE: Duration = Duration::from_secs(6);
/// The same at the first start of the whole fleet, when no caller waits yet, but for the first routers
/// of each domain.
const FIRST_PATIENCE: Duration = Duration::from_secs(3);
/// Age of the news up to which they are given away, as a part of the bounds on leaving endpoints and on
/// applying a configuration: the asker hears what changed since then within the other half.
const FRESH_PART: f64 = 0.5;
/// Snapshots that are sent at the same time: few more fill a link of 10 Mbit/s.
const GIVEN: usize = 4;
/// Crashes in a snapshot; with some 50 bytes each they add a tenth to a list of 600 endpoints.
const MAX_CRASHES: usize = 120;
/// Routers that are asked by one that starts with callers waiting.
const START_TRIES: u32 = 2;
/// Time in which another router of the fleet must open a connection, and in which it must answer.
const CONNECT: Duration = Duration::from_millis(100);
const ANSWER: Duration = Duration::from_millis(800);

/// The list of endpoints in a snapshot.
#[derive(Serialize, Deserialize)]
struct GivenList {
    /// Time since it was known to be complete, in ms.
    age: u32,
    list: Feed,
}

/// The configuration in a snapshot.
#[derive(Serialize, Deserialize)]
struct GivenManifest {
    /// Time since it was known to be the newest, in ms.
    age: u32,
    position: Position,
    /// `None` if the operators have written none yet.
    manifest: Option<Manifest>,
}

/// What one router gives another.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    endpoints: Option<GivenList>,
    configuration: Option<GivenManifest>,
    /// Crashes that all routers must know.
    crashes: Vec<Aged<Crash>>,
    /// Endpoints that said that they leave, with their boot ids.
    departing: Vec<(EndpointId, String)>,
}

/// Which parts of a snapshot are asked for.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    endpoints: bool,
    version: Option<Version>,
}

/// Gives snapshots to routers that ask for them. Until this router has joined, connections are closed.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(GIVEN));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log(Event::AcceptFailed, &error.to_string());
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let Some(keys) = shared.keys.get().cloned() else {
            continue;
        };
        let (shared, places) = (shared.clone(), places.clone());
        tokio::spawn(async move {
            if let Err(error) = give(&shared, stream, &keys, &places).await {
                log(Event::PeerRejected, &format!("snapshot: {error}"));
            }
        });
    }
}

async fn give(
    shared: &Shared,
    stream: TcpStream,
    keys: &PeerKeys,
    places: &Semaphore,
) -> Result<(), LinkError> {
    let mut stream = FrameStream::accept(stream, keys, &Default::default()).await?;
    let Some(Frame::SnapshotPull { endpoints, version }) = stream.recv_within(PATIENCE).await?
    else {
        return Ok(());
    };
    let place = places.try_acquire();
    let wanted = Wanted { endpoints, version };
    let snapshot = place.is_ok().then(|| snapshot(shared, wanted)).flatten();
    stream.send(&Frame::SnapshotPush { snapshot }).await?;
    // The asker closes the connection when it has all, and the place is taken until then.
    stream.recv_within(PATIENCE).await.map(drop)
}

/// What is known now of what is wanted, if the news are fresh; `None` if that is nothing.
fn snapshot(shared: &Shared, wanted: Wanted) -> Option<Bytes> {
    let now = shared.now();
    let settings = &shared.settings;
    let board = shared.board();
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let age = board.endpoints.age(now);
    let age = age.filter(|age| *age <= settings.leave.mul_f64(FRESH_PART));
    let endpoints = age.filter(|_| wanted.endpoints).and_then(|age| {
        Some(GivenList {
            age: millis(age),
            list: Feed {
                from: 0,
                to: board.endpoints.mark()?,
                changed: board.roster.listed(),
            },
        })
    });
    let age = board.configuration.age(now);
    let age = age.filter(|age| *age <= settings.apply.mul_f64(FRESH_PART));
    let newer = wanted
        .version
        .is_some_and(|version| board.version() >= version);
    let configuration = age.filter(|_| newer).map(|age| GivenManifest {
        age: millis(age),
        position: board.config_position,
        manifest: board
            .routes
            .as_ref()
            .map(|routes| routes.manifest().clone()),
    });
    let grave = board.quarantine.sync_set(now);
    let crashes = grave.iter().flat_map(|f| board.quarantine.crashes(*f, now));
    let crashes = crashes.take(MAX_CRASHES).collect();
    let departing = board.roster.departing();
    drop(board);
    if endpoints.is_none() && configuration.is_none() {
        return None;
    }
    let snapshot = Snapshot {
        endpoints,
        configuration,
        crashes,
        departing,
    };
    match postcard::to_allocvec(&snapshot) {
        Ok(snapshot) => Some(snapshot.into()),
        Err(error) => {
            log(Event::PeerRejected, &format!("own snapshot: {error}"));
            None
        }
    }
}

/// Takes both tables from another router, if one has them. A router that starts with callers waiting
/// asks two of them and then reads the registry itself; at the first start of the fleet all but the first
/// routers of each domain wait for those.
pub(crate) async fn start(shared: &Shared) {
    let end = shared.now() + FIRST_PATIENCE;
    let first_start = shared.settings.first_start;
    if first_start {
        // Until then not all others are known.
        tokio::time::sleep(drawn(FIRST_MEET)).await;
    }
    let wanted = Wanted {
        endpoints: true,
        version: Some(0),
    };
    for tries in 0.. {
        let patient = first_start && before(shared) >= FIRST && shared.now() < end;
        if shared.board().endpoints.mark().is_some() || tries >= START_TRIES && !patient {
            return;
        }
        let Some(address) = draw(&shared.board(), shared, |_| true) else {
            return;
        };
        take(shared, address, wanted).await;
        if patient {
            tokio::time::sleep(drawn(PAUSE)).await;
        }
    }
}

/// Takes a configuration that is missing here from another router. Returns whether one had it.
pub(crate) async fn update(shared: &Shared) -> bool {
    let address = {
        let board = shared.board();
        let own = board.version();
        let newer = |contact: &Contact| contact.configuration.is_some_and(|known| known > own);
        let domain = &shared.settings.domain;
        let mut near = board.contacts.values().filter(|c| c.domain == *domain);
        // Others of the domain get it from the first ones.
        let far = !near.any(newer) && board.place(&shared.settings).is_first();
        draw(&board, shared, |contact| {
            newer(contact) && (far || contact.domain == *domain)
        })
    };
    let Some(address) = address else {
        return false;
    };
    let version = shared.board().version() + 1;
    let wanted = Wanted {
        endpoints: false,
        version: Some(version),
    };
    take(shared, address, wanted).await;
    shared.board().version() >= version
}

/// Waits until another router gives the list of endpoints; false if this one is to read it itself.
pub(crate) async fn wait(shared: &Shared) -> bool {
    let end = shared.now() + drawn(PATIENCE);
    if shared.board().loads.routers() == 1 {
        tokio::time::sleep(drawn(MEET)).await;
    }
    let wanted = Wanted {
        endpoints: true,
        version: None,
    };
    while shared.now() < end {
        if before(shared) == 0 {
            return false;
        }
        let informed = |contact: &Contact| contact.endpoints.is_some();
        let address = draw(&shared.board(), shared, informed);
        if let Some(address) = address {
            take(shared, address, wanted).await;
            if shared.board().endpoints.mark().is_some() {
                return true;
            }
        }
        tokio::time::sleep(drawn(PAUSE)).await;
    }
    false
}

/// Routers of the own domain that come before this one by name. It need not have heard them: if the
/// first one is gone, the next ones read after their patience has ended.
fn before(shared: &Shared) -> usize {
    let own = &shared.settings;
    let board = shared.board();
    let contacts = board.contacts.iter();
    let before = contacts.filter(|(id, contact)| contact.domain == own.domain && **id < own.id);
    before.count()
}

/// One of the routers that `fits`, of the own domain if there is one.
fn draw(board: &Board, shared: &Shared, fits: impl Fn(&Contact) -> bool) -> Option<SocketAddr> {
    let own = &shared.settings.domain;
    let fitting = || board.contacts.values().filter(|contact| fits(contact));
    let near = fitting().filter(|contact| contact.domain == *own);
    let near = near.choose(&mut rand::rng());
    let drawn = near.or_else(|| fitting().choose(&mut rand::rng()));
    drawn.map(|contact| contact.address)
}

/// Asks one router for a snapshot and takes over what it gives.
async fn take(shared: &Shared, address: SocketAddr, wanted: Wanted) {
    let sent = shared.now();
    match fetch(shared, address, wanted).await {
        Ok(Some(snapshot)) => take_over(shared, address, snapshot, sent),
        Ok(None) => {}
        Err(error) => log(
            Event::PeerRejected,
            &format!("snapshot from {address}: {error}"),
        ),
    }
}

fn take_over(shared: &Shared, address: SocketAddr, snapshot: Snapshot, sent: Duration) {
    let fresh = |age: u32| sent.saturating_sub(Duration::from_millis(age.into()));
    if let Some(GivenList { age, list }) = snapshot.endpoints {
        let detail = format!(
            "endpoints={} age_ms={age} from={address}",
            list.changed.len()
        );
        log(Event::ListReceived, &detail);
        take_list(shared, list.into_rows(), fresh(age));
    }
    let mut board = shared.board();
    for crash in &snapshot.crashes {
        let (crash, age) = (&crash.value, crash.age());
        strike(&mut board, shared, "", crash, age, Source::Router);
    }
    for (id, boot) in &snapshot.departing {
        hear_departed(&mut board, shared, id, boot, Duration::ZERO);
    }
    drop(board);
    if let Some(given) = snapshot.configuration {
        let manifest = given.manifest.map(Arc::new);
        let version = manifest.as_ref().map_or(0, |manifest| manifest.version);
        let detail = format!("version={version} age_ms={} from={address}", given.age);
        log(Event::ConfigReceived, &detail);
        take_manifest(shared, manifest, given.position, fresh(given.age));
    }
}

async fn fetch(
    shared: &Shared,
    address: SocketAddr,
    wanted: Wanted,
) -> Result<Option<Snapshot>, LinkError> {
    let Some(keys) = shared.keys.get() else {
        return Ok(None);
    };
    let config = LinksConfig {
        connect_limit: CONNECT,
        silence: ANSWER,
        ..LinksConfig::default()
    };
    let links = Links::new(keys.clone(), config);
    let mut link = match tokio::time::timeout(CONNECT * 2, links.connect(address)).await {
        Ok(link) => link?,
        Err(_) => return Err(LinkError::Silent(CONNECT * 2)),
    };
    let Wanted { endpoints, version } = wanted;
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
