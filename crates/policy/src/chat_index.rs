//! Where the context of each chat was cached last. See section 4.1 of `docs/design.md`.

use sequoiaridge_core::{ChatKey, EndpointId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One entry of a [`ChatIndex`] as it is handed over to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatEntry {
    /// Key of the chat.
    pub chat: ChatKey,
    /// Endpoint that cached the chat's context last.
    pub endpoint: EndpointId,
    /// Time since then. An age is sent because the origins of two routers' clocks differ.
    pub age: Duration,
}

/// Bounded index of chats; the chat that was used least recently is dropped first.
#[derive(Clone, Debug)]
pub struct ChatIndex {
    limit: usize,
    chats: BTreeMap<ChatKey, (EndpointId, Duration)>,
    // Holds (when, chat) for exactly the entries of `chats`.
    order: BTreeSet<(Duration, ChatKey)>,
}

impl ChatIndex {
    /// Creates an empty index of at most `limit` chats.
    pub fn new(limit: usize) -> ChatIndex {
        ChatIndex {
            limit,
            chats: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Records that `endpoint` caches the chat since `when`. An older record than the known one is
    /// ignored.
    pub fn record(&mut self, chat: ChatKey, endpoint: &str, when: Duration) {
        if let Some((known, since)) = self.chats.get_mut(&chat) {
            if *since > when {
                return;
            }
            self.order.remove(&(*since, chat));
            *since = when;
            endpoint.clone_into(known);
        } else {
            self.chats.insert(chat, (endpoint.to_string(), when));
        }
        self.order.insert((when, chat));
        while self.chats.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.chats.remove(&oldest);
        }
    }

    /// Endpoint that cached the chat last.
    pub fn get(&self, chat: ChatKey) -> Option<&EndpointId> {
        self.chats.get(&chat).map(|(endpoint, _)| endpoint)
    }

    /// Number of chats in the index.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether the index holds no chat.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    /// Every entry, most recent first, so that a hand-over that breaks off keeps the useful part.
    pub fn entries(&self, now: Duration) -> Vec<ChatEntry> {
        let newest = self.order.iter().rev();
        newest
            .filter_map(|(when, chat)| {
                Some(ChatEntry {
                    chat: *chat,
                    endpoint: self.get(*chat)?.clone(),
                    age: now.saturating_sub(*when),
                })
            })
            .collect()
    }

    /// Adds the entries of another router; of two entries for a chat the more recent one stays.
    pub fn merge(&mut self, entries: &[ChatEntry], now: Duration) {
        for entry in entries {
            self.record(entry.chat, &entry.endpoint, now.saturating_sub(entry.age));
        }
    }
}
