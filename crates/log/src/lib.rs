//! Numbered log events, limited per second, and a writer that never blocks; docs/events.md lists the
//! events.
//!
//! Anyone who reaches a port can cause refusals, so the lines of each event are limited per second.
//! The counters of the metrics are not.

mod writer;

pub use writer::{LineWriter, lines_lost};

use sequoiaridge_core::{Event, Severity};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most lines of one event in a window.
const LINES: u32 = 200;
/// Time in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one event since the start of its window.
struct Window {
    start: Instant,
    lines: u32,
}

/// Windows by event; the mutex is held for a few instructions and never with another lock to take.
static WINDOWS: Mutex<BTreeMap<Event, Window>> = Mutex::new(BTreeMap::new());

/// Logs an event. `detail` never holds request content or secrets.
pub fn log(event: Event, detail: &str) {
    limited(event, None, format_args!("{detail}"));
}

/// Logs an event about one request. `detail` is a list of `name=value` pairs with the inputs of the
/// decision and its outcome; it never holds request content or secrets.
pub fn log_request(event: Event, request: &str, detail: fmt::Arguments<'_>) {
    limited(event, Some(request), detail);
}

fn limited(event: Event, request: Option<&str>, detail: fmt::Arguments<'_>) {
    let (written, left_out) = count(event, Instant::now());
    if left_out > 0 {
        let note = format_args!("{left_out} lines of this event were left out");
        write(event, None, note);
    }
    if written {
        write(event, request, detail);
    }
}

/// Whether to write a line, and how many were left out in the window that just ended.
fn count(event: Event, now: Instant) -> (bool, u32) {
    let mut windows = WINDOWS.lock().unwrap_or_else(PoisonError::into_inner);
    let window = windows.entry(event).or_insert(Window {
        start: now,
        lines: 0,
    });
    let mut left_out = 0;
    if now.saturating_duration_since(window.start) >= WINDOW {
        left_out = window.lines.saturating_sub(LINES);
        *window = Window {
            start: now,
            lines: 0,
        };
    }
    window.lines = window.lines.saturating_add(1);
    (window.lines <= LINES, left_out)
}

fn write(event: Event, request: Option<&str>, detail: fmt::Arguments<'_>) {
    let (code, name) = (event.code(), event.name());
    match event.severity() {
        Severity::Info => tracing::info!(code, name, request, "{detail}"),
        Severity::Warn => tracing::warn!(code, name, request, "{detail}"),
        Severity::Error => tracing::error!(code, name, request, "{detail}"),
    }
}
