//! Demand of the fleet on one service, estimated from the reports of a few routers.
//!
//! Answers a surge in fleets whose routers hear only some of the others: the mean over the routers
//! heard from, times the number of routers. No router has to hear from any particular one.

use super::meter::Demand;
use super::{CustomerKey, DemandReport, ServiceKey};
use sequoiaridge_core::RouterId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Age up to which a report counts.
const MAX_AGE: Duration = Duration::from_millis(1500);
/// Ranks in one report.
const MAX_RANKS: usize = 4;
/// Customers by name in one report.
const MAX_CUSTOMERS: usize = 12;
/// Most routers whose reports are kept.
const MAX_ROUTERS: usize = 1024;

/// Demand of the fleet in slots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDemand {
    /// Demand of requests that can be in time.
    pub total: f64,
    /// The same by rank.
    pub ranks: BTreeMap<u8, f64>,
    /// Demand of such requests by customer over a longer time, as far as customers are known.
    pub customers: BTreeMap<CustomerKey, f64>,
    /// Demand of the other customers over that time.
    pub others: f64,
    /// Demand of callers that came back and can no longer be in time.
    pub late: f64,
    /// Routers that the estimate is based on, including this one.
    pub heard: usize,
    /// Routers that one heard from just now stands for.
    pub scale: f64,
    /// Routers heard from, where one that was heard a while ago counts as less than one.
    pub weights: f64,
}

/// The last report of each router.
#[derive(Clone, Debug, Default)]
pub struct PeerDemand {
    routers: BTreeMap<RouterId, (Duration, DemandReport)>,
}

impl PeerDemand {
    /// Replaces what a router reported.
    pub fn merge(&mut self, router: &RouterId, report: DemandReport, now: Duration) {
        if self.routers.len() < MAX_ROUTERS || self.routers.contains_key(router) {
            self.routers.insert(router.clone(), (now, report));
        }
    }

    /// Drops reports that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.routers
            .retain(|_, (at, _)| now.saturating_sub(*at) < MAX_AGE);
    }

    /// Estimates the demand of a fleet of `routers` from that of this router and the reports.
    pub fn estimate(&self, own: &Demand, routers: usize, now: Duration) -> FleetDemand {
        let mut fleet = FleetDemand {
            total: own.total,
            ranks: own.ranks.clone(),
            customers: own.customers.clone(),
            others: own.others,
            late: own.late,
            heard: 1,
            scale: 1.0,
            weights: 1.0,
        };
        let mut weights = 1.0;
        let mut spread = OthersSpread::default();
        for (at, report) in self.routers.values() {
            // An older report weighs less, so that the start and the end of a surge show sooner.
            let age = now.saturating_sub(*at).as_secs_f64();
            let weight = 1.0 - age / MAX_AGE.as_secs_f64();
            if weight > 0.0 {
                weights += weight;
                fleet.add(report, weight);
                spread.add(report, weight, own);
            }
        }
        spread.apply(&mut fleet, own);
        fleet.weights = weights;
        fleet.scale = routers.max(fleet.heard) as f64 / weights;
        fleet.scale_by(fleet.scale);
        fleet
    }
}

impl FleetDemand {
    fn add(&mut self, report: &DemandReport, weight: f64) {
        let slots = |reported| weight * slots(reported);
        self.heard += 1;
        self.total += slots(report.total);
        self.late += slots(report.late);
        for (rank, demand) in report.ranks.iter().take(MAX_RANKS) {
            *self.ranks.entry(*rank).or_default() += slots(*demand);
        }
        for (customer, demand) in report.customers.iter().take(MAX_CUSTOMERS) {
            *self.customers.entry(*customer).or_default() += slots(*demand);
        }
    }

    /// Multiplies all demand.
    pub fn scale_by(&mut self, scale: f64) {
        self.total *= scale;
        self.late *= scale;
        self.others *= scale;
        self.ranks.values_mut().for_each(|slots| *slots *= scale);
        self.customers
            .values_mut()
            .for_each(|slots| *slots *= scale);
    }
}

/// Spreads the sum of other customers in reports over those that the reports do not name, as this router
/// sees them itself. With seven routers and 40 customers most are in that sum, and would look small.
#[derive(Debug, Default)]
struct OthersSpread {
    /// Others in reports relative to this router's demand of the customers that the reports do not name.
    factor: f64,
    /// The part of the factor from reports that name a customer.
    named: BTreeMap<CustomerKey, f64>,
    /// Others in reports that name all customers of this router.
    rest: f64,
}

impl OthersSpread {
    fn add(&mut self, report: &DemandReport, weight: f64, own: &Demand) {
        let others = weight * slots(report.others.0);
        if others <= 0.0 {
            return;
        }
        let named = || report.customers.iter().take(MAX_CUSTOMERS);
        let own_named = named().filter_map(|(customer, _)| own.customers.get(customer));
        let own_sum: f64 = own.customers.values().sum();
        let own_others = own_sum - own_named.sum::<f64>();
        if own_others <= 1e-9 * own_sum {
            self.rest += others;
            return;
        }
        let factor = others / own_others;
        self.factor += factor;
        for (customer, _) in named() {
            *self.named.entry(*customer).or_default() += factor;
        }
    }

    fn apply(&self, fleet: &mut FleetDemand, own: &Demand) {
        fleet.others += self.rest;
        for (customer, slots) in &own.customers {
            let named = self.named.get(customer).copied().unwrap_or_default();
            let share = slots * (self.factor - named).max(0.0);
            *fleet.customers.entry(*customer).or_default() += share;
        }
    }
}

/// A reported figure, or 0 if it is no valid demand.
fn slots(reported: f32) -> f64 {
    if reported.is_finite() {
        f64::from(reported.max(0.0))
    } else {
        0.0
    }
}

/// What this router reports of its own demand.
pub fn report(service: ServiceKey, own: &Demand) -> DemandReport {
    let mut customers: Vec<(CustomerKey, f32)> = own
        .customers
        .iter()
        .map(|(customer, slots)| (*customer, *slots as f32))
        .collect();
    customers.sort_by(|a, b| b.1.total_cmp(&a.1));
    let others = customers.split_off(customers.len().min(MAX_CUSTOMERS));
    let others_slots: f32 = others.iter().map(|(_, slots)| slots).sum();
    DemandReport {
        service,
        total: own.total as f32,
        ranks: own
            .ranks
            .iter()
            .take(MAX_RANKS)
            .map(|(rank, slots)| (*rank, *slots as f32))
            .collect(),
        late: own.late as f32,
        customers,
        others: (
            own.others as f32 + others_slots,
            u16::try_from(others.len()).unwrap_or(u16::MAX),
        ),
    }
}
