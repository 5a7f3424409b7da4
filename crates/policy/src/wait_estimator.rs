//! Estimate of the time that a call will wait.

use std::time::Duration;

/// Weight of the newest run in the moving mean; about the last 16 runs count.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;

/// Estimates waits from the mean run time of finished calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimator {
    // Exponentially weighted mean run time in seconds.
    mean: Option<f64>,
}

impl WaitEstimator {
    /// Adds the run time of a call that has finished.
    pub fn observe(&mut self, run: Duration) {
        let run = run.as_secs_f64();
        self.mean = Some(
            self.mean
                .map_or(run, |mean| mean + NEWEST_WEIGHT * (run - mean)),
        );
    }

    /// Estimates the time until a call starts that has `ahead` calls before it while `running`
    /// calls run concurrently. Returns `None` until a call has finished.
    pub fn estimate(&self, ahead: usize, running: u32) -> Option<Duration> {
        let turns = (ahead + 1) as f64 / f64::from(running.max(1));
        Duration::try_from_secs_f64(self.mean? * turns).ok()
    }
}
