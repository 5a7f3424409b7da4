//! Parts of an answer on their way from the endpoint to the caller.

use bytes::Bytes;
use sequoiaridge_core::{EndpointId, Refusal};
use tokio::sync::mpsc;

/// Parts that may wait for a slow reader before the producer pauses.
const DEPTH: usize = 32;

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
}

/// One part of an answer, from an endpoint of this router or through a peer.
#[derive(Clone, Debug)]
pub(crate) enum Part {
    Head(Head),
    Chunk(Bytes),
    /// The answer is whole.
    End,
    /// The answer will not become whole.
    Fail(Refusal),
    /// The owner is at its bound; the owner of this endpoint should be asked next.
    Forward(EndpointId),
    /// The router that was asked does not own the endpoint.
    NotOwner,
    /// A chat lookup found nothing.
    NotKnown,
}

pub(crate) type PartSender = mpsc::Sender<Part>;
pub(crate) type PartReceiver = mpsc::Receiver<Part>;

/// Creates the two ends of an answer.
pub(crate) fn channel() -> (PartSender, PartReceiver) {
    mpsc::channel(DEPTH)
}
