//! Services whose endpoints say that they crash if they have to reject too many requests for want of room.
//!
//! Rejections come from the requests of all routers, so that none of them can count what an endpoint has left.
//! Routers therefore send such endpoints nothing that would have to wait. See "Brittle services" in
//! docs/design/endpoint-limits.md.

use crate::manifest::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a service counts as sound if no answer says that its endpoints are brittle.
const VALIDITY: Duration = Duration::from_secs(10);
/// Time for which an endpoint that rejected a request gets no more of this router. Endpoints count what they
/// reject within a second.
pub(crate) const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// The services that are brittle. Without I/O.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    /// When an answer last said so.
    told: BTreeMap<ServiceName, Duration>,
}

impl BrittleServices {
    /// Creates a table in which no service is brittle.
    pub fn new() -> BrittleServices {
        BrittleServices::default()
    }

    /// Records whether an answer says that its endpoint is brittle. Returns whether that is a change for the
    /// service.
    pub fn record(&mut self, service: &str, brittle: bool, now: Duration) -> bool {
        let was_brittle = self.is_brittle(service, now);
        match (brittle, self.told.get_mut(service)) {
            (true, Some(told)) => *told = now,
            (true, None) => drop(self.told.insert(service.to_string(), now)),
            (false, Some(_)) => drop(self.told.remove(service)),
            (false, None) => {}
        }
        was_brittle != brittle
    }

    /// Whether the endpoints of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Duration) -> bool {
        let told = self.told.get(service);
        told.is_some_and(|told| now < *told + VALIDITY)
    }
}
