//! The command `sequoiaridge edge`.

use super::{exit, failed, logs};
use sequoiaridge::core::{Event, SystemClock};
use sequoiaridge::edge::EdgeRouter;
use sequoiaridge::log::log;
use sequoiaridge::platform::{Boot, Headers, Store};
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Prints whether the platform's settings file is valid.
pub(crate) fn check() -> u8 {
    match Boot::from_env() {
        Ok(boot) => {
            println!("valid, router {} in {}", boot.edge.id, boot.edge.domain);
            exit::OK
        }
        Err(error) => {
            eprintln!("error: {error}");
            exit::INVALID
        }
    }
}

/// Runs a router on the users' platform until SIGTERM or SIGINT, then drains it.
///
/// A single thread does all work: instances have a fraction of a core, and passing a request
/// between threads costs more than serving it.
pub(crate) fn edge() -> u8 {
    let boot = match Boot::from_env() {
        Ok(boot) => boot,
        Err(error) => {
            eprintln!("error: {error}");
            return exit::INVALID;
        }
    };
    if let Err(error) = logs::start_lines() {
        return failed(&format!("cannot start the log: {error}"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(boot)),
        Err(error) => failed(&format!("cannot start the runtime: {error}")),
    }
}

async fn serve(boot: Boot) -> u8 {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut term), Ok(mut int), Ok(hangup)) = signals else {
        return failed("cannot handle signals");
    };
    tokio::spawn(reload(hangup));
    let clock = Arc::new(SystemClock::new());
    let registry = Arc::new(Store::new(boot.store));
    let router = EdgeRouter::start(boot.edge, clock, Arc::new(Headers), registry).await;
    let router = match router {
        Ok(router) => router,
        Err(error) => return failed(&format!("cannot listen: {error}")),
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    match router.drain().await {
        0 => exit::OK,
        _ => exit::DRAIN_LIMIT,
    }
}

/// Reads the settings file again at each SIGHUP and logs whether it is valid. The settings do not
/// take effect, because the addresses of a running process cannot change.
async fn reload(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Boot::from_env() {
            Ok(_) => log(Event::SettingsRead, "outcome=valid"),
            Err(error) => log(Event::SettingsRead, &format!("outcome=invalid {error}")),
        }
    }
}
