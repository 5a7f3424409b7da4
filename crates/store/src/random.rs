//! A random number generator that tests can seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::Nonce;
use std::sync::Mutex;

/// Generates nonces and the jitter of backoff delays.
#[derive(Debug)]
pub(crate) struct Random {
    rng: Mutex<StdRng>,
}

impl Random {
    /// Creates a generator seeded by the operating system, so that every process gets other values.
    pub(crate) fn new() -> Random {
        Random {
            rng: Mutex::new(rand::make_rng()),
        }
    }

    /// Creates a generator that gives the same values for the same seed.
    pub(crate) fn seeded(seed: u64) -> Random {
        Random {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Draws a nonce.
    pub(crate) fn nonce(&self) -> Nonce {
        self.rng.lock().expect("random lock").random()
    }

    /// Draws a number in `0.0..1.0`, for jitter.
    pub(crate) fn fraction(&self) -> f64 {
        self.rng.lock().expect("random lock").random()
    }
}
