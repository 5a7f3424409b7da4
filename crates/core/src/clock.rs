//! The clock, which is injected so that tests can run on virtual time.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time for every decision.
///
/// Decisions use [`Clock::now`], which is monotonic. Wall-clock time is only used in rows and
/// messages that other processes read.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary origin.
    fn now(&self) -> Duration;

    /// Wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// Time before its creation that a [`SystemClock`] can express. A process learns facts that are older
/// than itself from others, and their ages must not end at its start.
const PAST: Duration = Duration::from_secs(24 * 3600);

/// The operating system's clock.
#[derive(Debug)]
pub struct SystemClock {
    created: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is a day before the call.
    pub fn new() -> SystemClock {
        SystemClock {
            created: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        PAST + self.created.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that only advances when told to, for tests and measurements.
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock at its origin.
    pub fn new() -> ManualClock {
        ManualClock::default()
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock") += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
