//! Opens connections to endpoints through other routers.

use super::link::TunnelEnd;
use crate::shared::{Contact, RoutingState, Shared};
use crate::upstream::set_tcp_timeouts;
use bytes::Bytes;
use rand::seq::{IndexedRandom, IteratorRandom};
use sequoiaridge_wire::{Frame, FrameStream, LinkError, PeerKeys, Reach, StreamConfig};
use std::cmp::Reverse;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, split};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Routers that are asked for a connection, one after the other.
const MAX_GATEWAYS: usize = 2;
/// Routers, those heard last, among which they are drawn.
const GATEWAY_CANDIDATES: usize = 8;
/// Time after which a router that was not heard may be gone. In a large fleet, each router is heard every
/// few seconds.
const GATEWAY_AGE: Duration = Duration::from_secs(20);
/// Time within which a gateway must accept a connection, and within which it must answer. The latter allows
/// for its own tries to reach the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Bytes that a tunnel buffers in each direction, and the most in one frame.
const BUFFER_BYTES: usize = 32 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;

/// Opens a connection through another router. `None` if no router answers.
pub(super) async fn open_tunnel(
    shared: &Shared,
    address: SocketAddr,
) -> Option<(Reach, Option<TunnelEnd>)> {
    let keys = shared.keys()?;
    let gateways = draw_gateways(&shared.lock_state(), shared);
    for gateway in gateways {
        if let Ok(stream) = connect(gateway, &keys).await {
            let asked = timeout(ANSWER_TIMEOUT, ask(stream, address)).await;
            if let Ok(Ok(answer)) = asked {
                return Some(answer);
            }
        }
    }
    None
}

/// Draws routers that were heard of late and reach the endpoints, those of this failure domain first.
fn draw_gateways(state: &RoutingState, shared: &Shared) -> Vec<SocketAddr> {
    let now = shared.now();
    let is_usable = |contact: &&Contact| {
        let is_heard = contact.heard.is_some_and(|at| now < at + GATEWAY_AGE);
        is_heard && !contact.isolated && !contact.draining
    };
    let usable = state.contacts.values().filter(is_usable);
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        usable.partition(|contact| contact.domain == shared.settings.domain);
    for contacts in [&mut near, &mut far] {
        contacts.sort_by_key(|contact| Reverse(contact.heard));
        contacts.truncate(GATEWAY_CANDIDATES);
    }
    let mut rng = rand::rng();
    let first = near.choose(&mut rng).map(|contact| contact.address);
    let others = near.iter().chain(&far).map(|contact| contact.address);
    let others = others.filter(|address| Some(*address) != first);
    let mut gateways: Vec<SocketAddr> = first.into_iter().collect();
    let missing = MAX_GATEWAYS.saturating_sub(gateways.len());
    gateways.extend(others.sample(&mut rng, missing));
    gateways
}

async fn connect(gateway: SocketAddr, keys: &PeerKeys) -> io::Result<FrameStream<TcpStream>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(gateway)).await??;
    set_tcp_timeouts(&stream)?;
    let config = StreamConfig {
        handshake_timeout: ANSWER_TIMEOUT,
        ..StreamConfig::default()
    };
    let stream = FrameStream::connect(stream, keys, &config).await;
    stream.map_err(|error| io::Error::other(error.to_string()))
}

/// Asks a gateway for a connection.
async fn ask(
    mut stream: FrameStream<TcpStream>,
    address: SocketAddr,
) -> Result<(Reach, Option<TunnelEnd>), LinkError> {
    stream.send(&Frame::Tunnel { address }).await?;
    let reach = match stream.recv().await? {
        Some(Frame::TunnelReach(reach)) => reach,
        _ => return Err(LinkError::Truncated),
    };
    if reach != Reach::Opened {
        return Ok((reach, None));
    }
    let (io, inner) = tokio::io::duplex(BUFFER_BYTES);
    let is_closed = Arc::new(AtomicBool::new(false));
    tokio::spawn(carry(stream, inner, is_closed.clone()));
    Ok((reach, Some(TunnelEnd { io, is_closed })))
}

/// Carries bytes between a gateway and the user of the tunnel until one of them closes it.
async fn carry(stream: FrameStream<TcpStream>, inner: DuplexStream, is_closed: Arc<AtomicBool>) {
    let (mut frames_in, mut frames_out) = stream.split();
    let (mut read, mut write) = split(inner);
    let up = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(size) = read.read(&mut buffer).await {
            let chunk = Frame::Chunk(Bytes::copy_from_slice(&buffer[..size]));
            if size == 0 || frames_out.send(&chunk).await.is_err() {
                return;
            }
        }
    };
    let down = async {
        loop {
            match frames_in.recv().await {
                Ok(Some(Frame::Chunk(bytes))) => {
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Ok(Some(Frame::End)) => return is_closed.store(true, Ordering::Release),
                _ => return,
            }
        }
    };
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}
