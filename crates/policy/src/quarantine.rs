//! Quarantine of requests, and of parts of prompts, that crash the endpoints that run them. See
//! section 4.3 of `docs/design.md`.
//!
//! Each router keeps its own table. Tables that received the same crashes and successful runs, in
//! any order and any number of times, agree: a crash is identified by the endpoint process that
//! ended, and a successful run counts by its time.

use crate::attribution::{Attribution, MAX_CRASHES, Record, SYNC_MIN_CRASHES, handicap};
use crate::crash::{Aged, Crash, CrashKey, Suspect};
use crate::successes::{RESOLUTION, Successes};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Offset added to all stored times, so that events that peers report may be older than this
/// process.
const STORED_OFFSET: Duration = Duration::from_secs(48 * 3600);
/// Time for which the success of a part is remembered, and the number of parts.
const PART_MEMORY: Duration = Duration::from_secs(3600);
const MAX_PART_SUCCESSES: usize = 16_384;
/// Time after the last crash of a held part from which one request may probe it. Crashed endpoints
/// are back by then.
const PROBE_DELAY: Duration = Duration::from_secs(5);
/// Time between two crashes of a part from which they have no other common cause, such as the loss of
/// a rack, so that the part needs no probe. It is shorter than [`PROBE_DELAY`], so that a failed probe
/// confirms the part.
const CONFIRM_GAP: Duration = Duration::from_secs(4);
/// Shortest time after which a caller may ask again for a part that is to be probed.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a suspect is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// No known crash.
    Clear,
    /// At least one crash.
    Suspect,
    /// As many crashes as the limit or more: requests are refused.
    Held {
        /// Time until the request may be sent again.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The suspect that is held.
    pub suspect: Suspect,
    /// Crashes that count against it.
    pub strikes: usize,
    /// Time after which the request may be sent again.
    pub retry_after: Duration,
    /// Whether one request of the fleet may probe it.
    pub may_probe: bool,
}

/// Bounded table of crashes by suspect.
///
/// When the table is full, the entry with the fewest counted crashes is evicted, among equals the
/// one that expires first.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Crashes that hold a suspect.
    strikes: usize,
    hold: Duration,
    limit: usize,
    table: Attribution,
    /// Successful runs of suspects without a record.
    request_successes: Successes,
    part_successes: Successes,
    /// Stored time of the last successful run of any prompt.
    last_progress: Option<Duration>,
}

impl Quarantine {
    /// Creates an empty table. `strikes` crashes hold a suspect back for `hold`; at most `limit`
    /// suspects are tracked.
    pub fn new(strikes: u32, hold: Duration, limit: usize) -> Quarantine {
        let limit = limit.max(1);
        let strikes = usize::try_from(strikes).unwrap_or(usize::MAX);
        Quarantine {
            strikes,
            hold: hold.min(STORED_OFFSET),
            limit,
            table: Attribution::new(strikes),
            request_successes: Successes::new(Duration::ZERO, limit),
            part_successes: Successes::new(PART_MEMORY, MAX_PART_SUCCESSES),
            last_progress: None,
        }
    }

    /// Sets the time after a successful run during which crashes do not count against the request:
    /// it would have crashed the endpoint on which it succeeded. A request that many callers send
    /// runs on many endpoints when several of them crash at once.
    pub fn with_trust_window(mut self, trust_window: Duration) -> Quarantine {
        self.table.request_trust = trust_window;
        self.request_successes = Successes::new(trust_window, self.limit);
        self
    }

    /// Sets the same time for parts of prompts. It covers the time in which routers learn of a
    /// success at another one.
    pub fn with_part_trust_window(mut self, trust_window: Duration) -> Quarantine {
        self.table.part_trust = trust_window;
        self
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
        let (at, suspect) = (stored_time(now, age), crash.suspect);
        let expires = at + self.hold;
        if expires <= stored_time(now, Duration::ZERO) {
            return self.state(suspect, now);
        }
        if self.table.get(suspect).is_none() {
            self.table.evict(self.limit);
        }
        let success = self.successes(suspect).get(suspect);
        self.table.update(suspect, |record| {
            record.last_success = record.last_success.max(success);
            let key = crash.key();
            if record.crashes.contains_key(&key) {
                return;
            }
            if record.crashes.len() >= MAX_CRASHES {
                record.forget_oldest();
            }
            record.crashes.insert(key, at);
            record.expires = record.expires.max(expires);
        });
        self.state(suspect, now)
    }

    /// Counts crashes that another router reports as having happened now.
    pub fn merge(&mut self, crashes: &[Crash], now: Duration) {
        for crash in crashes {
            self.strike(crash, now);
        }
    }

    /// Returns whether a crash is in the table.
    pub fn contains(&self, crash: &Crash) -> bool {
        let record = self.table.get(crash.suspect);
        record.is_some_and(|record| record.crashes.contains_key(&crash.key()))
    }

    /// Records that a run succeeded the given time ago. Earlier crashes no longer count against the
    /// suspect.
    pub fn record_success(&mut self, suspect: Suspect, age: Duration, now: Duration) {
        let at = stored_time(now, age);
        if matches!(suspect, Suspect::Part(_)) {
            self.last_progress = self.last_progress.max(Some(at));
        }
        if let Some(record) = self.table.get(suspect) {
            let nothing_counts = record.counted(self.table.trust(suspect)).next().is_none();
            let resolution = if nothing_counts {
                RESOLUTION
            } else {
                Duration::ZERO
            };
            if record
                .last_success
                .is_none_or(|known| at > known + resolution)
            {
                self.table
                    .update(suspect, |record| record.last_success = Some(at));
            }
            return;
        }
        match suspect {
            Suspect::Request(_) => self.request_successes.record(suspect, at),
            Suspect::Part(_) => self.part_successes.record(suspect, at),
        }
    }

    /// Records that a run succeeded now, which clears the suspect.
    pub fn clear(&mut self, suspect: Suspect, now: Duration) {
        self.record_success(suspect, Duration::ZERO, now);
    }

    /// Returns the age of the last successful run if it is within the trust window, so that a crash
    /// that happened now would not count.
    pub fn recent_success(&self, suspect: Suspect, now: Duration) -> Option<Duration> {
        let age = self.last_success(suspect, now)?;
        (age <= self.table.trust(suspect)).then_some(age)
    }

    /// Returns the age of the last successful run if a crash of the given age does not count because
    /// of it.
    pub fn clearing_success(
        &self,
        suspect: Suspect,
        age: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let success = self.last_success(suspect, now)?;
        (age + self.table.trust(suspect) >= success).then_some(success)
    }

    /// Returns the age of the last successful run that is known.
    fn last_success(&self, suspect: Suspect, now: Duration) -> Option<Duration> {
        let record = self.table.get(suspect);
        let record = record.and_then(|record| record.last_success);
        let success = record.max(self.successes(suspect).get(suspect))?;
        Some(stored_time(now, Duration::ZERO).saturating_sub(success))
    }

    /// Returns the successes of the parts that crashes of the last `window` are attributed to, at
    /// most `count`, those with the latest crashes first: other routers may not know of them.
    pub fn part_successes(
        &self,
        window: Duration,
        count: usize,
        now: Duration,
    ) -> Vec<Aged<Suspect>> {
        let stored_now = stored_time(now, Duration::ZERO);
        let parts = self.table.records().range(Suspect::Part(0)..);
        let struck = parts.filter_map(|(suspect, record)| {
            let last = *record.crashes.values().max()?;
            let success = record.last_success?;
            (last + window > stored_now).then_some((Reverse(last), *suspect, success))
        });
        let mut struck: Vec<_> = struck.collect();
        struck.sort();
        let struck = struck.into_iter().take(count);
        struck
            .map(|(_, suspect, success)| Aged::new(suspect, stored_now.saturating_sub(success)))
            .collect()
    }

    /// Returns how a suspect is treated now, regardless of others.
    pub fn state(&self, suspect: Suspect, now: Duration) -> QuarantineState {
        let Some(record) = self.table.get(suspect) else {
            return QuarantineState::Clear;
        };
        let strikes = self.strikes(suspect, now);
        if strikes == 0 {
            return QuarantineState::Clear;
        }
        if strikes < self.required(suspect, record) || !self.others_progress(suspect, record) {
            return QuarantineState::Suspect;
        }
        let now = stored_time(now, Duration::ZERO);
        QuarantineState::Held {
            retry_after: record.expires.saturating_sub(now),
        }
    }

    /// Returns the suspects of the crashes of a suspect, itself among them.
    pub fn sharing(&self, suspect: Suspect) -> BTreeSet<Suspect> {
        self.table.sharing(suspect)
    }

    /// Returns whether a suspect is held, regardless of others.
    pub fn is_held(&self, suspect: Suspect, now: Duration) -> bool {
        matches!(self.state(suspect, now), QuarantineState::Held { .. })
    }

    /// Returns why a request with these suspects is refused, if it is.
    ///
    /// Suspects that all their crashes have in common cannot be told apart. A request is refused if
    /// it has all of them; one that has only some shows which of them is sound.
    pub fn block(&self, suspects: &[Suspect], now: Duration) -> Option<Block> {
        suspects.iter().find_map(|suspect| {
            let QuarantineState::Held { retry_after } = self.state(*suspect, now) else {
                return None;
            };
            let inseparable = self.table.inseparable(*suspect);
            let has_all = inseparable.iter().all(|other| suspects.contains(other));
            if !has_all {
                return None;
            }
            let until_probe = self.until_probe(*suspect, now);
            let retry_after = until_probe.map_or(retry_after, |time| time.max(MIN_RETRY_AFTER));
            Some(Block {
                suspect: *suspect,
                strikes: self.strikes(*suspect, now),
                retry_after,
                may_probe: until_probe.is_some_and(|time| time.is_zero()),
            })
        })
    }

    /// Returns whether a crash counts against one of these parts, so that another attempt after a
    /// lost one would probably crash another endpoint.
    pub fn suspects_part(&self, suspects: &[Suspect], now: Duration) -> bool {
        let parts = suspects.iter().filter(|s| matches!(s, Suspect::Part(_)));
        parts
            .filter(|part| self.strikes(**part, now) > 0)
            .any(|part| {
                let record = self.table.get(*part);
                record.is_some_and(|record| record.last_success.is_none())
            })
    }

    /// Returns the number of crashes that count against the suspect now and that no other suspect
    /// explains better.
    pub fn strikes(&self, suspect: Suspect, now: Duration) -> usize {
        let record = self.table.get(suspect);
        let record = record.filter(|record| record.expires > stored_time(now, Duration::ZERO));
        record.map_or(0, |record| record.strikes)
    }

    /// Returns the time of the latest recorded crash of the suspect; `None` if no crash counts.
    pub fn last_strike(&self, suspect: Suspect, now: Duration) -> Option<Duration> {
        if self.strikes(suspect, now) == 0 {
            return None;
        }
        let last = self.table.get(suspect)?.crashes.values().max()?;
        Some(last.saturating_sub(STORED_OFFSET))
    }

    /// Returns the suspects that are held now, and whether more than one event shows it.
    pub fn held(&self, now: Duration) -> BTreeMap<Suspect, bool> {
        let all = self.table.records().iter();
        all.filter(|(suspect, _)| self.is_held(**suspect, now))
            .map(|(suspect, record)| (*suspect, self.is_confirmed(*suspect, record)))
            .collect()
    }

    /// Returns the crashes that count against a suspect, the latest first. They are all needed for a
    /// table to hold it: others may explain some of them as well.
    pub fn crashes(&self, suspect: Suspect, now: Duration) -> Vec<Aged<Crash>> {
        let Some(record) = self.table.get(suspect) else {
            return Vec::new();
        };
        let mut crashes: Vec<_> = record.counted(self.table.trust(suspect)).collect();
        crashes.sort_by_key(|(_, at)| Reverse(*at));
        let aged = |((endpoint, boot, earlier), at): (&CrashKey, Duration)| {
            let age = stored_time(now, Duration::ZERO).saturating_sub(at);
            let value = Crash {
                suspect,
                endpoint: endpoint.clone(),
                boot: boot.clone(),
                earlier: *earlier,
            };
            Aged::new(value, age)
        };
        crashes.into_iter().map(aged).collect()
    }

    /// Returns the suspects whose crashes all routers must know, in ascending order.
    pub fn sync_set(&self, now: Duration) -> BTreeSet<Suspect> {
        let all = self.table.records().keys().copied();
        all.filter(|suspect| self.strikes(*suspect, now) >= SYNC_MIN_CRASHES.min(self.strikes))
            .collect()
    }

    /// Returns a digest of the suspects in [`sync_set`](Self::sync_set) and their strikes. Tables
    /// that differ there have, with high probability, different digests.
    pub fn digest(&self) -> u32 {
        self.table.digest()
    }

    /// Returns the number of suspects in the table.
    pub fn len(&self) -> usize {
        self.table.records().len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.table.records().is_empty()
    }

    /// Drops expired records and runs. Returns the suspects that were held until now.
    pub fn expire(&mut self, now: Duration) -> Vec<Suspect> {
        let now = stored_time(now, Duration::ZERO);
        self.request_successes.expire(now);
        self.part_successes.expire(now);
        let expired = self
            .table
            .records()
            .iter()
            .filter(|(_, r)| r.expires <= now);
        let expired: Vec<Suspect> = expired.map(|(suspect, _)| *suspect).collect();
        let mut ended = Vec::new();
        for suspect in expired {
            let record = self.table.remove(suspect);
            if record.is_some_and(|record| record.strikes >= self.required(suspect, &record)) {
                ended.push(suspect);
            }
        }
        ended
    }

    /// Number of crashes that hold a suspect.
    fn required(&self, suspect: Suspect, record: &Record) -> usize {
        self.strikes + handicap(suspect, record)
    }

    /// Whether other prompts succeeded since the crashes began, if the suspect ever did: a part that
    /// is in nearly every request has no success while all endpoints are lost.
    fn others_progress(&self, suspect: Suspect, record: &Record) -> bool {
        if handicap(suspect, record) == 0 {
            return true;
        }
        let first = record
            .counted(self.table.trust(suspect))
            .map(|(_, at)| at)
            .min();
        self.last_progress
            .is_some_and(|progress| first.is_some_and(|first| progress > first))
    }

    /// Whether crashes of a held suspect are so far apart that they have no other common cause.
    /// Requests need no probe: what they hold back is only themselves.
    fn is_confirmed(&self, suspect: Suspect, record: &Record) -> bool {
        if matches!(suspect, Suspect::Request(_)) {
            return true;
        }
        let crashes = record.counted(self.table.trust(suspect));
        let mut times: Vec<Duration> = crashes.map(|(_, at)| at).collect();
        times.sort();
        times
            .windows(2)
            .any(|pair| pair[1] >= pair[0] + CONFIRM_GAP)
    }

    /// Time until a request may probe a suspect; `None` if none may.
    fn until_probe(&self, suspect: Suspect, now: Duration) -> Option<Duration> {
        let record = self.table.get(suspect)?;
        let last = *record.crashes.values().max()?;
        let now = stored_time(now, Duration::ZERO);
        let until = (last + PROBE_DELAY).saturating_sub(now);
        (!self.is_confirmed(suspect, record)).then_some(until)
    }

    fn successes(&self, suspect: Suspect) -> &Successes {
        match suspect {
            Suspect::Request(_) => &self.request_successes,
            Suspect::Part(_) => &self.part_successes,
        }
    }
}

/// Converts the time `age` before `now` to the form in which times are stored.
fn stored_time(now: Duration, age: Duration) -> Duration {
    (now + STORED_OFFSET).saturating_sub(age)
}
