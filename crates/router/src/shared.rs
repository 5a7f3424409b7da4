//! State that the workers of one router share.
//!
//! Lock order: `last_refresh`, `listed_endpoints`, `detector`, `health`, `adopted`, `joined`,
//! `owner`, `waiters`, `quarantine`, `turns`, `retry_budget`, `opener`, `view`. A worker that holds
//! one lock only takes later ones, and no lock is held across an `await`.

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
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

/// Phase of a router's life. The order of the variants is the order in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Has no configuration yet.
    Starting,
    /// Serves callers.
    Serving,
    /// Finishes its calls. New calls are still accepted until [`Shared::refuses_calls`] is set.
    Draining,
    /// Its workers end.
    Stopped,
}

/// Outcome of a call's wait in the queue.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// The call runs on this endpoint.
    Run(EndpointId),
    /// The call waited too long, or was shed in favor of another one.
    Refused(Refusal),
    /// Another router owns the endpoints now; the call is to be sent there.
    Moved,
}

/// The endpoints in the platform's membership list.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedEndpoints {
    /// Incremented with each change of the list.
    pub(crate) generation: u64,
    pub(crate) endpoints: Arc<BTreeMap<EndpointId, Member>>,
}

/// State of one router. The module documentation gives the lock order.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: u64,
    /// Client for calls and probes.
    pub(crate) client: Client,
    pub(crate) config: ConfigState,
    pub(crate) recent_changes: RecentChanges,
    pub(crate) token_index: TokenIndex,
    pub(crate) config_log: ConfigLog,
    pub(crate) ledger: ClaimLedger,
    pub(crate) member_list: MemberList,
    pub(crate) peer_keys: PeerKeys,
    pub(crate) links: LinkPool,
    pub(crate) sealer: Sealer,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) isolated: AtomicBool,
    /// Whether a draining router refuses new calls. It accepts them until this is set, because the
    /// load balancer needs some time to send them elsewhere.
    pub(crate) refuses_calls: AtomicBool,
    /// Time at which a drain ends and cuts what is in flight; set when it starts.
    pub(crate) drain_end: OnceLock<Duration>,
    /// Set when the view is to be refreshed in the next maintenance round.
    pub(crate) view_stale: AtomicBool,
    pub(crate) last_refresh: Mutex<LastRefresh>,
    pub(crate) listed_endpoints: Mutex<ListedEndpoints>,
    pub(crate) detector: Mutex<Detector>,
    pub(crate) health: Mutex<BTreeMap<EndpointId, EndpointHealth>>,
    /// Endpoints to which this router admits calls as a substitute, with the time at which that
    /// ends.
    pub(crate) adopted: Mutex<BTreeMap<EndpointId, Duration>>,
    /// Times at which endpoints joined, or went down or restarted, while this router ran.
    pub(crate) joined: Mutex<BTreeMap<EndpointId, Duration>>,
    pub(crate) owner: Mutex<Owner>,
    pub(crate) waiters: Mutex<BTreeMap<TicketId, oneshot::Sender<WaitOutcome>>>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) turns: Turns,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) opener: Mutex<Opener>,
    pub(crate) view: RwLock<Arc<View>>,
    /// Outstanding requests by endpoint, as all routers report them.
    pub(crate) outstanding: RwLock<Arc<BTreeMap<EndpointId, u32>>>,
    /// Time of the platform's last response; `None` also after a logged outage.
    pub(crate) platform_heard: Mutex<Option<Duration>>,
    /// Whether the current outage of the platform was logged.
    platform_down: AtomicBool,
    started: Duration,
    next_id: AtomicU64,
}

/// Locks a mutex, ignoring poisoning: what the mutex guards is valid after each operation, so the
/// panic of another holder does not matter.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The parts of [`Shared`] that the caller of [`Shared::new`] creates from the settings.
pub(crate) struct SharedParts {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) client: Client,
    pub(crate) config_log: ConfigLog,
    pub(crate) ledger: ClaimLedger,
    pub(crate) member_list: MemberList,
    pub(crate) peer_keys: PeerKeys,
    pub(crate) links: LinkPool,
    pub(crate) socket: UdpSocket,
    pub(crate) detector: Detector,
    pub(crate) owner: Owner,
}

/// Maximum number of (class, customer) pairs with a retry budget: 2,100 customers in a few classes
/// each.
const MAX_RETRY_BUDGETS: usize = 16_384;
/// Maximum number of fingerprints with crash records.
const MAX_FINGERPRINTS: usize = 4096;

impl Shared {
    pub(crate) fn new(settings: Settings, incarnation: u64, parts: SharedParts) -> Shared {
        let started = parts.clock.now();
        let retry = &settings.retry;
        let quarantine = &settings.quarantine;
        Shared {
            retry_budget: Mutex::new(RetryBudget::new(
                retry.share,
                retry.burst,
                MAX_RETRY_BUDGETS,
            )),
            quarantine: Mutex::new(Quarantine::new(
                quarantine.strikes,
                quarantine.hold,
                MAX_FINGERPRINTS,
            )),
            sealer: Sealer::new(&parts.peer_keys, settings.id.clone(), incarnation),
            opener: Mutex::new(Opener::new(&parts.peer_keys)),
            clock: parts.clock,
            client: parts.client,
            config_log: parts.config_log,
            ledger: parts.ledger,
            member_list: parts.member_list,
            peer_keys: parts.peer_keys,
            links: parts.links,
            socket: parts.socket,
            detector: Mutex::new(parts.detector),
            owner: Mutex::new(parts.owner),
            incarnation,
            settings,
            config: ConfigState::new(),
            recent_changes: RecentChanges::default(),
            token_index: TokenIndex::default(),
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Starting),
            isolated: AtomicBool::new(false),
            refuses_calls: AtomicBool::new(false),
            drain_end: OnceLock::new(),
            view_stale: AtomicBool::new(true),
            last_refresh: Mutex::default(),
            listed_endpoints: Mutex::default(),
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

    /// Returns the time of the router's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the id of this router.
    pub(crate) fn id(&self) -> &RouterId {
        &self.settings.id
    }

    /// Returns a number that is unique within the process.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the current view of routers and endpoints.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the outstanding requests by endpoint, as all routers report them.
    pub(crate) fn outstanding(&self) -> Arc<BTreeMap<EndpointId, u32>> {
        let outstanding = self.outstanding.read();
        outstanding.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the phase of the router's life.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves to a later phase. Returns `false`, and changes nothing, if `phase` is not a later one.
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

    /// Waits until the router stops and its workers are to end.
    pub(crate) async fn stopped(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
    }

    /// Records that chats of the endpoint may be cached at other endpoints from now on.
    pub(crate) fn note_joined(&self, id: &EndpointId) {
        lock(&self.joined).insert(id.clone(), self.now());
    }

    /// Returns a random number generator for jitter.
    pub(crate) fn rng(&self) -> StdRng {
        StdRng::seed_from_u64(rand::random())
    }

    /// Ends a ticket, whether it runs or waits, and starts the waiting calls that can run now.
    pub(crate) fn finish(&self, ticket: TicketId) {
        lock(&self.waiters).remove(&ticket);
        let started = lock(&self.owner).finish(ticket, self.now());
        self.start(started);
    }

    /// Notifies waiting calls that they run. The ticket of a call that no longer waits is ended.
    pub(crate) fn start(&self, started: Vec<StartedCall>) {
        for StartedCall { ticket, endpoint } in started {
            let waiter = lock(&self.waiters).remove(&ticket);
            let notified =
                waiter.is_some_and(|waiter| waiter.send(WaitOutcome::Run(endpoint)).is_ok());
            if !notified {
                self.finish(ticket);
            }
        }
    }

    /// Ends the wait of every queued call, because endpoints of this router have a new owner.
    pub(crate) fn move_waiting(&self) {
        let waiting = lock(&self.owner).take_waiting();
        for waiting in waiting {
            let waiter = lock(&self.waiters).remove(&waiting.call.ticket);
            let _ = waiter.map(|waiter| waiter.send(WaitOutcome::Moved));
        }
    }

    /// Records that the platform responded.
    pub(crate) fn platform_answered(&self) {
        let now = self.now();
        let unheard = lock(&self.platform_heard).replace(now).is_none();
        self.platform_down.store(false, Ordering::Relaxed);
        if unheard {
            event::log(Event::PlatformUp, "");
        }
    }

    /// Records that the platform did not respond. An outage is logged once it exceeds the limit for
    /// isolation.
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
