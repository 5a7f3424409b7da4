//! Random values that a seed makes repeatable.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::Nonce;
use std::sync::Mutex;

/// Source of nonces and of the jitter of waits.
#[derive(Debug)]
pub(crate) struct Random {
    rng: Mutex<StdRng>,
}

impl Random {
    /// A source that differs in every process.
    pub(crate) fn new() -> Random {
        Random {
            rng: Mutex::new(rand::make_rng()),
        }
    }

    /// A source that repeats its values for equal seeds.
    pub(crate) fn seeded(seed: u64) -> Random {
        Random {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// A fresh nonce.
    pub(crate) fn nonce(&self) -> Nonce {
        self.rng.lock().expect("random lock").random()
    }

    /// A number from 0 to 1, without 1.
    pub(crate) fn share(&self) -> f64 {
        self.rng.lock().expect("random lock").random()
    }
}
