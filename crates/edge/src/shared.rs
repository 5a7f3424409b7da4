//! State that the tasks of one router share.

mod cold_limit;
mod endpoint_limit;
mod routing_state;

pub(crate) use routing_state::{Contact, RoutingState, SMALL_FLEET};

use crate::byte_budget::ByteBudget;
use crate::drain::{Drain, DrainRequest};
use crate::feed::Feed;
use crate::manifest::Route;
use crate::metrics::Metrics;
use crate::network::Dialer;
use crate::registry::{Dialect, Era, Table};
use crate::settings::EdgeSettings;
use crate::stream_versions::StreamId;
use crate::upstream::ConnectionPool;
use sequoiaridge_core::Clock;
use sequoiaridge_wire::PeerKeys;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, mpsc, watch};

/// Bodies of requests and answers may take one part in this many of the memory. The rest is for connection
/// buffers and everything else.
const BODY_MEMORY_DIVISOR: usize = 4;
/// State of one router.
///
/// There are two locks: one on [`RoutingState`], one on the idle connections in [`ConnectionPool`].
/// Neither is held while the other is taken, nor across an await.
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) dialer: Arc<dyn Dialer>,
    pub(crate) metrics: Metrics,
    pub(crate) pool: ConnectionPool,
    /// Bytes that bodies may take.
    pub(crate) bytes: ByteBudget,
    state: Mutex<RoutingState>,
    /// The planned stop, once it has started.
    drain: OnceLock<Drain>,
    /// Whether requests in flight are to be given up, because the process is about to end.
    giving_up: watch::Sender<bool>,
    /// Whether the drain has started, for requests that are held.
    draining: watch::Sender<bool>,
    /// Whether a configuration and the endpoints were read and the router became ready.
    ready: watch::Sender<bool>,
    /// Whether idle connections of callers are to be closed.
    closing: watch::Sender<bool>,
    in_flight: AtomicUsize,
    incarnation: u64,
    hints: BTreeMap<Table, Notify>,
    feeds: mpsc::UnboundedSender<Option<Feed>>,
    /// Whether the other routers are known.
    joined: watch::Sender<bool>,
    /// Keys for messages between routers, set once this router has joined the fleet.
    keys: watch::Sender<Option<PeerKeys>>,
    /// Era of the registry, once it is known. When it rises, what this router wrote may be gone.
    era: watch::Sender<Option<Era>>,
    /// Wakes the task that asks other routers for the versions that began streams.
    asking: Notify,
    /// Wakes the requests that wait for such an answer.
    origins_told: Notify,
    /// Wakes the task that tells other routers the versions that began streams.
    stream_begun: Notify,
    /// Wakes the task that watches the room of services.
    endpoint_overfull: Notify,
}

impl Shared {
    /// Creates the state of a router that has just started.
    pub(crate) fn new(
        settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        dialer: Arc<dyn Dialer>,
        feeds: mpsc::UnboundedSender<Option<Feed>>,
    ) -> Shared {
        let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        Shared {
            incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            hints: [Table::Configuration, Table::Endpoints]
                .into_iter()
                .map(|table| (table, Notify::new()))
                .collect(),
            feeds,
            joined: watch::Sender::new(false),
            keys: watch::Sender::new(None),
            era: watch::Sender::new(None),
            asking: Notify::new(),
            origins_told: Notify::new(),
            stream_begun: Notify::new(),
            endpoint_overfull: Notify::new(),
            clock,
            dialect,
            dialer,
            metrics: Metrics::new(),
            pool: ConnectionPool::default(),
            bytes: ByteBudget::new(
                usize::try_from(settings.memory).unwrap_or(usize::MAX) / BODY_MEMORY_DIVISOR,
            ),
            state: Mutex::new(RoutingState::new(&settings)),
            drain: OnceLock::new(),
            giving_up: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            ready: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            settings,
        }
    }

    /// Locks the state that decisions read. The guard must be held only briefly.
    pub(crate) fn lock_state(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time on the router's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Wakes the reader of a table when another router has a newer version of it.
    pub(crate) fn hints(&self, table: Table) -> &Notify {
        &self.hints[&table]
    }

    /// Asks other routers which version began a stream.
    pub(crate) fn ask_origin(&self, stream: StreamId) {
        self.lock_state().asked_streams.insert(stream);
        self.asking.notify_one();
    }

    /// Waits until a request asks for the version that began a stream.
    pub(crate) async fn origin_asked(&self) {
        self.asking.notified().await;
    }

    /// Makes this router tell the others of a stream that began.
    pub(crate) fn note_stream_begun(&self) {
        self.stream_begun.notify_one();
    }

    /// Makes this router look at the services whose endpoints report too many requests.
    pub(crate) fn note_endpoint_overfull(&self) {
        self.endpoint_overfull.notify_one();
    }

    /// Waits until an endpoint reports too many requests.
    pub(crate) async fn endpoint_overfull(&self) {
        self.endpoint_overfull.notified().await;
    }

    /// Waits until a stream begins that the others are to be told of at once.
    pub(crate) async fn stream_begun(&self) {
        self.stream_begun.notified().await;
    }

    /// Wakes the requests that wait for versions that began streams.
    pub(crate) fn notify_origins_told(&self) {
        self.origins_told.notify_waiters();
    }

    /// Completes when other routers have told versions that began streams.
    pub(crate) fn origins_told(&self) -> Notified<'_> {
        self.origins_told.notified()
    }

    /// Queues what this router read for the other routers; `None` says that nothing changed. Nothing is
    /// sent before the router has joined the fleet.
    pub(crate) fn publish(&self, feed: Option<Feed>) {
        let _ = self.feeds.send(feed);
    }

    /// Start of the process in ms since the epoch, which distinguishes it from earlier processes under the
    /// same id.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Keys for messages between routers; `None` until this router has joined the fleet.
    pub(crate) fn keys(&self) -> Option<PeerKeys> {
        self.keys.borrow().clone()
    }

    /// Sets the keys for messages between routers.
    pub(crate) fn set_keys(&self, keys: PeerKeys) {
        self.keys.send_replace(Some(keys));
    }

    /// A watch of the keys for messages between routers.
    pub(crate) fn watch_keys(&self) -> watch::Receiver<Option<PeerKeys>> {
        self.keys.subscribe()
    }

    /// Records an era of the registry. Returns the era that was known before if this one is later.
    pub(crate) fn note_era(&self, era: Era) -> Option<Era> {
        let mut before = None;
        self.era.send_if_modified(|known| {
            let is_later = known.is_none_or(|known| known < era);
            if is_later {
                before = known.replace(era);
                self.metrics.era.set(i64::from(era));
            }
            is_later
        });
        before
    }

    /// Era of the registry; 0 until it is known.
    pub(crate) fn era(&self) -> Era {
        self.era.borrow().unwrap_or_default()
    }

    /// A watch of the era of the registry for [`is_later_era`].
    pub(crate) fn watch_era(&self) -> watch::Receiver<Option<Era>> {
        self.era.subscribe()
    }

    /// Whether the load balancer should send requests to this router.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock_state();
        let known = state.routes.is_some() && state.endpoints.revision().is_some();
        known && !self.is_draining()
    }

    /// Records that the other routers are known.
    pub(crate) fn note_joined(&self) {
        self.lock_state().known_routers.join(self.now());
        self.joined.send_replace(true);
    }

    /// Waits until the other routers are known, for at most `time`.
    pub(crate) async fn wait_joined(&self, time: Duration) {
        let mut joined = self.joined.subscribe();
        // A timeout is not an error: callers look at what is known afterwards.
        let _ = tokio::time::timeout(time, joined.wait_for(|joined| *joined)).await;
    }

    /// Wakes the requests that wait for the first configuration and endpoints, once both are known. Called
    /// after each read of a table.
    pub(crate) fn notify_if_ready(&self) {
        if !*self.ready.borrow() && self.is_ready() {
            self.ready.send_replace(true);
        }
    }

    /// Waits until a configuration and the endpoints are known, for at most `time`.
    pub(crate) async fn wait_ready(&self, time: Duration) {
        if *self.ready.borrow() {
            return;
        }
        let mut ready = self.ready.subscribe();
        // A timeout is not an error: callers look at what is known afterwards.
        let _ = tokio::time::timeout(time, ready.wait_for(|ready| *ready)).await;
    }

    /// Starts the drain.
    pub(crate) fn start_drain(&self) -> Drain {
        let start = || Drain::new(self.clock.now(), self.settings.grace);
        let drain = *self.drain.get_or_init(start);
        self.draining.send_replace(true);
        drain
    }

    /// Completes once the drain has started.
    pub(crate) async fn drain_started(&self) {
        let mut draining = self.draining.subscribe();
        // This value owns the sender, so the wait ends only with the change.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Whether the router is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// The planned stop, once it has started.
    pub(crate) fn drain(&self) -> Option<Drain> {
        self.drain.get().copied()
    }

    /// Whether a request of a route that must be answered by `deadline` may be sent to an endpoint. A
    /// draining router sends only those that are likely to end before it does.
    pub(crate) fn accepts(&self, route: &Route, deadline: Duration) -> bool {
        let Some(drain) = self.drain() else {
            return true;
        };
        let now = self.now();
        let request = DrainRequest {
            deadline,
            usual: self.lock_state().run_times.usual(&route.name, now),
            repeatable: route.kind.repeatable(),
        };
        drain.accepts(&request, now)
    }

    /// Makes all requests in flight end, because the process is about to.
    pub(crate) fn give_up(&self) {
        self.giving_up.send_replace(true);
    }

    /// Completes once requests in flight are to be given up.
    pub(crate) async fn given_up(&self) {
        let mut giving_up = self.giving_up.subscribe();
        // This value owns the sender, so the wait ends only with the change.
        let _ = giving_up.wait_for(|giving_up| *giving_up).await;
    }

    /// Makes all tasks close the idle connections of callers.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// A watch that turns true when idle connections of callers are to be closed.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Number of requests without a complete answer.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Starts to count a request.
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

/// Returns whether the registry came into a later era since the last call with this watch, so that
/// what was saved there may be gone.
pub(crate) fn is_later_era(era: &mut watch::Receiver<Option<Era>>) -> bool {
    let is_later = era.has_changed().unwrap_or(false);
    if is_later {
        era.mark_unchanged();
    }
    is_later
}
