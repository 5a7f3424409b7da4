//! Calls that are run by another router.

use crate::response_part::{Head, Part, PartReceiver, PartSender, channel};
use crate::shared::Shared;
use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
use sequoiaridge_wire::{CallFrame, Frame, Header, Link, LinkError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller should retry when the connection to a peer failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends a call to a peer. Dropping the receiver closes the connection, which cancels the call at
/// the peer.
pub(crate) fn call(shared: &Arc<Shared>, peer: SocketAddr, frame: CallFrame) -> PartReceiver {
    let (parts, receiver) = channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let sender = parts.clone();
        let outcome = tokio::select! {
            outcome = forward_call(&shared, peer, frame, &parts) => outcome,
            () = sender.closed() => return,
        };
        match outcome {
            Ok(link) => shared.links.checkin(link),
            Err(error) => {
                // The other connections to this peer may be silent for the same reason.
                if matches!(error, LinkError::Silent(_)) {
                    shared.links.forget(peer);
                }
                let _ = parts.send(Part::Fail(refusal(&error))).await;
            }
        }
    });
    receiver
}

/// Forwards the parts of the response. Returns the connection once the response has ended.
async fn forward_call(
    shared: &Shared,
    peer: SocketAddr,
    frame: CallFrame,
    parts: &PartSender,
) -> Result<Link, LinkError> {
    let mut link = shared.links.checkout(peer).await?;
    link.send(&Frame::Call(Box::new(frame))).await?;
    loop {
        let frame = link.recv().await?.ok_or(LinkError::Truncated)?;
        let Some(part) = part_of(frame) else { continue };
        let last = !matches!(part, Part::Head(_) | Part::Chunk(_));
        if parts.send(part).await.is_err() || last {
            return if last {
                Ok(link)
            } else {
                Err(LinkError::Truncated)
            };
        }
    }
}

/// Returns the refusal for a connection to a peer that failed.
fn refusal(error: &LinkError) -> Refusal {
    let verdict = error.verdict();
    debug_assert!(verdict != Verdict::Done);
    Refusal {
        reason: RefusalReason::PeerBroke,
        verdict,
        retry_after: RETRY_AFTER,
    }
}

/// Returns the part that a frame carries; `None` for frames that carry none, such as keepalives.
fn part_of(frame: Frame) -> Option<Part> {
    Some(match frame {
        Frame::Head { status, headers } => {
            let text = |header: Header| {
                (
                    header.name,
                    String::from_utf8_lossy(&header.value).into_owned(),
                )
            };
            Part::Head(Head {
                status,
                headers: headers.into_iter().map(text).collect(),
            })
        }
        Frame::Chunk(chunk) => Part::Chunk(chunk),
        Frame::End => Part::End,
        Frame::Fail(refusal) => Part::Fail(refusal),
        Frame::Forward {
            endpoint,
            next,
            lookup,
        } => Part::Forward {
            endpoint,
            next,
            cached_only: lookup,
        },
        Frame::NotOwner => Part::NotOwner,
        _ => return None,
    })
}

/// Returns the frame that carries a part.
pub(crate) fn frame_of(part: Part) -> Frame {
    match part {
        Part::Head(head) => {
            let header = |(name, value): (String, String)| Header::new(name, value);
            Frame::Head {
                status: head.status,
                headers: head.headers.into_iter().map(header).collect(),
            }
        }
        Part::Chunk(chunk) => Frame::Chunk(chunk),
        Part::End => Frame::End,
        Part::Fail(refusal) => Frame::Fail(refusal),
        Part::Forward {
            endpoint,
            next,
            cached_only,
        } => Frame::Forward {
            endpoint,
            next,
            lookup: cached_only,
        },
        Part::NotOwner => Frame::NotOwner,
    }
}
