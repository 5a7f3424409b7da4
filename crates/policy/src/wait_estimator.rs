//! Estimate of the time that a call waits.

use std::time::Duration;

/// Weight of the newest run in the mean; about the last 16 runs count.
const WEIGHT: f64 = 1.0 / 16.0;

/// Mean run time of finished calls, from which the wait of others is estimated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRate {
    // Seconds.
    mean: Option<f64>,
}

impl ServiceRate {
    /// Adds the run time of a call that has finished.
    pub fn observe(&mut self, run: Duration) {
        let run = run.as_secs_f64();
        self.mean = Some(self.mean.map_or(run, |mean| mean + WEIGHT * (run - mean)));
    }

    /// Time until a call starts with `ahead` calls before it and `running` calls that run side by
    /// side. `None` until a call has finished.
    pub fn wait(&self, ahead: usize, running: u32) -> Option<Duration> {
        let turns = (ahead + 1) as f64 / f64::from(running.max(1));
        Duration::try_from_secs_f64(self.mean? * turns).ok()
    }
}
