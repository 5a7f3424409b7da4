//! The wait of a request at its endpoint, estimated from the endpoint's newest load report.
//!
//! Answers single endpoints with long queues, or slow ones, while their service is short of room. The
//! correction follows the mean of all endpoints, and so do the shares; a request that waits beyond its target
//! at one of them takes a slot that one in time could use.

use crate::load_reports::ReportedLoad;
use std::time::Duration;

/// Age from which a report gives no estimate. Within it most routers of a large fleet hear a newer one, and the
/// requests of an older one may have ended.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Multiple of the limit that an estimate must exceed, so that one which is too long by half refuses nothing that
/// would be in time. Without it, such estimates refused 2 to 14 requests in `long_holds_plain_84` (seeds 1 to 7),
/// where all that ran was in time without them, too.
const TOLERANCE: f64 = 1.5;

/// An endpoint, with what it reported last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointQueue {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// How many times longer than usual work takes there; 1 is usual.
    pub pace: f64,
    /// Its newest report, with what this router has sent since.
    pub report: Option<ReportedLoad>,
}

/// How long a request may wait for a slot, and how long others hold one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitLimit {
    /// Target of the request less the time spent.
    pub left: Duration,
    /// Mean holding time at the service in seconds.
    pub hold: f64,
}

impl WaitLimit {
    /// How long the request would wait, if that is far beyond its limit. `None` also if the endpoint has no report
    /// that is new enough for an estimate.
    pub fn excess_wait(&self, queue: &EndpointQueue) -> Option<Duration> {
        let report = queue.report.filter(|report| report.age < MAX_REPORT_AGE)?;
        if queue.slots == 0 {
            return None;
        }
        let waiting = report.requests.saturating_sub(queue.slots);
        let turns = f64::from(waiting) / f64::from(queue.slots);
        let wait = Duration::try_from_secs_f64(turns * self.hold * queue.pace).ok()?;
        // The target comes from the configuration, which does not bound it, so it is not multiplied.
        (wait.div_f64(TOLERANCE) > self.left).then_some(wait)
    }
}
