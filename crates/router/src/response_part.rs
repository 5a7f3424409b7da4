//! The parts in which a response travels from the endpoint to the caller.

use bytes::Bytes;
use sequoiaridge_core::{EndpointId, Refusal};
use tokio::sync::mpsc;

/// Number of parts that may wait for a slow reader before the producer is paused.
const CHANNEL_PARTS: usize = 32;

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// One part of the response to a call, from an endpoint of this router or from a peer.
#[derive(Clone, Debug)]
pub(crate) enum Part {
    Head(Head),
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The call ended without a complete response.
    Fail(Refusal),
    /// The owner is at its bound; the owner of `endpoint` is to be asked next.
    Forward {
        endpoint: EndpointId,
        /// The candidates that rank after it, best first.
        next: Vec<EndpointId>,
        /// That owner is to run the call only if it has the chat in its index.
        cached_only: bool,
    },
    /// The router that received the call does not own the endpoint.
    NotOwner,
}

/// Sending end of the parts of one response.
pub(crate) type PartSender = mpsc::Sender<Part>;
/// Receiving end of the parts of one response.
pub(crate) type PartReceiver = mpsc::Receiver<Part>;

/// Creates the channel for the parts of one response.
pub(crate) fn channel() -> (PartSender, PartReceiver) {
    mpsc::channel(CHANNEL_PARTS)
}
