//! Learned times for which requests of a route hold a slot, without the wait for one.
//!
//! Answers loads whose requests differ by far in size: a route of long streams takes more room than one
//! of short orders at the same rate.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample once there are enough. About 16 samples smooth the lengths of streams, and
/// a change is known within seconds at a few requests per second.
const WEIGHT: f64 = 1.0 / 16.0;
/// Before any sample a route's target is taken as this multiple of its holding time.
const TARGET_PER_HOLD: u32 = 4;
/// Time after which a route that is not used is dropped.
const RETENTION: Duration = Duration::from_secs(600);
/// Most routes that are tracked for one service.
const MAX_ROUTES: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Mean {
    seconds: f64,
    samples: u32,
    at: Duration,
}

/// Holding times by route.
#[derive(Clone, Debug, Default)]
pub struct HoldTimes {
    routes: BTreeMap<String, Mean>,
}

impl HoldTimes {
    /// Records for how long a request held a slot.
    pub fn record(&mut self, route: &str, held: Duration, now: Duration) {
        let sample = held.as_secs_f64();
        if let Some(mean) = self.routes.get_mut(route) {
            mean.samples = mean.samples.saturating_add(1);
            let weight = (1.0 / f64::from(mean.samples)).max(WEIGHT);
            mean.seconds += (sample - mean.seconds) * weight;
            mean.at = now;
        } else if self.routes.len() < MAX_ROUTES {
            let mean = Mean {
                seconds: sample,
                samples: 1,
                at: now,
            };
            self.routes.insert(route.to_string(), mean);
        }
    }

    /// Holding time of a route in seconds; a quarter of its target before any sample.
    pub fn get(&self, route: &str, target: Duration) -> f64 {
        match self.routes.get(route) {
            Some(mean) => mean.seconds,
            None => (target / TARGET_PER_HOLD).as_secs_f64(),
        }
    }

    /// Drops routes that are not used.
    pub fn expire(&mut self, now: Duration) {
        self.routes
            .retain(|_, mean| now.saturating_sub(mean.at) < RETENTION);
    }
}
