//! Index of the endpoints that cached each chat's context last. See section 4.1 of
//! `docs/design.md`.

use sequoiaridge_core::{ChatKey, EndpointId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One entry of a [`ChatIndex`], in the form in which it is handed over to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatEntry {
    /// Key of the chat.
    pub chat: ChatKey,
    /// Endpoint that cached the chat's context last.
    pub endpoint: EndpointId,
    /// Time since the endpoint cached it. An age is sent instead of a time because the clocks of
    /// two routers have different origins.
    pub age: Duration,
}

/// Bounded index of chats. The least recently used chat is evicted first.
#[derive(Clone, Debug)]
pub struct ChatIndex {
    limit: usize,
    chats: BTreeMap<ChatKey, (EndpointId, Duration)>,
    // The entries of `chats` ordered by their time, oldest first.
    recency: BTreeSet<(Duration, ChatKey)>,
}

impl ChatIndex {
    /// Creates an empty index of at most `limit` chats.
    pub fn new(limit: usize) -> ChatIndex {
        ChatIndex {
            limit,
            chats: BTreeMap::new(),
            recency: BTreeSet::new(),
        }
    }

    /// Records that `endpoint` cached the chat at `when`. A record older than the known one is
    /// ignored.
    pub fn record(&mut self, chat: ChatKey, endpoint: &str, when: Duration) {
        if let Some((known, since)) = self.chats.get_mut(&chat) {
            if *since > when {
                return;
            }
            self.recency.remove(&(*since, chat));
            *since = when;
            endpoint.clone_into(known);
        } else {
            self.chats.insert(chat, (endpoint.to_string(), when));
        }
        self.recency.insert((when, chat));
        while self.chats.len() > self.limit {
            let Some((_, oldest)) = self.recency.pop_first() else {
                break;
            };
            self.chats.remove(&oldest);
        }
    }

    /// Returns the endpoint that cached the chat last.
    pub fn get(&self, chat: ChatKey) -> Option<&EndpointId> {
        self.chats.get(&chat).map(|(endpoint, _)| endpoint)
    }

    /// Returns the number of chats in the index.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    /// Returns all entries, most recent first, so that an interrupted handover still transfers the
    /// most useful ones.
    pub fn entries(&self, now: Duration) -> Vec<ChatEntry> {
        let newest = self.recency.iter().rev();
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

    /// Merges the entries of another router. Of two entries for one chat, the more recent one is
    /// kept.
    pub fn merge(&mut self, entries: &[ChatEntry], now: Duration) {
        for entry in entries {
            self.record(entry.chat, &entry.endpoint, now.saturating_sub(entry.age));
        }
    }
}
