//! Waits between attempts.

use crate::random::Random;
use std::time::Duration;

/// Upper bound of the first wait.
const FIRST: Duration = Duration::from_millis(20);
/// Upper bound of every wait.
const LONGEST: Duration = Duration::from_secs(1);

/// Exponential backoff with full jitter, so that routers do not return to a recovered platform all at
/// the same moment.
#[derive(Debug)]
pub(crate) struct Backoff<'a> {
    random: &'a Random,
    bound: Duration,
}

impl<'a> Backoff<'a> {
    /// A backoff before its first wait.
    pub(crate) fn new(random: &'a Random) -> Backoff<'a> {
        Backoff {
            random,
            bound: FIRST,
        }
    }

    /// Length of the next wait.
    pub(crate) fn next(&mut self) -> Duration {
        let wait = self.bound.mul_f64(self.random.share());
        self.bound = (self.bound * 2).min(LONGEST);
        wait
    }

    /// Waits before the next attempt, at most for `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) {
        tokio::time::sleep(self.next().min(limit)).await;
    }
}
