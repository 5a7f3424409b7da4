//! Budget of repeats for each service, counted over a sliding window.

use crate::manifest::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Parts of a window that are counted together.
const BUCKETS: u32 = 10;
/// Part of the budget that is used. The rest covers routers that are not heard and requests that the
/// operators count in another window.
const SAFE_PART: f64 = 0.75;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats of each service to a share of its requests and a fixed part, which all routers
/// divide. Requests are counted where callers send them, so the shares need no exchange.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    share: f64,
    bucket: Duration,
    extra: f64,
    services: BTreeMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryWindow {
    /// Creates a budget of `share` of the requests and `extra` repeats in each `window`.
    pub fn new(share: f64, window: Duration, extra: f64) -> RetryWindow {
        RetryWindow {
            share,
            bucket: (window / BUCKETS).max(Duration::from_millis(1)),
            extra,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, service: &str, now: Duration) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one repeat, if the budget allows it. `routers` is the number of routers of the fleet.
    pub fn take(&mut self, service: &str, routers: usize, now: Duration) -> bool {
        self.bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let extra = self.extra / routers.max(1) as f64;
        let allowed = SAFE_PART * (self.share * f64::from(requests) + extra);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    fn bucket(&mut self, service: &str, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.bucket.as_nanos()) as u64;
        let buckets = self.services.entry(service.to_string()).or_default();
        // One bucket more than the window holds, so that a window that starts in the middle of a
        // bucket is covered.
        while buckets
            .front()
            .is_some_and(|first| first.index + u64::from(BUCKETS) < index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|last| last.index < index) {
            buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        buckets.back_mut().expect("a bucket was just added")
    }
}
