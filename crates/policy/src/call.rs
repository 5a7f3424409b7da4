//! A call as the owner of an endpoint sees it.

use crate::ClassPolicy;
use sequoiaridge_core::{ChatKey, ClassName, CustomerId, Fingerprint, ModelName};
use std::time::Duration;

/// Names one attempt of a call within one router.
pub type TicketId = u64;

/// One attempt of a call that asks for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Id of the attempt, unique within the router.
    pub ticket: TicketId,
    /// Customer on whose behalf the caller sends the request.
    pub customer: CustomerId,
    /// Class of work.
    pub class: ClassName,
    /// Decisions that follow from the class's targets.
    pub policy: ClassPolicy,
    /// Model that the request names, or the name of a service.
    pub group: ModelName,
    /// Key of the chat; `None` for calls to services.
    pub chat: Option<ChatKey>,
    /// Hash of customer and body.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint has strikes; see [`Quarantine`](crate::Quarantine).
    pub suspect: bool,
    /// Only admit the call if the chat is known here; set on a lookback.
    pub cached_only: bool,
    /// Work of the call relative to others, from 1 to 64; larger values count as 64. The queue divides
    /// this work evenly between customers.
    pub cost: u32,
    /// Time at which the fleet received the call, on this router's clock.
    pub arrival: Duration,
    /// Time at which the call is given up.
    pub deadline: Duration,
}

impl Call {
    /// Time by which the first token is due; orders the queue between classes.
    pub fn due(&self) -> Duration {
        self.arrival + self.policy.first_token
    }

    /// Time at which a waiting call is refused.
    pub fn wait_end(&self) -> Duration {
        (self.arrival + self.policy.allowed_wait).min(self.deadline)
    }
}
