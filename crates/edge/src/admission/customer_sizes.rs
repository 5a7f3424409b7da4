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
const DOUBT: f64 = 2.0;
const SMOOTHED_DOUBT: f64 = 1.0;
/// Least size of a customer, relative to the mean one.
const LEAST: f64 = 0.1;
/// Most customers that are tracked.
const MAX_CUSTOMERS: usize = 2048;

/// Smoothed demand by customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerSizes {
    smoothed: BTreeMap<CustomerKey, f64>,
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
        for smoothed in self.smoothed.values_mut() {
            *smoothed *= 1.0 - WEIGHT;
        }
        for (customer, demand) in &fleet.customers {
            if self.smoothed.len() < MAX_CUSTOMERS || self.smoothed.contains_key(customer) {
                *self.smoothed.entry(*customer).or_default() += demand * WEIGHT;
            }
        }
        let negligible = 1e-5 * (1.0 + fleet.total);
        self.smoothed.retain(|_, demand| *demand > negligible);
    }

    /// Sizes of customers, if a request holds a slot for `hold` seconds on average.
    pub fn sizes(&self, fleet: &FleetDemand, hold: f64) -> Sized {
        let unit = Meter::unit(hold) * fleet.scale;
        let total = fleet.customers.values().sum::<f64>() + fleet.others;
        let mean = total / self.smoothed.len().max(1) as f64;
        let least = LEAST * mean;
        let known = fleet.customers.iter().map(|(customer, demand)| {
            let smoothed = self.smoothed.get(customer).copied().unwrap_or_default();
            let size = certain(*demand, unit, DOUBT).max(certain(
                smoothed,
                unit / SMOOTHED_WORTH,
                SMOOTHED_DOUBT,
            ));
            let customer_demand = CustomerDemand {
                size: size.max(least),
                demand: *demand,
            };
            (*customer, customer_demand)
        });
        let mut known: BTreeMap<CustomerKey, CustomerDemand> = known.collect();
        for (customer, smoothed) in &self.smoothed {
            known.entry(*customer).or_insert_with(|| CustomerDemand {
                size: certain(*smoothed, unit / SMOOTHED_WORTH, SMOOTHED_DOUBT).max(least),
                demand: 0.0,
            });
        }
        Sized {
            known,
            least,
            others: fleet.others,
        }
    }
}

/// Demand that is certain, if one observed request stands for `unit` slots.
fn certain(demand: f64, unit: f64, doubt: f64) -> f64 {
    (demand - doubt * (demand * unit).sqrt()).max(0.0)
}
