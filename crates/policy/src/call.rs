//! One attempt of a call, as the owner of an endpoint decides about it.

use crate::ClassPolicy;
use sequoiaridge_core::{ChatKey, ClassName, CustomerId, Fingerprint, ModelName};
use std::time::Duration;

/// Identifies one attempt of a call within one router.
pub type TicketId = u64;

/// One attempt of a call that requests an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Id of the attempt, unique within the router.
    pub ticket: TicketId,
    /// Customer on whose behalf the caller sends the request.
    pub customer: CustomerId,
    /// Class of work.
    pub class: ClassName,
    /// Policy derived from the class's targets.
    pub policy: ClassPolicy,
    /// Model that the request names, or the name of a service.
    pub group: ModelName,
    /// Key of the chat; `None` for calls to services.
    pub chat: Option<ChatKey>,
    /// Hash of customer and body.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint has strikes; see [`Quarantine`](crate::Quarantine).
    pub suspect: bool,
    /// Whether to admit the call only if this owner's index holds the chat. Set when another owner
    /// looks up where the chat was cached before the ranking or the ownership changed.
    pub cached_only: bool,
    /// Work of the call relative to others, from 1 to 64; larger values count as 64. The queue
    /// shares the total cost evenly between customers.
    pub cost: u32,
    /// Time at which the fleet received the call, on this router's clock.
    pub arrival: Duration,
    /// Time after which the call is abandoned.
    pub deadline: Duration,
}

impl Call {
    /// Returns the time at which the first token is due. It orders the queue between classes.
    pub fn due(&self) -> Duration {
        self.arrival + self.policy.first_token
    }

    /// Returns the time at which the call is refused if it still waits.
    pub fn wait_deadline(&self) -> Duration {
        (self.arrival + self.policy.allowed_wait).min(self.deadline)
    }
}
