//! How far the runs at each endpoint are, as far as this router sees.
//!
//! An endpoint that ends as planned does so after its last answer, so what its other runs were doing
//! when it ended tells a planned end from a crash.

use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Longest time between the ends of two answers that were cut by the same crash.
const SAME_END: Duration = Duration::from_millis(5);

/// The router waits for the endpoint.
const WAITING: u64 = 0;
/// The router waits for a caller that reads slowly, so it cannot tell whether more has arrived.
const STALLED: u64 = 1;
/// Added to the microsecond at which an answer ended, to keep it apart from the other states.
const ENDED: u64 = 2;

/// How far one run is. Shared by the task that passes the answer on and the table of all runs.
#[derive(Debug, Default)]
pub struct RunProgress {
    state: AtomicU64,
}

impl RunProgress {
    /// Records that the router waits for the endpoint.
    pub fn wait(&self) {
        self.state.store(WAITING, Ordering::Relaxed);
    }

    /// Records that what arrived waits for the caller to read it.
    pub fn stall(&self) {
        self.state.store(STALLED, Ordering::Relaxed);
    }

    /// Records that the answer ended with its connection.
    pub fn end(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX - ENDED);
        self.state
            .store(micros.saturating_add(ENDED), Ordering::Relaxed);
    }

    /// Whether the run was cut if its endpoint crashed at `at`.
    fn is_cut_at(&self, at: Duration) -> bool {
        match self.state.load(Ordering::Relaxed) {
            WAITING => true,
            STALLED => false,
            ended => Duration::from_micros(ended - ENDED).abs_diff(at) < SAME_END,
        }
    }
}

/// The runs that this router has at each endpoint.
#[derive(Debug, Default)]
pub struct OpenRuns {
    endpoints: BTreeMap<EndpointId, Vec<Weak<RunProgress>>>,
}

impl OpenRuns {
    /// Adds a run, which waits for its endpoint.
    pub fn begin(&mut self, endpoint: &str) -> Arc<RunProgress> {
        let progress = Arc::new(RunProgress::default());
        let runs = self.endpoints.entry(endpoint.to_string()).or_default();
        runs.push(Arc::downgrade(&progress));
        progress
    }

    /// Removes a run.
    pub fn end(&mut self, endpoint: &str, progress: &Arc<RunProgress>) {
        let Some(runs) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        runs.retain(|run| run.as_ptr() != Arc::as_ptr(progress));
        if runs.is_empty() {
            self.endpoints.remove(endpoint);
        }
    }

    /// Whether another run at an endpoint was cut if the endpoint crashed at `at`.
    pub fn has_other_cut(&self, endpoint: &str, own: &Arc<RunProgress>, at: Duration) -> bool {
        let runs = self.endpoints.get(endpoint).into_iter().flatten();
        let mut others = runs.filter(|run| run.as_ptr() != Arc::as_ptr(own));
        others.any(|run| run.upgrade().is_some_and(|run| run.is_cut_at(at)))
    }
}
