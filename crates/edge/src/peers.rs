//! What routers tell each other: load, cached prefixes, crashes and the configuration's version.

use crate::cache_map::PrefixKey;
use crate::feed::Feed;
use crate::load::Work;
use crate::manifest::RouterEntry;
use crate::registry::{Entry, PeerKey, Registry, RegistryError, Row, Table};
use crate::shared::{SMALL_FLEET, Shared};
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use sequoiaridge_core::{DomainId, EndpointId, Event, Fingerprint, RouterId, Version};
use sequoiaridge_log::log;
use sequoiaridge_policy::Crash;
use sequoiaridge_wire::{MAX_DATAGRAM, Opener, PeerKeys, Sealer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
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
/// Pause between messages to a router that is not heard.
const UNHEARD_PERIOD: Duration = Duration::from_secs(1);
/// Pause between messages with news in a fleet of a given size; larger ones take longer in proportion.
const NEWS_PERIOD: Duration = Duration::from_secs(1);
const NEWS_FLEET: u32 = 80;
/// Least time after which a router counts as not heard, and the same in messages that should have come.
const LIFE: Duration = Duration::from_millis(1500);
const LIFE_PACES: u32 = 4;
/// Endpoints whose work one message tells: those with the most.
const MAX_WORK: usize = 32;
/// Bytes of a message for work and prefixes, and the most that one entry of each takes.
const ENTRY_BYTES: usize = 1000;
const WORK_BYTES: usize = 24;
const PREFIX_BYTES: usize = 26;
/// Crashes and failed endpoints that one message tells.
const MAX_CRASHES: usize = 2;
const MAX_FAILED: usize = 4;
/// Messages that repeat a crash or a failed endpoint, since datagrams are lost at times.
const REPEATS: u8 = 3;
/// Items that wait to be told; older ones are dropped.
const MAX_WAITING: usize = 512;
/// First and longest pause between reads of the other routers' rows while none is heard.
const SEEK_PERIOD: Duration = Duration::from_secs(2);
const LONGEST_SEEK: Duration = Duration::from_secs(30);
/// Pause between saves of what endpoints have cached: the time of some ten thousand requests at the
/// target size, and a hundredth of the platform's calls today.
const SAVE_PERIOD: Duration = Duration::from_secs(5);
/// Pause after a failed call to the registry; drawn between half and the whole.
const RETRY: Duration = Duration::from_millis(500);

/// One message from a router to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tell {
    /// Address at which the sender hears.
    pub address: Option<SocketAddr>,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Bandwidth of the sender's link in Mbit/s.
    pub link: u32,
    /// Another router that the sender hears, so that routers that started together meet.
    pub introduces: Option<(RouterId, SocketAddr, DomainId)>,
    /// Configuration that the sender has in force.
    pub version: Version,
    /// Whether the sender drains.
    pub draining: bool,
    /// Work that the sender has outstanding; `None` if the message does not tell it.
    pub work: Option<Vec<(EndpointId, Work)>>,
    /// Prefixes that endpoints read.
    pub prefixes: Vec<(PrefixKey, EndpointId)>,
    /// Crashes that the sender saw.
    pub crashes: Vec<Crash>,
    /// Requests that ran to their end after a crash.
    pub cleared: Vec<Fingerprint>,
    /// Endpoints that the sender could not reach.
    pub failed: Vec<EndpointId>,
    /// What the sender has just read from the registry.
    pub feed: Option<Feed>,
    /// Whether the hearer passes feed and news on to the routers of its own domain.
    pub relay: bool,
}

impl Tell {
    /// Whether the message tells anything that all routers should know.
    fn has_news(&self) -> bool {
        !(self.prefixes.is_empty()
            && self.crashes.is_empty()
            && self.cleared.is_empty()
            && self.failed.is_empty())
    }

    /// What a relay passes on, under its own name.
    fn passed_on(&self, base: Tell) -> Tell {
        Tell {
            prefixes: self.prefixes.clone(),
            crashes: self.crashes.clone(),
            cleared: self.cleared.clone(),
            failed: self.failed.clone(),
            feed: self.feed.clone(),
            ..base
        }
    }
}

/// What waits to be told.
#[derive(Debug, Default)]
pub(crate) struct News {
    prefixes: VecDeque<(PrefixKey, EndpointId)>,
    crashes: VecDeque<(Crash, u8)>,
    cleared: VecDeque<(Fingerprint, u8)>,
    failed: VecDeque<(EndpointId, u8)>,
}

impl News {
    /// Adds prefixes that an endpoint reads.
    pub(crate) fn prefixes(&mut self, keys: Vec<PrefixKey>, id: &str) {
        let entries = keys.into_iter().map(|key| (key, id.to_string()));
        self.prefixes.extend(entries);
        trim(&mut self.prefixes);
    }

    /// Adds a crash.
    pub(crate) fn crash(&mut self, crash: Crash) {
        self.crashes.push_back((crash, REPEATS));
        trim(&mut self.crashes);
    }

    /// Adds a request that ran to its end after a crash.
    pub(crate) fn cleared(&mut self, fingerprint: Fingerprint) {
        self.cleared.push_back((fingerprint, REPEATS));
        trim(&mut self.cleared);
    }

    /// Adds an endpoint that could not be reached.
    pub(crate) fn failed(&mut self, id: &str) {
        if self.failed.iter().all(|(known, _)| known != id) {
            self.failed.push_back((id.to_string(), REPEATS));
            trim(&mut self.failed);
        }
    }

    /// Moves what fits into a message.
    fn fill(&mut self, tell: &mut Tell) {
        let work = tell.work.as_ref().map_or(0, Vec::len) * WORK_BYTES;
        let room = ENTRY_BYTES.saturating_sub(work) / PREFIX_BYTES;
        let count = self.prefixes.len().min(room);
        tell.prefixes = self.prefixes.drain(..count).collect();
        tell.crashes = take(&mut self.crashes, MAX_CRASHES);
        tell.cleared = take(&mut self.cleared, MAX_CRASHES);
        tell.failed = take(&mut self.failed, MAX_FAILED);
    }
}

fn trim<T>(queue: &mut VecDeque<T>) {
    while queue.len() > MAX_WAITING {
        queue.pop_front();
    }
}

/// Takes items that are told several times; those with tellings left go to the back.
fn take<T: Clone>(queue: &mut VecDeque<(T, u8)>, count: usize) -> Vec<T> {
    let count = queue.len().min(count);
    let taken: Vec<(T, u8)> = queue.drain(..count).collect();
    let again = taken.iter().filter(|(_, left)| *left > 1);
    queue.extend(again.map(|(item, left)| (item.clone(), left - 1)));
    taken.into_iter().map(|(item, _)| item).collect()
}

/// A router as this one knows it.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    heard: Option<Duration>,
    sent: Option<Duration>,
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
    mut feeds: mpsc::UnboundedReceiver<Feed>,
) {
    let incarnation = shared.incarnation();
    let Joined {
        key,
        routers,
        cache,
    } = join(&shared, registry.as_ref(), incarnation).await;
    if let Some(cache) = cache {
        restore(&shared, &cache);
    }
    tokio::spawn(save(shared.clone(), registry.clone()));
    let (found, mut newly_found) = mpsc::unbounded_channel();
    tokio::spawn(seek(shared.clone(), registry, found));
    let keys = PeerKeys::from_bytes(key, None);
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

/// What a router learns when it joins.
struct Joined {
    key: PeerKey,
    routers: Vec<RouterEntry>,
    cache: Option<Vec<u8>>,
}

/// Takes over what endpoints have cached, as it was saved last.
fn restore(shared: &Shared, cache: &[u8]) {
    let now = shared.now();
    let restored = shared.board().cache.restore(cache, now);
    match restored {
        Ok(count) => log(Event::CacheRestored, &format!("prefixes={count}")),
        Err(error) => log(Event::CacheRestored, &format!("prefixes=0 {error}")),
    }
}

/// Reads the rows of the other routers again for as long as none of them is heard: routers that start
/// together at new addresses may have read before the others wrote.
async fn seek(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    found: mpsc::UnboundedSender<RouterEntry>,
) {
    let mut pause = SEEK_PERIOD;
    loop {
        tokio::time::sleep(pause).await;
        if shared.board().loads.routers() > 1 {
            pause = SEEK_PERIOD;
            continue;
        }
        pause = (pause * 2).min(LONGEST_SEEK);
        let Ok(rows) = read_routers(registry.as_ref()).await else {
            continue;
        };
        for row in rows {
            if let Entry::Router(router) = row.entry
                && router.id != shared.settings.id
                && found.send(router).is_err()
            {
                return;
            }
        }
    }
}

/// Saves what endpoints have cached, at the first router in the order of names, so that routers that
/// start, or all of them after a power cut, know where prompts are cached.
async fn save(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let mut saved = Vec::new();
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let (first, snapshot) = {
            let board = shared.board();
            let first = board.place(&shared.settings) == 0;
            (first, board.cache.snapshot())
        };
        let Ok(snapshot) = snapshot else {
            continue;
        };
        if !first || snapshot == saved {
            continue;
        }
        let outcome = registry.save_cache(snapshot.clone()).await;
        let label = if outcome.is_ok() {
            "answered"
        } else {
            "failed"
        };
        shared.metrics.registry_call(Table::Routers.as_str(), label);
        // A save that failed is made up for by the next one.
        if outcome.is_ok() {
            saved = snapshot;
        }
    }
}

/// Writes this router's row, creates the fleet's key if there is none, and returns the key with the
/// other routers. Routers that start together and do not read each other's rows are introduced by a
/// third; the first two of a fleet meet because one of them reads again for the key.
async fn join(shared: &Shared, registry: &dyn Registry, incarnation: u64) -> Joined {
    let own = RouterEntry {
        id: shared.settings.id.clone(),
        address: shared.settings.peers,
        domain: shared.settings.domain.clone(),
        incarnation,
    };
    loop {
        let outcome = join_once(registry, &own).await;
        let outcome_label = if outcome.is_ok() {
            "answered"
        } else {
            "failed"
        };
        shared
            .metrics
            .registry_call(Table::Routers.as_str(), outcome_label);
        match outcome {
            Ok(Some(joined)) => return joined,
            Ok(None) => {}
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                let drawn = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(RETRY.mul_f64(drawn)).await;
            }
        }
    }
}

/// All rows of the table of routers.
async fn read_routers(registry: &dyn Registry) -> Result<Vec<Row>, RegistryError> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = registry.read(Table::Routers, after).await?;
        rows.extend(page.rows);
        if page.next.is_none() {
            return Ok(rows);
        }
        after = page.next;
    }
}

async fn join_once(
    registry: &dyn Registry,
    own: &RouterEntry,
) -> Result<Option<Joined>, RegistryError> {
    let mut key = None;
    let mut cache = None;
    let mut routers = Vec::new();
    for row in read_routers(registry).await? {
        match row.entry {
            Entry::PeerKey(found) => key = Some(found),
            Entry::Cache(found) => cache = Some(found),
            Entry::Router(router) if router.id != own.id => routers.push(router),
            Entry::Malformed(reason) => {
                log(Event::PeerRejected, &format!("row {}: {reason}", row.key));
            }
            _ => {}
        }
    }
    let new_key: Option<PeerKey> = key.is_none().then(|| rand::rng().random());
    match registry.announce(own.clone(), new_key).await {
        Ok(()) => Ok(key.or(new_key).map(|key| Joined {
            key,
            routers,
            cache,
        })),
        // Another router created the key first; the next read shows it.
        Err(RegistryError::Conflict) => Ok(None),
        Err(error) => Err(error),
    }
}

impl Links {
    fn introduce(&mut self, id: RouterId, address: SocketAddr, domain: &str) {
        let peer = self.peers.entry(id).or_insert(Peer {
            address,
            domain: domain.to_string(),
            heard: None,
            sent: None,
        });
        peer.address = address;
        self.shared.board().fleet = self.peers.len() + 1;
    }

    /// Sends what is new to the routers that are heard, and a sign of life to the others.
    fn tell(&mut self) {
        let now = self.shared.now();
        let pace = self.pace();
        let life = self.life();
        let heard = |peer: &Peer| peer.heard.is_some_and(|heard| now < heard + life);
        let count = self.peers.values().filter(|peer| heard(peer)).count();
        let routers = i64::try_from(count + 1).unwrap_or(i64::MAX);
        self.shared.metrics.routers.set(routers);
        self.shared.board().loads.expire(now, life);
        if let Some(datagram) = self.round(now, pace) {
            let to = self.peers.values().filter(|peer| heard(peer));
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
        let due = |peer: &Peer| peer.sent.is_none_or(|sent| now >= sent + UNHEARD_PERIOD);
        if self.peers.values().any(|peer| !heard(peer) && due(peer)) {
            let Some(datagram) = self.seal(&self.base()) else {
                return;
            };
            for peer in self.peers.values_mut() {
                if !heard(peer) && due(peer) {
                    peer.sent = Some(now);
                    send(&self.socket, &datagram, peer.address);
                }
            }
        }
    }

    /// Sends what is new through the domains, when it is due in a large fleet.
    fn tell_news(&mut self, now: Duration) {
        let count = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let period = NEWS_PERIOD.max(NEWS_PERIOD * count / NEWS_FLEET);
        if !self.is_large() || now < self.news_at + period {
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
            LARGE_PERIOD
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
        let heard = |peer: &Peer| peer.heard.is_some_and(|heard| now < heard + life);
        let heard = self.peers.iter().filter(|(_, peer)| heard(peer));
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
        let mut far: BTreeMap<&DomainId, Vec<SocketAddr>> = BTreeMap::new();
        let mut direct = Vec::new();
        for peer in self.peers.values().filter(|peer| self.is_reached(peer)) {
            if self.is_large() && peer.domain != *own {
                far.entry(&peer.domain).or_default().push(peer.address);
            } else {
                direct.push(peer.address);
            }
        }
        self.send_all(&tell, &direct);
        let drawn = far.values().filter_map(|all| all.choose(&mut rand::rng()));
        let relays: Vec<SocketAddr> = drawn.copied().collect();
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
        peer.heard.is_none_or(|heard| now < heard + self.life())
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
        Tell {
            address: Some(self.shared.settings.peers),
            domain: self.shared.settings.domain.clone(),
            link: self.shared.settings.link,
            version: self.shared.board().version(),
            draining: self.shared.is_draining(),
            ..Tell::default()
        }
    }

    fn message(&self) -> Tell {
        let base = self.base();
        let mut board = self.shared.board();
        let mut work: Vec<(EndpointId, Work)> = board
            .loads
            .own()
            .iter()
            .map(|(id, work)| (id.clone(), *work))
            .collect();
        if work.len() > MAX_WORK {
            work.sort_by_key(|(_, work)| std::cmp::Reverse(work.requests));
            work.truncate(MAX_WORK);
        }
        let mut tell = Tell {
            work: Some(work),
            ..base
        };
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
            let was_heard = peer.heard.is_some_and(|heard| now < heard + life);
            peer.heard = Some(now);
            if !was_heard {
                log(
                    Event::PeerUp,
                    &format!("router={id} incarnation={incarnation}"),
                );
            }
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
