//! Delay before a retry. See section 4.3 of `docs/design.md`.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Exponential backoff with full jitter.
///
/// Full jitter spreads the retries of calls that failed together over the whole interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub limit: Duration,
}

impl Backoff {
    /// Returns the delay before retry number `retry`, counted from 0. It is drawn uniformly between
    /// zero and [`Backoff::ceiling`].
    pub fn delay(&self, retry: u32, rng: &mut dyn Rng) -> Duration {
        self.ceiling(retry).mul_f64(rng.random_range(0.0..=1.0))
    }

    /// Returns the longest delay before retry number `retry`: `base * 2^retry`, at most `limit`.
    pub fn ceiling(&self, retry: u32) -> Duration {
        let factor = 2u32.saturating_pow(retry);
        self.base.saturating_mul(factor).min(self.limit)
    }
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            base: Duration::from_millis(20),
            limit: Duration::from_secs(1),
        }
    }
}
