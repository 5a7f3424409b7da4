//! Admission of calls to the endpoints that this router owns, and the wait in its queue.

use crate::shared::{Shared, WaitOutcome, lock};
use sequoiaridge_core::{EndpointId, Refusal};
use sequoiaridge_policy::{Call, Placement, TicketId};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The right to run one call on an endpoint, given back when dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    ticket: TicketId,
    endpoint: EndpointId,
}

impl Slot {
    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.finish(self.ticket);
    }
}

/// Result of [`admit`].
pub(crate) enum Admission {
    /// The call runs on the endpoint of the slot.
    Run(Slot),
    /// The owner of `endpoint` is to be asked next; see
    /// [`Part::Forward`](crate::response_part::Part::Forward).
    Forward {
        endpoint: EndpointId,
        next: Vec<EndpointId>,
        cached_only: bool,
    },
    /// The call is not run.
    Refused(Refusal),
    /// Another router owns the endpoints now.
    Moved,
}

/// Admits, forwards or refuses a call. A queued call waits here. Dropping the future ends the
/// ticket.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    call: &Call,
    candidates: &[EndpointId],
    asked: u32,
) -> Admission {
    // The waiter is registered first, because another worker may start the call as soon as the
    // owner has queued it.
    let (sender, outcome) = oneshot::channel();
    lock(&shared.waiters).insert(call.ticket, sender);
    let mut guard = TicketGuard {
        shared: shared.clone(),
        ticket: call.ticket,
        armed: true,
    };
    let placement = lock(&shared.owner).place(call, candidates, asked, shared.now());
    match placement {
        Placement::Admit { endpoint } => {
            lock(&shared.waiters).remove(&call.ticket);
            Admission::Run(guard.into_slot(endpoint))
        }
        Placement::Queued { shed } => {
            if let Some(ended) = shed {
                notify(shared, ended.ticket, WaitOutcome::Refused(ended.refusal));
            }
            match outcome.await {
                Ok(WaitOutcome::Run(endpoint)) => Admission::Run(guard.into_slot(endpoint)),
                Ok(WaitOutcome::Refused(refusal)) => Admission::Refused(refusal),
                Ok(WaitOutcome::Moved) | Err(_) => Admission::Moved,
            }
        }
        Placement::Forward {
            endpoint,
            next,
            cached_only,
        } => {
            guard.disarm();
            Admission::Forward {
                endpoint,
                next,
                cached_only,
            }
        }
        Placement::NotOwner => {
            guard.disarm();
            Admission::Moved
        }
        Placement::Refused(refusal) => {
            guard.disarm();
            Admission::Refused(refusal)
        }
    }
}

/// Notifies a waiting call of the outcome of its wait.
pub(crate) fn notify(shared: &Shared, ticket: TicketId, outcome: WaitOutcome) {
    if let Some(waiter) = lock(&shared.waiters).remove(&ticket) {
        let _ = waiter.send(outcome);
    }
}

/// Ends the ticket when dropped, unless it became a [`Slot`] or the owner did not keep it.
struct TicketGuard {
    shared: Arc<Shared>,
    ticket: TicketId,
    armed: bool,
}

impl TicketGuard {
    fn into_slot(mut self, endpoint: EndpointId) -> Slot {
        self.armed = false;
        Slot {
            shared: self.shared.clone(),
            ticket: self.ticket,
            endpoint,
        }
    }

    /// Keeps the drop from ending the ticket, which the owner neither runs nor queues.
    fn disarm(&mut self) {
        self.armed = false;
        lock(&self.shared.waiters).remove(&self.ticket);
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if self.armed {
            self.shared.finish(self.ticket);
        }
    }
}
