//! Shares of scarce room by customer and rank.
//!
//! Answers a customer that sends many times its usual rate, and several that do so at once: room is
//! divided by max-min fairness, so that a customer that asks for little gets all of it.

use super::CustomerKey;
use std::collections::BTreeMap;

/// Least probability of a customer, relative to the average one, so that none starves.
pub const FLOOR: f64 = 0.4;
/// Share of a customer's probability that all ranks get alike; the rest is filled by urgency.
const EVEN: f64 = 0.8;
/// Room for callers that came back and can no longer be in time. Goodput must stay at 0.9 of its best,
/// and the best is at the start of a surge, when nobody has come back yet.
const LATE_SHARE: f64 = 0.05;
/// Halvings of the interval in which the level is searched.
const HALVINGS: u32 = 40;

/// Demand of one customer in slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerDemand {
    /// Demand that is certain; a customer that is known from few requests counts as small.
    pub size: f64,
    /// Expected demand.
    pub demand: f64,
}

/// Divides room between requests that can be in time and returns that cannot: the room of each.
pub fn split_room(room: f64, new: f64, late: f64) -> (f64, f64) {
    let late_room = late.min((LATE_SHARE * room).max(room - new)).max(0.0);
    (room - late_room, late_room)
}

/// The level up to which each customer gets what it asks for, and the least probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    level: f64,
    floor: f64,
}

impl Level {
    /// Finds the level at which the admitted demand adds up to `room`.
    pub fn find(customers: &[CustomerDemand], room: f64) -> Level {
        let total: f64 = customers.iter().map(|customer| customer.demand).sum();
        let largest = customers.iter().map(|customer| customer.size);
        let largest = largest.fold(0.0, f64::max);
        if total <= room {
            return Level {
                level: f64::INFINITY,
                floor: 1.0,
            };
        }
        let floor = FLOOR * room / total;
        let (mut low, mut high) = (0.0, largest);
        for _ in 0..HALVINGS {
            let level = (low + high) / 2.0;
            let found = Level { level, floor };
            let admitted = customers
                .iter()
                .map(|c| c.demand * found.probability(c.size));
            if admitted.sum::<f64>() > room {
                high = level;
            } else {
                low = level;
            }
        }
        Level { level: low, floor }
    }

    /// Probability with which a customer of this size is admitted.
    pub fn probability(&self, size: f64) -> f64 {
        if size <= self.level {
            1.0
        } else {
            (self.level / size).max(self.floor)
        }
    }
}

/// Demand by rank as cumulated shares of the whole, the most urgent rank first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankShares {
    /// Rank, share of more urgent ranks, and its own share.
    ranks: Vec<(u8, f64, f64)>,
}

impl RankShares {
    /// Computes shares from demand by rank.
    pub fn new(demand: &BTreeMap<u8, f64>) -> RankShares {
        let total: f64 = demand.values().sum();
        let mut before = 0.0;
        let mut ranks = Vec::with_capacity(demand.len());
        for (rank, slots) in demand.iter().filter(|(_, slots)| **slots > 0.0) {
            let share = slots / total;
            ranks.push((*rank, before, share));
            before += share;
        }
        RankShares { ranks }
    }

    /// Probability of a rank of a customer whose requests are admitted with `probability` on average.
    pub fn probability(&self, rank: u8, probability: f64) -> f64 {
        let strict = self.strict(rank, probability);
        EVEN * probability + (1.0 - EVEN) * strict
    }

    /// Share of a rank that is admitted if more urgent ranks are admitted first.
    fn strict(&self, rank: u8, probability: f64) -> f64 {
        let known = self
            .ranks
            .iter()
            .find(|(at_or_after, _, _)| *at_or_after >= rank);
        match known {
            Some((_, before, share)) => ((probability - before) / share).clamp(0.0, 1.0),
            // A rank below all known ones comes last.
            None => f64::from(u8::from(probability >= 1.0)),
        }
    }
}

/// Probabilities of one service while it is short of room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Probability by customer.
    pub customers: BTreeMap<CustomerKey, f64>,
    /// Probability of customers that are not known.
    pub unknown: f64,
    /// Average probability.
    pub average: f64,
    /// Demand by rank.
    pub ranks: RankShares,
    /// Probability of callers that came back and can no longer be in time.
    pub late: f64,
}
