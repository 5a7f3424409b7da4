//! Wall-clock times in what the fleet saves, which outlive the clocks of its routers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// By how much the wall clocks of two routers may differ, or one may step.
pub(crate) const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);

/// Milliseconds since the epoch.
pub(crate) fn epoch_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
