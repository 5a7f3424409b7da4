//! One router's share of the limit that an endpoint named. The load: 8 to 370 routers with uneven callers, and
//! limits of a few requests per second.

use super::LimitedEndpoint;
use crate::constraints::KnownRouters;
use std::time::Duration;

/// The operators' bound on what an endpoint gets in any [`WINDOW`]: this multiple of its limit, and this many
/// requests.
const OVERSHOOT: f64 = 1.5;
const TOLERANCE: f64 = 5.0;
/// Window of the operators' bound.
pub(super) const WINDOW: Duration = Duration::from_secs(4);
/// Part of the operators' bound that is divided among the routers. The rest allows for routers that do not yet
/// agree on how many they are, and for requests that routers send before they hear of the limit.
const ALLOCATED: f64 = 0.85;
/// Lowest limit in requests per second that routers keep. An endpoint that gets nothing cannot say that its
/// limit has ended.
const MIN_PER_SECOND: f64 = 0.05;

/// What one router may send to a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Requests per second in the long run.
    pub per_second: f64,
    /// Requests in any window of four seconds; 0 if the router is not among the senders.
    pub burst: usize,
}

impl LimitShare {
    /// Divides the limit of an endpoint equally among all routers, or in a large fleet among as many as may send
    /// a request in the same window. Rendezvous hashing draws those for each start of an endpoint.
    pub fn of_router(endpoint: &LimitedEndpoint<'_>, routers: &KnownRouters) -> LimitShare {
        let limit = endpoint.per_second.max(MIN_PER_SECOND);
        let allowed = OVERSHOOT * limit * WINDOW.as_secs_f64() + TOLERANCE;
        let allocated = (allowed * ALLOCATED) as usize;
        let senders = routers.staying().min(allocated);
        let rank = routers.rank_of_staying(endpoint.id, endpoint.boot);
        if rank >= senders {
            return LimitShare {
                per_second: 0.0,
                burst: 0,
            };
        }
        let takes_remainder = rank < allocated % senders;
        LimitShare {
            per_second: limit / senders as f64,
            burst: allocated / senders + usize::from(takes_remainder),
        }
    }
}
