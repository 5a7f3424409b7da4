//! Exchange of messages between routers.

mod demand;
mod rounds;
mod streams;

use crate::crash_sync::CrashSync;
use crate::crashes::save_crashes;
use crate::feed::Feed;
use crate::join::{Fleet, find_peers, join, restore_saved, save_cache};
use crate::own_rows;
use crate::peer_message::PeerMessage;
use crate::registry::Registry;
use crate::saved_streams::save_streams;
use crate::saved_versions::save_versions;
use crate::shared::{Contact, Shared};
use crate::snapshot;
use crate::stream_news::TellPace;
use crate::sync;
use sequoiaridge_core::{DomainId, Event, RouterId};
use sequoiaridge_log::log;
use sequoiaridge_wire::{MAX_DATAGRAM, Opener, PeerKeys, Sealer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Interval between messages to a live router in a small fleet. Requests last a second or so, and
/// counts that are a tenth of that old keep the bound on load.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a crash for which the successes of its suspects are sent in each round.
pub(crate) const SUCCESS_WINDOW: Duration = Duration::from_secs(20);
/// Datagrams that are received before other work gets its turn.
const MAX_RECEIVE_BATCH: usize = 128;

/// Another router as this one knows it.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    /// Bandwidth of the router's link in Mbit/s; 0 before it is heard.
    link_mbps: u32,
    /// When the router was last heard, or when it became known if it has not been heard.
    since: Duration,
    heard: Option<Duration>,
    sent: Option<Duration>,
}

impl Peer {
    /// Whether the router was heard within `timeout`.
    fn is_alive(&self, now: Duration, timeout: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + timeout)
    }
}

/// State of the message exchange with the other routers.
struct PeerExchange {
    shared: Arc<Shared>,
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    peers: BTreeMap<RouterId, Peer>,
    last_round: Option<(Duration, PeerMessage)>,
    /// When queued events were last sent in a large fleet.
    events_sent_at: Duration,
    /// When the socket last held no datagram: the earliest time at which the next one may have
    /// arrived.
    emptied_at: Duration,
    /// When the age of the endpoint table was last observed.
    observed_at: Duration,
    /// Whether the endpoint table was too old then.
    is_stale: bool,
    crash_sync: CrashSync,
    /// When this router last found out which routers save streams in a large fleet.
    keepers_found_at: Duration,
    tell_pace: TellPace,
}

/// Announces this router, finds the others and exchanges messages with them until the process ends.
pub(crate) async fn run(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    socket: UdpSocket,
    listener: TcpListener,
    mut feeds: mpsc::UnboundedReceiver<Option<Feed>>,
) {
    tokio::spawn(snapshot::serve(shared.clone(), listener));
    let incarnation = shared.incarnation();
    let Fleet {
        key,
        era,
        routers,
        saved,
    } = join(&shared, &registry).await;
    let is_clear = shared.lock_state().quarantine.held(shared.now()).is_empty();
    let saves = restore_saved(&shared, &saved, era);
    // What this router held before it read the registry need not be saved there.
    let restored = is_clear.then(|| shared.lock_state().quarantine.held(shared.now()));
    let keys = PeerKeys::from_bytes(key, None);
    shared.set_keys(keys.clone());
    let mut new_keys = shared.watch_keys();
    let mut exchange = PeerExchange {
        sealer: Sealer::new(&keys, shared.settings.id.clone(), incarnation),
        opener: Opener::new(&keys),
        emptied_at: shared.now(),
        observed_at: shared.now(),
        shared: shared.clone(),
        socket,
        peers: BTreeMap::new(),
        last_round: None,
        events_sent_at: Duration::ZERO,
        is_stale: false,
        crash_sync: CrashSync::new(),
        keepers_found_at: Duration::ZERO,
        tell_pace: TellPace::default(),
    };
    for router in routers {
        exchange.add_peer(router.id, router.address, &router.domain);
    }
    shared.note_joined();
    tokio::spawn(save_cache(shared.clone(), registry.clone()));
    tokio::spawn(save_crashes(shared.clone(), registry.clone(), restored));
    tokio::spawn(save_versions(shared.clone(), registry.clone()));
    tokio::spawn(save_streams(shared.clone(), registry.clone(), saves));
    tokio::spawn(own_rows::keep(shared.clone(), registry.clone(), era, key));
    let (found, mut newly_found) = mpsc::unbounded_channel();
    tokio::spawn(find_peers(shared.clone(), registry, found));
    let mut period = tokio::time::interval(ROUND_INTERVAL);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => {
                exchange.receive();
                exchange.send_due();
            }
            Some(router) = newly_found.recv() => exchange.add_peer(router.id, router.address, &router.domain),
            Some(feed) = feeds.recv() => exchange.publish(feed),
            Ok(()) = new_keys.changed() => exchange.set_keys(new_keys.borrow_and_update().as_ref()),
            () = shared.origin_asked() => exchange.ask_streams(),
            () = shared.stream_begun() => exchange.tell_streams(shared.now()),
            _ = exchange.socket.readable() => exchange.receive(),
        }
    }
}

impl PeerExchange {
    /// Uses other keys for all further messages.
    fn set_keys(&mut self, keys: Option<&PeerKeys>) {
        if let Some(keys) = keys {
            self.sealer.set_keys(keys);
            self.opener.set_keys(keys);
        }
    }

    fn add_peer(&mut self, id: RouterId, address: SocketAddr, domain: &str) {
        let now = self.shared.now();
        let peer = self.peers.entry(id.clone()).or_insert(Peer {
            address,
            domain: domain.to_string(),
            link_mbps: 0,
            since: now,
            heard: None,
            sent: None,
        });
        peer.address = address;
        let mut state = self.shared.lock_state();
        state.known_routers.learn(&id);
        let contact = state.contacts.entry(id).or_insert(Contact {
            address,
            domain: domain.to_string(),
            link: 0,
            endpoints: None,
            configuration: None,
            heard: None,
            draining: false,
            isolated: false,
        });
        contact.address = address;
    }

    /// Receives the datagrams that wait in the socket. Those that arrived while the process was
    /// paused are taken to be as old as the pause.
    fn receive(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM];
        for _ in 0..MAX_RECEIVE_BATCH {
            let now = self.shared.now();
            match self.socket.try_recv_from(&mut buffer) {
                Ok((size, from)) => self.receive_message(&buffer[..size], from, self.emptied_at),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.emptied_at = now;
                    return;
                }
                // The error of an earlier datagram that was sent to a router that is gone.
                Err(_) => {}
            }
        }
    }

    fn receive_message(&mut self, datagram: &[u8], from: SocketAddr, at: Duration) {
        let (id, incarnation, message) = match self.opener.open::<PeerMessage>(datagram) {
            Ok(opened) => opened,
            Err(error) => return log(Event::PeerRejected, &format!("from={from} {error}")),
        };
        let now = self.shared.now();
        let has_state = message.has_state();
        let address = message.address.unwrap_or(from);
        let named = message.known_peer.iter().map(|(other, ..)| other);
        for router in named.chain([&id]) {
            let mut state = self.shared.lock_state();
            state.known_routers.hear(router, now);
        }
        if has_state {
            self.add_peer(id.clone(), address, &message.domain);
            let mut state = self.shared.lock_state();
            state.known_routers.note_draining(&id, message.draining);
        }
        if let Some((other, address, domain)) = message.known_peer.clone()
            && other != self.shared.settings.id
            && !self.peers.contains_key(&other)
        {
            self.add_peer(other, address, &domain);
        }
        let timeout = self.peer_timeout();
        if let Some(peer) = self.peers.get_mut(&id) {
            let was_alive = peer.is_alive(now, timeout);
            peer.heard = Some(now);
            peer.since = now;
            if has_state {
                peer.link_mbps = message.link_mbps;
            }
            if !was_alive {
                log(
                    Event::PeerUp,
                    &format!("router={id} incarnation={incarnation}"),
                );
            }
        }
        if let Some(contact) = self.shared.lock_state().contacts.get_mut(&id) {
            contact.heard = Some(now);
            if has_state {
                contact.link = message.link_mbps;
                contact.draining = message.draining;
                contact.isolated = message.isolated;
                contact.endpoints = message.endpoints.map(|digest| digest.revision);
                contact.configuration = message.configuration.map(|digest| digest.revision.version);
            }
        }
        if let Some(revision) = message.repair_after {
            self.send_repair(revision, address);
        }
        if !message.asked_streams.is_empty() {
            self.answer_asked(&message.asked_streams, address);
        }
        let relayed = message.relay.then(|| message.clone());
        let digest = message.crash_digest;
        sync::apply_message(&self.shared, &id, message, at);
        if has_state {
            let own = self.shared.lock_state().quarantine.digest();
            self.crash_sync.apply_digest(&id, digest, own);
        }
        // Relays after the message is applied, so that the age in the relayed message is that of
        // the sender's state.
        if let Some(message) = relayed {
            self.relay(&message, now.saturating_sub(at));
        }
    }
}
