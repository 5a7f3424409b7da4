//! Table of the load reports of all owners.

use crate::{CountScope, HealthState, OwnerLoads, SentLoad};
use sequoiaridge_core::{EndpointId, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of stored reports: twice the number of endpoints at the target size.
const MAX_REPORTS: usize = 16_384;

/// Encoded bytes of a report besides its name and count: length, state and sequence number offset,
/// the latter for up to two million changes between two reports of one owner.
const REPORT_BYTES: usize = 5;

/// Encoded bytes of one owner's reports besides its name and the reports: base and lengths.
const GROUP_BYTES: usize = 9;

/// Time after which an owned endpoint no longer counts as new. Until then its counts are sent: the
/// earlier owner may still admit to it, and each of the two must add the other's count. It is
/// longer than the settling time (3 s), in which the new owner counts what the engine reports.
const NEW_OWNER_PERIOD: Duration = Duration::from_secs(5);

/// State of an endpoint in load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// The owner has not probed it yet.
    Unknown,
    /// It takes work.
    Up,
    /// It finishes its work and then ends.
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

/// Load of one endpoint as this router, its owner, counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that the owner has outstanding there.
    pub outstanding: u32,
    /// State of the endpoint.
    pub state: EndpointState,
}

/// Load of one endpoint as one owner reported it. While routers disagree about the ownership, an
/// endpoint can have reports of several owners, whose counts must be added.
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
    /// Sequence number at the owner; a report with a lower one never replaces this one.
    pub seq: u64,
}

/// Bytes of a number in postcard's variable-length encoding, which holds 7 bits per byte.
fn varint_len(number: u32) -> usize {
    (32 - number.leading_zeros()).div_ceil(7).max(1) as usize
}

type ReportKey = (RouterId, EndpointId);

/// Position of a report in the send queue: own reports before relayed ones, then those sent less
/// often. Among own reports, the one that has waited longest is next. Among relayed ones, the
/// newest is next: a large fleet has more reports than datagrams can carry, and the oldest are the
/// least useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SendPriority {
    relayed: bool,
    sent: u32,
    position: u64,
}

impl SendPriority {
    fn new(relayed: bool, sent: u32, arrival: u64) -> SendPriority {
        let position = if relayed { u64::MAX - arrival } else { arrival };
        SendPriority {
            relayed,
            sent,
            position,
        }
    }
}

#[derive(Debug)]
struct Entry {
    outstanding: u32,
    state: EndpointState,
    seq: u64,
    /// When the report changed or was refreshed.
    updated_at: Duration,
    /// When the reporting router became the owner of the endpoint; used for own reports.
    owned_since: Duration,
    /// Position in the send queue; `None` once the report was sent often enough.
    priority: Option<SendPriority>,
    /// Router that sent or relayed the report; `None` for own reports.
    relayed_by: Option<RouterId>,
}

/// The newest report of each owner about each endpoint.
#[derive(Debug)]
pub(crate) struct LoadTable {
    local: RouterId,
    seq: u64,
    entries: BTreeMap<ReportKey, Entry>,
    queue: BTreeMap<SendPriority, ReportKey>,
    arrivals: u64,
    scope: CountScope,
    /// Owned endpoints about which other routers report as well.
    disputed: BTreeSet<EndpointId>,
}

impl LoadTable {
    /// Creates an empty table. `incarnation` is the first sequence number, so that reports of this
    /// process replace those of earlier ones.
    pub(crate) fn new(local: RouterId, incarnation: u64) -> LoadTable {
        LoadTable {
            local,
            seq: incarnation,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            scope: CountScope::All,
            disputed: BTreeSet::new(),
        }
    }

    /// Sets the endpoints whose single counts are sent.
    pub(crate) fn set_scope(&mut self, scope: CountScope) {
        self.scope = scope;
    }

    /// Whether the reports of all owned endpoints are repeated, including unchanged ones.
    pub(crate) fn refreshes_all(&self) -> bool {
        matches!(self.scope, CountScope::All)
    }

    /// Whether the count of an owned endpoint is sent. Other endpoints that are up need no report,
    /// because an endpoint without a report counts as up.
    fn is_gossiped(&self, endpoint: &EndpointId, entry: &Entry, now: Duration) -> bool {
        let CountScope::Only(chosen) = &self.scope else {
            return true;
        };
        entry.state != EndpointState::Up
            || chosen.contains(endpoint)
            || self.disputed.contains(endpoint)
            || now < entry.owned_since + NEW_OWNER_PERIOD
    }

    fn find_disputed(&mut self) {
        let reported = self.entries.iter().filter(|((owner, _), entry)| {
            *owner != self.local && entry.state != EndpointState::Released
        });
        let mut key = (self.local.clone(), EndpointId::new());
        let disputed = reported.filter_map(|((_, endpoint), _)| {
            key.1.clone_from(endpoint);
            self.entries.contains_key(&key).then(|| endpoint.clone())
        });
        self.disputed = disputed.collect();
    }

    /// Replaces the reports of this router.
    pub(crate) fn set(&mut self, loads: &[EndpointLoad], now: Duration) {
        let local = self.local.clone();
        for load in loads {
            self.set_one(&load.endpoint, load.outstanding, load.state, now);
        }
        let current: Vec<&EndpointId> = loads.iter().map(|load| &load.endpoint).collect();
        let released: Vec<EndpointId> = self
            .own_reports()
            .filter(|((_, endpoint), _)| !current.contains(&endpoint))
            .map(|((_, endpoint), _)| endpoint.clone())
            .collect();
        for endpoint in released {
            let key = (local.clone(), endpoint);
            if self.entries[&key].state != EndpointState::Released {
                self.set_one(&key.1, 0, EndpointState::Released, now);
            }
        }
    }

    fn own_reports(&self) -> impl Iterator<Item = (&ReportKey, &Entry)> {
        let from = (self.local.clone(), EndpointId::new());
        self.entries
            .range(from..)
            .take_while(|((owner, _), _)| *owner == self.local)
    }

    fn set_one(&mut self, endpoint: &EndpointId, count: u32, state: EndpointState, now: Duration) {
        let key = (self.local.clone(), endpoint.clone());
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| (entry.outstanding, entry.state) == (count, state)) {
            return;
        }
        if let Some(entry) = self.entries.get(&key)
            && entry.state == state
            && !self.is_gossiped(endpoint, entry, now)
        {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.outstanding = count;
            }
            return;
        }
        self.seq += 1;
        self.insert(key, count, state, self.seq, None, now);
    }

    /// Repeats unchanged own reports, and drops reports that their owners did not refresh.
    pub(crate) fn refresh(&mut self, now: Duration, refresh: Duration, expiry: Duration) {
        self.find_disputed();
        let due: Vec<_> = self
            .own_reports()
            .filter(|(_, entry)| entry.state != EndpointState::Released)
            .filter(|(_, entry)| now.saturating_sub(entry.updated_at) >= refresh)
            .filter(|((_, endpoint), entry)| self.is_gossiped(endpoint, entry, now))
            .map(|(key, entry)| (key.clone(), entry.outstanding, entry.state))
            .collect();
        for (key, count, state) in due {
            self.seq += 1;
            self.insert(key, count, state, self.seq, None, now);
        }
        let (queue, local) = (&mut self.queue, &self.local);
        self.entries.retain(|(owner, _), entry| {
            let owned = owner == local && entry.state != EndpointState::Released;
            let keep = owned || now.saturating_sub(entry.updated_at) < expiry;
            if let (false, Some(priority)) = (keep, entry.priority) {
                queue.remove(&priority);
            }
            keep
        });
    }

    /// Merges reports that another router sent, except those that this router made.
    pub(crate) fn receive(&mut self, from: &RouterId, groups: &[OwnerLoads], now: Duration) {
        for group in groups {
            if group.owner == self.local {
                continue;
            }
            for load in &group.loads {
                let key = (group.owner.clone(), load.endpoint.clone());
                let seq = group.base.saturating_add(load.seq_offset);
                let known = self.entries.get(&key);
                if known.is_none_or(|entry| entry.seq < seq) {
                    let from = Some(from.clone());
                    self.insert(key, load.outstanding, load.state, seq, from, now);
                }
            }
        }
    }

    fn insert(
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
        let priority = SendPriority::new(key.0 != self.local, 0, self.arrivals);
        let known = self.entries.get(&key);
        let known_owner = known.filter(|entry| entry.state != EndpointState::Released);
        let entry = Entry {
            outstanding: count,
            state,
            seq,
            updated_at: now,
            owned_since: known_owner.map_or(now, |entry| entry.owned_since),
            priority: Some(priority),
            relayed_by: from,
        };
        let replaced = self.entries.insert(key.clone(), entry);
        if let Some(old) = replaced.and_then(|entry| entry.priority) {
            self.queue.remove(&old);
        }
        self.queue.insert(priority, key);
    }

    /// Whether no report waits to be sent.
    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Selects reports of at most `budget` bytes to send to `to`, without those that it already
    /// has: its own and those that it relayed. Each report is sent `sends` times after a change; by
    /// then it has reached most of the fleet, and the next refresh reaches the rest.
    pub(crate) fn select(
        &mut self,
        budget: usize,
        sends: u32,
        to: Option<&RouterId>,
    ) -> Vec<OwnerLoads> {
        let mut groups: BTreeMap<RouterId, Vec<(EndpointId, u64)>> = BTreeMap::new();
        let mut left = budget;
        let mut taken = Vec::new();
        for (priority, (owner, endpoint)) in &self.queue {
            let group = match groups.contains_key(owner) {
                true => 0,
                false => owner.len() + GROUP_BYTES,
            };
            let key = (owner.clone(), endpoint.clone());
            let entry = &self.entries[&key];
            if to.is_some() && (to == Some(owner) || to == entry.relayed_by.as_ref()) {
                continue;
            }
            let size = endpoint.len() + REPORT_BYTES + varint_len(entry.outstanding) + group;
            if size > left {
                break;
            }
            left -= size;
            taken.push(*priority);
            groups.entry(key.0).or_default().push((key.1, entry.seq));
        }
        self.mark_sent(taken, sends);
        let groups = groups.into_iter();
        groups
            .map(|(owner, reports)| self.group(owner, reports))
            .collect()
    }

    fn mark_sent(&mut self, priorities: Vec<SendPriority>, sends: u32) {
        for priority in priorities {
            let Some(key) = self.queue.remove(&priority) else {
                continue;
            };
            self.arrivals += 1;
            let next = SendPriority::new(priority.relayed, priority.sent + 1, self.arrivals);
            let again = (next.sent < sends).then_some(next);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.priority = again;
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

    /// Returns the reports of this router and of the owners for which `live` holds, without
    /// released endpoints.
    pub(crate) fn reports(&self, live: impl Fn(&RouterId) -> bool) -> Vec<LoadReport> {
        let entries = self.entries.iter();
        let kept = entries.filter(|((owner, _), entry)| {
            entry.state != EndpointState::Released && (*owner == self.local || live(owner))
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
