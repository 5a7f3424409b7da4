//! Workload of chats that return after pauses with a growing context.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Relative shares of the customers in the chats: two large customers and eight small ones.
const SHARES: [f64; 10] = [8.0, 6.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
/// Probability that a pause is a long one.
const LONG_PAUSE_PROBABILITY: f64 = 0.1;
/// Mean length of a short pause.
const SHORT_PAUSE_SECONDS: f64 = 45.0;
/// Mean length of a long pause.
const LONG_PAUSE_SECONDS: f64 = 400.0;
/// Probability that a chat ends after a turn.
const END_PROBABILITY: f64 = 0.12;

/// Draws a time in seconds from an exponential distribution with this mean.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> Duration {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-mean * u.ln())
}

/// One chat. It has its own seed, so that its turns do not depend on the placement.
#[derive(Debug)]
pub struct Chat {
    /// Number of the customer.
    pub customer: usize,
    /// Number of tokens of all turns so far.
    pub context: u64,
    rng: StdRng,
}

impl Chat {
    /// Returns the numbers of new prompt tokens and of answer tokens of the next turn.
    pub fn turn(&mut self) -> (u64, u64) {
        let base = if self.context == 0 { 1500.0 } else { 250.0 };
        let new = 50 + exponential(&mut self.rng, base).as_secs_f64() as u64;
        let output = 20 + exponential(&mut self.rng, 250.0).as_secs_f64() as u64;
        (new, output.min(2000))
    }

    /// Returns the pause before the next turn, or `None` if the chat ends.
    pub fn pause(&mut self) -> Option<Duration> {
        if self.rng.random_bool(END_PROBABILITY) {
            return None;
        }
        let long = self.rng.random_bool(LONG_PAUSE_PROBABILITY);
        Some(exponential(
            &mut self.rng,
            if long {
                LONG_PAUSE_SECONDS
            } else {
                SHORT_PAUSE_SECONDS
            },
        ))
    }
}

/// Generator of the chats of ten customers.
#[derive(Debug)]
pub struct Workload {
    seed: u64,
    rng: StdRng,
    /// Mean number of new chats per second.
    pub rate: f64,
    /// Factor by which the first customer's share is multiplied.
    pub surge: f64,
    /// Chats started so far.
    pub chats: Vec<Chat>,
}

impl Workload {
    /// Creates a workload with `rate` new chats per second.
    pub fn new(rate: f64, seed: u64) -> Workload {
        Workload {
            seed,
            rng: StdRng::seed_from_u64(seed),
            rate,
            surge: 1.0,
            chats: Vec::new(),
        }
    }

    /// Starts a chat and returns the time until the next one starts.
    pub fn start(&mut self) -> Duration {
        let share = |n: usize| SHARES[n] * if n == 0 { self.surge } else { 1.0 };
        let total: f64 = (0..SHARES.len()).map(share).sum();
        let mut at = self.rng.random_range(0.0..total);
        let mut customer = 0;
        while customer + 1 < SHARES.len() && at >= share(customer) {
            at -= share(customer);
            customer += 1;
        }
        let seed = self.seed.wrapping_mul(1_000_003) + self.chats.len() as u64;
        let rate = self.rate * total / SHARES.iter().sum::<f64>();
        self.chats.push(Chat {
            customer,
            context: 0,
            rng: StdRng::seed_from_u64(seed),
        });
        exponential(&mut self.rng, 1.0 / rate)
    }
}
