//! Tickets of calls at this router: admitted, waiting, ended.

use crate::shared::{Shared, Turn, lock};
use sequoiaridge_core::{EndpointId, Refusal};
use sequoiaridge_policy::{Call, Placement, TicketId};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A place on an endpoint, given back when dropped.
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
    Run(Slot),
    Forward {
        endpoint: EndpointId,
        next: Vec<EndpointId>,
        lookup: bool,
    },
    Refused(Refusal),
    /// The endpoints have a new owner.
    Moved,
}

/// Places a call, waiting for its turn if need be. Dropping the future ends the call.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    call: &Call,
    candidates: &[EndpointId],
    asked: u32,
) -> Admission {
    // The waiter is registered first, because the call may be started by another worker as soon as
    // the owner has queued it.
    let (sender, turn) = oneshot::channel();
    lock(&shared.waiters).insert(call.ticket, sender);
    let mut guard = Ticket {
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
                tell(shared, ended.ticket, Turn::Refused(ended.refusal));
            }
            match turn.await {
                Ok(Turn::Run(endpoint)) => Admission::Run(guard.into_slot(endpoint)),
                Ok(Turn::Refused(refusal)) => Admission::Refused(refusal),
                Ok(Turn::Moved) | Err(_) => Admission::Moved,
            }
        }
        Placement::Forward {
            endpoint,
            next,
            cached_only,
        } => {
            guard.release();
            Admission::Forward {
                endpoint,
                next,
                lookup: cached_only,
            }
        }
        Placement::Refused(refusal) => {
            guard.release();
            Admission::Refused(refusal)
        }
    }
}

/// Tells a waiting call how its wait ended.
pub(crate) fn tell(shared: &Shared, ticket: TicketId, turn: Turn) {
    if let Some(waiter) = lock(&shared.waiters).remove(&ticket) {
        let _ = waiter.send(turn);
    }
}

/// Ends the ticket when dropped, unless it became a [`Slot`] or was never placed.
struct Ticket {
    shared: Arc<Shared>,
    ticket: TicketId,
    armed: bool,
}

impl Ticket {
    fn into_slot(mut self, endpoint: EndpointId) -> Slot {
        self.armed = false;
        Slot {
            shared: self.shared.clone(),
            ticket: self.ticket,
            endpoint,
        }
    }

    /// The owner neither runs nor queues the call.
    fn release(&mut self) {
        self.armed = false;
        lock(&self.shared.waiters).remove(&self.ticket);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.armed {
            self.shared.finish(self.ticket);
        }
    }
}
