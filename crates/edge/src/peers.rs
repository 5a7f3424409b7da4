//! Exchange of messages between routers.

use crate::feed::Feed;
use crate::handover;
use crate::join::{Joined, join, restore, save, seek};
use crate::load::Work;
use crate::registry::Registry;
use crate::shared::{Contact, SMALL_FLEET, Shared};
use crate::spread::{draw_relay, paced};
use crate::tell::Tell;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{DomainId, EndpointId, Event, RouterId};
use sequoiaridge_log::log;
use sequoiaridge_wire::{MAX_DATAGRAM, Opener, PeerKeys, Sealer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Pause between messages to a router that is heard, in a small fleet. Requests last a second or so,
/// and counts that are a tenth of that old keep the bound on load.
const PERIOD: Duration = Duration::from_millis(100);
/// Pause between messages in a large fleet, where each goes to some routers drawn anew, so that what a
/// router sends does not grow with the fleet, while its part of the load shrinks.
const LARGE_PERIOD: Duration = Duration::from_millis(400);
const FAN_OUT: usize = 16;
/// Pause between messages that tell nothing new.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Pause between messages to a router that is not heard, at first and after `RECENT`.
const UNHEARD_PERIOD: Duration = Duration::from_secs(1);
const SILENT_PERIOD: Duration = Duration::from_secs(10);
const RECENT: Duration = Duration::from_secs(10);
/// Time after which a router that is not heard is forgotten: it was replaced, and its row stays in the
/// registry. Cuts between domains last minutes.
const FORGET: Duration = Duration::from_secs(600);
/// Pause between messages with news in a large fleet.
const NEWS_PERIOD: Duration = Duration::from_secs(1);
/// Least time after which a router counts as not heard, and the same in messages that should have come.
const LIFE: Duration = Duration::from_millis(1500);
const LIFE_PACES: u32 = 4;

/// A router as this one knows it.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    /// Bandwidth of the router's link in Mbit/s; 0 before it is heard.
    link: u32,
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
    told: Option<(Duration, Tell)>,
    /// When news were last told in a large fleet.
    news_at: Duration,
}

/// Announces this router, finds the others and exchanges messages with them until the process ends.
pub(crate) async fn run(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    socket: UdpSocket,
    listener: TcpListener,
    mut feeds: mpsc::UnboundedReceiver<Feed>,
) {
    let incarnation = shared.incarnation();
    let Joined {
        key,
        routers,
        cache,
    } = join(&shared, registry.as_ref()).await;
    if let Some(cache) = cache {
        restore(&shared, &cache);
    }
    tokio::spawn(save(shared.clone(), registry.clone()));
    let (found, mut newly_found) = mpsc::unbounded_channel();
    tokio::spawn(seek(shared.clone(), registry, found));
    let keys = PeerKeys::from_bytes(key, None);
    shared.keys.get_or_init(|| keys.clone());
    tokio::spawn(handover::serve(shared.clone(), keys.clone(), listener));
    let mut links = Links {
        sealer: Sealer::new(&keys, shared.settings.id.clone(), incarnation),
        opener: Opener::new(&keys),
        shared,
        socket,
        peers: BTreeMap::new(),
        told: None,
        news_at: Duration::ZERO,
    };
    for router in routers {
        links.introduce(router.id, router.address, &router.domain);
    }
    let mut buffer = [0; MAX_DATAGRAM];
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => links.tell(),
            Some(router) = newly_found.recv() => links.introduce(router.id, router.address, &router.domain),
            Some(feed) = feeds.recv() => feed.into_parts().into_iter().for_each(|part| links.pass_on(part)),
            received = links.socket.recv_from(&mut buffer) => {
                if let Ok((size, from)) = received {
                    links.hear(&buffer[..size], from);
                }
            }
        }
    }
}

impl Links {
    fn introduce(&mut self, id: RouterId, address: SocketAddr, domain: &str) {
        let now = self.shared.now();
        let peer = self.peers.entry(id.clone()).or_insert(Peer {
            address,
            domain: domain.to_string(),
            link: 0,
            since: now,
            heard: None,
            sent: None,
        });
        peer.address = address;
        let mut board = self.shared.board();
        let contact = board.contacts.entry(id).or_insert(Contact {
            address,
            domain: domain.to_string(),
            informed: false,
        });
        contact.address = address;
    }

    /// Sends what is new to the routers that are heard, and a sign of life to the others.
    fn tell(&mut self) {
        let now = self.shared.now();
        let pace = self.pace();
        let life = self.life();
        let count = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now, life))
            .count();
        let routers = i64::try_from(count + 1).unwrap_or(i64::MAX);
        self.shared.metrics.routers.set(routers);
        self.shared.board().loads.expire(now, life);
        if let Some(datagram) = self.round(now, pace) {
            let to = self.peers.values().filter(|peer| peer.is_heard(now, life));
            let to: Vec<SocketAddr> = if self.is_large() {
                to.map(|peer| peer.address)
                    .sample(&mut rand::rng(), FAN_OUT)
            } else {
                to.map(|peer| peer.address).collect()
            };
            to.into_iter()
                .for_each(|address| send(&self.socket, &datagram, address));
        }
        self.tell_news(now);
        self.tell_unheard(now, life);
    }

    /// Sends a sign of life to routers that are not heard, and forgets those that were not for long.
    fn tell_unheard(&mut self, now: Duration, life: Duration) {
        let peers = &mut self.peers;
        peers.retain(|_, peer| now < peer.since + FORGET);
        let mut board = self.shared.board();
        if board.contacts.len() > peers.len() {
            board.contacts.retain(|id, _| peers.contains_key(id));
        }
        drop(board);
        let due = |peer: &Peer| {
            let recent = now < peer.since + RECENT;
            let period = if recent {
                UNHEARD_PERIOD
            } else {
                SILENT_PERIOD
            };
            peer.sent.is_none_or(|sent| now >= sent + period)
        };
        if self
            .peers
            .values()
            .any(|peer| !peer.is_heard(now, life) && due(peer))
        {
            let Some(datagram) = self.seal(&self.base()) else {
                return;
            };
            for peer in self.peers.values_mut() {
                if !peer.is_heard(now, life) && due(peer) {
                    peer.sent = Some(now);
                    send(&self.socket, &datagram, peer.address);
                }
            }
        }
    }

    /// Sends what is new through the domains, when it is due in a large fleet.
    fn tell_news(&mut self, now: Duration) {
        if !self.is_large() || now < self.news_at + paced(NEWS_PERIOD, self.peers.len()) {
            return;
        }
        self.news_at = now;
        let mut tell = self.base();
        self.shared.board().news.fill(&mut tell);
        if tell.has_news() {
            self.spread(tell);
        }
    }

    /// Pause between rounds of messages.
    fn pace(&self) -> Duration {
        if self.is_large() {
            paced(LARGE_PERIOD, self.peers.len())
        } else {
            PERIOD
        }
    }

    /// Whether messages go to some routers only.
    fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Time after which a router counts as not heard.
    fn life(&self) -> Duration {
        let rounds = if self.is_large() {
            self.peers.len() / FAN_OUT + 1
        } else {
            1
        };
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        LIFE.max(self.pace() * rounds * LIFE_PACES)
    }

    /// The message of a round, if one is due and tells something new or a sign of life.
    fn round(&mut self, now: Duration, pace: Duration) -> Option<Vec<u8>> {
        let last = self.told.as_ref().map(|(at, _)| *at);
        // Ticks come a little early or late.
        if last.is_some_and(|last| now + PERIOD / 4 < last + pace) {
            return None;
        }
        let mut message = self.message();
        if let Some((at, told)) = &self.told
            && *told == message
            && now < *at + QUIET_PERIOD
        {
            return None;
        }
        self.told = Some((now, message.clone()));
        message.introduces = self.introduction(now);
        self.seal(&message)
    }

    /// One of the routers that are heard, drawn anew for each message.
    fn introduction(&self, now: Duration) -> Option<(RouterId, SocketAddr, DomainId)> {
        let life = self.life();
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_heard(now, life));
        let drawn = heard.choose(&mut rand::rng());
        drawn.map(|(id, peer)| (id.clone(), peer.address, peer.domain.clone()))
    }

    fn seal(&self, tell: &Tell) -> Option<Vec<u8>> {
        match self.sealer.seal(tell) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                log(Event::PeerRejected, &format!("own message: {error}"));
                None
            }
        }
    }

    /// Sends what was read from the registry.
    fn pass_on(&self, feed: Feed) {
        self.spread(Tell {
            feed: Some(feed),
            ..self.base()
        });
    }

    /// Sends a message to every router: in a large fleet directly to those of the own domain, and to
    /// one of each other domain, drawn anew each time, which passes it on.
    fn spread(&self, tell: Tell) {
        let own = &self.shared.settings.domain;
        let mut far: BTreeMap<&DomainId, Vec<(SocketAddr, u32)>> = BTreeMap::new();
        let mut direct = Vec::new();
        for peer in self.peers.values().filter(|peer| self.is_reached(peer)) {
            if self.is_large() && peer.domain != *own {
                let domain = far.entry(&peer.domain).or_default();
                domain.push((peer.address, peer.link));
            } else {
                direct.push(peer.address);
            }
        }
        self.send_all(&tell, &direct);
        let relays: Vec<SocketAddr> = far
            .values()
            .filter_map(|all| draw_relay(all, self.peers.len()))
            .collect();
        let relayed = Tell {
            relay: true,
            ..tell
        };
        self.send_all(&relayed, &relays);
    }

    /// Passes a message on to the routers of the own domain.
    fn relay(&self, tell: &Tell) {
        let own = &self.shared.settings.domain;
        let near = self.peers.values().filter(|peer| peer.domain == *own);
        let near = near.filter(|peer| self.is_reached(peer));
        let near: Vec<SocketAddr> = near.map(|peer| peer.address).collect();
        self.send_all(&tell.passed_on(self.base()), &near);
    }

    /// Whether a router is heard, or was not heard yet.
    fn is_reached(&self, peer: &Peer) -> bool {
        let now = self.shared.now();
        peer.heard.is_none() || peer.is_heard(now, self.life())
    }

    fn send_all(&self, tell: &Tell, to: &[SocketAddr]) {
        if to.is_empty() {
            return;
        }
        if let Some(datagram) = self.seal(tell) {
            to.iter()
                .for_each(|address| send(&self.socket, &datagram, *address));
        }
    }

    /// What every message says.
    fn base(&self) -> Tell {
        let informed = self.shared.is_informed();
        Tell {
            address: Some(self.shared.settings.peers),
            domain: self.shared.settings.domain.clone(),
            link: self.shared.settings.link,
            version: self.shared.board().version(),
            draining: self.shared.is_draining(),
            informed,
            ..Tell::default()
        }
    }

    fn message(&self) -> Tell {
        let base = self.base();
        let mut board = self.shared.board();
        let work = board.loads.own().iter();
        let work: Vec<(EndpointId, Work)> = work.map(|(id, work)| (id.clone(), *work)).collect();
        let mut tell = base.with_work(work);
        if !self.is_large() {
            board.news.fill(&mut tell);
        }
        tell
    }

    fn hear(&mut self, datagram: &[u8], from: SocketAddr) {
        let (id, incarnation, tell) = match self.opener.open::<Tell>(datagram) {
            Ok(opened) => opened,
            Err(error) => return log(Event::PeerRejected, &format!("from={from} {error}")),
        };
        let now = self.shared.now();
        self.introduce(id.clone(), tell.address.unwrap_or(from), &tell.domain);
        if let Some((other, address, domain)) = tell.introduces.clone()
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
            peer.link = tell.link;
            if !was_heard {
                log(
                    Event::PeerUp,
                    &format!("router={id} incarnation={incarnation}"),
                );
            }
        }
        if let Some(contact) = self.shared.board().contacts.get_mut(&id) {
            contact.informed = tell.informed;
        }
        if tell.relay {
            self.relay(&tell);
        }
        self.shared.hear(&id, tell, now);
    }
}

/// Sends a datagram. One that the socket does not take is lost like one on the way; the next follows
/// within a second.
fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(datagram, to);
}
