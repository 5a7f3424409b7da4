//! Decisions of an [`Owner`](crate::Owner).

use crate::TicketId;
use sequoiaridge_core::{EndpointId, Refusal};

/// Decision about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The call runs on this endpoint and is counted there until it is finished.
    Admit {
        /// Endpoint to send the call to.
        endpoint: EndpointId,
    },
    /// The owner of another endpoint decides.
    Forward {
        /// Endpoint whose owner is asked.
        endpoint: EndpointId,
        /// Candidates that were not tried yet, best first. The owner that is asked tries `endpoint`
        /// before them.
        next: Vec<EndpointId>,
        /// Whether the owner that is asked admits the call only if its index holds the chat.
        cached_only: bool,
    },
    /// The call waits here until it is started, finished (its caller has gone) or expires.
    Queued {
        /// A waiting call that was refused to make room.
        shed: Option<RefusedCall>,
    },
    /// Other routers have taken over all endpoints of the group that this one owned. The call is to
    /// be sent to them; it did not run and does not wait.
    NotOwner,
    /// The call did not run and does not wait.
    Refused(Refusal),
}

/// A waiting call that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedCall {
    /// The call's ticket.
    pub ticket: TicketId,
    /// Endpoint to send the call to.
    pub endpoint: EndpointId,
}

/// A waiting call that was refused and did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedCall {
    /// The call's ticket.
    pub ticket: TicketId,
    /// Reason and retry-after time.
    pub refusal: Refusal,
}
