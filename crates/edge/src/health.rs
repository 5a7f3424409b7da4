//! What a router's own requests show of an endpoint.

use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::Backoff;
use std::collections::BTreeMap;
use std::time::Duration;

/// Times for which an endpoint that failed again and again is left out; crashed endpoints are back
/// within seconds.
const PAUSE: Backoff = Backoff {
    base: Duration::from_millis(400),
    limit: Duration::from_secs(3),
};
/// Answers over which the share of errors is averaged.
const ERROR_WINDOW: f64 = 12.0;
/// Share of errors above that of the other endpoints from which an endpoint is avoided.
const ERROR_EXCESS: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    until: Duration,
    errors: f64,
}

/// Failures and errors by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<EndpointId, Record>,
}

impl Health {
    /// Creates a table in which every endpoint is well.
    pub fn new() -> Health {
        Health::default()
    }

    /// Counts an endpoint that could not be reached or broke a connection. Returns the time until
    /// which it is left out.
    pub fn failed(&mut self, id: &str, now: Duration) -> Duration {
        let record = self.records.entry(id.to_string()).or_default();
        if now < record.until {
            return record.until;
        }
        record.until = now + PAUSE.ceiling(record.failures);
        record.failures = record.failures.saturating_add(1);
        record.until
    }

    /// Takes over that another router could not reach an endpoint. It is left out for a short time
    /// only, since the other router may be the one that is cut off.
    pub fn suspect(&mut self, id: &str, now: Duration) {
        let record = self.records.entry(id.to_string()).or_default();
        record.until = record.until.max(now + PAUSE.base);
    }

    /// Counts an answer; `error` says that it was a failure of the endpoint's own.
    pub fn answered(&mut self, id: &str, error: bool) {
        let record = self.records.entry(id.to_string()).or_default();
        record.failures = 0;
        record.until = Duration::ZERO;
        let sample = if error { 1.0 } else { 0.0 };
        record.errors += (sample - record.errors) / ERROR_WINDOW;
    }

    /// Forgets an endpoint that is gone or started again.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Whether the endpoint is left out now.
    pub fn is_paused(&self, id: &str, now: Duration) -> bool {
        self.records
            .get(id)
            .is_some_and(|record| now < record.until)
    }

    /// Whether the endpoint fails clearly more often than `others` do on average.
    pub fn is_failing(&self, id: &str, others: f64) -> bool {
        self.errors(id) > others + ERROR_EXCESS
    }

    /// Share of errors among the latest answers.
    pub fn errors(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.errors)
    }
}
