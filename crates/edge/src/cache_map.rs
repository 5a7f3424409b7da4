//! Which endpoints have which prompt prefixes cached, as far as the routers know.

use crate::call::Prompt;
use sequoiaridge_core::{EndpointId, hash_parts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Names a prefix of a prompt: the model and the parts up to one of them.
pub type PrefixKey = u64;

/// Time after its last known use for which a prefix counts as cached, unless it is set. Memory of engines
/// holds what they read in about a minute at the rates of today's sites.
const LIFE: Duration = Duration::from_secs(40);
/// The same in windows within which the operators count a part that is read again.
const LIFE_WINDOWS: u32 = 4;
/// Prefixes that are tracked; 64 bytes each with one holder.
const MAX_PREFIXES: usize = 65_536;
/// Time after which a use is told to the other routers again.
const TELL_AGAIN: Duration = Duration::from_secs(4);

/// Entries of a snapshot; with ten bytes each they fit a row of 64 KiB.
const MAX_SAVED: usize = 5000;

/// A prefix of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Name of the prefix.
    pub key: PrefixKey,
    /// Tokens up to its end.
    pub tokens: u64,
    /// Whether other requests may share it; the last part of a prompt is its own.
    pub shared: bool,
}

/// The prefixes of a prompt, shortest first.
pub fn prefixes(prompt: &Prompt) -> Vec<Prefix> {
    let mut key = hash_parts(&[prompt.model.as_bytes()]);
    let mut tokens = 0;
    let last = prompt.parts.len().saturating_sub(1);
    let parts = prompt.parts.iter().enumerate();
    parts
        .map(|(index, part)| {
            key = hash_parts(&[&key.to_le_bytes(), &part.id.to_le_bytes()]);
            tokens += part.tokens;
            Prefix {
                key,
                tokens,
                shared: index < last,
            }
        })
        .collect()
}

#[derive(Clone, Copy, Debug)]
struct Use {
    last: Duration,
    told: Option<Duration>,
}

/// Endpoints by prefix.
#[derive(Clone, Debug)]
pub struct CacheMap {
    life: Duration,
    holders: BTreeMap<PrefixKey, BTreeMap<EndpointId, Use>>,
}

impl Default for CacheMap {
    fn default() -> CacheMap {
        CacheMap::new()
    }
}

impl CacheMap {
    /// Creates an empty map.
    pub fn new() -> CacheMap {
        CacheMap {
            life: LIFE,
            holders: BTreeMap::new(),
        }
    }

    /// Creates an empty map for the operators' window of reuse.
    pub fn with_window(reuse: Duration) -> CacheMap {
        CacheMap {
            life: reuse * LIFE_WINDOWS,
            ..CacheMap::new()
        }
    }

    /// Leading tokens of a prompt that each endpoint has cached. Endpoints without any are left out.
    pub fn cached(&self, prefixes: &[Prefix], now: Duration) -> BTreeMap<&str, u64> {
        let mut cached = BTreeMap::new();
        for prefix in prefixes {
            let Some(holders) = self.holders.get(&prefix.key) else {
                continue;
            };
            for (id, used) in holders {
                if now < used.last + self.life {
                    cached.insert(id.as_str(), prefix.tokens);
                }
            }
        }
        cached
    }

    /// Records that an endpoint reads or uses the prefixes of a prompt. Returns the shared ones that
    /// the other routers should be told.
    pub fn record(&mut self, prefixes: &[Prefix], id: &str, now: Duration) -> Vec<PrefixKey> {
        let mut tell = Vec::new();
        for prefix in prefixes {
            let Some(used) = self.touch(prefix.key, id, now) else {
                continue;
            };
            let due = used.told.is_none_or(|told| now >= told + TELL_AGAIN);
            if prefix.shared && due {
                used.told = Some(now);
                tell.push(prefix.key);
            }
        }
        tell
    }

    /// Takes over what another router tells.
    pub fn hear(&mut self, key: PrefixKey, id: &str, now: Duration) {
        if let Some(used) = self.touch(key, id, now) {
            used.told = Some(now);
        }
    }

    /// The shared prefixes by endpoint, those used last first, for routers that start.
    ///
    /// # Errors
    ///
    /// The map cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut uses: Vec<(Duration, PrefixKey, &EndpointId)> = Vec::new();
        for (key, holders) in &self.holders {
            let shared = holders.iter().filter(|(_, used)| used.told.is_some());
            uses.extend(shared.map(|(id, used)| (used.last, *key, id)));
        }
        uses.sort_by(|a, b| b.cmp(a));
        let mut saved: BTreeMap<&EndpointId, Vec<PrefixKey>> = BTreeMap::new();
        for (_, key, id) in uses.into_iter().take(MAX_SAVED) {
            saved.entry(id).or_default().push(key);
        }
        postcard::to_stdvec(&saved)
    }

    /// Takes over a snapshot. Returns the number of its entries.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded; nothing is taken over.
    pub fn restore(&mut self, snapshot: &[u8], now: Duration) -> Result<usize, postcard::Error> {
        let saved: BTreeMap<EndpointId, Vec<PrefixKey>> = postcard::from_bytes(snapshot)?;
        let mut count = 0;
        for (id, keys) in saved {
            count += keys.len();
            for key in keys {
                self.hear(key, &id, now);
            }
        }
        Ok(count)
    }

    /// Forgets an endpoint that is gone, crashed or started again.
    pub fn forget(&mut self, id: &str) {
        for holders in self.holders.values_mut() {
            holders.remove(id);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    /// Drops what was not used for too long.
    pub fn expire(&mut self, now: Duration) {
        for holders in self.holders.values_mut() {
            holders.retain(|_, used| now < used.last + self.life);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    /// Number of prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// The use of a prefix by an endpoint; `None` if the table is full and does not have it.
    fn touch(&mut self, key: PrefixKey, id: &str, now: Duration) -> Option<&mut Use> {
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&key) {
            return None;
        }
        let holders = self.holders.entry(key).or_default();
        if !holders.contains_key(id) {
            let used = Use {
                last: now,
                told: None,
            };
            holders.insert(id.to_string(), used);
        }
        let used = holders.get_mut(id)?;
        used.last = used.last.max(now);
        Some(used)
    }
}
