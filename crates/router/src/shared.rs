//! State of one router that its workers share.
//!
//! Lock order: `last_refresh`, `members`, `detector`, `health`, `adopted`, `joined`, `owner`, `waiters`, `quarantine`, `turns`,
//! `budgets`, `opener`, `view`. A worker that holds one lock only takes later ones, and no lock is held across an
//! `await`.

use crate::metrics::Metrics;
use crate::recent_changes::RecentChanges;
use crate::refresh::LastRefresh;
use crate::token_index::TokenIndex;
use crate::turns::Turns;
use crate::view::View;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiaridge_core::{
    Clock, EndpointId, Event, Member, Refusal, RefusalReason, RetryReason, RouterId,
};
use sequoiaridge_http::Client;
use sequoiaridge_log as event;
use sequoiaridge_membership::{Detector, EndpointHealth};
use sequoiaridge_policy::{Owner, Quarantine, RetryBudget, StartedCall, TicketId};
use sequoiaridge_settings::Settings;
use sequoiaridge_store::{ClaimLedger, ConfigLog, ConfigState, MemberList};
use sequoiaridge_wire::{LinkPool, Opener, PeerKeys, Sealer};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

/// Where a router is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No configuration yet.
    Starting,
    /// Serves callers.
    Serving,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// All workers end.
    Stopped,
}

/// What a waiting call is told.
#[derive(Debug)]
pub(crate) enum Turn {
    /// It runs on this endpoint.
    Run(EndpointId),
    /// It waited too long or made room for others.
    Refused(Refusal),
    /// Another router owns the endpoints now; the call is to be sent there.
    Moved,
}

/// The endpoints in the platform's list.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedEndpoints {
    /// Rises with each change of the list.
    pub(crate) generation: u64,
    pub(crate) endpoints: Arc<BTreeMap<EndpointId, Member>>,
}

/// State of one router; see the module for the lock order.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: u64,
    /// Client for calls and probes.
    pub(crate) client: Client,
    pub(crate) config: ConfigState,
    pub(crate) recent_changes: RecentChanges,
    pub(crate) token_index: TokenIndex,
    pub(crate) log: ConfigLog,
    pub(crate) ledger: ClaimLedger,
    pub(crate) list: MemberList,
    pub(crate) keys: PeerKeys,
    pub(crate) links: LinkPool,
    pub(crate) sealer: Sealer,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) isolated: AtomicBool,
    /// A draining router takes calls until this is set, because the balancer needs some time to send
    /// them elsewhere.
    pub(crate) closed: AtomicBool,
    /// Set when the view is to be refreshed at once.
    pub(crate) view_stale: AtomicBool,
    pub(crate) last_refresh: Mutex<LastRefresh>,
    pub(crate) members: Mutex<ListedEndpoints>,
    pub(crate) detector: Mutex<Detector>,
    pub(crate) health: Mutex<BTreeMap<EndpointId, EndpointHealth>>,
    /// Endpoints admitted to as a substitute, until the given time.
    pub(crate) adopted: Mutex<BTreeMap<EndpointId, Duration>>,
    /// When endpoints joined or came back while this router ran.
    pub(crate) joined: Mutex<BTreeMap<EndpointId, Duration>>,
    pub(crate) owner: Mutex<Owner>,
    pub(crate) waiters: Mutex<BTreeMap<TicketId, oneshot::Sender<Turn>>>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) turns: Turns,
    pub(crate) budgets: Mutex<RetryBudget>,
    pub(crate) opener: Mutex<Opener>,
    pub(crate) view: RwLock<Arc<View>>,
    /// Requests that routers report as outstanding, by endpoint.
    pub(crate) outstanding: RwLock<Arc<BTreeMap<EndpointId, u32>>>,
    /// When the platform last answered.
    pub(crate) platform_heard: Mutex<Option<Duration>>,
    /// Whether it was logged that the platform does not answer.
    platform_down: AtomicBool,
    started: Duration,
    next_id: AtomicU64,
}

/// Locks a table. Its content is valid after each operation, so the panic of another holder does not
/// matter.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The parts of [`Shared`] that are made from the settings by the caller of [`Shared::new`].
pub(crate) struct SharedParts {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) client: Client,
    pub(crate) log: ConfigLog,
    pub(crate) ledger: ClaimLedger,
    pub(crate) list: MemberList,
    pub(crate) keys: PeerKeys,
    pub(crate) links: LinkPool,
    pub(crate) socket: UdpSocket,
    pub(crate) detector: Detector,
    pub(crate) owner: Owner,
}

/// Most (class, customer) pairs with a retry budget: 2,100 customers in a few classes each.
const BUDGETS: usize = 16_384;
/// Most fingerprints with crash records.
const FINGERPRINTS: usize = 4096;

impl Shared {
    pub(crate) fn new(settings: Settings, incarnation: u64, services: SharedParts) -> Shared {
        let started = services.clock.now();
        let retry = &settings.retry;
        let quarantine = &settings.quarantine;
        Shared {
            budgets: Mutex::new(RetryBudget::new(retry.share, retry.burst, BUDGETS)),
            quarantine: Mutex::new(Quarantine::new(
                quarantine.strikes,
                quarantine.hold,
                FINGERPRINTS,
            )),
            sealer: Sealer::new(&services.keys, settings.id.clone(), incarnation),
            opener: Mutex::new(Opener::new(&services.keys)),
            clock: services.clock,
            client: services.client,
            log: services.log,
            ledger: services.ledger,
            list: services.list,
            keys: services.keys,
            links: services.links,
            socket: services.socket,
            detector: Mutex::new(services.detector),
            owner: Mutex::new(services.owner),
            incarnation,
            settings,
            config: ConfigState::new(),
            recent_changes: RecentChanges::default(),
            token_index: TokenIndex::default(),
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Starting),
            isolated: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            view_stale: AtomicBool::new(true),
            last_refresh: Mutex::default(),
            members: Mutex::default(),
            health: Mutex::default(),
            adopted: Mutex::default(),
            joined: Mutex::default(),
            turns: Turns::default(),
            waiters: Mutex::default(),
            view: RwLock::default(),
            outstanding: RwLock::default(),
            platform_heard: Mutex::default(),
            platform_down: AtomicBool::new(false),
            started,
            next_id: AtomicU64::new(1),
        }
    }

    /// Time of the clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Id of this router.
    pub(crate) fn id(&self) -> &RouterId {
        &self.settings.id
    }

    /// A number that is unique within the process.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The current view of routers and endpoints.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Requests that routers report as outstanding, by endpoint.
    pub(crate) fn outstanding(&self) -> Arc<BTreeMap<EndpointId, u32>> {
        let outstanding = self.outstanding.read();
        outstanding.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Where the router is in its life.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves to a later phase; never back.
    pub(crate) fn advance(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                self.view_stale.store(true, Ordering::Relaxed);
                *current = phase;
            }
            later
        })
    }

    /// Waits until all workers are to end.
    pub(crate) async fn stopped(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
    }

    /// Notes that chats of the endpoint may be cached elsewhere from now on.
    pub(crate) fn note_joined(&self, id: &EndpointId) {
        lock(&self.joined).insert(id.clone(), self.now());
    }

    /// Random numbers for jitter.
    pub(crate) fn rng(&self) -> StdRng {
        StdRng::seed_from_u64(rand::random())
    }

    /// Ends a ticket, whether it runs or waits, and starts calls that waited.
    pub(crate) fn finish(&self, ticket: TicketId) {
        lock(&self.waiters).remove(&ticket);
        let started = lock(&self.owner).finish(ticket, self.now());
        self.start(started);
    }

    /// Tells waiting calls that they run. A call whose caller has gone gives its place back.
    pub(crate) fn start(&self, started: Vec<StartedCall>) {
        for StartedCall { ticket, endpoint } in started {
            let waiter = lock(&self.waiters).remove(&ticket);
            let told = waiter.is_some_and(|waiter| waiter.send(Turn::Run(endpoint)).is_ok());
            if !told {
                self.finish(ticket);
            }
        }
    }

    /// Sends every waiting call away, because endpoints of this router have a new owner.
    pub(crate) fn move_waiting(&self) {
        let waiting = lock(&self.owner).take_waiting();
        for waiting in waiting {
            let waiter = lock(&self.waiters).remove(&waiting.call.ticket);
            let _ = waiter.map(|waiter| waiter.send(Turn::Moved));
        }
    }

    /// Notes that the platform answered.
    pub(crate) fn platform_answered(&self) {
        let now = self.now();
        let silent = lock(&self.platform_heard).replace(now).is_none();
        self.platform_down.store(false, Ordering::Relaxed);
        if silent {
            event::log(Event::PlatformUp, "");
        }
    }

    /// Notes that the platform did not answer.
    pub(crate) fn platform_failed(&self, cause: &str) {
        let limit = self.settings.config.isolation;
        let mut heard = lock(&self.platform_heard);
        let since = heard.unwrap_or(self.started);
        let long = self.now().saturating_sub(since) > limit;
        if long && !self.platform_down.swap(true, Ordering::Relaxed) {
            *heard = None;
            event::log(Event::PlatformDown, cause);
        }
    }

    /// Counts and logs a refusal.
    pub(crate) fn count_refusal(&self, reason: RefusalReason, call: u64) {
        self.metrics.refused(reason);
        event::log(
            Event::CallRefused,
            &format!("call {call}: {}", reason.as_str()),
        );
    }

    /// Counts and logs a retry.
    pub(crate) fn count_retry(&self, reason: RetryReason, call: u64) {
        self.metrics.retried(reason);
        event::log(
            Event::CallRetried,
            &format!("call {call}: {}", reason.as_str()),
        );
    }
}
