//! Endpoints as the registry lists them.

use crate::feed::ChangedRow;
use crate::leaving_starts::LeavingStarts;
use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows};
use sequoiaridge_core::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// Time for which an endpoint is still used after its row vanished around an outage of the
/// registry, unless it is set. The rows of live endpoints are back within 2 s of the registry's
/// return.
const LAPSE_TIME: Duration = Duration::from_millis(1500);
/// The same as a share of the bound on leaving endpoints: a request that is sent later than that
/// bound after the row is known to be gone would be too late.
const LAPSE_SHARE: f64 = 0.75;
/// Removed rows whose positions are remembered, so that a stale read does not bring them back.
const MAX_TOMBSTONES: usize = 4096;

/// What a change in the registry means for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// The endpoint is new.
    Joined(EndpointId),
    /// The endpoint restarted under the same id.
    Restarted(EndpointId),
    /// The endpoint takes no new requests.
    Leaving(EndpointId),
    /// The row is gone, and so is the endpoint.
    Gone(EndpointId),
    /// The row vanished around an outage of the registry; the endpoint is used a little longer.
    Lapsed(EndpointId),
    /// The row cannot be read, for the given reason, and names no endpoint.
    Malformed(EndpointId, String),
}

#[derive(Clone, Debug)]
struct ListedEndpoint {
    entry: EndpointEntry,
    position: Position,
    /// When the row vanished around an outage of the registry.
    lapsed_at: Option<Duration>,
}

/// All endpoints that the registry lists, by id.
#[derive(Clone, Debug)]
pub struct Roster {
    lapse_time: Duration,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    tombstones: BTreeMap<EndpointId, Position>,
    position: Position,
    leaving_starts: LeavingStarts,
}

impl Default for Roster {
    fn default() -> Roster {
        Roster::new()
    }
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Roster {
        Roster {
            lapse_time: LAPSE_TIME,
            listed: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            position: 0,
            leaving_starts: LeavingStarts::default(),
        }
    }

    /// Creates an empty roster for the given bound on requests to leaving endpoints.
    pub fn with_bound(leave: Duration) -> Roster {
        Roster {
            lapse_time: leave.mul_f64(LAPSE_SHARE),
            ..Roster::new()
        }
    }

    /// Position up to which the roster is complete.
    pub fn position(&self) -> Position {
        self.position
    }

    /// All rows except those that vanished around an outage, for a router that starts.
    pub fn rows(&self) -> Vec<ChangedRow> {
        let listed = self
            .listed
            .iter()
            .filter(|(_, row)| row.lapsed_at.is_none());
        listed
            .map(|(id, row)| (id.clone(), row.position, Some(row.entry.clone())))
            .collect()
    }

    /// The rows that differ from what is listed. Of several rows of one endpoint, the last one counts.
    pub fn new_changes(&self, rows: &[Row]) -> Vec<ChangedRow> {
        let mut last: BTreeMap<&EndpointId, &Row> = BTreeMap::new();
        for row in rows {
            let kept = last.entry(&row.key).or_insert(row);
            if row.position >= kept.position {
                *kept = row;
            }
        }
        let mut changes = Vec::new();
        for row in last.into_values() {
            let known = self.listed.get(&row.key);
            let entry = match &row.entry {
                Entry::Endpoint(entry) => Some(entry.clone()),
                _ => None,
            };
            let same = match (&entry, known) {
                (Some(entry), Some(known)) => {
                    known.lapsed_at.is_none() && known.entry.equals_except_cold(entry)
                }
                (None, None) => true,
                _ => false,
            };
            if !same {
                changes.push((row.key.clone(), row.position, entry));
            }
        }
        changes
    }

    /// Applies changed rows. `after_outage` says that the registry was unreachable a short time
    /// ago, so that a removed row may only have lapsed.
    pub fn apply(&mut self, rows: Rows, after_outage: bool, now: Duration) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        for row in rows.rows {
            changes.extend(self.apply_row(row, after_outage, now));
        }
        self.position = self.position.max(rows.position);
        changes
    }

    /// Replaces the whole table. A read from before the known position is stale: it neither adds
    /// nor removes anything of which something newer is known.
    pub fn replace(&mut self, rows: Rows, after_outage: bool, now: Duration) -> Vec<RosterChange> {
        let present: BTreeSet<EndpointId> = rows.rows.iter().map(|row| row.key.clone()).collect();
        let position = rows.position;
        let mut changes = Vec::new();
        if position >= self.position {
            let missing = self.listed.keys().filter(|id| !present.contains(*id));
            let missing: Vec<EndpointId> = missing.cloned().collect();
            for id in missing {
                let row = Row {
                    key: id,
                    position,
                    entry: Entry::Removed,
                };
                changes.extend(self.apply_row(row, after_outage, now));
            }
        }
        changes.extend(self.apply(rows, after_outage, now));
        changes
    }

    /// The difference between a whole table and this roster since `revision`: rows that changed,
    /// and rows that are gone.
    pub fn diff(&self, table: Rows, revision: Position) -> Rows {
        let present: BTreeSet<&EndpointId> = table.rows.iter().map(|row| &row.key).collect();
        let listed = self
            .listed
            .iter()
            .filter(|(_, row)| row.lapsed_at.is_none());
        let missing = listed.filter(|(id, _)| !present.contains(id));
        let gone: Vec<Row> = missing
            .map(|(id, _)| Row {
                key: id.clone(),
                position: table.position,
                entry: Entry::Removed,
            })
            .collect();
        let rows = table.rows.into_iter();
        let changed = rows.filter(|row| row.position > revision);
        Rows {
            rows: changed.chain(gone).collect(),
            position: table.position,
            next: None,
        }
    }

    /// Drops endpoints whose rows lapsed and did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<RosterChange> {
        let expired = |listed: &ListedEndpoint| {
            listed
                .lapsed_at
                .is_some_and(|since| now >= since + self.lapse_time)
        };
        let gone = self.listed.iter().filter(|(_, listed)| expired(listed));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.listed.remove(id);
        }
        gone.into_iter().map(RosterChange::Gone).collect()
    }

    /// Endpoints of a service that accept new requests.
    pub fn accepting<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        self.endpoints_of(service, now)
            .filter(|entry| !self.is_leaving(entry))
    }

    /// Endpoints of a service, including those that are leaving.
    pub fn endpoints_of<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        let lapse_time = self.lapse_time;
        let usable = move |listed: &&ListedEndpoint| {
            let lapsed = listed
                .lapsed_at
                .is_some_and(|since| now >= since + lapse_time);
            listed.entry.service == service && !lapsed
        };
        let listed = self.listed.values().filter(usable);
        listed.map(|listed| &listed.entry)
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// Records that an endpoint announced at a wall time that it is leaving, which the registry may
    /// list only later. The endpoint accepts no new requests from then on, until it is listed with
    /// another start. Returns whether that is new.
    pub fn mark_leaving(&mut self, id: &str, boot: &str, announced_at: SystemTime) -> bool {
        let listed = self.get(id).is_some_and(|entry| entry.boot() == boot);
        listed && self.leaving_starts.insert(id, boot, announced_at)
    }

    /// Whether an endpoint accepts no new requests, according to the registry or the endpoint
    /// itself.
    pub fn is_leaving(&self, entry: &EndpointEntry) -> bool {
        entry.leaving || self.leaving_starts.contains(entry)
    }

    /// Endpoints that announced themselves that they are leaving, with their boot ids.
    pub fn announced_leaving(&self) -> Vec<(EndpointId, String)> {
        let listed = self.listed.values().map(|listed| &listed.entry);
        let leaving = listed.filter(|entry| self.leaving_starts.contains(entry));
        leaving
            .map(|entry| (entry.id.clone(), entry.boot()))
            .collect()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    fn apply_row(&mut self, row: Row, after_outage: bool, now: Duration) -> Option<RosterChange> {
        let known = self.listed.get(&row.key).map(|listed| listed.position);
        let known = known.max(self.tombstones.get(&row.key).copied());
        if known.is_some_and(|known| known > row.position) {
            return None;
        }
        match row.entry {
            Entry::Endpoint(entry) => self.insert_row(row.key, entry, row.position),
            Entry::Removed => self.remove_row(row.key, row.position, after_outage, now),
            Entry::Malformed(reason) => {
                self.listed.remove(&row.key);
                Some(RosterChange::Malformed(row.key, reason))
            }
            _ => None,
        }
    }

    fn insert_row(
        &mut self,
        id: EndpointId,
        entry: EndpointEntry,
        position: Position,
    ) -> Option<RosterChange> {
        self.tombstones.remove(&id);
        let listed = ListedEndpoint {
            entry,
            position,
            lapsed_at: None,
        };
        let (born, leaving) = (listed.entry.born, listed.entry.leaving);
        let is_new = !self.listed.contains_key(&id);
        self.leaving_starts.note_listed(&listed.entry, is_new);
        let Some(before) = self.listed.insert(id.clone(), listed) else {
            return Some(RosterChange::Joined(id));
        };
        if before.entry.born != born {
            return Some(RosterChange::Restarted(id));
        }
        (leaving && !before.entry.leaving).then_some(RosterChange::Leaving(id))
    }

    fn remove_row(
        &mut self,
        id: EndpointId,
        position: Position,
        after_outage: bool,
        now: Duration,
    ) -> Option<RosterChange> {
        while self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.pop_first();
        }
        self.tombstones.insert(id.clone(), position);
        let listed = self.listed.get_mut(&id)?;
        if after_outage && !listed.entry.leaving {
            if listed.lapsed_at.is_some() {
                return None;
            }
            listed.lapsed_at = Some(now);
            listed.position = position;
            return Some(RosterChange::Lapsed(id));
        }
        self.listed.remove(&id);
        Some(RosterChange::Gone(id))
    }
}
