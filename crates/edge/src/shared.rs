//! State that the tasks of one router share.

use crate::cache_map::CacheMap;
use crate::ends::Ends;
use crate::feed::Feed;
use crate::follower::{Follower, Mark};
use crate::health::Health;
use crate::heat::Heat;
use crate::load::Loads;
use crate::metrics::Metrics;
use crate::registry::{Dialect, Position, Table};
use crate::rest::Rests;
use crate::retry_window::RetryWindow;
use crate::roster::Roster;
use crate::routes::RouteTable;
use crate::schedule::Place;
use crate::settings::EdgeSettings;
use crate::tell::News;
use crate::upstream::Upstream;
use sequoiaridge_core::{Clock, DomainId, RouterId, Version};
use sequoiaridge_policy::Quarantine;
use sequoiaridge_wire::PeerKeys;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, watch};

/// Crashes after which a request is held back.
const STRIKES: u32 = 3;
/// Time for which it is held back after the last of them. The operators' bound on further attempts has no
/// end, so that each hold that ends may cost them; a day is what callers go on for.
const HOLD: Duration = Duration::from_secs(24 * 3600);
/// Time for which a request that succeeded is not taken for what crashes endpoints.
const TRUST: Duration = Duration::from_secs(60);
/// Routers up to which everyone tells everyone everything ten times a second. Beyond, each message of
/// a router costs more than it tells.
pub(crate) const SMALL_FLEET: usize = 24;
/// Part of the memory that bodies of requests may take: a quarter, next to buffers of connections.
const BODY_PART: usize = 4;
/// Fingerprints that are tracked.
const FINGERPRINTS: usize = 4096;

/// What decisions are made from.
pub(crate) struct Board {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) roster: Roster,
    pub(crate) endpoints: Follower,
    pub(crate) configuration: Follower,
    /// Registry position at which the configuration was read.
    pub(crate) config_position: Position,
    /// When the registry was last back after it had been away from the whole fleet.
    pub(crate) returned: Option<Duration>,
    /// Routers that are known, but for this one.
    pub(crate) contacts: BTreeMap<RouterId, Contact>,
    pub(crate) loads: Loads,
    pub(crate) heat: Heat,
    pub(crate) health: Health,
    pub(crate) cache: CacheMap,
    pub(crate) news: News,
    pub(crate) repeats: RetryWindow,
    pub(crate) quarantine: Quarantine,
    pub(crate) ends: Ends,
    pub(crate) rests: Rests,
}

impl Board {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.manifest().version)
    }

    /// What is known of a table that routers follow.
    pub(crate) fn follower(&mut self, table: Table) -> &mut Follower {
        match table {
            Table::Configuration => &mut self.configuration,
            Table::Endpoints | Table::Routers => &mut self.endpoints,
        }
    }

    /// Whether messages go to some routers only, because the fleet is large.
    pub(crate) fn is_large(&self) -> bool {
        self.contacts.len() >= SMALL_FLEET
    }

    /// Routers of the fleet, with this one.
    pub(crate) fn routers(&self) -> usize {
        (self.contacts.len() + 1).max(self.loads.routers())
    }

    /// Place of this router in the order of links, the fastest first, and names: among those that are
    /// heard in a small fleet, in its domain in a large one.
    pub(crate) fn place(&self, settings: &EdgeSettings) -> Place {
        let own = (Reverse(settings.link), &settings.id);
        let large = self.is_large();
        let before = if large {
            let contacts = self.contacts.iter();
            let near = contacts.filter(|(_, contact)| contact.domain == settings.domain);
            near.filter(|(id, contact)| (Reverse(contact.link), *id) < own)
                .count()
        } else {
            let heard = self.loads.peers();
            heard
                .filter(|peer| (Reverse(peer.link), peer.id) < own)
                .count()
        };
        Place {
            before,
            routers: self.routers(),
            large,
        }
    }
}

/// What all tasks know of another router.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    /// Address at which it listens for other routers.
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    /// Bandwidth of its link in Mbit/s; 0 before it is heard.
    pub(crate) link: u32,
    /// How far it knows the endpoints.
    pub(crate) endpoints: Option<Mark>,
    /// Version that it has in force.
    pub(crate) configuration: Option<Version>,
    /// When it was last heard.
    pub(crate) heard: Option<Duration>,
}

/// State of one router.
///
/// Two locks exist, and neither is held while the other is taken or a task waits: the board's and
/// that of the idle connections in [`Upstream`].
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) metrics: Metrics,
    pub(crate) upstream: Upstream,
    board: Mutex<Board>,
    /// When the drain started.
    draining: OnceLock<Duration>,
    /// Whether a configuration and the endpoints are known.
    informed: watch::Sender<bool>,
    /// Whether idle connections of callers are closed.
    closing: watch::Sender<bool>,
    in_flight: AtomicUsize,
    /// Bytes of request bodies that are held.
    held: AtomicUsize,
    incarnation: u64,
    hints: BTreeMap<Table, Notify>,
    feeds: mpsc::UnboundedSender<Option<Feed>>,
    /// Whether the other routers are known.
    joined: watch::Sender<bool>,
    /// Keys of the fleet, once the router has joined.
    pub(crate) keys: OnceLock<PeerKeys>,
}

impl Shared {
    /// Creates the state of a router that knows nothing yet.
    pub(crate) fn new(
        settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        feeds: mpsc::UnboundedSender<Option<Feed>>,
    ) -> Shared {
        let repeats = RetryWindow::new(
            settings.retry_share,
            settings.retry_window,
            settings.retry_extra,
        );
        let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        Shared {
            incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            hints: [Table::Configuration, Table::Endpoints]
                .into_iter()
                .map(|table| (table, Notify::new()))
                .collect(),
            feeds,
            joined: watch::Sender::new(false),
            keys: OnceLock::new(),
            clock,
            dialect,
            metrics: Metrics::new(),
            upstream: Upstream::default(),
            board: Mutex::new(Board {
                routes: None,
                roster: Roster::with_bound(settings.leave),
                endpoints: Follower::new(&settings.id),
                configuration: Follower::new(&settings.id),
                config_position: 0,
                returned: None,
                contacts: BTreeMap::new(),
                loads: Loads::new(),
                heat: Heat::new(),
                health: Health::new(),
                cache: CacheMap::with_window(settings.reuse),
                news: News::default(),
                repeats,
                quarantine: Quarantine::new(STRIKES, HOLD, FINGERPRINTS).with_trust_window(TRUST),
                ends: Ends::new(),
                rests: Rests::new(),
            }),
            draining: OnceLock::new(),
            informed: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            settings,
        }
    }

    /// The board, for a few instructions.
    pub(crate) fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time of the router's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Wakes the reader of a table when another router has newer news.
    pub(crate) fn hints(&self, table: Table) -> &Notify {
        &self.hints[&table]
    }

    /// Tells the other routers what this one read, or that nothing changed. Nobody hears it before the
    /// router has joined.
    pub(crate) fn publish(&self, feed: Option<Feed>) {
        let _ = self.feeds.send(feed);
    }

    /// Start of the process in ms since the epoch, which tells it from its predecessor.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the router takes requests from the balancer.
    pub(crate) fn is_ready(&self) -> bool {
        let board = self.board();
        let known = board.routes.is_some() && board.endpoints.mark().is_some();
        known && !self.is_draining()
    }

    /// Notes that the other routers are known.
    pub(crate) fn note_joined(&self) {
        self.joined.send_replace(true);
    }

    /// Waits until the other routers are known, for at most `time`.
    pub(crate) async fn wait_joined(&self, time: Duration) {
        let mut joined = self.joined.subscribe();
        // Whether the wait ended in time shows in what is known afterwards.
        let _ = tokio::time::timeout(time, joined.wait_for(|joined| *joined)).await;
    }

    /// Notes that a table was read for the first time or again.
    pub(crate) fn check_informed(&self) {
        if !*self.informed.borrow() && self.is_ready() {
            self.informed.send_replace(true);
        }
    }

    /// Waits until a configuration and the endpoints are known, for at most `time`.
    pub(crate) async fn wait_informed(&self, time: Duration) {
        if *self.informed.borrow() {
            return;
        }
        let mut informed = self.informed.subscribe();
        // Whether the wait ended in time shows in what is known afterwards.
        let _ = tokio::time::timeout(time, informed.wait_for(|informed| *informed)).await;
    }

    /// Starts the drain.
    pub(crate) fn drain(&self) {
        self.draining.get_or_init(|| self.clock.now());
    }

    /// Whether the router drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// When the drain started.
    pub(crate) fn drain_start(&self) -> Option<Duration> {
        self.draining.get().copied()
    }

    /// Closes idle connections of callers.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Turns true when idle connections of callers are to be closed.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Reserves memory for the body of a request; `None` if too many bodies are held.
    pub(crate) fn hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        let most = usize::try_from(self.settings.memory).unwrap_or(usize::MAX) / BODY_PART;
        let held = self.held.fetch_add(bytes, Ordering::Relaxed);
        let reserved = HeldBytes {
            shared: self.clone(),
            bytes,
        };
        (held + bytes <= most).then_some(reserved)
    }

    /// Requests that have no whole answer yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Memory reserved for the body of a request, until it is dropped.
pub(crate) struct HeldBytes {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shared.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Counts a request.
    pub(crate) fn new(shared: &Arc<Shared>) -> InFlight {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        shared.metrics.in_flight.inc();
        InFlight {
            shared: shared.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared.metrics.in_flight.dec();
    }
}
