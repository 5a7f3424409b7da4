//! Rate-limited logging of numbered events, and a writer that never blocks. docs/events.md lists
//! the events.
//!
//! Anyone who can reach a port can cause refusals, so the number of lines of each event is limited
//! per second. The counters in the metrics are not limited.

mod writer;

pub use writer::{LineWriter, lines_lost};

use sequoiaridge_core::{Event, Severity};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines of one event in a window.
const MAX_LINES: u32 = 200;
/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of lines of one event since the start of its window.
struct Window {
    start: Instant,
    lines: u32,
}

/// Windows by event. The mutex is only held briefly, and no other lock is taken meanwhile.
static WINDOWS: Mutex<BTreeMap<Event, Window>> = Mutex::new(BTreeMap::new());

/// Logs an event. `detail` must not contain request content or secrets.
pub fn log(event: Event, detail: &str) {
    log_limited(event, None, format_args!("{detail}"));
}

/// Logs an event about one request. `detail` is a list of `name=value` pairs with the inputs and
/// the outcome of a decision. It must not contain request content or secrets.
pub fn log_request(event: Event, request: &str, detail: fmt::Arguments<'_>) {
    log_limited(event, Some(request), detail);
}

fn log_limited(event: Event, request: Option<&str>, detail: fmt::Arguments<'_>) {
    let (is_written, suppressed) = count(event, Instant::now());
    if suppressed > 0 {
        let note = format_args!("{suppressed} lines of this event were suppressed");
        write(event, None, note);
    }
    if is_written {
        write(event, request, detail);
    }
}

/// Counts a line. Returns whether to write it, and how many lines were suppressed in the window
/// that ended with it; zero while the window lasts.
fn count(event: Event, now: Instant) -> (bool, u32) {
    let mut windows = WINDOWS.lock().unwrap_or_else(PoisonError::into_inner);
    let window = windows.entry(event).or_insert(Window {
        start: now,
        lines: 0,
    });
    let mut suppressed = 0;
    if now.saturating_duration_since(window.start) >= WINDOW {
        suppressed = window.lines.saturating_sub(MAX_LINES);
        *window = Window {
            start: now,
            lines: 0,
        };
    }
    window.lines = window.lines.saturating_add(1);
    (window.lines <= MAX_LINES, suppressed)
}

fn write(event: Event, request: Option<&str>, detail: fmt::Arguments<'_>) {
    let (code, name) = (event.code(), event.name());
    match event.severity() {
        Severity::Info => tracing::info!(code, name, request, "{detail}"),
        Severity::Warn => tracing::warn!(code, name, request, "{detail}"),
        Severity::Error => tracing::error!(code, name, request, "{detail}"),
    }
}
