//! Load reports of all owners.

use crate::{CountScope, HealthState, OwnerLoads, SentLoad};
use sequoiaridge_core::{EndpointId, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Reports that are kept at the same time: twice the number of endpoints at the target size.
const MAX_REPORTS: usize = 16_384;

/// Bytes of a report as sent beyond its name and count: length, state and sequence number, the
/// latter with up to two million changes between two reports of one owner.
const REPORT_BYTES: usize = 5;

/// Bytes of a group as sent beyond the owner's name: base, lengths.
const GROUP_BYTES: usize = 9;

/// Time after which an own endpoint no longer counts as new. Until then its counts are spread: the
/// earlier owner may still admit to it, and each of the two has to add the other's count. It is
/// longer than the settling time (3 s), in which the new owner counts what the engine reports.
const NEW_OWNER: Duration = Duration::from_secs(5);

/// State of an endpoint in load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// The owner has not probed it yet.
    Unknown,
    /// It takes work.
    Up,
    /// It finishes its work and goes away.
    Leaving,
    /// It takes no work.
    Down,
    /// The sender no longer owns it and has nothing outstanding there.
    Released,
}

impl From<HealthState> for EndpointState {
    fn from(state: HealthState) -> EndpointState {
        match state {
            HealthState::Unknown => EndpointState::Unknown,
            HealthState::Up => EndpointState::Up,
            HealthState::Leaving => EndpointState::Leaving,
            HealthState::Down | HealthState::Damped { .. } => EndpointState::Down,
        }
    }
}

/// Load of one endpoint as its owner counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that the owner has outstanding there.
    pub outstanding: u32,
    /// State of the endpoint.
    pub state: EndpointState,
}

/// Load of one endpoint as one owner reported it. While routers disagree, one endpoint can have
/// reports of several owners; their counts are to be added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Router that made the report.
    pub owner: RouterId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that the owner has outstanding there.
    pub outstanding: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Sequence number of the owner; a report with a lower one never replaces this one.
    pub seq: u64,
}

/// Bytes of a number in postcard's encoding, which holds 7 bits per byte.
fn varint(number: u32) -> usize {
    (32 - number.leading_zeros()).div_ceil(7).max(1) as usize
}

type ReportKey = (RouterId, EndpointId);

/// Place of a report in the order of sending: own reports before relayed ones, then those sent less
/// often. Of own reports the one that waits longest is next. Of relayed ones the newest is: a large
/// fleet has more reports than datagrams can carry, and the oldest of them are of least use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    relayed: bool,
    sent: u32,
    order: u64,
}

impl Rank {
    fn new(relayed: bool, sent: u32, arrival: u64) -> Rank {
        let order = if relayed { u64::MAX - arrival } else { arrival };
        Rank {
            relayed,
            sent,
            order,
        }
    }
}

#[derive(Debug)]
struct Entry {
    outstanding: u32,
    state: EndpointState,
    seq: u64,
    /// When the report changed or was refreshed.
    at: Duration,
    /// When the reporting router began to own the endpoint; used for own reports.
    since: Duration,
    /// Place in the order of sending; `None` once it was sent often enough.
    rank: Option<Rank>,
    /// Router that passed the report on; `None` for own reports.
    from: Option<RouterId>,
}

/// The newest report of each owner about each endpoint.
#[derive(Debug)]
pub(crate) struct LoadTable {
    me: RouterId,
    seq: u64,
    entries: BTreeMap<ReportKey, Entry>,
    queue: BTreeMap<Rank, ReportKey>,
    arrivals: u64,
    spread: CountScope,
    /// Own endpoints about which other routers report as well.
    disputed: BTreeSet<EndpointId>,
}

impl LoadTable {
    /// Creates an empty table. `incarnation` is the first sequence number, so that reports of this
    /// process replace those of earlier ones.
    pub(crate) fn new(me: RouterId, incarnation: u64) -> LoadTable {
        LoadTable {
            me,
            seq: incarnation,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            spread: CountScope::All,
            disputed: BTreeSet::new(),
        }
    }

    /// Sets for which endpoints counts are spread one by one.
    pub(crate) fn set_spread(&mut self, spread: CountScope) {
        self.spread = spread;
    }

    /// Whether the reports of all own endpoints are repeated, also those that have not changed.
    pub(crate) fn refreshes_all(&self) -> bool {
        matches!(self.spread, CountScope::All)
    }

    /// Whether the count of an own endpoint is spread. An endpoint that is up needs no report
    /// otherwise, because it counts as up where no report is known.
    fn is_spread(&self, endpoint: &EndpointId, entry: &Entry, now: Duration) -> bool {
        let CountScope::Only(chosen) = &self.spread else {
            return true;
        };
        entry.state != EndpointState::Up
            || chosen.contains(endpoint)
            || self.disputed.contains(endpoint)
            || now < entry.since + NEW_OWNER
    }

    fn find_disputed(&mut self) {
        let reported = self.entries.iter().filter(|((owner, _), entry)| {
            *owner != self.me && entry.state != EndpointState::Released
        });
        let mut key = (self.me.clone(), EndpointId::new());
        let disputed = reported.filter_map(|((_, endpoint), _)| {
            key.1.clone_from(endpoint);
            self.entries.contains_key(&key).then(|| endpoint.clone())
        });
        self.disputed = disputed.collect();
    }

    /// Replaces the own reports.
    pub(crate) fn set(&mut self, loads: &[EndpointLoad], now: Duration) {
        let me = self.me.clone();
        for load in loads {
            self.set_one(&load.endpoint, load.outstanding, load.state, now);
        }
        let current: Vec<&EndpointId> = loads.iter().map(|load| &load.endpoint).collect();
        let released: Vec<EndpointId> = self
            .own()
            .filter(|((_, endpoint), _)| !current.contains(&endpoint))
            .map(|((_, endpoint), _)| endpoint.clone())
            .collect();
        for endpoint in released {
            let key = (me.clone(), endpoint);
            if self.entries[&key].state != EndpointState::Released {
                self.set_one(&key.1, 0, EndpointState::Released, now);
            }
        }
    }

    fn own(&self) -> impl Iterator<Item = (&ReportKey, &Entry)> {
        let from = (self.me.clone(), EndpointId::new());
        self.entries
            .range(from..)
            .take_while(|((owner, _), _)| *owner == self.me)
    }

    fn set_one(&mut self, endpoint: &EndpointId, count: u32, state: EndpointState, now: Duration) {
        let key = (self.me.clone(), endpoint.clone());
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| (entry.outstanding, entry.state) == (count, state)) {
            return;
        }
        if let Some(entry) = self.entries.get(&key)
            && entry.state == state
            && !self.is_spread(endpoint, entry, now)
        {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.outstanding = count;
            }
            return;
        }
        self.seq += 1;
        self.put(key, count, state, self.seq, None, now);
    }

    /// Reports unchanged own loads again, and drops reports that their owners did not refresh.
    pub(crate) fn refresh(&mut self, now: Duration, refresh: Duration, expiry: Duration) {
        self.find_disputed();
        let due: Vec<_> = self
            .own()
            .filter(|(_, entry)| entry.state != EndpointState::Released)
            .filter(|(_, entry)| now.saturating_sub(entry.at) >= refresh)
            .filter(|((_, endpoint), entry)| self.is_spread(endpoint, entry, now))
            .map(|(key, entry)| (key.clone(), entry.outstanding, entry.state))
            .collect();
        for (key, count, state) in due {
            self.seq += 1;
            self.put(key, count, state, self.seq, None, now);
        }
        let (queue, me) = (&mut self.queue, &self.me);
        self.entries.retain(|(owner, _), entry| {
            let held = owner == me && entry.state != EndpointState::Released;
            let keep = held || now.saturating_sub(entry.at) < expiry;
            if let (false, Some(rank)) = (keep, entry.rank) {
                queue.remove(&rank);
            }
            keep
        });
    }

    /// Takes over reports of another router, except those about the own counts.
    pub(crate) fn receive(&mut self, from: &RouterId, groups: &[OwnerLoads], now: Duration) {
        for group in groups {
            if group.owner == self.me {
                continue;
            }
            for load in &group.loads {
                let key = (group.owner.clone(), load.endpoint.clone());
                let seq = group.base.saturating_add(load.seq_offset);
                let known = self.entries.get(&key);
                if known.is_none_or(|entry| entry.seq < seq) {
                    let from = Some(from.clone());
                    self.put(key, load.outstanding, load.state, seq, from, now);
                }
            }
        }
    }

    fn put(
        &mut self,
        key: ReportKey,
        count: u32,
        state: EndpointState,
        seq: u64,
        from: Option<RouterId>,
        now: Duration,
    ) {
        if self.entries.len() >= MAX_REPORTS && !self.entries.contains_key(&key) {
            return;
        }
        self.arrivals += 1;
        let rank = Rank::new(key.0 != self.me, 0, self.arrivals);
        let known = self.entries.get(&key);
        let held = known.filter(|entry| entry.state != EndpointState::Released);
        let entry = Entry {
            outstanding: count,
            state,
            seq,
            at: now,
            since: held.map_or(now, |entry| entry.since),
            rank: Some(rank),
            from,
        };
        let replaced = self.entries.insert(key.clone(), entry);
        if let Some(old) = replaced.and_then(|entry| entry.rank) {
            self.queue.remove(&old);
        }
        self.queue.insert(rank, key);
    }

    /// Whether no report waits to be sent.
    pub(crate) fn is_quiet(&self) -> bool {
        self.queue.is_empty()
    }

    /// Chooses reports of at most `room` bytes to send to `to`, without those that it has already: its
    /// own and those that it passed on. Each report is sent `sends` times after a change; by then it
    /// has reached most of the fleet, and the next refresh reaches the rest.
    pub(crate) fn select(
        &mut self,
        room: usize,
        sends: u32,
        to: Option<&RouterId>,
    ) -> Vec<OwnerLoads> {
        let mut groups: BTreeMap<RouterId, Vec<(EndpointId, u64)>> = BTreeMap::new();
        let mut left = room;
        let mut taken = Vec::new();
        for (rank, (owner, endpoint)) in &self.queue {
            let group = match groups.contains_key(owner) {
                true => 0,
                false => owner.len() + GROUP_BYTES,
            };
            let key = (owner.clone(), endpoint.clone());
            let entry = &self.entries[&key];
            if to.is_some() && (to == Some(owner) || to == entry.from.as_ref()) {
                continue;
            }
            let size = endpoint.len() + REPORT_BYTES + varint(entry.outstanding) + group;
            if size > left {
                break;
            }
            left -= size;
            taken.push(*rank);
            groups.entry(key.0).or_default().push((key.1, entry.seq));
        }
        self.count_sent(taken, sends);
        let groups = groups.into_iter();
        groups
            .map(|(owner, reports)| self.group(owner, reports))
            .collect()
    }

    fn count_sent(&mut self, ranks: Vec<Rank>, sends: u32) {
        for rank in ranks {
            let Some(key) = self.queue.remove(&rank) else {
                continue;
            };
            self.arrivals += 1;
            let next = Rank::new(rank.relayed, rank.sent + 1, self.arrivals);
            let again = (next.sent < sends).then_some(next);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.rank = again;
            }
            if again.is_some() {
                self.queue.insert(next, key);
            }
        }
    }

    fn group(&self, owner: RouterId, reports: Vec<(EndpointId, u64)>) -> OwnerLoads {
        let base = reports.iter().map(|(_, seq)| *seq).min().unwrap_or(0);
        let mut key = (owner, EndpointId::new());
        let loads = reports.into_iter().map(|(endpoint, seq)| {
            key.1 = endpoint.clone();
            let entry = &self.entries[&key];
            SentLoad {
                endpoint,
                outstanding: entry.outstanding,
                state: entry.state,
                seq_offset: seq - base,
            }
        });
        let loads = loads.collect();
        OwnerLoads {
            owner: key.0,
            base,
            loads,
        }
    }

    /// Reports of the owners for which `live` holds, without released endpoints.
    pub(crate) fn reports(&self, live: impl Fn(&RouterId) -> bool) -> Vec<LoadReport> {
        let entries = self.entries.iter();
        let kept = entries.filter(|((owner, _), entry)| {
            entry.state != EndpointState::Released && (*owner == self.me || live(owner))
        });
        kept.map(|((owner, endpoint), entry)| LoadReport {
            owner: owner.clone(),
            endpoint: endpoint.clone(),
            outstanding: entry.outstanding,
            state: entry.state,
            seq: entry.seq,
        })
        .collect()
    }
}
