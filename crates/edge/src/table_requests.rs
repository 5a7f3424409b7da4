//! Pacing of the requests for a whole table by a router that has none.
//!
//! After a failed call to the registry, a router of a large fleet pauses for up to 30 s. Until it
//! has the tables it asks routers that have them, so that it need not wait for its next call.

use rand::RngExt;
use std::time::Duration;

/// Time between two requests when few routers lack the table.
const REQUEST_PERIOD: Duration = Duration::from_millis(300);
/// Time between two requests for each router that lacks the table, over the number of those that
/// have it. A router is then asked about 100 times a second, which an estimated 2 KB for a handshake and a
/// refusal makes a sixth of a link of 10 Mbit/s. Beyond 75 for each holder the longest period limits the
/// requests, and the only holder among 300 would be asked some 500 times a second.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(10);
/// Longest time between two requests, so that a router notices soon that more routers have the table.
const MAX_REQUEST_PERIOD: Duration = Duration::from_millis(750);

/// When a router without a table requests it from another router.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableRequests {
    /// When the period of the next request began, and the share of the period to wait.
    pending: Option<(Duration, f64)>,
}

impl TableRequests {
    /// Whether to request the table now, if `holders` of `routers` routers are known to have it. A
    /// request that is due counts as made.
    pub fn is_due(&mut self, holders: usize, routers: usize, now: Duration) -> bool {
        if holders == 0 {
            self.pending = None;
            return false;
        }
        // Many routers hear of the first holder at the same moment, so the first request is spread
        // over the whole period.
        let draw = |from: f64| rand::rng().random_range(from..1.0);
        let (since, share) = *self.pending.get_or_insert_with(|| (now, draw(0.0)));
        if now < since + request_period(holders, routers).mul_f64(share) {
            return false;
        }
        self.pending = Some((now, draw(0.5)));
        true
    }
}

fn request_period(holders: usize, routers: usize) -> Duration {
    let lacking = routers.saturating_sub(holders) as f64;
    let period = PERIOD_PER_ROUTER.mul_f64(lacking / holders.max(1) as f64);
    period.clamp(REQUEST_PERIOD, MAX_REQUEST_PERIOD)
}
