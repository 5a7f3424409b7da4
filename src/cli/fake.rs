//! The command `sequoiaridge fake`.

use super::args::Fake;
use super::{block_on, exit, failed, terminated};
use sequoiaridge::fakes::engine::{Engine, EngineConfig};
use sequoiaridge::fakes::platform::{Platform, PlatformConfig};
use sequoiaridge::fakes::service::{Service, ServiceConfig};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Runs a fake until SIGTERM or SIGINT.
pub(crate) fn fake(fake: Fake) -> u8 {
    block_on(async {
        let result = match fake {
            Fake::Engine {
                listen,
                id,
                model,
                capacity,
                prompt_token,
                output_token,
            } => {
                let config = EngineConfig {
                    id,
                    models: vec![model],
                    capacity,
                    prompt_token: Duration::from_micros(prompt_token),
                    output_token: Duration::from_micros(output_token),
                    abort: true,
                    ..EngineConfig::default()
                };
                serve(Engine::start(listen, config), Engine::address).await
            }
            Fake::Service {
                listen,
                id,
                name,
                capacity,
                delay,
            } => {
                let delay = Duration::from_millis(delay);
                let config = ServiceConfig {
                    id,
                    name,
                    capacity,
                    delay,
                    abort: true,
                    ..ServiceConfig::default()
                };
                serve(Service::start(listen, config), Service::address).await
            }
            Fake::Platform { listen } => {
                serve(
                    Platform::start(listen, PlatformConfig::default()),
                    Platform::address,
                )
                .await
            }
        };
        match result {
            Ok(()) => exit::OK,
            Err(error) => failed(&format!("cannot listen: {error}")),
        }
    })
}

/// Prints the address of a fake and keeps it running until SIGTERM or SIGINT.
async fn serve<T>(started: io::Result<T>, address: fn(&T) -> SocketAddr) -> io::Result<()> {
    let fake = started?;
    println!("listening http={}", address(&fake));
    terminated().await;
    Ok(())
}
