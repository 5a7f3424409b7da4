//! Quarantine of requests that crash the endpoints that run them. See section 4.3 of
//! `docs/design.md`.
//!
//! Each router keeps its own table. Tables that received the same crashes and successful runs, in
//! any order and any number of times, agree: a crash is identified by the endpoint process that
//! ended, and a successful run counts by its time.

use sequoiaridge_core::{EndpointId, Fingerprint, hash_parts};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Most crashes stored for one fingerprint. Requests are held long before that; the bound only
/// limits what a peer can make a router store.
const MAX_CRASHES: usize = 16;
/// Offset added to all stored times, so that events that peers report may be older than this
/// process.
const STORED_OFFSET: Duration = Duration::from_secs(48 * 3600);
/// Number of crashes from which a request's record is synchronized with routers that may lack it.
/// With a single crash, the request mostly just ran beside the one that caused it.
pub const SYNC_MIN_CRASHES: usize = 2;

/// A crash of an endpoint while a request ran there; sent to all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Boot id that the endpoint had before the crash.
    pub boot: String,
    /// Number of earlier crashes under the same boot id that were known when the request was sent:
    /// an endpoint may be back under its id before its new boot id is known.
    pub earlier: u32,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// No known crash.
    Clear,
    /// At least one crash: at most one such request runs on an endpoint at a time.
    Suspect,
    /// As many crashes as the limit or more: the request is refused.
    Held {
        /// Time until the request may be sent again.
        retry_after: Duration,
    },
}

/// An event with its age, in the form in which routers send it: a crash, a successful run or the
/// departure of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// The event.
    pub value: T,
    /// Time since the event, in ms.
    pub age: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Stored time of each crash, by endpoint, boot id and number of earlier crashes.
    crashes: BTreeMap<(EndpointId, String, u32), Duration>,
    /// Stored time of the last successful run.
    last_success: Option<Duration>,
    expires: Duration,
}

impl Record {
    /// Number of crashes that count: those after the trust window of the last successful run.
    fn strikes(&self, trust_window: Duration) -> usize {
        let after = self.last_success.map(|success| success + trust_window);
        let counts = |at: &&Duration| after.is_none_or(|after| **at > after);
        self.crashes.values().filter(counts).count()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, at)| **at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.crashes.remove(&key);
        }
    }
}

/// Bounded table of crashes by fingerprint.
///
/// When the table is full, the entry with the fewest counted crashes is evicted, among equals the
/// one that expires first.
#[derive(Clone, Debug)]
pub struct Quarantine {
    strikes: usize,
    hold: Duration,
    limit: usize,
    trust_window: Duration,
    records: BTreeMap<Fingerprint, Record>,
    /// Stored times of the successful runs, within `trust_window`, of requests without a record.
    successes: BTreeMap<Fingerprint, Duration>,
    success_order: VecDeque<(Fingerprint, Duration)>,
    /// Wrapping sum of [`Quarantine::digest_term`] over all records.
    digest: u32,
}

impl Quarantine {
    /// Creates an empty table. `strikes` crashes hold a request back for `hold`; at most `limit`
    /// fingerprints are tracked.
    pub fn new(strikes: u32, hold: Duration, limit: usize) -> Quarantine {
        Quarantine {
            strikes: usize::try_from(strikes).unwrap_or(usize::MAX),
            hold: hold.min(STORED_OFFSET),
            limit: limit.max(1),
            trust_window: Duration::ZERO,
            records: BTreeMap::new(),
            successes: BTreeMap::new(),
            success_order: VecDeque::new(),
            digest: 0,
        }
    }

    /// Sets the time after a successful run during which crashes do not count against the request:
    /// it would have crashed the endpoint on which it succeeded. A request that many callers send
    /// runs on many endpoints when several of them crash at once.
    pub fn with_trust_window(self, trust_window: Duration) -> Quarantine {
        Quarantine {
            trust_window,
            ..self
        }
    }

    /// Counts a crash that happened now, and returns the resulting state.
    ///
    /// Several routers may report one crash; it counts once.
    pub fn strike(&mut self, crash: &Crash, now: Duration) -> QuarantineState {
        self.strike_aged(crash, Duration::ZERO, now)
    }

    /// Counts a crash of the given age, as other routers report it, and returns the resulting
    /// state.
    pub fn strike_aged(&mut self, crash: &Crash, age: Duration, now: Duration) -> QuarantineState {
        let (at, fingerprint) = (stored_time(now, age), crash.fingerprint);
        let expires = at + self.hold;
        if expires <= stored_time(now, Duration::ZERO) {
            return self.state(fingerprint, now);
        }
        if !self.records.contains_key(&fingerprint) {
            self.evict();
        }
        let success = self.successes.get(&fingerprint).copied();
        let key = (crash.endpoint.clone(), crash.boot.clone(), crash.earlier);
        self.update_record(fingerprint, |record| {
            record.last_success = record.last_success.max(success);
            if record.crashes.contains_key(&key) {
                return;
            }
            if record.crashes.len() >= MAX_CRASHES {
                record.forget_oldest();
            }
            record.crashes.insert(key, at);
            record.expires = record.expires.max(expires);
        });
        self.state(fingerprint, now)
    }

    /// Counts crashes that another router reports as having happened now.
    pub fn merge(&mut self, crashes: &[Crash], now: Duration) {
        for crash in crashes {
            self.strike(crash, now);
        }
    }

    /// Records that a run of the request succeeded the given time ago. Earlier crashes no longer
    /// count against it.
    pub fn record_success(&mut self, fingerprint: Fingerprint, age: Duration, now: Duration) {
        let at = stored_time(now, age);
        if self.records.contains_key(&fingerprint) {
            self.update_record(fingerprint, |record| {
                record.last_success = record.last_success.max(Some(at))
            });
            return;
        }
        if self.trust_window.is_zero() {
            return;
        }
        let known = self.successes.entry(fingerprint).or_insert(at);
        *known = at.max(*known);
        self.success_order.push_back((fingerprint, at));
        while self.success_order.len() > self.limit {
            self.forget_success();
        }
    }

    /// Records that a run of the request succeeded now, which clears its fingerprint.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.record_success(fingerprint, Duration::ZERO, now);
    }

    /// Returns the age of the last successful run if it is within the trust window, so that a crash
    /// that happened now would not count.
    pub fn recent_success(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let record = self
            .records
            .get(&fingerprint)
            .and_then(|record| record.last_success);
        let success = record.max(self.successes.get(&fingerprint).copied())?;
        let age = stored_time(now, Duration::ZERO).saturating_sub(success);
        (age <= self.trust_window).then_some(age)
    }

    /// Returns how the request is treated now.
    pub fn state(&self, fingerprint: Fingerprint, now: Duration) -> QuarantineState {
        let strikes = self.strikes(fingerprint, now);
        if strikes == 0 {
            return QuarantineState::Clear;
        }
        if strikes < self.strikes {
            return QuarantineState::Suspect;
        }
        let expires = self.records.get(&fingerprint).map(|record| record.expires);
        let now = stored_time(now, Duration::ZERO);
        QuarantineState::Held {
            retry_after: expires.unwrap_or(now).saturating_sub(now),
        }
    }

    /// Returns the number of crashes that count against the request now.
    pub fn strikes(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| record.expires > stored_time(now, Duration::ZERO));
        record.map_or(0, |record| record.strikes(self.trust_window))
    }

    /// Returns the time of the latest recorded crash of the request; `None` if no crash counts.
    pub fn last_strike(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        if self.strikes(fingerprint, now) == 0 {
            return None;
        }
        let last = self.records.get(&fingerprint)?.crashes.values().max()?;
        Some(last.saturating_sub(STORED_OFFSET))
    }

    /// Returns the fingerprints that are held now.
    pub fn held(&self, now: Duration) -> BTreeSet<Fingerprint> {
        let all = self.records.keys().copied();
        all.filter(|fingerprint| self.strikes(*fingerprint, now) >= self.strikes)
            .collect()
    }

    /// Returns the latest crashes that count against a fingerprint, at most as many as suffice to
    /// hold it.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Duration) -> Vec<Aged<Crash>> {
        let Some(record) = self.records.get(&fingerprint) else {
            return Vec::new();
        };
        let after = record
            .last_success
            .map(|success| success + self.trust_window);
        let counts = |at: &Duration| after.is_none_or(|after| *at > after);
        let mut crashes: Vec<_> = record.crashes.iter().filter(|(_, at)| counts(at)).collect();
        crashes.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let aged = |((endpoint, boot, earlier), at): (&(EndpointId, String, u32), &Duration)| {
            let age = stored_time(now, Duration::ZERO).saturating_sub(*at);
            let value = Crash {
                fingerprint,
                endpoint: endpoint.clone(),
                boot: boot.clone(),
                earlier: *earlier,
            };
            Aged::new(value, age)
        };
        crashes.into_iter().take(self.strikes).map(aged).collect()
    }

    /// Returns the fingerprints whose crashes all routers must know, in ascending order.
    pub fn sync_set(&self, now: Duration) -> BTreeSet<Fingerprint> {
        let all = self.records.keys().copied();
        all.filter(|fingerprint| {
            self.strikes(*fingerprint, now) >= SYNC_MIN_CRASHES.min(self.strikes)
        })
        .collect()
    }

    /// Returns a digest of the fingerprints in [`sync_set`](Self::sync_set) and their strikes.
    /// Tables that differ there have, with high probability, different digests.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops expired records and runs. Returns the fingerprints that were held until now.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let now = stored_time(now, Duration::ZERO);
        while let Some((_, at)) = self.success_order.front()
            && now > *at + self.trust_window
        {
            self.forget_success();
        }
        let expired = self.records.iter().filter(|(_, r)| r.expires <= now);
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        let mut ended = Vec::new();
        for fingerprint in expired {
            let record = self.remove(fingerprint);
            if record.map_or(0, |record| record.strikes(self.trust_window)) >= self.strikes {
                ended.push(fingerprint);
            }
        }
        ended
    }

    /// Changes the record of a fingerprint and updates the digest.
    fn update_record(&mut self, fingerprint: Fingerprint, change: impl FnOnce(&mut Record)) {
        let before = self.digest_term(fingerprint);
        change(self.records.entry(fingerprint).or_default());
        let after = self.digest_term(fingerprint);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Option<Record> {
        self.digest = self.digest.wrapping_sub(self.digest_term(fingerprint));
        self.records.remove(&fingerprint)
    }

    /// What a record adds to the digest: zero unless it is in [`sync_set`](Self::sync_set).
    fn digest_term(&self, fingerprint: Fingerprint) -> u32 {
        let record = self.records.get(&fingerprint);
        let strikes = record.map_or(0, |record| record.strikes(self.trust_window));
        let strikes = strikes.min(self.strikes);
        if strikes < SYNC_MIN_CRASHES.min(self.strikes) {
            return 0;
        }
        let strikes = u64::try_from(strikes).unwrap_or(u64::MAX);
        let [a, b, c, d, ..] =
            hash_parts(&[&fingerprint.to_le_bytes(), &strikes.to_le_bytes()]).to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    fn forget_success(&mut self) {
        if let Some((fingerprint, at)) = self.success_order.pop_front()
            && self.successes.get(&fingerprint) == Some(&at)
        {
            self.successes.remove(&fingerprint);
        }
    }

    fn evict(&mut self) {
        while self.records.len() >= self.limit {
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(_, r)| (r.strikes(self.trust_window), r.expires));
            let Some(fingerprint) = weakest.map(|(f, _)| *f) else {
                return;
            };
            self.remove(fingerprint);
        }
    }
}

impl<T> Aged<T> {
    /// Creates an event that happened `age` ago.
    pub fn new(value: T, age: Duration) -> Aged<T> {
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Aged { value, age }
    }

    /// Returns the time since the event.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age.into())
    }
}

/// Converts the time `age` before `now` to the form in which times are stored.
fn stored_time(now: Duration, age: Duration) -> Duration {
    (now + STORED_OFFSET).saturating_sub(age)
}
