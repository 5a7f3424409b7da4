//! Chats that return after pauses with growing context.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Shares of the customers in the chats: two large ones and eight small ones.
const SHARES: [f64; 10] = [8.0, 6.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
/// Chance that a pause is a long one.
const LONG_PAUSE: f64 = 0.1;
const PAUSE: f64 = 45.0;
const LONG: f64 = 400.0;
/// Chance that a chat ends after a turn.
const END: f64 = 0.12;

/// Draws from an exponential distribution.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> Duration {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-mean * u.ln())
}

/// One chat. Its turns come from its own seed, so that they do not depend on the placement.
#[derive(Debug)]
pub struct Chat {
    /// Number of the customer.
    pub customer: usize,
    /// Tokens of all turns so far.
    pub context: u64,
    rng: StdRng,
}

impl Chat {
    /// New prompt tokens and answer tokens of the next turn.
    pub fn turn(&mut self) -> (u64, u64) {
        let base = if self.context == 0 { 1500.0 } else { 250.0 };
        let new = 50 + exponential(&mut self.rng, base).as_secs_f64() as u64;
        let output = 20 + exponential(&mut self.rng, 250.0).as_secs_f64() as u64;
        (new, output.min(2000))
    }

    /// Pause before the next turn, or `None` if the chat ends.
    pub fn pause(&mut self) -> Option<Duration> {
        if self.rng.random_bool(END) {
            return None;
        }
        let long = self.rng.random_bool(LONG_PAUSE);
        Some(exponential(&mut self.rng, if long { LONG } else { PAUSE }))
    }
}

/// Starts chats of ten customers.
#[derive(Debug)]
pub struct Workload {
    seed: u64,
    rng: StdRng,
    /// Mean number of new chats per second.
    pub rate: f64,
    /// Factor on the chats of the first customer.
    pub surge: f64,
    /// Chats so far.
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

    /// Starts a chat; returns the time until the next one starts.
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
