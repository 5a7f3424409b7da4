//! Answers of an [`Owner`](crate::Owner).

use crate::TicketId;
use sequoiaridge_core::{EndpointId, Refusal};

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The call runs on this endpoint, which counts it until it is finished.
    Admit {
        /// Endpoint to send the call to.
        endpoint: EndpointId,
    },
    /// The owner of another endpoint decides.
    Forward {
        /// Endpoint whose owner is asked.
        endpoint: EndpointId,
        /// Candidates that were not tried yet, best first. The owner that is asked ranks `endpoint`
        /// before them.
        next: Vec<EndpointId>,
        /// The owner that is asked admits the call only if it knows the chat.
        cached_only: bool,
    },
    /// The call waits here until it is started, finished (its caller has gone) or expires.
    Queued {
        /// A waiting call that ended to make room.
        shed: Option<RefusedCall>,
    },
    /// The call did not run and does not wait.
    Refused(Refusal),
}

/// A waiting call that now runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedCall {
    /// The call's ticket.
    pub ticket: TicketId,
    /// Endpoint to send the call to.
    pub endpoint: EndpointId,
}

/// A waiting call that ended without being run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedCall {
    /// The call's ticket.
    pub ticket: TicketId,
    /// Why the call ended.
    pub refusal: Refusal,
}
