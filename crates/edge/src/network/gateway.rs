//! Opens connections to endpoints for routers that have lost their own links.

use super::open::dial;
use crate::shared::Shared;
use bytes::Bytes;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_wire::{Frame, FrameStream, LinkError, Reach};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Most bytes in one frame.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time for the other router to close a tunnel whose endpoint has closed its connection.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Serves another router that asks for a connection to an endpoint, until one side closes it. A router connects
/// only to endpoints on its list, and never through a third router.
pub(crate) async fn serve(
    shared: &Shared,
    mut stream: FrameStream<TcpStream>,
    address: SocketAddr,
) -> Result<(), LinkError> {
    let is_served = {
        let now = shared.now();
        let state = shared.lock_state();
        let mut listed = state.roster.listed(|entry| entry.address == address, now);
        listed.next().is_some() && !state.isolation.is_isolated()
    };
    let (reach, endpoint) = if is_served {
        dial(shared, address).await
    } else {
        (Reach::Silent, None)
    };
    stream.send(&Frame::TunnelReach(reach)).await?;
    let Some(endpoint) = endpoint else {
        return Ok(());
    };
    shared.metrics.tunnels.inc();
    let carried = carry(stream, endpoint).await;
    shared.metrics.tunnels.dec();
    if let Err(error) = &carried {
        log(Event::TunnelBroke, &format!("address={address} {error}"));
    }
    carried
}

/// Carries bytes between the other router and the endpoint. Returns an error if the endpoint's connection breaks;
/// the other router then finds no end on the tunnel.
async fn carry(stream: FrameStream<TcpStream>, endpoint: TcpStream) -> Result<(), LinkError> {
    let (mut frames_in, mut frames_out) = stream.split();
    let (mut read, mut write) = endpoint.into_split();
    let up = async {
        // An endpoint may answer before it has read everything and then not read on; its answer still counts.
        let mut is_open = true;
        while let Ok(Some(Frame::Chunk(bytes))) = frames_in.recv().await {
            is_open = is_open && write.write_all(&bytes).await.is_ok();
        }
    };
    let down = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let broken = |error: std::io::Error| LinkError::Broken(error.to_string());
            let size = read.read(&mut buffer).await.map_err(broken)?;
            if size == 0 {
                frames_out.send(&Frame::End).await?;
                tokio::time::sleep(CLOSE_TIME).await;
                return Ok(());
            }
            let chunk = Bytes::copy_from_slice(&buffer[..size]);
            frames_out.send(&Frame::Chunk(chunk)).await?;
        }
    };
    tokio::select! {
        () = up => Ok(()),
        ended = down => ended,
    }
}
