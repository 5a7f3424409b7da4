//! Cache of prompt prefixes in limited memory.

use std::collections::BTreeMap;

/// One message of a prompt: the hash of the prompt up to and including it, and its number of
/// tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Prefix {
    pub(super) hash: u64,
    pub(super) tokens: u64,
}

#[derive(Debug)]
struct Entry {
    tokens: u64,
    used: u64,
}

/// Least-recently-used cache of prompt prefixes; its memory is counted in tokens.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: u64,
    size: u64,
    uses: u64,
    entries: BTreeMap<u64, Entry>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of `limit` tokens.
    pub(super) fn new(limit: u64) -> PrefixCache {
        PrefixCache {
            limit,
            size: 0,
            uses: 0,
            entries: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of tokens at the start of the prompt that are cached.
    pub(super) fn cached(&self, prompt: &[Prefix]) -> u64 {
        let cached = prompt.iter();
        let cached = cached.take_while(|prefix| self.entries.contains_key(&prefix.hash));
        cached.map(|prefix| prefix.tokens).sum()
    }

    /// Caches a prompt. Shorter prefixes count as more recently used, because a longer prefix is
    /// useless without them.
    pub(super) fn insert(&mut self, prompt: &[Prefix]) {
        for prefix in prompt.iter().rev() {
            self.uses += 1;
            let used = self.uses;
            let entry = self.entries.entry(prefix.hash).or_insert_with(|| {
                self.size += prefix.tokens;
                Entry {
                    tokens: prefix.tokens,
                    used,
                }
            });
            self.by_use.remove(&entry.used);
            entry.used = used;
            self.by_use.insert(used, prefix.hash);
        }
        while self.size > self.limit {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&hash) {
                self.size -= entry.tokens;
            }
        }
    }

    /// Empties the cache, as a restart does.
    pub(super) fn clear(&mut self) {
        *self = PrefixCache::new(self.limit);
    }
}
