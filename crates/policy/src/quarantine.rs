//! Requests that crash the endpoints that run them. See section 4.3 of `docs/design.md`.

use sequoiaridge_core::{EndpointId, Fingerprint};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most crashes remembered for one fingerprint. Requests are held long before that; the bound only
/// limits what a peer can make a router store.
const MAX_CRASHES: usize = 16;

/// A crash of an endpoint while a request ran there; broadcast to all routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Boot id that the endpoint had before the crash.
    pub boot: String,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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

#[derive(Clone, Debug)]
struct Record {
    strikes: u32,
    expires: Duration,
    // Kept after the fingerprint was cleared, so that a late copy of a crash adds no strike.
    crashes: BTreeSet<(EndpointId, String)>,
}

/// Bounded table of strikes by fingerprint.
///
/// When the table is full, the entry with the fewest strikes is dropped, of these the one that
/// expires first.
#[derive(Clone, Debug)]
pub struct Quarantine {
    strikes: u32,
    hold: Duration,
    limit: usize,
    records: BTreeMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Creates an empty table. `strikes` crashes hold a request back for `hold`; at most `limit`
    /// fingerprints are tracked.
    pub fn new(strikes: u32, hold: Duration, limit: usize) -> Quarantine {
        Quarantine {
            strikes,
            hold,
            limit,
            records: BTreeMap::new(),
        }
    }

    /// Counts a crash, seen by this router or told by another, and returns the standing after it.
    ///
    /// Several routers may report one crash; it counts once for each boot of the endpoint.
    pub fn strike(&mut self, crash: &Crash, now: Duration) -> Standing {
        self.prune(now);
        let expires = now + self.hold;
        if !self.records.contains_key(&crash.fingerprint) {
            self.make_room();
        }
        let record = self.records.entry(crash.fingerprint).or_insert(Record {
            strikes: 0,
            expires,
            crashes: BTreeSet::new(),
        });
        let key = (crash.endpoint.clone(), crash.boot.clone());
        if record.crashes.len() < MAX_CRASHES && record.crashes.insert(key) {
            record.strikes += 1;
            record.expires = expires;
        }
        self.state(crash.fingerprint, now)
    }

    /// Adds the crashes that another router reports.
    pub fn merge(&mut self, crashes: &[Crash], now: Duration) {
        for crash in crashes {
            self.strike(crash, now);
        }
    }

    /// How the request is treated now.
    pub fn state(&self, fingerprint: Fingerprint, now: Duration) -> Standing {
        match self.records.get(&fingerprint) {
            Some(record) if record.expires > now && record.strikes > 0 => {
                if record.strikes < self.strikes {
                    return Standing::Suspect;
                }
                let retry_after = record.expires - now;
                Standing::Held { retry_after }
            }
            _ => Standing::Clear,
        }
    }

    /// Crashes that count against the request now.
    pub fn strikes(&self, fingerprint: Fingerprint, now: Duration) -> u32 {
        let record = self.records.get(&fingerprint);
        record
            .filter(|record| record.expires > now)
            .map_or(0, |record| record.strikes)
    }

    /// When the request was last counted for a crash; `None` if it is clear.
    pub fn last_strike(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let counts = record.expires > now && record.strikes > 0;
        counts.then(|| record.expires.saturating_sub(self.hold))
    }

    /// Clears the fingerprint after a completed run.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.strikes = 0;
        }
    }

    /// Number of fingerprints that are held back now.
    pub fn held(&self, now: Duration) -> usize {
        let held = |record: &&Record| record.expires > now && record.strikes >= self.strikes;
        self.records.values().filter(held).count()
    }

    /// Number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn prune(&mut self, now: Duration) {
        self.records.retain(|_, record| record.expires > now);
    }

    fn make_room(&mut self) {
        while self.records.len() >= self.limit.max(1) {
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(_, r)| (r.strikes, r.expires));
            let Some(fingerprint) = weakest.map(|(f, _)| *f) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}
