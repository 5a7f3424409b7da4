//! Questions to an [`Owner`] that change nothing.

use super::Owner;
use crate::{ChatEntry, TicketId};
use sequoiaridge_core::{ChatKey, EndpointId, Fingerprint};
use std::time::Duration;

impl Owner {
    /// Calls that this router has outstanding at the endpoint.
    pub fn outstanding(&self, id: &str) -> u32 {
        self.endpoints.get(id).map_or(0, |e| e.outstanding)
    }

    /// Requests that count against the endpoint's bound: those of this router, those that other
    /// routers report and, while ownership settles, those that only the engine reports.
    pub fn load(&self, id: &str, now: Duration) -> u32 {
        let endpoint = self.endpoints.get(id);
        endpoint.map_or(0, |e| e.count(now, &self.config))
    }

    /// Calls that this router has outstanding, for every endpoint with at least one. These are the
    /// counts that are reported to other routers.
    pub fn counts(&self) -> Vec<(EndpointId, u32)> {
        let endpoints = self.endpoints.iter();
        let busy = endpoints.filter(|(_, e)| e.outstanding > 0);
        busy.map(|(id, e)| (id.clone(), e.outstanding)).collect()
    }

    /// Every known endpoint, whoever owns it.
    pub fn endpoint_ids(&self) -> Vec<EndpointId> {
        let known = self.endpoints.iter().filter(|(_, e)| !e.removed);
        known.map(|(id, _)| id.clone()).collect()
    }

    /// Whether the endpoint is in a state to take new work.
    pub fn is_open(&self, id: &str, now: Duration) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|e| e.is_open(now, &self.config))
    }

    /// Calls in flight at the endpoint. If it crashes, each of their fingerprints gets a strike.
    pub fn in_flight(&self, id: &str) -> Vec<(TicketId, Fingerprint)> {
        let running = self.running.iter().filter(|(_, r)| r.endpoint == id);
        running.map(|(t, r)| (*t, r.fingerprint)).collect()
    }

    /// Running calls of the customer in the group, which its share is compared with.
    pub fn held(&self, group: &str, customer: &str) -> u32 {
        let held = self.groups.get(group).and_then(|g| g.held.get(customer));
        held.copied().unwrap_or(0)
    }

    /// Number of calls that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Endpoint that cached the chat last.
    pub fn chat_endpoint(&self, chat: ChatKey) -> Option<&EndpointId> {
        self.chats.get(chat)
    }

    /// The chat index, for the hand-over to the successors.
    pub fn chat_entries(&self, now: Duration) -> Vec<ChatEntry> {
        self.chats.entries(now)
    }
}
