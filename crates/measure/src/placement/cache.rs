//! Simulated prefix cache of one engine.

use std::collections::BTreeMap;

/// Least-recently-used cache of the contexts of chats; its size is counted in tokens.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    limit: u64,
    size: u64,
    uses: u64,
    chats: BTreeMap<usize, (u64, u64)>,
    by_use: BTreeMap<u64, usize>,
}

impl PrefixCache {
    /// Creates an empty cache of `limit` tokens.
    pub fn new(limit: u64) -> PrefixCache {
        PrefixCache {
            limit,
            size: 0,
            uses: 0,
            chats: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens of the chat.
    pub fn tokens(&self, chat: usize) -> u64 {
        self.chats.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Caches the context of a chat and marks it as the most recently used.
    pub fn insert(&mut self, chat: usize, tokens: u64) {
        self.uses += 1;
        if let Some((old, used)) = self.chats.insert(chat, (tokens, self.uses)) {
            self.size -= old;
            self.by_use.remove(&used);
        }
        self.size += tokens;
        self.by_use.insert(self.uses, chat);
        while self.size > self.limit {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.size -= self.chats.remove(&oldest).map_or(0, |(tokens, _)| tokens);
        }
    }

    /// Empties the cache, as a restart does.
    pub fn clear(&mut self) {
        *self = PrefixCache::new(self.limit);
    }
}
