//! Retry budget of each service over a sliding window.

use crate::manifest::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 10;
/// Fraction of the budget that is used. The rest is a margin for routers that are not heard and for
/// requests that the operators count in a different window.
const USED_FRACTION: f64 = 0.75;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Limits the retries of each service to a share of its requests plus a fixed number, which is divided
/// among all routers. Each router counts the requests that callers send to it, so routers need not exchange
/// counts.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    share: f64,
    bucket: Duration,
    extra: f64,
    services: BTreeMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryWindow {
    /// Creates a budget of `share` of the requests plus `extra` retries in each `window`.
    pub fn new(share: f64, window: Duration, extra: f64) -> RetryWindow {
        RetryWindow {
            share,
            bucket: (window / BUCKETS).max(Duration::from_millis(1)),
            extra,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, service: &str, now: Duration) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry from the budget, or returns false if none is left. `routers` is the number of
    /// routers in the fleet.
    pub fn try_take(&mut self, service: &str, routers: usize, now: Duration) -> bool {
        self.bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let extra = self.extra / routers.max(1) as f64;
        let allowed = USED_FRACTION * (self.share * f64::from(requests) + extra);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.record_retry(service, now);
        true
    }

    /// Counts a retry that is made whether or not the budget has one left. Beyond the budget it is a debt,
    /// which further retries have to wait for until it has left the window.
    pub fn record_retry(&mut self, service: &str, now: Duration) {
        self.bucket(service, now).retries += 1;
    }

    fn bucket(&mut self, service: &str, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.bucket.as_nanos()) as u64;
        let buckets = self.services.entry(service.to_string()).or_default();
        // Keep one bucket more than a window has, to cover a window that starts in the middle of a bucket.
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
