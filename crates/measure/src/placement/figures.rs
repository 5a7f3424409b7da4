//! What a run of the workload is judged by.

use super::World;
use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::LoadBound;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Outstanding requests per engine from which skew is sampled; below, whole requests dominate.
const LEAST_MEAN: f64 = 2.0;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Prompt tokens of returning chats that an earlier turn had.
    pub returning: u64,
    /// Of these, tokens that were cached at the chosen engine.
    pub cached: u64,
    /// Requests that ran.
    pub runs: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Requests that were given up.
    pub lost: u64,
    /// Runs that broke.
    pub broken: u64,
    /// Requests that waited.
    pub waited: u64,
    /// Admissions that broke the bound of the counts which the admitting router had.
    pub own_violations: u64,
    /// Admissions beyond the bound of the true counts.
    pub beyond: u64,
    /// Most requests by which an admission was beyond that bound.
    pub excess: u64,
    /// Longest time of admissions in a row to one engine that were beyond the bound by more than
    /// one request per side.
    pub excess_time: Duration,
    skews: Vec<f64>,
    allowed: f64,
    since: BTreeMap<EndpointId, Duration>,
}

impl Figures {
    /// Share of returning prompt tokens that were cached.
    pub fn reuse(&self) -> f64 {
        self.cached as f64 / self.returning.max(1) as f64
    }

    /// Maximum over mean of the outstanding requests: mean over the samples.
    pub fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len().max(1) as f64
    }

    /// What the multiple and one request of rounding allow: mean over the samples.
    pub fn allowed_skew(&self) -> f64 {
        self.allowed / self.skews.len().max(1) as f64
    }

    /// The skew that one in a hundred samples exceeds.
    pub fn high_skew(&self) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        let at = sorted.len().saturating_sub(1) * 99 / 100;
        sorted.get(at).copied().unwrap_or(0.0)
    }

    pub(super) fn sample(&mut self, world: &World) {
        let loads: Vec<u32> = world.open().map(|(_, engine)| engine.running).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        if mean >= LEAST_MEAN {
            let most = loads.iter().max().copied().unwrap_or(0);
            self.skews.push(f64::from(most) / mean);
            self.allowed += LoadBound::default().multiple + 1.0 / mean;
        }
    }

    /// Compares the load of an engine that has just admitted a request with the bound.
    pub(super) fn check(&mut self, world: &World, engine: &EndpointId) {
        let load = u64::from(world.engines[engine].running);
        let excess = load.saturating_sub(world.limit(0));
        self.beyond += u64::from(excess > 0);
        self.excess = self.excess.max(excess);
        // Two sides, and so one request of rounding for each.
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
            100.0 * self.beyond as f64 / self.runs.max(1) as f64,
            self.excess,
            self.excess_time.as_secs_f64(),
        )
    }
}
