//! Sets up the log, which goes to standard error or, through a buffer, to standard output.

use sequoiaridge::log::LineWriter;
use sequoiaridge::settings::{LogFormat, LogLevel};
use std::io::{self, IsTerminal};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

/// Logs to standard error in the given format and level. Libraries log warnings and errors only.
pub(crate) fn start(format: LogFormat, level: LogLevel) {
    let filter = EnvFilter::new(format!(
        "warn,sequoiaridge={0},sequoiaridge_log={0}",
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

/// Logs JSON lines to standard output without ever blocking: a separate thread writes them, and
/// lines are dropped if it falls behind.
///
/// # Errors
///
/// The writer thread cannot be started.
pub(crate) fn start_lines() -> io::Result<()> {
    let writer = LineWriter::start()?;
    // Unlike `EnvFilter`, `Targets` needs no regular expressions, which would take memory that
    // small instances lack.
    let filter = Targets::new()
        .with_default(LevelFilter::WARN)
        .with_target("sequoiaridge_log", LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(move || writer.clone())
        .json()
        .with_target(false);
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .init();
    Ok(())
}
