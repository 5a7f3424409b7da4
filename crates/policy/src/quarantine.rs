//! Requests that crash the endpoints that run them. See section 4.3 of `docs/design.md`.
//!
//! Each router keeps its own table. Tables that were told the same crashes and runs, in any order and any
//! number of times, agree: a crash is identified by what it crashed, and a run counts by its time.

use sequoiaridge_core::{EndpointId, Fingerprint, hash_parts};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Most crashes remembered for one fingerprint. Requests are held long before that; the bound only
/// limits what a peer can make a router store.
const MAX_CRASHES: usize = 16;
/// Origin of the times that are kept, so that what others tell may be older than this process.
const ORIGIN: Duration = Duration::from_secs(48 * 3600);
/// Crashes from which a request is worth telling again to routers that may not know it. One crash is
/// mostly that of a request beside the one that caused it.
pub const SYNC_MIN_CRASHES: usize = 2;

/// A crash of an endpoint while a request ran there; told to all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Boot id that the endpoint had before the crash.
    pub boot: String,
    /// Earlier crashes under the same boot id that were known when the request was sent: an endpoint may
    /// be back under its id before its new boot id is known.
    pub earlier: u32,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// No known crash.
    Clear,
    /// At least one crash: at most one such request runs on an endpoint at a time.
    Suspect,
    /// Too many crashes: the request is refused.
    Held {
        /// Time until the request may be sent again.
        retry_after: Duration,
    },
}

/// A crash with its age, or a run that succeeded with its age, as routers tell them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// What happened.
    pub value: T,
    /// Time since then, in ms.
    pub age: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Crashes by what crashed, with their times.
    crashes: BTreeMap<(EndpointId, String, u32), Duration>,
    /// When a run last succeeded.
    ran: Option<Duration>,
    expires: Duration,
}

impl Record {
    /// Crashes that count: those that no run near them speaks against.
    fn strikes(&self, trust: Duration) -> usize {
        let after = self.ran.map(|ran| ran + trust);
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
/// When the table is full, the entry with the fewest crashes is dropped, of these the one that
/// expires first.
#[derive(Clone, Debug)]
pub struct Quarantine {
    strikes: usize,
    hold: Duration,
    limit: usize,
    trust: Duration,
    records: BTreeMap<Fingerprint, Record>,
    /// Successful runs of requests without a record, within `trust`.
    runs: BTreeMap<Fingerprint, Duration>,
    order: VecDeque<(Fingerprint, Duration)>,
    /// Sum of what [`Quarantine::part`] is for each record.
    digest: u32,
}

impl Quarantine {
    /// Creates an empty table. `strikes` crashes hold a request back for `hold`; at most `limit`
    /// fingerprints are tracked.
    pub fn new(strikes: u32, hold: Duration, limit: usize) -> Quarantine {
        Quarantine {
            strikes: usize::try_from(strikes).unwrap_or(usize::MAX),
            hold: hold.min(ORIGIN),
            limit: limit.max(1),
            trust: Duration::ZERO,
            records: BTreeMap::new(),
            runs: BTreeMap::new(),
            order: VecDeque::new(),
            digest: 0,
        }
    }

    /// Trusts a request for `trust` after it succeeded: crashes in this time do not count against it, since
    /// the same request would have crashed the endpoint on which it succeeded. A request that many callers
    /// send is on many endpoints when several crash at once.
    pub fn with_trust_window(self, trust: Duration) -> Quarantine {
        Quarantine { trust, ..self }
    }

    /// Counts a crash that this router saw, and returns the standing after it.
    ///
    /// Several routers may report one crash; it counts once.
    pub fn strike(&mut self, crash: &Crash, now: Duration) -> QuarantineState {
        self.strike_aged(crash, Duration::ZERO, now)
    }

    /// Counts a crash of the given age that another router tells.
    pub fn strike_aged(&mut self, crash: &Crash, age: Duration, now: Duration) -> QuarantineState {
        let (at, fingerprint) = (time(now, age), crash.fingerprint);
        let expires = at + self.hold;
        if expires <= time(now, Duration::ZERO) {
            return self.state(fingerprint, now);
        }
        if !self.records.contains_key(&fingerprint) {
            self.make_room();
        }
        let ran = self.runs.get(&fingerprint).copied();
        let key = (crash.endpoint.clone(), crash.boot.clone(), crash.earlier);
        self.change(fingerprint, |record| {
            record.ran = record.ran.max(ran);
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

    /// Adds the crashes that another router reports.
    pub fn merge(&mut self, crashes: &[Crash], now: Duration) {
        for crash in crashes {
            self.strike(crash, now);
        }
    }

    /// Notes a run that succeeded the given time ago: the request is not what crashed endpoints before.
    pub fn record_success(&mut self, fingerprint: Fingerprint, age: Duration, now: Duration) {
        let at = time(now, age);
        if self.records.contains_key(&fingerprint) {
            self.change(fingerprint, |record| record.ran = record.ran.max(Some(at)));
            return;
        }
        if self.trust.is_zero() {
            return;
        }
        let known = self.runs.entry(fingerprint).or_insert(at);
        *known = at.max(*known);
        self.order.push_back((fingerprint, at));
        while self.order.len() > self.limit {
            self.forget_run();
        }
    }

    /// Clears the fingerprint after a completed run.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.record_success(fingerprint, Duration::ZERO, now);
    }

    /// Age of the last run that succeeded, if it speaks against a crash that happened now.
    pub fn recent_success(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let record = self.records.get(&fingerprint).and_then(|record| record.ran);
        let ran = record.max(self.runs.get(&fingerprint).copied())?;
        let age = time(now, Duration::ZERO).saturating_sub(ran);
        (age <= self.trust).then_some(age)
    }

    /// How the request is treated now.
    pub fn state(&self, fingerprint: Fingerprint, now: Duration) -> QuarantineState {
        let strikes = self.strikes(fingerprint, now);
        if strikes == 0 {
            return QuarantineState::Clear;
        }
        if strikes < self.strikes {
            return QuarantineState::Suspect;
        }
        let expires = self.records.get(&fingerprint).map(|record| record.expires);
        let now = time(now, Duration::ZERO);
        QuarantineState::Held {
            retry_after: expires.unwrap_or(now).saturating_sub(now),
        }
    }

    /// Crashes that count against the request now.
    pub fn strikes(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| record.expires > time(now, Duration::ZERO));
        record.map_or(0, |record| record.strikes(self.trust))
    }

    /// When the request was last counted for a crash; `None` if it is clear.
    pub fn last_strike(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        if self.strikes(fingerprint, now) == 0 {
            return None;
        }
        let last = self.records.get(&fingerprint)?.crashes.values().max()?;
        Some(last.saturating_sub(ORIGIN))
    }

    /// Fingerprints that are held back now.
    pub fn held(&self, now: Duration) -> BTreeSet<Fingerprint> {
        let all = self.records.keys().copied();
        all.filter(|fingerprint| self.strikes(*fingerprint, now) >= self.strikes)
            .collect()
    }

    /// Crashes that count against a fingerprint, at most as many as hold it back, the latest ones.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Duration) -> Vec<Aged<Crash>> {
        let Some(record) = self.records.get(&fingerprint) else {
            return Vec::new();
        };
        let after = record.ran.map(|ran| ran + self.trust);
        let counts = |at: &Duration| after.is_none_or(|after| *at > after);
        let mut crashes: Vec<_> = record.crashes.iter().filter(|(_, at)| counts(at)).collect();
        crashes.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let aged = |((endpoint, boot, earlier), at): (&(EndpointId, String, u32), &Duration)| {
            let age = time(now, Duration::ZERO).saturating_sub(*at);
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

    /// Fingerprints with crashes that all routers must know, in their order.
    pub fn sync_set(&self, now: Duration) -> BTreeSet<Fingerprint> {
        let all = self.records.keys().copied();
        all.filter(|fingerprint| {
            self.strikes(*fingerprint, now) >= SYNC_MIN_CRASHES.min(self.strikes)
        })
        .collect()
    }

    /// Stands for what [`sync_set`](Self::sync_set) holds: tables that differ there have different digests.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops what no longer counts. Returns the fingerprints that were held back until now.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let now = time(now, Duration::ZERO);
        while let Some((_, at)) = self.order.front()
            && now > *at + self.trust
        {
            self.forget_run();
        }
        let over = self.records.iter().filter(|(_, r)| r.expires <= now);
        let over: Vec<Fingerprint> = over.map(|(fingerprint, _)| *fingerprint).collect();
        let mut ended = Vec::new();
        for fingerprint in over {
            let record = self.remove(fingerprint);
            if record.map_or(0, |record| record.strikes(self.trust)) >= self.strikes {
                ended.push(fingerprint);
            }
        }
        ended
    }

    /// Changes the record of a fingerprint, and the digest with it.
    fn change(&mut self, fingerprint: Fingerprint, change: impl FnOnce(&mut Record)) {
        let before = self.part(fingerprint);
        change(self.records.entry(fingerprint).or_default());
        let after = self.part(fingerprint);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Option<Record> {
        self.digest = self.digest.wrapping_sub(self.part(fingerprint));
        self.records.remove(&fingerprint)
    }

    /// What a record adds to the digest: nothing unless it is grave.
    fn part(&self, fingerprint: Fingerprint) -> u32 {
        let record = self.records.get(&fingerprint);
        let strikes = record.map_or(0, |record| record.strikes(self.trust));
        let strikes = strikes.min(self.strikes);
        if strikes < SYNC_MIN_CRASHES.min(self.strikes) {
            return 0;
        }
        let strikes = u64::try_from(strikes).unwrap_or(u64::MAX);
        let [a, b, c, d, ..] =
            hash_parts(&[&fingerprint.to_le_bytes(), &strikes.to_le_bytes()]).to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    fn forget_run(&mut self) {
        if let Some((fingerprint, at)) = self.order.pop_front()
            && self.runs.get(&fingerprint) == Some(&at)
        {
            self.runs.remove(&fingerprint);
        }
    }

    fn make_room(&mut self) {
        while self.records.len() >= self.limit {
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(_, r)| (r.strikes(self.trust), r.expires));
            let Some(fingerprint) = weakest.map(|(f, _)| *f) else {
                return;
            };
            self.remove(fingerprint);
        }
    }
}

impl<T> Aged<T> {
    /// What happened `age` ago.
    pub fn new(value: T, age: Duration) -> Aged<T> {
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Aged { value, age }
    }

    /// Time since it happened.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age.into())
    }
}

/// A time as it is kept.
fn time(now: Duration, age: Duration) -> Duration {
    (now + ORIGIN).saturating_sub(age)
}
