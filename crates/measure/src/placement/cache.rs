//! Prefix cache of one engine.

use std::collections::BTreeMap;

/// Least-recently-used cache of chats' contexts; its memory is counted in tokens.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    limit: u64,
    held: u64,
    uses: u64,
    chats: BTreeMap<usize, (u64, u64)>,
    by_use: BTreeMap<u64, usize>,
}

impl PrefixCache {
    /// Creates an empty cache of `limit` tokens.
    pub fn new(limit: u64) -> PrefixCache {
        PrefixCache {
            limit,
            held: 0,
            uses: 0,
            chats: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Cached tokens of the chat.
    pub fn tokens(&self, chat: usize) -> u64 {
        self.chats.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Stores the context of a chat as the one used last.
    pub fn insert(&mut self, chat: usize, tokens: u64) {
        self.uses += 1;
        if let Some((old, used)) = self.chats.insert(chat, (tokens, self.uses)) {
            self.held -= old;
            self.by_use.remove(&used);
        }
        self.held += tokens;
        self.by_use.insert(self.uses, chat);
        while self.held > self.limit {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.held -= self.chats.remove(&oldest).map_or(0, |(tokens, _)| tokens);
        }
    }

    /// Empties the cache, as a restart does.
    pub fn clear(&mut self) {
        *self = PrefixCache::new(self.limit);
    }
}
