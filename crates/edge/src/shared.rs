//! State that the tasks of one router share.

use crate::cache_map::CacheMap;
use crate::feed::Feed;
use crate::health::Health;
use crate::load::{Loads, Sender};
use crate::metrics::Metrics;
use crate::registry::{Dialect, Position, Table};
use crate::retry_window::RetryWindow;
use crate::roster::Roster;
use crate::routes::RouteTable;
use crate::settings::EdgeSettings;
use crate::sync;
use crate::tell::{News, Tell};
use crate::upstream::Upstream;
use sequoiaridge_core::{Clock, DomainId, RouterId, Version};
use sequoiaridge_policy::Quarantine;
use sequoiaridge_wire::PeerKeys;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, watch};

/// Crashes after which a request is held back.
const STRIKES: u32 = 3;
/// Time for which it is held back.
const HOLD: Duration = Duration::from_secs(60);
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
    /// Positions up to which tables were read.
    pub(crate) positions: BTreeMap<Table, Position>,
    /// When the news of each table were last complete.
    pub(crate) fresh: BTreeMap<Table, Duration>,
    /// When the registry was last back after it had been away from the whole fleet.
    pub(crate) returned: Option<Duration>,
    /// The latest feed of each table, read here or heard.
    pub(crate) recent: BTreeMap<Table, Feed>,
    /// Feeds that came before those that they follow on.
    pub(crate) early: VecDeque<Feed>,
    /// Routers that are known, but for this one.
    pub(crate) contacts: BTreeMap<RouterId, Contact>,
    /// Tables of which another router has newer news.
    pub(crate) behind: BTreeSet<Table>,
    pub(crate) loads: Loads,
    pub(crate) health: Health,
    pub(crate) cache: CacheMap,
    pub(crate) news: News,
    pub(crate) repeats: RetryWindow,
    pub(crate) quarantine: Quarantine,
}

impl Board {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.manifest().version)
    }

    /// Whether another router has newer news of a table.
    pub(crate) fn is_behind(&self, table: Table) -> bool {
        self.behind.contains(&table)
    }

    /// Place of this router among those that live. In a small fleet it is that in the order of their
    /// links, the fastest first, and names. In a large one only the first of all has place 0; the
    /// others count within their domains, so that one of each domain follows.
    pub(crate) fn place(&self, settings: &EdgeSettings) -> usize {
        let (own, domain) = (&settings.id, &settings.domain);
        let rank = (Reverse(settings.link), own);
        let before = self.loads.peers();
        let before = before.filter(|peer| (Reverse(peer.link), peer.id) < rank);
        if self.contacts.len() < SMALL_FLEET {
            return before.count();
        }
        let (mut all, mut near) = (0, 0);
        for peer in before {
            all += 1;
            near += usize::from(peer.domain == domain);
        }
        if all == 0 { 0 } else { near + 1 }
    }
}

/// What all tasks know of another router.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    /// Address at which it listens for other routers.
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    /// Whether it says that it knows the endpoints.
    pub(crate) informed: bool,
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
    feeds: mpsc::UnboundedSender<Feed>,
    /// Keys of the fleet, once the router has joined.
    pub(crate) keys: OnceLock<PeerKeys>,
}

impl Shared {
    /// Creates the state of a router that knows nothing yet.
    pub(crate) fn new(
        settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        feeds: mpsc::UnboundedSender<Feed>,
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
            keys: OnceLock::new(),
            clock,
            dialect,
            metrics: Metrics::new(),
            upstream: Upstream::default(),
            board: Mutex::new(Board {
                routes: None,
                roster: Roster::with_bound(settings.leave),
                positions: BTreeMap::new(),
                fresh: BTreeMap::new(),
                returned: None,
                recent: BTreeMap::new(),
                early: VecDeque::new(),
                contacts: BTreeMap::new(),
                behind: BTreeSet::new(),
                loads: Loads::new(),
                health: Health::new(),
                cache: CacheMap::with_window(settings.reuse),
                news: News::default(),
                repeats,
                quarantine: Quarantine::new(STRIKES, HOLD, FINGERPRINTS),
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

    /// Tells the other routers what this one read. Nobody hears it before the router has joined.
    pub(crate) fn publish(&self, feed: Feed) {
        let _ = self.feeds.send(feed);
    }

    /// Start of the process in ms since the epoch, which tells it from its predecessor.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes over what another router tells.
    pub(crate) fn hear(&self, router: &RouterId, tell: Tell, now: Duration) {
        if let Some(feed) = tell.feed {
            sync::hear(self, feed, now);
        }
        let mut board = self.board();
        if tell.version > board.version() {
            board.behind.insert(Table::Configuration);
            self.hints(Table::Configuration).notify_one();
        }
        if let Some(work) = tell.work {
            let work = work.into_iter().collect();
            let from = Sender {
                id: router,
                domain: &tell.domain,
                link: tell.link,
            };
            board.loads.hear(from, work, tell.draining, now);
        }
        for (key, id) in tell.prefixes {
            board.cache.hear(key, &id, now);
        }
        for id in tell.failed {
            board.health.suspect(&id, now);
        }
        for crash in tell.crashes {
            board.quarantine.strike(&crash, now);
        }
        for fingerprint in tell.cleared {
            board.quarantine.clear(fingerprint);
        }
    }

    /// Whether the router takes requests from the balancer.
    pub(crate) fn is_ready(&self) -> bool {
        let board = self.board();
        let endpoints = board.positions.contains_key(&Table::Endpoints);
        board.routes.is_some() && endpoints && !self.is_draining()
    }

    /// Whether the endpoints are known.
    pub(crate) fn is_informed(&self) -> bool {
        let board = self.board();
        board.positions.contains_key(&Table::Endpoints)
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
