//! One router's share of what a cold endpoint tolerates. The load: up to 370 routers that all want to
//! send to an endpoint that has just started.

use crate::settings::ColdLimit;

/// Share of the budget that is divided among the routers. The rest allows for routers that do not yet
/// agree on how many they are.
const ALLOCATED: f64 = 0.8;

/// How the requests that a cold endpoint tolerates in one second are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdShare {
    /// Requests that each sending router may send in a window.
    pub each: usize,
    /// Number of routers that may send.
    pub senders: usize,
}

impl ColdShare {
    /// Divides the budget of an endpoint that tolerates `per_second` requests while it is cold among a
    /// number of routers.
    pub fn new(limit: &ColdLimit, per_second: f64, routers: usize) -> ColdShare {
        let budget = (per_second * limit.overshoot + limit.tolerance).floor();
        let allocated = (budget * ALLOCATED).max(0.0) as usize;
        let routers = routers.max(1);
        let each = (allocated / routers).max(1);
        ColdShare {
            each,
            senders: routers.min(allocated / each),
        }
    }
}
