//! Which endpoints are expected to have which prompt prefixes cached.

use crate::call::Prompt;
use sequoiaridge_core::{EndpointId, hash_parts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Hash of a prompt prefix: the model and the parts up to one of them.
pub type PrefixKey = u64;

/// TTL of a prefix after its last known use where no reuse window is set. At the request rates of today's
/// sites, engines have memory for about a minute of prompts.
const DEFAULT_TTL: Duration = Duration::from_secs(40);
/// TTL as a multiple of the operators' reuse window, within which they count a part that is processed
/// again.
const TTL_WINDOWS: u32 = 4;
/// Largest number of tracked prefixes; each takes 64 bytes with one holder.
const MAX_PREFIXES: usize = 65_536;
/// Time after which a use is announced to the other routers again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(4);

/// Largest number of entries in a snapshot; at ten bytes each they fit a row of 64 KiB.
const MAX_SNAPSHOT_ENTRIES: usize = 5000;

/// A prefix of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the prefix.
    pub key: PrefixKey,
    /// Tokens up to its end.
    pub tokens: u64,
    /// Whether other requests may share it. The prefix that includes a prompt's last part is not shared.
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
    /// When it was last announced, by this router or by another one.
    announced: Option<Duration>,
}

/// Endpoints that have a prefix cached, by prefix.
#[derive(Clone, Debug)]
pub struct CacheMap {
    ttl: Duration,
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
            ttl: DEFAULT_TTL,
            holders: BTreeMap::new(),
        }
    }

    /// Creates an empty map for the operators' reuse window.
    pub fn with_window(reuse: Duration) -> CacheMap {
        CacheMap {
            ttl: reuse * TTL_WINDOWS,
            ..CacheMap::new()
        }
    }

    /// Number of leading tokens of a prompt that each endpoint has cached. Endpoints without any are
    /// omitted.
    pub fn cached(&self, prefixes: &[Prefix], now: Duration) -> BTreeMap<&str, u64> {
        let mut cached = BTreeMap::new();
        for prefix in prefixes {
            let Some(holders) = self.holders.get(&prefix.key) else {
                continue;
            };
            for (id, used) in holders {
                if now < used.last + self.ttl {
                    cached.insert(id.as_str(), prefix.tokens);
                }
            }
        }
        cached
    }

    /// Records that an endpoint processes a prompt with these prefixes. Returns the shared prefixes that
    /// should be announced to the other routers.
    pub fn record(&mut self, prefixes: &[Prefix], id: &str, now: Duration) -> Vec<PrefixKey> {
        let mut to_announce = Vec::new();
        for prefix in prefixes {
            let Some(used) = self.touch(prefix.key, id, now) else {
                continue;
            };
            let due = used
                .announced
                .is_none_or(|announced| now >= announced + ANNOUNCE_INTERVAL);
            if prefix.shared && due {
                used.announced = Some(now);
                to_announce.push(prefix.key);
            }
        }
        to_announce
    }

    /// Records a use that another router announced.
    pub fn record_remote(&mut self, key: PrefixKey, id: &str, now: Duration) {
        if let Some(used) = self.touch(key, id, now) {
            used.announced = Some(now);
        }
    }

    /// Encodes the shared prefixes by endpoint, the most recently used first, for routers that start.
    ///
    /// # Errors
    ///
    /// The map cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut uses: Vec<(Duration, PrefixKey, &EndpointId)> = Vec::new();
        for (key, holders) in &self.holders {
            let shared = holders.iter().filter(|(_, used)| used.announced.is_some());
            uses.extend(shared.map(|(id, used)| (used.last, *key, id)));
        }
        uses.sort_by(|a, b| b.cmp(a));
        let mut saved: BTreeMap<&EndpointId, Vec<PrefixKey>> = BTreeMap::new();
        for (_, key, id) in uses.into_iter().take(MAX_SNAPSHOT_ENTRIES) {
            saved.entry(id).or_default().push(key);
        }
        postcard::to_stdvec(&saved)
    }

    /// Merges a snapshot into the map. Returns the number of its entries.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded; the map is unchanged.
    pub fn restore(&mut self, snapshot: &[u8], now: Duration) -> Result<usize, postcard::Error> {
        let saved: BTreeMap<EndpointId, Vec<PrefixKey>> = postcard::from_bytes(snapshot)?;
        let mut count = 0;
        for (id, keys) in saved {
            count += keys.len();
            for key in keys {
                self.record_remote(key, &id, now);
            }
        }
        Ok(count)
    }

    /// Removes an endpoint that is gone, crashed or restarted.
    pub fn forget(&mut self, id: &str) {
        for holders in self.holders.values_mut() {
            holders.remove(id);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    /// Removes uses that are older than the TTL.
    pub fn expire(&mut self, now: Duration) {
        for holders in self.holders.values_mut() {
            holders.retain(|_, used| now < used.last + self.ttl);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }

    /// Number of prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the map has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Updates the use of a prefix by an endpoint; `None` if the map is full and does not have the prefix.
    fn touch(&mut self, key: PrefixKey, id: &str, now: Duration) -> Option<&mut Use> {
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&key) {
            return None;
        }
        let holders = self.holders.entry(key).or_default();
        if !holders.contains_key(id) {
            let used = Use {
                last: now,
                announced: None,
            };
            holders.insert(id.to_string(), used);
        }
        let used = holders.get_mut(id)?;
        used.last = used.last.max(now);
        Some(used)
    }
}
