//! The figures that a run of the workload produces.

use super::World;
use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::LoadBound;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Mean number of outstanding requests per engine from which skew is sampled. Below it, the
/// rounding to whole requests dominates the skew.
const MIN_MEAN_LOAD: f64 = 2.0;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of prompt tokens that an earlier turn of the chat already had.
    pub reusable: u64,
    /// Number of these tokens that were cached at the chosen engine.
    pub cached: u64,
    /// Number of runs that started.
    pub runs: u64,
    /// Number of attempts that were refused.
    pub refused: u64,
    /// Number of requests that were abandoned after their last attempt.
    pub lost: u64,
    /// Number of runs that failed because their engine or router failed.
    pub broken: u64,
    /// Number of attempts that waited in a queue.
    pub waited: u64,
    /// Number of admissions that exceeded the load bound by the counts that the admitting router
    /// had.
    pub own_violations: u64,
    /// Number of admissions that exceeded the load bound by the true counts.
    pub over_bound: u64,
    /// Largest number of requests by which an admission exceeded that bound.
    pub excess: u64,
    /// Longest time during which all admissions to one engine exceeded that bound by more than one
    /// request for each side of a disagreement between routers.
    pub excess_time: Duration,
    skews: Vec<f64>,
    allowed: f64,
    since: BTreeMap<EndpointId, Duration>,
}

impl Figures {
    /// Returns the share of the reusable prompt tokens that were cached.
    pub fn reuse(&self) -> f64 {
        self.cached as f64 / self.reusable.max(1) as f64
    }

    /// Returns the mean skew of all samples. Skew is the maximum number of outstanding requests of
    /// an engine divided by the mean.
    pub fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len().max(1) as f64
    }

    /// Returns the mean over the samples of the skew that the load bound's multiple and one request
    /// of rounding allow.
    pub fn allowed_skew(&self) -> f64 {
        self.allowed / self.skews.len().max(1) as f64
    }

    /// Returns the skew that one in a hundred samples exceeds.
    pub fn high_skew(&self) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        let at = sorted.len().saturating_sub(1) * 99 / 100;
        sorted.get(at).copied().unwrap_or(0.0)
    }

    pub(super) fn sample(&mut self, world: &World) {
        let loads: Vec<u32> = world.open().map(|(_, engine)| engine.running).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        if mean >= MIN_MEAN_LOAD {
            let most = loads.iter().max().copied().unwrap_or(0);
            self.skews.push(f64::from(most) / mean);
            self.allowed += LoadBound::default().multiple + 1.0 / mean;
        }
    }

    /// Compares the load of an engine that has just admitted a request with the bound.
    pub(super) fn check(&mut self, world: &World, engine: &EndpointId) {
        let load = u64::from(world.engines[engine].running);
        let excess = load.saturating_sub(world.limit(0));
        self.over_bound += u64::from(excess > 0);
        self.excess = self.excess.max(excess);
        // Routers that disagree form two sides, each of which may round up by one request.
        if excess <= 2 {
            self.since.remove(engine);
            return;
        }
        let since = *self.since.entry(engine.clone()).or_insert(world.now);
        self.excess_time = self.excess_time.max(world.now - since);
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "reuse {:6.2} %  skew mean {:5.3} p99 {:5.3}  runs {} waited {} refused {} lost {} broken {}  \
             own bound broken {}  true bound exceeded {:.2} % by at most {}, beyond sides for {:.1} s",
            100.0 * self.reuse(),
            self.mean_skew(),
            self.high_skew(),
            self.runs,
            self.waited,
            self.refused,
            self.lost,
            self.broken,
            self.own_violations,
            100.0 * self.over_bound as f64 / self.runs.max(1) as f64,
            self.excess,
            self.excess_time.as_secs_f64(),
        )
    }
}
