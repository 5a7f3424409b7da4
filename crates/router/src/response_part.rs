//! Parts of an answer on their way from the endpoint to the caller.

use bytes::Bytes;
use sequoiaridge_core::{EndpointId, Refusal};
use tokio::sync::mpsc;

/// Parts that may wait for a slow reader before the producer pauses.
const DEPTH: usize = 32;

/// Head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
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
    /// The owner is at its bound; the owner of `endpoint` should be asked next.
    Forward {
        endpoint: EndpointId,
        /// Candidates after it, best first.
        next: Vec<EndpointId>,
        /// The owner is only to run the call if it knows the chat.
        lookup: bool,
    },
    /// The router that was asked does not own the endpoint.
    NotOwner,
}

pub(crate) type PartSender = mpsc::Sender<Part>;
pub(crate) type PartReceiver = mpsc::Receiver<Part>;

/// Creates the two ends of an answer.
pub(crate) fn channel() -> (PartSender, PartReceiver) {
    mpsc::channel(DEPTH)
}
