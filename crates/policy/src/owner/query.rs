//! Read-only queries of an [`Owner`].

use super::Owner;
use crate::{ChatEntry, TicketId};
use sequoiaridge_core::{ChatKey, EndpointId, Fingerprint};
use std::time::Duration;

impl Owner {
    /// Returns the number of calls that this router has outstanding at the endpoint.
    pub fn outstanding(&self, id: &str) -> u32 {
        self.endpoints.get(id).map_or(0, |e| e.outstanding)
    }

    /// Returns the number of requests that count against the endpoint's bound: those of this
    /// router, those that other routers report, and those that only the engine reports while
    /// ownership settles or while they are more than lagging reports explain.
    pub fn load(&self, id: &str, now: Duration) -> u32 {
        let endpoint = self.endpoints.get(id);
        endpoint.map_or(0, |e| e.load(now, &self.config))
    }

    /// Returns the number of calls that this router has outstanding at every endpoint with at least
    /// one. These counts are reported to other routers.
    pub fn counts(&self) -> Vec<(EndpointId, u32)> {
        let endpoints = self.endpoints.iter();
        let busy = endpoints.filter(|(_, e)| e.outstanding > 0);
        busy.map(|(id, e)| (id.clone(), e.outstanding)).collect()
    }

    /// Returns the ids of all known endpoints, whoever owns them.
    pub fn endpoint_ids(&self) -> Vec<EndpointId> {
        let known = self.endpoints.iter().filter(|(_, e)| !e.removed);
        known.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether the endpoint is in a state to take new work.
    pub fn is_open(&self, id: &str, now: Duration) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|e| e.is_open(now, &self.config))
    }

    /// Returns the calls in flight at the endpoint. If it crashes, each of their fingerprints gets
    /// a strike.
    pub fn in_flight(&self, id: &str) -> Vec<(TicketId, Fingerprint)> {
        let running = self.running.iter().filter(|(_, r)| r.endpoint == id);
        running.map(|(t, r)| (*t, r.fingerprint)).collect()
    }

    /// Returns the number of slots that the customer holds in the group, which is compared with its
    /// share.
    pub fn held_slots(&self, group: &str, customer: &str) -> u32 {
        let held = self
            .groups
            .get(group)
            .and_then(|g| g.held_slots.get(customer));
        held.copied().unwrap_or(0)
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the endpoint that cached the chat last.
    pub fn chat_endpoint(&self, chat: ChatKey) -> Option<&EndpointId> {
        self.chats.get(chat)
    }

    /// Returns the entries of the chat index, for the handover to the next owners.
    pub fn chat_entries(&self, now: Duration) -> Vec<ChatEntry> {
        self.chats.entries(now)
    }
}
