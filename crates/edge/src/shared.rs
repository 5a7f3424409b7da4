//! State that the tasks of one router share.

use crate::admission::Admission;
use crate::byte_budget::ByteBudget;
use crate::cache_map::CacheMap;
use crate::constraints::{ColdBooking, ColdEndpoint, ColdStarts, Evacuations, KnownRouters};
use crate::departures::Departures;
use crate::drain::{Drain, DrainRequest};
use crate::feed::Feed;
use crate::follower::{Follower, Revision};
use crate::health::Health;
use crate::hot_subjects::HotSubjects;
use crate::load::Loads;
use crate::manifest::{ColdStart, EndpointEntry, Route, SoftwareVersion};
use crate::metrics::Metrics;
use crate::open_runs::OpenRuns;
use crate::peer_message::Outbox;
use crate::quarantine_probe::QuarantineProbes;
use crate::registry::{Dialect, Era, Position, Table};
use crate::rest::Rests;
use crate::retry_window::RetryWindow;
use crate::roster::Roster;
use crate::routes::RouteTable;
use crate::run_times::RunTimes;
use crate::schedule::ReaderRank;
use crate::settings::EdgeSettings;
use crate::stream_news::StreamNews;
use crate::stream_versions::{StreamId, StreamVersions};
use crate::terminations::Terminations;
use crate::upstream::ConnectionPool;
use crate::version_history::VersionHistory;
use sequoiaridge_core::{Clock, DomainId, RouterId, Version};
use sequoiaridge_policy::Quarantine;
use sequoiaridge_wire::PeerKeys;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, mpsc, watch};

/// Crashes after which a request, or a part of prompts, is quarantined.
const QUARANTINE_STRIKES: u32 = 3;
/// Length of a quarantine after the last crash. The operators' limit on further attempts never resets, so
/// each quarantine that ends may count against it; callers keep retrying for up to a day.
const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time for which crashes are not attributed to a request that succeeded.
const TRUST_TIME: Duration = Duration::from_secs(60);
/// Time for which crashes are not attributed to a part that succeeded. A success reaches hundreds of
/// routers within it; a part that crashes endpoints from some moment on is held that much later.
const PART_TRUST_TIME: Duration = Duration::from_secs(2);
/// Number of other routers from which on a fleet counts as large. In smaller fleets every router sends its
/// full state to every other one ten times a second; in larger ones such messages cost more than they are
/// worth.
pub(crate) const SMALL_FLEET: usize = 24;
/// Bodies of requests and answers may take one part in this many of the memory. The rest is for connection
/// buffers and everything else.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Largest number of requests and parts that the quarantine tracks.
const MAX_SUSPECTS: usize = 4096;

/// Everything that routing decisions read, behind one lock.
pub(crate) struct RoutingState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) roster: Roster,
    pub(crate) endpoints: Follower,
    pub(crate) configuration: Follower,
    /// Registry position at which the configuration was read.
    pub(crate) config_position: Position,
    /// When the registry last became reachable again after an outage for the whole fleet.
    pub(crate) registry_returned: Option<Duration>,
    /// All other known routers.
    pub(crate) contacts: BTreeMap<RouterId, Contact>,
    /// The same routers, as those among which the budgets of cold endpoints are divided.
    pub(crate) known_routers: KnownRouters,
    /// The failure domains that operators evacuate.
    pub(crate) evacuations: Evacuations,
    /// Requests to cold endpoints; `None` if the operators set no limit.
    pub(crate) cold_starts: Option<ColdStarts>,
    pub(crate) loads: Loads,
    /// Division of the services' room among requests.
    pub(crate) admission: Admission,
    pub(crate) hot_subjects: HotSubjects,
    pub(crate) health: Health,
    pub(crate) cache: CacheMap,
    pub(crate) outbox: Outbox,
    pub(crate) retries: RetryWindow,
    pub(crate) quarantine: Quarantine,
    pub(crate) probes: QuarantineProbes,
    pub(crate) terminations: Terminations,
    pub(crate) rests: Rests,
    pub(crate) departures: Departures,
    pub(crate) open_runs: OpenRuns,
    pub(crate) run_times: RunTimes,
    /// Versions that began the streams of late.
    pub(crate) streams: StreamVersions,
    /// Streams that other routers are to be told of.
    pub(crate) stream_news: StreamNews,
    /// Streams whose version other routers are to be asked for.
    pub(crate) asked_streams: BTreeSet<StreamId>,
    /// Software versions that the services had of late.
    pub(crate) versions: VersionHistory,
    /// Number of routers that save the streams of all in a large fleet, and whether this one does.
    pub(crate) stream_keepers: usize,
    pub(crate) keeps_streams: bool,
}

impl RoutingState {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.manifest().version)
    }

    /// How far this router knows a table.
    pub(crate) fn follower(&mut self, table: Table) -> &mut Follower {
        match table {
            Table::Configuration => &mut self.configuration,
            Table::Endpoints | Table::Routers => &mut self.endpoints,
        }
    }

    /// Whether the fleet is so large that messages go to some of the routers only.
    pub(crate) fn is_large(&self) -> bool {
        self.contacts.len() >= SMALL_FLEET
    }

    /// Number of routers in the fleet, including this one.
    pub(crate) fn routers(&self) -> usize {
        (self.contacts.len() + 1).max(self.loads.router_count())
    }

    /// The version of a service, if it had no other one for as long as a stream can have run that
    /// began before `begun`. The list of endpoints must be known as of then: another router may have
    /// begun the stream at a version that this one has not heard of.
    pub(crate) fn sole_version(
        &self,
        service: &str,
        begun: Duration,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let is_known = self.endpoints.is_known_as_of(begun);
        let sole = self.versions.sole(service, now).filter(|_| is_known);
        sole.cloned()
    }

    /// What an endpoint tolerates now because it is cold; `None` if it is not, or if its service sets no
    /// limit.
    fn cold_start(&self, entry: &EndpointEntry, now: Duration) -> Option<ColdStart> {
        let routes = self.routes.as_ref()?;
        let cold = routes.manifest().services.get(&entry.service)?.cold?;
        let until = self.roster.cold_until(&entry.id);
        self.is_cold_until(entry, cold, until, now).then_some(cold)
    }

    /// What cold endpoints of a service tolerate; `None` if no limit applies to them.
    pub(crate) fn cold_limit(&self, service: &str) -> Option<ColdStart> {
        self.cold_starts.as_ref()?;
        self.routes.as_ref()?.manifest().services.get(service)?.cold
    }

    /// Whether an endpoint is cold of which the roster says until when it is, or because the evacuation of its
    /// domain ended.
    pub(crate) fn is_cold_until(
        &self,
        entry: &EndpointEntry,
        limit: ColdStart,
        until: Duration,
        now: Duration,
    ) -> bool {
        let ended = self.evacuations.ended_at(&entry.domain);
        now < until || ended.is_some_and(|ended| now < ended + limit.time)
    }

    /// Whether the limit on cold endpoints applies to an endpoint.
    pub(crate) fn is_cold(&self, entry: &EndpointEntry, now: Duration) -> bool {
        self.cold_starts.is_some() && self.cold_start(entry, now).is_some()
    }

    /// Whether the limit on cold endpoints lets this router send a request to an endpoint now. The request
    /// may have a booking.
    pub(crate) fn may_send_cold(
        &mut self,
        entry: &EndpointEntry,
        booking: Option<&ColdBooking>,
        now: Duration,
    ) -> bool {
        let may_send = match booking.filter(|booking| booking.endpoint == entry.id) {
            Some(booking) => self.with_cold(entry, now, |starts, endpoint, routers, now| {
                starts.may_send_booked(endpoint, booking, routers, now)
            }),
            None => self.with_cold(entry, now, ColdStarts::may_send),
        };
        may_send.unwrap_or(true)
    }

    /// The same at the moment of sending: a request that may be sent is counted.
    pub(crate) fn try_send_cold(
        &mut self,
        entry: &EndpointEntry,
        booking: Option<&ColdBooking>,
        now: Duration,
    ) -> bool {
        let may_send = match booking.filter(|booking| booking.endpoint == entry.id) {
            Some(booking) => self.with_cold(entry, now, |starts, endpoint, routers, now| {
                starts.send_booked(endpoint, booking, routers, now)
            }),
            None => self.with_cold(entry, now, ColdStarts::try_send),
        };
        may_send.unwrap_or(true)
    }

    /// Keeps the share of a cold endpoint that returns next for a request.
    pub(crate) fn book_cold(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
    ) -> Option<ColdBooking> {
        self.with_cold(entry, now, ColdStarts::book).flatten()
    }

    /// When this router may next send a request to a cold endpoint. `None` if it has no share there, or if
    /// the limit does not apply.
    pub(crate) fn next_cold_send(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
    ) -> Option<Duration> {
        self.with_cold(entry, now, ColdStarts::next_send).flatten()
    }

    /// Asks the limiter about an endpoint; `None` if the limit does not apply to it.
    fn with_cold<T>(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
        ask: impl Fn(&mut ColdStarts, &ColdEndpoint<'_>, &KnownRouters, Duration) -> T,
    ) -> Option<T> {
        let cold = self.cold_start(entry, now)?;
        let endpoint = ColdEndpoint {
            id: &entry.id,
            boot: &entry.boot(),
            per_second: cold.per_second,
        };
        let starts = self.cold_starts.as_mut()?;
        Some(ask(starts, &endpoint, &self.known_routers, now))
    }

    /// Rank of this router by link bandwidth, the fastest first, then by name: among all routers that are
    /// heard in a small fleet, among those of its failure domain in a large one.
    pub(crate) fn reader_rank(&self, settings: &EdgeSettings) -> ReaderRank {
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
                .filter(|peer| (Reverse(peer.link_mbps), peer.id) < own)
                .count()
        };
        ReaderRank {
            before,
            routers: self.routers(),
            large,
        }
    }
}

/// What this router knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    /// Address at which it listens for other routers.
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    /// Bandwidth of its link in Mbit/s; 0 until it is heard.
    pub(crate) link: u32,
    /// How far it knows the endpoints.
    pub(crate) endpoints: Option<Revision>,
    /// Version of the configuration that it has in force.
    pub(crate) configuration: Option<Version>,
    /// When it was last heard.
    pub(crate) heard: Option<Duration>,
}

/// State of one router.
///
/// There are two locks: one on [`RoutingState`], one on the idle connections in [`ConnectionPool`].
/// Neither is held while the other is taken, nor across an await.
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
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
        feeds: mpsc::UnboundedSender<Option<Feed>>,
    ) -> Shared {
        let retries = RetryWindow::new(
            settings.retry_share,
            settings.retry_window,
            settings.retry_extra,
        );
        let mut loads = Loads::new();
        loads.paces_mut().learn_all(settings.shares_room);
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
            metrics: Metrics::new(),
            pool: ConnectionPool::default(),
            bytes: ByteBudget::new(
                usize::try_from(settings.memory).unwrap_or(usize::MAX) / BODY_MEMORY_DIVISOR,
            ),
            state: Mutex::new(RoutingState {
                routes: None,
                roster: Roster::with_bound(settings.leave_bound),
                endpoints: Follower::new(&settings.id),
                configuration: Follower::new(&settings.id),
                config_position: Position::default(),
                registry_returned: None,
                contacts: BTreeMap::new(),
                known_routers: KnownRouters::new(&settings.id),
                evacuations: Evacuations::new(),
                cold_starts: settings.cold.map(ColdStarts::new),
                loads,
                admission: Admission::new(settings.shares_room),
                hot_subjects: HotSubjects::new(),
                health: Health::new(),
                cache: CacheMap::with_window(settings.reuse_window),
                outbox: Outbox::default(),
                retries,
                quarantine: Quarantine::new(QUARANTINE_STRIKES, QUARANTINE_TIME, MAX_SUSPECTS)
                    .with_trust_window(TRUST_TIME)
                    .with_part_trust_window(PART_TRUST_TIME),
                probes: QuarantineProbes::new(),
                terminations: Terminations::new(),
                rests: Rests::new(),
                departures: Departures::new(),
                open_runs: OpenRuns::default(),
                run_times: RunTimes::new(),
                streams: StreamVersions::default(),
                stream_news: StreamNews::default(),
                asked_streams: BTreeSet::new(),
                versions: VersionHistory::new(),
                stream_keepers: 0,
                keeps_streams: false,
            }),
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
