//! Exchange of messages between routers.

mod rounds;

use crate::crash_sync::CrashSync;
use crate::crashes::save_crashes;
use crate::feed::Feed;
use crate::join::{Joined, join, restore, save, seek};
use crate::peer_message::PeerMessage;
use crate::registry::Registry;
use crate::shared::{Contact, Shared};
use crate::snapshot;
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

/// Pause between messages to a router that is heard, in a small fleet. Requests last a second or so,
/// and counts that are a tenth of that old keep the bound on load.
const PERIOD: Duration = Duration::from_millis(100);
/// Datagrams that are taken from the socket before other work gets its turn.
const BATCH: usize = 128;

/// A router as this one knows it.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    /// Bandwidth of the router's link in Mbit/s; 0 before it is heard.
    link_mbps: u32,
    /// When the router was last heard, or else became known.
    since: Duration,
    heard: Option<Duration>,
    sent: Option<Duration>,
}

impl Peer {
    /// Whether the router was heard within `life`.
    fn is_heard(&self, now: Duration, life: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + life)
    }
}

/// Routers by name.
struct Links {
    shared: Arc<Shared>,
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    peers: BTreeMap<RouterId, Peer>,
    told: Option<(Duration, PeerMessage)>,
    /// When news were last told in a large fleet.
    news_at: Duration,
    /// When the socket last held no datagram: the earliest time at which the next one came.
    empty_at: Duration,
    /// When the age of the news was last observed.
    observed_at: Duration,
    /// Whether the news were too old then.
    is_old: bool,
    crash_sync: CrashSync,
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
    let Joined {
        key,
        routers,
        saved,
    } = join(&shared, &registry).await;
    restore(&shared, &saved);
    let keys = PeerKeys::from_bytes(key, None);
    shared.keys.get_or_init(|| keys.clone());
    let mut links = Links {
        sealer: Sealer::new(&keys, shared.settings.id.clone(), incarnation),
        opener: Opener::new(&keys),
        empty_at: shared.now(),
        observed_at: shared.now(),
        shared: shared.clone(),
        socket,
        peers: BTreeMap::new(),
        told: None,
        news_at: Duration::ZERO,
        is_old: false,
        crash_sync: CrashSync::new(),
    };
    for router in routers {
        links.introduce(router.id, router.address, &router.domain);
    }
    shared.note_joined();
    tokio::spawn(save(shared.clone(), registry.clone()));
    tokio::spawn(save_crashes(shared.clone(), registry.clone()));
    let (found, mut newly_found) = mpsc::unbounded_channel();
    tokio::spawn(seek(shared, registry, found));
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => {
                links.receive();
                links.tell();
            }
            Some(router) = newly_found.recv() => links.introduce(router.id, router.address, &router.domain),
            Some(feed) = feeds.recv() => links.pass_on(feed),
            _ = links.socket.readable() => links.receive(),
        }
    }
}

impl Links {
    fn introduce(&mut self, id: RouterId, address: SocketAddr, domain: &str) {
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
        let mut board = self.shared.board();
        let contact = board.contacts.entry(id).or_insert(Contact {
            address,
            domain: domain.to_string(),
            link: 0,
            endpoints: None,
            configuration: None,
            heard: None,
        });
        contact.address = address;
    }

    /// Takes the datagrams that wait in the socket. Those that came while the process was paused are as
    /// old as the pause.
    fn receive(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM];
        for _ in 0..BATCH {
            let now = self.shared.now();
            match self.socket.try_recv_from(&mut buffer) {
                Ok((size, from)) => self.hear(&buffer[..size], from, self.empty_at),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.empty_at = now;
                    return;
                }
                // The error of an earlier datagram, to a router that is gone.
                Err(_) => {}
            }
        }
    }

    fn hear(&mut self, datagram: &[u8], from: SocketAddr, at: Duration) {
        let (id, incarnation, message) = match self.opener.open::<PeerMessage>(datagram) {
            Ok(opened) => opened,
            Err(error) => return log(Event::PeerRejected, &format!("from={from} {error}")),
        };
        let now = self.shared.now();
        let address = message.address.unwrap_or(from);
        self.introduce(id.clone(), address, &message.domain);
        if let Some((other, address, domain)) = message.known_peer.clone()
            && other != self.shared.settings.id
            && !self.peers.contains_key(&other)
        {
            self.introduce(other, address, &domain);
        }
        let life = self.life();
        if let Some(peer) = self.peers.get_mut(&id) {
            let was_heard = peer.is_heard(now, life);
            peer.heard = Some(now);
            peer.since = now;
            peer.link_mbps = message.link_mbps;
            if !was_heard {
                log(
                    Event::PeerUp,
                    &format!("router={id} incarnation={incarnation}"),
                );
            }
        }
        if let Some(contact) = self.shared.board().contacts.get_mut(&id) {
            contact.heard = Some(now);
            contact.link = message.link_mbps;
            contact.endpoints = message.endpoints.map(|digest| digest.revision);
            contact.configuration = message.configuration.map(|digest| digest.revision);
        }
        if let Some(revision) = message.repair_after {
            self.give(revision, address);
        }
        let relayed = message.relay.then(|| message.clone());
        let digest = message.crash_digest;
        sync::apply_message(&self.shared, &id, message, at);
        let own = self.shared.board().quarantine.digest();
        self.crash_sync.apply_digest(&id, digest, own);
        // With what it says in force, so that its age is that of the sender's news.
        if let Some(message) = relayed {
            self.relay(&message, now.saturating_sub(at));
        }
    }
}
