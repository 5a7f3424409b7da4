//! The operating system's clock.

use sequoiaridge_core::{Clock, SystemClock};
use std::time::Duration;

/// Guards against ages that end at the start of a process: what it learns from others may be older.
#[test]
fn times_before_the_clock_was_created_can_be_expressed() {
    let hour = Duration::from_secs(3600);
    let clock = SystemClock::new();
    let then = clock.now().checked_sub(hour);
    let then = then.expect("an hour ago");
    assert!(clock.now() - then >= hour);
}
