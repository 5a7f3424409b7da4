//! Sizes of customers, from the few requests of each that a router knows of.
//!
//! Answers fleets of hundreds of routers: one in which 24 of 300 routers are heard from knows one or two
//! requests of a customer at its calm rate. Scaled up, such a customer would look larger than its share.

use super::CustomerKey;
use super::fleet_demand::FleetDemand;
use super::meter::Meter;
use super::shares::CustomerDemand;
use std::collections::BTreeMap;

/// Weight of a new estimate in the smoothed one, every 100 ms: a time constant of 2 s.
const WEIGHT: f64 = 0.05;
/// Independent estimates that the smoothed one is worth. Reports count for up to 1.5 s, so those of 4 s
/// are worth about three.
const SMOOTHED_WORTH: f64 = 3.0;
/// Standard deviations that are subtracted from an estimate, and from a smoothed one.
const DOUBT: f64 = 1.5;
const SMOOTHED_DOUBT: f64 = 0.5;
/// Least size of a customer, relative to the mean one.
const LEAST: f64 = 0.1;
/// Sum in slots below which a customer is dropped.
const NEGLIGIBLE: f64 = 1e-6;
/// Most customers that are tracked.
const MAX_CUSTOMERS: usize = 2048;

/// Demand by customer, smoothed over a few seconds. Estimates from many routers weigh more than those
/// from few, since in calm a router knows of no other.
#[derive(Clone, Debug, Default)]
pub struct CustomerSizes {
    /// Decayed sums of the demand of the routers heard from.
    sums: BTreeMap<CustomerKey, f64>,
    /// Decayed number of these routers.
    routers: f64,
}

/// Customers of one service.
#[derive(Clone, Debug, Default)]
pub struct Sized {
    /// Demand of customers that are known.
    pub known: BTreeMap<CustomerKey, CustomerDemand>,
    /// Size of a customer that is not known.
    pub least: f64,
    /// Demand of customers that are not known.
    pub others: f64,
}

impl CustomerSizes {
    /// Smooths the demand of customers; to be called every 100 ms.
    pub fn update(&mut self, fleet: &FleetDemand) {
        self.sums.values_mut().for_each(|sum| *sum *= 1.0 - WEIGHT);
        self.routers = self.routers * (1.0 - WEIGHT) + fleet.weights * WEIGHT;
        for (customer, demand) in &fleet.customers {
            if self.sums.len() < MAX_CUSTOMERS || self.sums.contains_key(customer) {
                *self.sums.entry(*customer).or_default() += demand / fleet.scale * WEIGHT;
            }
        }
        self.sums.retain(|_, sum| *sum > NEGLIGIBLE);
    }

    /// Sizes of customers, if a request holds a slot for `hold` seconds on average.
    pub fn sizes(&self, fleet: &FleetDemand, hold: f64) -> Sized {
        let total = fleet.customers.values().sum::<f64>() + fleet.others;
        let least = LEAST * total / self.sums.len().max(1) as f64;
        let unit = Meter::unit(hold);
        // What stands for a router of the fleet, as a multiple of the smoothed sums.
        let scale = fleet.scale * fleet.weights / self.routers.max(f64::MIN_POSITIVE);
        let smoothed_unit = unit * scale / SMOOTHED_WORTH;
        let known = self.sums.iter().map(|(customer, sum)| {
            let demand = fleet.customers.get(customer).copied().unwrap_or_default();
            let now = certain(demand, unit * fleet.scale, DOUBT);
            let smoothed = certain(sum * scale, smoothed_unit, SMOOTHED_DOUBT);
            let size = now.max(smoothed).max(least);
            // A customer that happens to have sent little just now has a small size and will send more.
            let demand = (demand + sum * scale) / 2.0;
            (*customer, CustomerDemand { size, demand })
        });
        Sized {
            known: known.collect(),
            least,
            others: fleet.others,
        }
    }
}

/// Demand that is certain, if one observed request stands for `unit` slots.
fn certain(demand: f64, unit: f64, doubt: f64) -> f64 {
    (demand - doubt * (demand * unit).sqrt()).max(0.0)
}
