//! The decision on one request, from shares that are already computed.
//!
//! Runs for every request of a surge on a tenth of a core, so it only looks up and compares.

use super::shares::Shares;
use super::spent_time::MIN_WAIT_SHARE;
use super::{Admitted, Arrival, CustomerKey, RoomRefusal};
use sequoiaridge_core::{RefusalReason, hash_parts};
use std::time::Duration;

/// A customer whose probability is below this share of the average one is refused for its own demand.
const OWN_DEMAND: f64 = 0.9;
/// Share of the time left up to which callers honor `Retry-After`.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Decides on a request while its service is short of room. `late` says that it competes for the room of
/// callers that came back.
pub fn decide(
    shares: &Shares,
    arrival: &Arrival<'_>,
    customer: CustomerKey,
    late: bool,
) -> Admitted {
    let usual = usual(shares, customer);
    let probability = if late {
        shares.late
    } else {
        shares.ranks.probability(arrival.rank, usual)
    };
    let drawn = hash_parts(&[arrival.attempt.as_bytes()]);
    if unit(drawn) < probability {
        return Admitted::Yes;
    }
    let reason = if usual < OWN_DEMAND * shares.average {
        RefusalReason::CustomerShare
    } else {
        RefusalReason::Overload
    };
    Admitted::No(RoomRefusal {
        reason,
        retry_after: retry_after(arrival),
        probability,
        late,
        wait: None,
    })
}

/// Probability with which a request is admitted that is not a late return.
pub fn probability(shares: &Shares, rank: u8, customer: CustomerKey) -> f64 {
    shares.ranks.probability(rank, usual(shares, customer))
}

/// Probability of a customer's requests, over all ranks.
fn usual(shares: &Shares, customer: CustomerKey) -> f64 {
    let known = shares.customers.get(&customer);
    known.copied().unwrap_or(shares.unknown)
}

/// Between a fifth and a third of the time left, by attempt, so that returns are spread and can be told from
/// first attempts.
pub fn retry_after(arrival: &Arrival<'_>) -> Duration {
    let left = arrival.deadline.unwrap_or(arrival.limit);
    let drawn = hash_parts(&[b"retry-after", arrival.attempt.as_bytes()]);
    left.mul_f64(MIN_WAIT_SHARE + (MAX_WAIT_SHARE - MIN_WAIT_SHARE) * unit(drawn))
}

/// A hash as a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
