//! The endpoint that sends a stream, and what has arrived from it.

use super::stall_watch::StallWatch;
use crate::call::AnswerHead;
use crate::event_scan::EventScan;
use crate::silence_watch::SilenceWatch;
use crate::started_answer::Framing;
use sequoiaridge_core::EndpointId;
use std::time::Duration;

/// The endpoint that sends a stream, with the connection reuse that its answer allows.
pub(super) struct Origin {
    pub(super) endpoint: EndpointId,
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
        watch: SilenceWatch,
        head: &AnswerHead,
        framing: Framing,
    ) -> Origin {
        Origin {
            endpoint,
            watch,
            idle: head.idle,
            close: head.close,
            framing,
            events: EventScan::default(),
            stall: StallWatch::new(),
        }
    }
}
