//! Admission under overload: divides the room of a service by rank and customer.
//!
//! Answers a surge of up to ten times the usual load, in which every router sends what it has and the
//! endpoints do work that is of no use any more. See docs/design/contention.md, section 5.3, and
//! docs/design/admission.md.

mod customer_sizes;
mod decision;
mod fleet_demand;
mod hold_times;
mod meter;
mod room;
mod service;
mod shares;
mod spent_time;
mod wait;

pub use shares::{CustomerDemand, Level, RankShares, split_room};
pub use wait::{EndpointQueue, WaitLimit};

use crate::call::EndpointLoad;
use crate::manifest::ServiceName;
use sequoiaridge_core::{RefusalReason, RouterId, hash_parts};
use serde::{Deserialize, Serialize};
use service::Service;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which admission stays on after the last report of a pace.
const PACE_REPORT_VALIDITY: Duration = Duration::from_secs(60);

/// Identifies a service in messages between routers: the first half of a hash of its name.
pub type ServiceKey = u32;
/// Identifies a customer in messages between routers: the first half of a hash of its name.
pub type CustomerKey = u32;

/// A request that asks for room at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival<'a> {
    /// Id of the caller's attempt.
    pub attempt: &'a str,
    /// Service that the request is for.
    pub service: &'a str,
    /// Route of the request.
    pub route: &'a str,
    /// Customer that sends it, if it is known.
    pub customer: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Target latency of the route.
    pub target: Duration,
    /// Time for which the caller still waits, if it says so.
    pub deadline: Option<Duration>,
    /// Time within which the request must be answered.
    pub limit: Duration,
    /// Whether the request takes up a stream, which counts as work under way.
    pub resumed: bool,
}

/// What is decided on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admitted {
    /// It may be sent to an endpoint.
    Yes,
    /// It is refused as not run.
    No(RoomRefusal),
}

/// A refusal for lack of room.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomRefusal {
    /// `Overload` or `CustomerShare`.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
    /// Probability with which such a request is admitted.
    pub probability: f64,
    /// Whether the caller came back too late to be in time.
    pub late: bool,
    /// How long it would wait at its endpoint, if that is why it is refused.
    pub wait: Option<Duration>,
}

/// An endpoint of a service as a router knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRoom {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests outstanding there, running and waiting, from all routers.
    pub requests: u32,
    /// How many times longer than usual work takes there; 1 is usual.
    pub pace: f64,
}

/// A service as a router knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoom<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints that this router may use.
    pub endpoints: Vec<EndpointRoom>,
    /// Number of routers known, including this one.
    pub routers: usize,
    /// Shortest target of the routes that use the service.
    pub target: Duration,
}

/// What a router reports to others about the demand on a service, in slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The service.
    pub service: ServiceKey,
    /// Demand of requests that can be in time.
    pub total: f32,
    /// The same by rank, at most 4, the most urgent first.
    pub ranks: Vec<(u8, f32)>,
    /// Demand of callers that came back and can no longer be in time.
    pub late: f32,
    /// Demand of the largest customers, at most 12.
    pub customers: Vec<(CustomerKey, f32)>,
    /// Demand and number of the other customers.
    pub others: (f32, u16),
}

/// A change of the state of a service, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomChange {
    /// Whether the service is short of room now.
    pub short: bool,
    /// Demand of the fleet in slots.
    pub demand: f64,
    /// Room in slots.
    pub room: f64,
    /// Correction of the room.
    pub correction: f64,
    /// Routers whose demand is known, including this one.
    pub routers_heard: usize,
}

/// Figures of a service, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomFigures {
    /// Demand of the fleet in slots.
    pub demand: f64,
    /// Room in slots.
    pub room: f64,
    /// Correction of the room.
    pub correction: f64,
}

/// Admission of one router.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    always: bool,
    /// When an endpoint of a service last reported the pace of its machine.
    pace_reports: BTreeMap<ServiceName, Duration>,
    services: BTreeMap<ServiceName, Service>,
}

impl Admission {
    /// Creates the admission of a router. `always` says that it applies to all services; otherwise it
    /// applies to those whose endpoints report the pace of their machines.
    pub fn new(always: bool) -> Admission {
        Admission {
            always,
            pace_reports: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Records that an endpoint of a service reported the pace of its machine.
    pub fn note_pace_report(&mut self, service: &str, now: Duration) {
        match self.pace_reports.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.pace_reports.insert(service.to_string(), now);
            }
        }
    }

    /// Whether admission applies to a service.
    pub fn is_on(&self, service: &str, now: Duration) -> bool {
        let recent = |at: &Duration| now.saturating_sub(*at) < PACE_REPORT_VALIDITY;
        self.always || self.pace_reports.get(service).is_some_and(recent)
    }

    /// Records for how long a request of a route held a slot, without the time that it waited for one.
    pub fn record_hold(&mut self, service: &str, route: &str, held: Duration, now: Duration) {
        if self.is_on(service, now) {
            self.service(service, now).record_hold(route, held, now);
        }
    }

    /// Records a request and decides on it.
    pub fn decide(&mut self, arrival: &Arrival<'_>, now: Duration) -> Admitted {
        if !self.is_on(arrival.service, now) {
            return Admitted::Yes;
        }
        self.service(arrival.service, now).decide(arrival, now)
    }

    /// How long an admitted request may wait at an endpoint, `elapsed` after its arrival. `None` where the wait
    /// must not refuse it: while its service is not short of room, if it takes up a stream, or if its caller came
    /// back too late, since such requests have room of their own.
    pub fn wait_limit(
        &self,
        arrival: &Arrival<'_>,
        elapsed: Duration,
        now: Duration,
    ) -> Option<WaitLimit> {
        if !self.is_on(arrival.service, now) {
            return None;
        }
        let service = self.services.get(arrival.service)?;
        service.wait_limit(arrival, elapsed, now)
    }

    /// Refuses an admitted request that would wait for `wait`, which is beyond its limit.
    pub fn refuse_wait(&self, arrival: &Arrival<'_>, wait: Duration) -> RoomRefusal {
        let service = self.services.get(arrival.service);
        let probability = service.map_or(1.0, |service| service.probability(arrival));
        RoomRefusal {
            reason: RefusalReason::Overload,
            retry_after: decision::retry_after(arrival),
            probability,
            late: false,
            wait: Some(wait),
        }
    }

    /// Updates room, correction and shares of a service; to be called every 100 ms. Returns a change
    /// between short of room and not.
    pub fn refresh(&mut self, service: &ServiceRoom<'_>, now: Duration) -> Option<RoomChange> {
        if !self.is_on(service.service, now) {
            return None;
        }
        self.service(service.service, now).refresh(service, now)
    }

    /// Records the load that an endpoint reports; returns whether the service must be refreshed at once and
    /// did not have to before.
    pub fn note_load(&mut self, service: &str, load: EndpointLoad, now: Duration) -> bool {
        if load.slots == 0 || !self.is_on(service, now) {
            return false;
        }
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        let was_urgent = state.is_urgent();
        let requests = load.running.saturating_add(load.waiting);
        state.note_fill(f64::from(requests) / f64::from(load.slots), now);
        state.is_urgent() && !was_urgent
    }

    /// Whether a service must be refreshed at once.
    pub fn is_urgent(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(Service::is_urgent)
    }

    /// What other routers need to know now; empty while no service is near its room.
    pub fn report(&self, now: Duration) -> Vec<DemandReport> {
        let services = self.services.values();
        services.filter_map(|service| service.report(now)).collect()
    }

    /// Merges what another router reports.
    pub fn merge(&mut self, router: &RouterId, reports: Vec<DemandReport>, now: Duration) {
        for report in reports {
            let mut services = self.services.values_mut();
            if let Some(service) = services.find(|service| service.key() == report.service) {
                service.merge(router, report, now);
            }
        }
    }

    /// Figures of a service, if admission applies to it.
    pub fn figures(&self, service: &str) -> Option<RoomFigures> {
        self.services.get(service).map(Service::figures)
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.pace_reports
            .retain(|_, at| now.saturating_sub(*at) < PACE_REPORT_VALIDITY);
        self.services.retain(|_, service| service.is_used(now));
        for service in self.services.values_mut() {
            service.expire(now);
        }
    }

    fn service(&mut self, name: &str, now: Duration) -> &mut Service {
        if !self.services.contains_key(name) {
            let service = Service::new(key(name), now);
            self.services.insert(name.to_string(), service);
        }
        self.services.get_mut(name).expect("was inserted above")
    }
}

/// Key of a name in messages between routers.
fn key(name: &str) -> u32 {
    (hash_parts(&[name.as_bytes()]) >> 32) as u32
}
