//! Limit of one suspect per endpoint at a time. See section 4.3 of `docs/design.md`.

use crate::TicketId;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;

/// Keeps two suspects from running on one endpoint, so that a crash is attributed to only one.
#[derive(Clone, Debug, Default)]
pub struct SuspectSlots {
    slots: BTreeMap<EndpointId, TicketId>,
}

impl SuspectSlots {
    /// Returns whether no suspect runs on the endpoint.
    pub fn is_free(&self, endpoint: &str) -> bool {
        !self.slots.contains_key(endpoint)
    }

    /// Takes the endpoint's slot. Returns `false` if another suspect holds it.
    pub fn take(&mut self, endpoint: &str, ticket: TicketId) -> bool {
        let holder = self.slots.entry(endpoint.to_string()).or_insert(ticket);
        *holder == ticket
    }

    /// Releases the slot if `ticket` holds it.
    pub fn release(&mut self, endpoint: &str, ticket: TicketId) {
        if self.slots.get(endpoint) == Some(&ticket) {
            self.slots.remove(endpoint);
        }
    }
}
