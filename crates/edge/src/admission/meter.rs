//! Demand that a router sees itself: arrivals of the last 0.8 s times the slots that they hold.
//!
//! Answers a surge that begins within a tenth of a second. Arrivals are summed in buckets of 100 ms, so
//! that memory depends on the number of customers and not on the rate.

use super::CustomerKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of a bucket.
const BUCKET: Duration = Duration::from_millis(100);
/// Time for which arrivals count.
const WINDOW: Duration = Duration::from_millis(800);
/// Buckets that are kept.
const BUCKETS: usize = 9;
/// Shortest time that rates are computed over. A router that started 100 ms ago has seen too little.
const MIN_SPAN: Duration = Duration::from_millis(300);
/// Time constant of the demand by customer in seconds. It is longer than the window, since a router sees
/// few requests of each customer, and customers are compared only with each other.
const CUSTOMER_TIME: f64 = 0.6;
/// Customers counted by name; further ones count as others.
const MAX_CUSTOMERS: usize = 2048;
/// Demand in slots below which a customer is dropped.
const NEGLIGIBLE: f64 = 1e-5;

/// A request as it is metered.
#[derive(Clone, Copy, Debug)]
pub struct Metered {
    /// Time for which it holds a slot, in seconds.
    pub hold: f64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Customer that sends it.
    pub customer: CustomerKey,
    /// Whether it competes only for the room of callers that came back.
    pub late: bool,
}

/// Demand in slots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second, of all kinds.
    pub rate: f64,
    /// Demand of requests that can be in time.
    pub total: f64,
    /// The same by rank.
    pub ranks: BTreeMap<u8, f64>,
    /// The same by customer, over a longer time.
    pub customers: BTreeMap<CustomerKey, f64>,
    /// Demand of the customers that are not counted by name, over the same time.
    pub others: f64,
    /// Demand of callers that came back and can no longer be in time.
    pub late: f64,
}

impl Demand {
    /// Mean time in seconds for which a request holds a slot.
    pub fn mean_hold(&self) -> Option<f64> {
        (self.rate > 0.0).then(|| (self.total + self.late) / self.rate)
    }

    fn add(&mut self, other: &Demand, factor: f64) {
        self.rate += other.rate * factor;
        self.total += other.total * factor;
        self.late += other.late * factor;
        for (rank, slots) in &other.ranks {
            *self.ranks.entry(*rank).or_default() += slots * factor;
        }
    }
}

/// A sum whose addends decay.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    sum: f64,
    at: Duration,
}

impl Decaying {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / CUSTOMER_TIME).exp()
    }

    fn add(&mut self, slots: f64, now: Duration) {
        *self = Decaying {
            sum: self.at(now) + slots,
            at: now,
        };
    }
}

/// Meters the arrivals of one service.
#[derive(Clone, Debug)]
pub struct Meter {
    since: Duration,
    /// Start and sums of each bucket, the newest last.
    buckets: VecDeque<(Duration, Demand)>,
    customers: BTreeMap<CustomerKey, Decaying>,
    others: Decaying,
}

impl Meter {
    /// Creates a meter that starts at `now`.
    pub fn new(now: Duration) -> Meter {
        Meter {
            since: now,
            buckets: VecDeque::new(),
            customers: BTreeMap::new(),
            others: Decaying::default(),
        }
    }

    /// Records an arrival.
    pub fn record(&mut self, arrival: Metered, now: Duration) {
        let fresh = matches!(self.buckets.back(), Some((start, _)) if now < *start + BUCKET);
        if !fresh {
            if self.buckets.len() >= BUCKETS {
                self.buckets.pop_front();
            }
            self.buckets.push_back((now, Demand::default()));
        }
        let Some((_, sums)) = self.buckets.back_mut() else {
            return;
        };
        sums.rate += 1.0;
        if arrival.late {
            sums.late += arrival.hold;
            return;
        }
        sums.total += arrival.hold;
        *sums.ranks.entry(arrival.rank).or_default() += arrival.hold;
        let named = self.customers.len() < MAX_CUSTOMERS;
        if named || self.customers.contains_key(&arrival.customer) {
            let customer = self.customers.entry(arrival.customer).or_default();
            customer.add(arrival.hold, now);
        } else {
            self.others.add(arrival.hold, now);
        }
    }

    /// Drops customers that have not sent anything for a while.
    pub fn expire(&mut self, now: Duration) {
        self.customers
            .retain(|_, customer| customer.at(now) > NEGLIGIBLE);
    }

    /// Demand of the last 0.8 s. Newer arrivals weigh more, so that the start and the end of a surge show
    /// sooner.
    pub fn demand(&self, now: Duration) -> Demand {
        let window = WINDOW.as_secs_f64();
        let span = now.saturating_sub(self.since).clamp(MIN_SPAN, WINDOW);
        let span = span.as_secs_f64();
        let weighted_span = span - span * span / (2.0 * window);
        let mut demand = Demand::default();
        for (start, sums) in &self.buckets {
            let age = now.saturating_sub(*start + BUCKET / 2).as_secs_f64();
            if age < window {
                demand.add(sums, (1.0 - age / window) / weighted_span);
            }
        }
        let metered = now.saturating_sub(self.since).max(MIN_SPAN).as_secs_f64();
        let time = CUSTOMER_TIME * (1.0 - (-metered / CUSTOMER_TIME).exp());
        let customers = self.customers.iter();
        let customers = customers.map(|(key, customer)| (*key, customer.at(now) / time));
        demand.customers = customers.collect();
        demand.others = self.others.at(now) / time;
        demand
    }

    /// Demand of a customer that sent one request, given its holding time.
    pub fn unit(hold: f64) -> f64 {
        // Sums that decay vary as if they counted for twice their time constant.
        hold / (2.0 * CUSTOMER_TIME)
    }
}
