//! Server for the connections of other routers.

use crate::config_sync;
use crate::crash;
use crate::execute::execute;
use crate::metrics::Traffic;
use crate::remote::frame_of;
use crate::response_part::{Part, PartReceiver};
use crate::shared::{Shared, lock};
use crate::turns;
use sequoiaridge_core::Event;
use sequoiaridge_log as event;
use sequoiaridge_membership::{CrashKind, CrashNotice};
use sequoiaridge_policy::ChatEntry;
use sequoiaridge_wire::{
    Frame, FrameReader, FrameStream, FrameWriter, IndexEntry, LinkError, TurnRequest,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next accept after one failed, for example because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of simultaneous connections of peers.
const MAX_CONNECTIONS: usize = 4096;

type Reader = FrameReader<ReadHalf<TcpStream>>;
type Writer = FrameWriter<WriteHalf<TcpStream>>;

/// Accepts connections until the router stops.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            () = &mut stopped => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            shared.metrics.rejected("too-many-connections");
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve(&shared, stream).await {
                report_rejection(&shared, address, &error);
            }
        });
    }
}

/// Counts and logs a connection that was rejected in the handshake. Other errors are connections
/// that ended, and are not reported.
fn report_rejection(shared: &Shared, address: std::net::SocketAddr, error: &LinkError) {
    let reason = match error {
        LinkError::Handshake(reason) | LinkError::Refused(reason) => reason.as_str(),
        LinkError::HandshakeTimeout(_) => "handshake-timeout",
        _ => return,
    };
    shared.metrics.rejected(reason);
    event::log(
        Event::PeerRejected,
        &format!("connection from {address}: {error}"),
    );
}

/// Handles the requests on one connection until it ends.
async fn serve(shared: &Arc<Shared>, stream: TcpStream) -> Result<(), LinkError> {
    let _ = stream.set_nodelay(true);
    let stream = FrameStream::accept(stream, &shared.peer_keys, &Default::default()).await?;
    // Twice the idle timeout of the connecting side, so that this side does not close a connection
    // that the other side is about to use.
    let idle = shared.settings.links.idle * 2;
    let (mut reader, mut writer) = stream.split();
    loop {
        let Some(frame) = reader.recv_within(idle).await? else {
            return Ok(());
        };
        match frame {
            Frame::Call(call) => {
                let parts = execute(shared, *call);
                if !serve_call(shared, parts, &mut reader, &mut writer).await? {
                    return Ok(());
                }
            }
            Frame::ConfigPull { since } => {
                let push = config_sync::config_push(shared, since);
                writer.send(&push).await?;
                shared.metrics.sent(Traffic::Config, push_size(&push));
            }
            Frame::IndexPush { entries } => {
                merge_index(shared, &entries);
                writer.send(&Frame::Ack).await?;
            }
            Frame::Turn(request) => {
                return serve_turn(shared, request, &mut reader, &mut writer).await;
            }
            Frame::Strike {
                fingerprint,
                endpoint,
                boot,
            } => {
                let kind = CrashKind::Strike;
                let notice = CrashNotice {
                    fingerprint,
                    endpoint,
                    boot,
                    kind,
                };
                crash::record_strike(shared, &notice);
                writer.send(&Frame::Ack).await?;
            }
            _ => return Ok(()),
        }
    }
}

/// Waits for the turn that a peer requests, grants it, and keeps it until the peer closes the
/// connection or the requested hold time ends.
async fn serve_turn(
    shared: &Arc<Shared>,
    request: TurnRequest,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), LinkError> {
    let mut keepalive = tokio::time::interval(shared.settings.links.keepalive);
    let turn = turns::grant(shared, request);
    tokio::pin!(turn);
    let turn = loop {
        tokio::select! {
            turn = &mut turn => break turn,
            _ = keepalive.tick() => writer.send(&Frame::Keepalive).await?,
            // A waiting peer sends nothing, so the connection has ended.
            received = reader.recv() => return received.map(drop),
        }
    };
    match turn {
        Ok(_turn) => {
            writer.send(&Frame::Ack).await?;
            let ended = tokio::time::timeout(request.hold, reader.recv()).await;
            ended.map_or(Ok(()), |received| received.map(drop))
        }
        Err(refusal) => writer.send(&Frame::Fail(refusal)).await,
    }
}

/// Forwards the parts of an answer to the peer. Returns `false` if the connection cannot be used
/// for another request.
async fn serve_call(
    shared: &Shared,
    mut parts: PartReceiver,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<bool, LinkError> {
    let mut keepalive = tokio::time::interval(shared.settings.links.keepalive);
    keepalive.reset();
    loop {
        tokio::select! {
            part = parts.recv() => {
                let Some(part) = part else { return Ok(false) };
                let last = !matches!(part, Part::Head(_) | Part::Chunk(_));
                writer.send(&frame_of(part)).await?;
                keepalive.reset();
                if last {
                    return Ok(true);
                }
            }
            _ = keepalive.tick() => writer.send(&Frame::Keepalive).await?,
            // A peer that waits for an answer sends nothing, so the connection has ended.
            received = reader.recv() => return received.map(|_| false),
        }
    }
}

/// Returns the payload size of a configuration push, for the count of control traffic.
fn push_size(frame: &Frame) -> usize {
    match frame {
        Frame::ConfigPush { changes, snapshot } => {
            let changes: usize = changes.iter().map(|change| change.change.len()).sum();
            changes + snapshot.as_ref().map_or(0, |snapshot| snapshot.len())
        }
        _ => 0,
    }
}

/// Merges the chat index entries of a draining router.
fn merge_index(shared: &Shared, entries: &[IndexEntry]) {
    let now = shared.now();
    let entries: Vec<ChatEntry> = entries
        .iter()
        .map(|entry| ChatEntry {
            chat: entry.chat,
            endpoint: entry.endpoint.clone(),
            age: entry.age,
        })
        .collect();
    lock(&shared.owner).merge_chats(&entries, now);
}
