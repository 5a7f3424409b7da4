//! Attribution of crashes to suspects.
//!
//! A crash has many suspects: all requests that ran there, and the parts of their prompts. It counts
//! against those that have the most crashes, since these explain it best; the others only happened to
//! run beside them.

use crate::crash::{CrashKey, Suspect};
use sequoiaridge_core::hash_parts;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most crashes stored for one suspect. Suspects are held long before that; the bound only limits
/// what a peer can make a router store.
pub(crate) const MAX_CRASHES: usize = 16;
/// Number of crashes from which a suspect's record is synchronized with routers that may lack it.
/// With a single crash, it mostly just ran beside the cause.
pub const SYNC_MIN_CRASHES: usize = 2;
/// Crashes by which a part that has ever succeeded needs more than one that never has. The requests
/// with a crashing part share their other parts with sound ones.
const PROVEN_HANDICAP: usize = 2;

/// How well a suspect explains its crashes: the crashes that count, then whether it is a request,
/// which is narrower than the parts that it shares with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) score: usize,
    is_request: bool,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Stored time of each crash.
    pub(crate) crashes: BTreeMap<CrashKey, Duration>,
    /// Stored time of the last successful run.
    pub(crate) last_success: Option<Duration>,
    /// Stored time at which the record is dropped.
    pub(crate) expires: Duration,
    pub(crate) rank: Rank,
    /// Crashes that count and that no other suspect explains better.
    pub(crate) strikes: usize,
}

impl Record {
    /// The crashes after the trust window of the last successful run.
    pub(crate) fn counted(&self, trust: Duration) -> impl Iterator<Item = (&CrashKey, Duration)> {
        let after = self.last_success.map(|success| success + trust);
        let crashes = self.crashes.iter().map(|(key, at)| (key, *at));
        crashes.filter(move |(_, at)| after.is_none_or(|after| *at > after))
    }

    /// Forgets the oldest crash.
    pub(crate) fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, at)| **at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.crashes.remove(&key);
        }
    }
}

/// The suspects of one crash.
#[derive(Clone, Debug, Default)]
struct Suspects {
    all: BTreeSet<Suspect>,
    /// Highest rank among those against whom the crash counts.
    best: Rank,
}

/// Records by suspect, with the suspects of each crash.
#[derive(Clone, Debug)]
pub(crate) struct Attribution {
    /// Crashes that hold a suspect.
    strikes: usize,
    /// Times after a success of a request, and of a part, during which crashes do not count.
    pub(crate) request_trust: Duration,
    pub(crate) part_trust: Duration,
    records: BTreeMap<Suspect, Record>,
    crashes: BTreeMap<CrashKey, Suspects>,
    /// Wrapping sum of [`digest_term`](Attribution::digest_term) over all records.
    digest: u32,
}

impl Attribution {
    /// Creates an empty table without trust windows.
    pub(crate) fn new(strikes: usize) -> Attribution {
        Attribution {
            strikes,
            request_trust: Duration::ZERO,
            part_trust: Duration::ZERO,
            records: BTreeMap::new(),
            crashes: BTreeMap::new(),
            digest: 0,
        }
    }

    /// The record of a suspect, if it has one.
    pub(crate) fn get(&self, suspect: Suspect) -> Option<&Record> {
        self.records.get(&suspect)
    }

    /// All records, by suspect.
    pub(crate) fn records(&self) -> &BTreeMap<Suspect, Record> {
        &self.records
    }

    /// Digest of the suspects that all routers must know, and their strikes.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// The suspects of the crashes of a suspect, itself among them.
    pub(crate) fn sharing(&self, suspect: Suspect) -> BTreeSet<Suspect> {
        let record = self.records.get(&suspect);
        let keys = record.into_iter().flat_map(|record| record.crashes.keys());
        let sharing = keys.filter_map(|key| self.crashes.get(key));
        sharing
            .flat_map(|suspects| suspects.all.iter().copied())
            .collect()
    }

    /// The other parts that have the same crashes as a part and explain them as well.
    pub(crate) fn inseparable(&self, suspect: Suspect) -> Vec<Suspect> {
        let Some(record) = self.records.get(&suspect) else {
            return Vec::new();
        };
        let keys: Vec<&CrashKey> = record
            .counted(self.trust(suspect))
            .map(|(key, _)| key)
            .collect();
        let Some(first) = keys.first().and_then(|key| self.crashes.get(*key)) else {
            return Vec::new();
        };
        let is_same = |other: &&Suspect| {
            let other_record = self.records.get(other);
            **other != suspect
                && other_record.is_some_and(|other_record| {
                    let counted = other_record.counted(self.trust(**other));
                    other_record.rank == record.rank
                        && counted.map(|(key, _)| key).eq(keys.iter().copied())
                })
        };
        first.all.iter().filter(is_same).copied().collect()
    }

    /// Time after a success during which crashes do not count against a suspect.
    pub(crate) fn trust(&self, suspect: Suspect) -> Duration {
        match suspect {
            Suspect::Request(_) => self.request_trust,
            Suspect::Part(_) => self.part_trust,
        }
    }

    /// Changes the record of a suspect, and updates what depends on it.
    pub(crate) fn update(&mut self, suspect: Suspect, change: impl FnOnce(&mut Record)) {
        let trust = self.trust(suspect);
        let record = self.records.entry(suspect).or_default();
        let mut touched: BTreeSet<CrashKey> = record.crashes.keys().cloned().collect();
        change(record);
        record.rank = Rank {
            score: record
                .counted(trust)
                .count()
                .saturating_sub(handicap(suspect, record)),
            is_request: matches!(suspect, Suspect::Request(_)),
        };
        let now: BTreeSet<CrashKey> = record.crashes.keys().cloned().collect();
        for key in touched.difference(&now) {
            if let Some(suspects) = self.crashes.get_mut(key) {
                suspects.all.remove(&suspect);
            }
        }
        for key in &now {
            let suspects = self.crashes.entry(key.clone()).or_default();
            suspects.all.insert(suspect);
        }
        touched.extend(now);
        self.update_strikes(suspect, &touched);
    }

    /// Removes the record of a suspect.
    pub(crate) fn remove(&mut self, suspect: Suspect) -> Option<Record> {
        let record = self.records.remove(&suspect)?;
        self.digest = self.digest.wrapping_sub(self.digest_term(suspect, &record));
        let keys: BTreeSet<CrashKey> = record.crashes.keys().cloned().collect();
        for key in &keys {
            if let Some(suspects) = self.crashes.get_mut(key) {
                suspects.all.remove(&suspect);
            }
        }
        self.update_strikes(suspect, &keys);
        Some(record)
    }

    /// Updates the strikes of a suspect and of all others that share one of the given crashes.
    fn update_strikes(&mut self, suspect: Suspect, keys: &BTreeSet<CrashKey>) {
        let mut affected = BTreeSet::from([suspect]);
        for key in keys {
            let Some(suspects) = self.crashes.get(key) else {
                continue;
            };
            if suspects.all.is_empty() {
                self.crashes.remove(key);
                continue;
            }
            let ranks = suspects.all.iter().filter_map(|other| {
                let record = self.records.get(other)?;
                let counts = record.counted(self.trust(*other)).any(|(k, _)| k == key);
                counts.then_some(record.rank)
            });
            let best = ranks.max().unwrap_or_default();
            affected.extend(&suspects.all);
            if let Some(suspects) = self.crashes.get_mut(key) {
                suspects.best = best;
            }
        }
        for other in affected {
            let Some(record) = self.records.get(&other) else {
                continue;
            };
            let before = self.digest_term(other, record);
            let counted = record.counted(self.trust(other));
            let best = |key| self.crashes.get(key).map(|suspects| suspects.best);
            let strikes = counted
                .filter(|(key, _)| best(*key).is_none_or(|best| record.rank >= best))
                .count();
            if let Some(record) = self.records.get_mut(&other) {
                record.strikes = strikes;
            }
            let after = self
                .records
                .get(&other)
                .map_or(0, |record| self.digest_term(other, record));
            self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        }
    }

    /// What a record adds to the digest: zero unless it is in [`sync_set`](Self::sync_set).
    fn digest_term(&self, suspect: Suspect, record: &Record) -> u32 {
        let strikes = record.strikes.min(self.strikes);
        if strikes < SYNC_MIN_CRASHES.min(self.strikes) {
            return 0;
        }
        let strikes = u64::try_from(strikes).unwrap_or(u64::MAX);
        let (kind, id) = match suspect {
            Suspect::Request(fingerprint) => (0, fingerprint),
            Suspect::Part(id) => (1, id),
        };
        let [a, b, c, d, ..] =
            hash_parts(&[&[kind], &id.to_le_bytes(), &strikes.to_le_bytes()]).to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    /// Removes the records with the fewest counted crashes, among equals those that expire first,
    /// until there are fewer than `limit`.
    pub(crate) fn evict(&mut self, limit: usize) {
        while self.records.len() >= limit {
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(_, r)| (r.rank.score, r.expires));
            let Some(suspect) = weakest.map(|(suspect, _)| *suspect) else {
                return;
            };
            self.remove(suspect);
        }
    }
}

/// Crashes by which a suspect needs more than one that never succeeded.
pub(crate) fn handicap(suspect: Suspect, record: &Record) -> usize {
    match suspect {
        Suspect::Part(_) if record.last_success.is_some() => PROVEN_HANDICAP,
        _ => 0,
    }
}
