//! State that the tasks of one router share.

use crate::health::Health;
use crate::load::Loads;
use crate::metrics::Metrics;
use crate::registry::Dialect;
use crate::retry_window::RetryWindow;
use crate::roster::Roster;
use crate::routes::RouteTable;
use crate::settings::EdgeSettings;
use crate::upstream::Upstream;
use sequoiaridge_core::Clock;
use sequoiaridge_policy::Quarantine;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Crashes after which a request is held back.
const STRIKES: u32 = 3;
/// Time for which it is held back.
const HOLD: Duration = Duration::from_secs(60);
/// Fingerprints that are tracked.
const FINGERPRINTS: usize = 4096;

/// What decisions are made from.
pub(crate) struct Board {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) roster: Roster,
    pub(crate) endpoints_known: bool,
    pub(crate) loads: Loads,
    pub(crate) health: Health,
    pub(crate) repeats: RetryWindow,
    pub(crate) quarantine: Quarantine,
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
    draining: AtomicBool,
    in_flight: AtomicUsize,
}

impl Shared {
    /// Creates the state of a router that knows nothing yet.
    pub(crate) fn new(
        settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
    ) -> Shared {
        let repeats = RetryWindow::new(
            settings.retry_share,
            settings.retry_window,
            settings.retry_extra,
        );
        Shared {
            clock,
            dialect,
            metrics: Metrics::new(),
            upstream: Upstream::default(),
            board: Mutex::new(Board {
                routes: None,
                roster: Roster::new(),
                endpoints_known: false,
                loads: Loads::new(),
                health: Health::new(),
                repeats,
                quarantine: Quarantine::new(STRIKES, HOLD, FINGERPRINTS),
            }),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
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

    /// Whether the router takes requests from the balancer.
    pub(crate) fn is_ready(&self) -> bool {
        let board = self.board();
        board.routes.is_some() && board.endpoints_known && !self.is_draining()
    }

    /// Starts the drain.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the router drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Requests that have no whole answer yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
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
