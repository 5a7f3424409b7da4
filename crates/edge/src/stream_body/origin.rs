//! The endpoint that sends a stream, and what has arrived from it.

use super::stall_watch::StallWatch;
use crate::call::AnswerHead;
use crate::event_scan::EventScan;
use crate::silence_watch::SilenceWatch;
use crate::started_answer::Framing;
use sequoiaridge_core::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;

/// The endpoint that sends a stream, with the connection reuse that its answer allows.
pub(super) struct Origin {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    /// Whether its connection does not pass through another router.
    pub(super) direct: bool,
    pub(super) watch: SilenceWatch,
    pub(super) idle: Option<Duration>,
    pub(super) close: bool,
    pub(super) framing: Framing,
    pub(super) events: EventScan,
    pub(super) stall: StallWatch,
}

impl Origin {
    /// Creates the origin of a stream of which only the head has arrived.
    pub(super) fn new(
        endpoint: EndpointId,
        address: SocketAddr,
        head: &AnswerHead,
        framing: Framing,
    ) -> Origin {
        Origin {
            endpoint,
            address,
            direct: true,
            watch: SilenceWatch::new(),
            idle: head.idle,
            close: head.close,
            framing,
            events: EventScan::default(),
            stall: StallWatch::new(),
        }
    }

    /// Sets whether the connection does not pass through another router.
    pub(super) fn with_direct(self, direct: bool) -> Origin {
        Origin { direct, ..self }
    }
}
