//! The command `sequoiaridge run`.

use super::{block_on, exit, failed, logs, terminated};
use sequoiaridge::core::SystemClock;
use sequoiaridge::router::{DrainOutcome, Router};
use sequoiaridge::settings::Settings;
use std::path::Path;
use std::sync::Arc;

/// Runs a router until SIGTERM or SIGINT, then drains it.
pub(crate) fn run(config: &Path) -> u8 {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(problems) => {
            problems
                .iter()
                .for_each(|problem| eprintln!("error: {problem}"));
            return exit::INVALID;
        }
    };
    logs::start(settings.log.format, settings.log.level);
    block_on(serve(settings))
}

async fn serve(settings: Settings) -> u8 {
    let router = match Router::start(settings, Arc::new(SystemClock::new())).await {
        Ok(router) => router,
        Err(error) => return failed(&error.to_string()),
    };
    println!(
        "listening callers={} operators={} peers={}",
        router.callers(),
        router.operators(),
        router.peers()
    );
    terminated().await;
    match router.drain().await {
        DrainOutcome::Complete => exit::OK,
        DrainOutcome::Cut(_) => exit::DRAIN_LIMIT,
    }
}
