//! Exponential backoff between attempts.

use crate::random::Random;
use std::time::Duration;

/// Upper bound of the first delay.
const FIRST_BOUND: Duration = Duration::from_millis(20);
/// Upper bound of every delay.
const MAX_BOUND: Duration = Duration::from_secs(1);

/// Exponential backoff with full jitter. The jitter keeps routers from all returning to a recovered
/// platform at the same moment.
#[derive(Debug)]
pub(crate) struct Backoff<'a> {
    random: &'a Random,
    bound: Duration,
}

impl<'a> Backoff<'a> {
    /// Creates a backoff that starts at [`FIRST_BOUND`].
    pub(crate) fn new(random: &'a Random) -> Backoff<'a> {
        Backoff {
            random,
            bound: FIRST_BOUND,
        }
    }

    /// Draws the next delay and doubles the bound of the one after it, up to [`MAX_BOUND`].
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.bound.mul_f64(self.random.fraction());
        self.bound = (self.bound * 2).min(MAX_BOUND);
        delay
    }

    /// Sleeps before the next attempt, but for no longer than `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) {
        tokio::time::sleep(self.next_delay().min(limit)).await;
    }
}
