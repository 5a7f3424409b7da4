//! Sets up log output on standard error.

use sequoiaridge::settings::{LogFormat, LogLevel};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Writes log lines of the given format and level. Libraries only log warnings.
pub(crate) fn start(format: LogFormat, level: LogLevel) {
    let filter = EnvFilter::new(format!(
        "warn,sequoiaridge={0},sequoiaridge_router={0}",
        level.as_str()
    ));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.init(),
    }
}
