//! Health of endpoints, as this router's requests show it.

use crate::manifest::EndpointEntry;
use crate::sorted_walk::SortedWalk;
use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::Backoff;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Times for which an endpoint is ejected after repeated failures; crashed endpoints are back
/// within seconds.
const EJECTION_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(400),
    limit: Duration::from_secs(3),
};
/// Number of answers over which the error rate is averaged.
const ERROR_WINDOW: f64 = 12.0;
/// Excess over the other endpoints' error rate from which an endpoint is avoided.
const ERROR_EXCESS: f64 = 0.25;

/// What this router's requests showed of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    failures: u32,
    paused_until: Duration,
    error_rate: f64,
    /// Address and start of the entry at whose address another endpoint answered.
    misdirected: Option<(SocketAddr, Option<u64>)>,
}

impl EndpointHealth {
    /// Whether another endpoint answered at the address of an entry; see [`Health::is_misdirected`].
    pub fn is_misdirected(&self, entry: &EndpointEntry) -> bool {
        self.misdirected == Some((entry.address, entry.born))
    }

    /// Whether the endpoint is ejected now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Error rate among the latest answers.
    pub fn errors(&self) -> f64 {
        self.error_rate
    }

    /// Whether the error rate is clearly above `others`, the mean of the endpoints.
    pub fn is_failing(&self, others: f64) -> bool {
        self.error_rate > others + ERROR_EXCESS
    }
}

/// Failures and error rates by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<EndpointId, EndpointHealth>,
}

impl Health {
    /// Creates a table in which every endpoint is healthy.
    pub fn new() -> Health {
        Health::default()
    }

    /// Records that an endpoint could not be reached or broke a connection. Returns the time until
    /// which it is ejected.
    pub fn record_failure(&mut self, id: &str, now: Duration) -> Duration {
        let record = self.records.entry(id.to_string()).or_default();
        if now < record.paused_until {
            return record.paused_until;
        }
        record.paused_until = now + EJECTION_BACKOFF.ceiling(record.failures);
        record.failures = record.failures.saturating_add(1);
        record.paused_until
    }

    /// Records that another router could not reach an endpoint. The endpoint is ejected only for a
    /// short time, since the other router may be the one that is cut off.
    pub fn suspect(&mut self, id: &str, now: Duration) {
        let record = self.records.entry(id.to_string()).or_default();
        record.paused_until = record.paused_until.max(now + EJECTION_BACKOFF.base);
    }

    /// Records an answer; `error` says whether it was a failure of the endpoint itself.
    pub fn record_answer(&mut self, id: &str, error: bool) {
        let record = self.records.entry(id.to_string()).or_default();
        record.failures = 0;
        record.paused_until = Duration::ZERO;
        let sample = if error { 1.0 } else { 0.0 };
        record.error_rate += (sample - record.error_rate) / ERROR_WINDOW;
    }

    /// Records that another endpoint answered at the address of an entry. Returns whether that was
    /// not known.
    pub fn record_misdirected(&mut self, entry: &EndpointEntry) -> bool {
        let record = self.records.entry(entry.id.clone()).or_default();
        let stale = Some((entry.address, entry.born));
        std::mem::replace(&mut record.misdirected, stale) != stale
    }

    /// Whether another endpoint answered at the address of an entry. This does not lapse, unlike an
    /// ejection: an address that was reused does not return to its former endpoint, which is listed
    /// with another address or start if it comes back.
    pub fn is_misdirected(&self, entry: &EndpointEntry) -> bool {
        let record = self.records.get(&entry.id);
        record.is_some_and(|record| record.is_misdirected(entry))
    }

    /// Forgets an endpoint that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Whether the endpoint is ejected now.
    pub fn is_paused(&self, id: &str, now: Duration) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.is_paused(now))
    }

    /// Looks up the records of ascending ids.
    pub(crate) fn walk(&self) -> SortedWalk<'_, EndpointId, EndpointHealth> {
        SortedWalk::new(&self.records)
    }

    /// Whether the endpoint's error rate is clearly above `others`, the mean of the endpoints.
    pub fn is_failing(&self, id: &str, others: f64) -> bool {
        let record = self.records.get(id).copied().unwrap_or_default();
        record.is_failing(others)
    }

    /// Error rate among the latest answers.
    pub fn errors(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.error_rate)
    }
}
