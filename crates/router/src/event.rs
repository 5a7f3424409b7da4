//! Writes numbered events to the log; docs/events.md lists them.

use sequoiaridge_core::{Event, Severity};

/// Logs an event. `detail` never holds request content or secrets.
pub(crate) fn log(event: Event, detail: &str) {
    let (code, name) = (event.code(), event.name());
    match event.severity() {
        Severity::Info => tracing::info!(code, name, "{detail}"),
        Severity::Warn => tracing::warn!(code, name, "{detail}"),
        Severity::Error => tracing::error!(code, name, "{detail}"),
    }
}
