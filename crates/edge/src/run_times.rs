//! Time that the requests of each route take.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a route's estimate holds after its last answer.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Weights of a new sample in the mean and in the mean deviation, and the number of deviations that are
/// added to the mean; as for the retransmission timeout of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct RunTime {
    /// Mean time in seconds, and its mean deviation.
    mean: f64,
    deviation: f64,
    updated_at: Duration,
}

/// Times from the start of a request to the end of its answer, by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<String, RunTime>,
}

impl RunTimes {
    /// Creates an empty table.
    pub fn new() -> RunTimes {
        RunTimes::default()
    }

    /// Records that a request of a route took `time`.
    pub fn record(&mut self, route: &str, time: Duration, now: Duration) {
        let time = time.as_secs_f64();
        let Some(run) = self.routes.get_mut(route) else {
            let first = RunTime {
                mean: time,
                deviation: time / 2.0,
                updated_at: now,
            };
            self.routes.insert(route.to_string(), first);
            return;
        };
        let error = time - run.mean;
        run.deviation += DEVIATION_WEIGHT * (error.abs() - run.deviation);
        run.mean += MEAN_WEIGHT * error;
        run.updated_at = now;
    }

    /// A time within which most requests of a route end; `None` if none ended of late.
    pub fn usual(&self, route: &str, now: Duration) -> Option<Duration> {
        let run = self.routes.get(route)?;
        let seconds = run.mean + DEVIATIONS * run.deviation;
        (now < run.updated_at + MAX_AGE).then(|| Duration::from_secs_f64(seconds))
    }

    /// Removes the routes without a recent answer, which may have left the configuration.
    pub fn expire(&mut self, now: Duration) {
        self.routes.retain(|_, run| now < run.updated_at + MAX_AGE);
    }
}
