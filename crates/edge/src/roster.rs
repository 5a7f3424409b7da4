//! Endpoints as the registry lists them.

use crate::departing::Departing;
use crate::feed::ChangedRow;
use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows};
use sequoiaridge_core::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// Time for which an endpoint whose row vanished around an outage of the registry is still used, unless
/// it is set. The rows of living endpoints are back within 2 s of the registry's return.
const LAPSE: Duration = Duration::from_millis(1500);
/// The same as a part of the bound on leaving endpoints: a request sent later than that bound after the
/// row is known to be gone would be too late.
const LAPSE_PART: f64 = 0.75;
/// Removed rows whose positions are remembered, so that a stale read does not bring them back.
const TOMBSTONES: usize = 4096;

/// What a change of the registry means for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new.
    Joined(EndpointId),
    /// The endpoint started again under the same id.
    Restarted(EndpointId),
    /// The endpoint takes no new requests.
    Leaving(EndpointId),
    /// The row is gone, and so is the endpoint.
    Gone(EndpointId),
    /// The row vanished around an outage; the endpoint is used a little longer.
    Lapsed(EndpointId),
    /// The row cannot be read, for the given reason, and names no endpoint.
    Malformed(EndpointId, String),
}

#[derive(Clone, Debug)]
struct Listed {
    entry: EndpointEntry,
    position: Position,
    /// Set when the row vanished around an outage.
    lapsed: Option<Duration>,
}

/// All endpoints that the registry lists, by id.
#[derive(Clone, Debug)]
pub struct Roster {
    lapse: Duration,
    listed: BTreeMap<EndpointId, Listed>,
    removed: BTreeMap<EndpointId, Position>,
    position: Position,
    departing: Departing,
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
            lapse: LAPSE,
            listed: BTreeMap::new(),
            removed: BTreeMap::new(),
            position: 0,
            departing: Departing::default(),
        }
    }

    /// Creates an empty roster for a bound on requests to leaving endpoints.
    pub fn with_bound(leave: Duration) -> Roster {
        Roster {
            lapse: leave.mul_f64(LAPSE_PART),
            ..Roster::new()
        }
    }

    /// Position up to which the roster is complete.
    pub fn position(&self) -> Position {
        self.position
    }

    /// All rows but those that vanished around an outage, for a router that starts.
    pub fn listed(&self) -> Vec<ChangedRow> {
        let listed = self.listed.iter().filter(|(_, row)| row.lapsed.is_none());
        listed
            .map(|(id, row)| (id.clone(), row.position, Some(row.entry.clone())))
            .collect()
    }

    /// The rows that say something new.
    pub fn news(&self, rows: &[Row]) -> Vec<ChangedRow> {
        let mut news = Vec::new();
        for row in rows {
            let known = self.listed.get(&row.key);
            let entry = match &row.entry {
                Entry::Endpoint(entry) => Some(entry.clone()),
                _ => None,
            };
            let same = match (&entry, known) {
                (Some(entry), Some(known)) => {
                    known.lapsed.is_none() && known.entry.equals_except_cold(entry)
                }
                (None, None) => true,
                _ => false,
            };
            if !same {
                news.push((row.key.clone(), row.position, entry));
            }
        }
        news
    }

    /// Takes over rows that changed. `troubled` says that the registry was away a short time ago, so
    /// that a removed row may only have lapsed.
    pub fn apply(&mut self, rows: Rows, troubled: bool, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in rows.rows {
            changes.extend(self.apply_row(row, troubled, now));
        }
        self.position = self.position.max(rows.position);
        changes
    }

    /// Takes over a whole table. A read from before the known position is stale: it adds and removes
    /// nothing that is known to be newer.
    pub fn replace(&mut self, rows: Rows, troubled: bool, now: Duration) -> Vec<Change> {
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
                changes.extend(self.apply_row(row, troubled, now));
            }
        }
        changes.extend(self.apply(rows, troubled, now));
        changes
    }

    /// What a whole table shows of the time since `mark`: rows that changed, and rows that are gone.
    pub fn changes_to(&self, whole: Rows, mark: Position) -> Rows {
        let present: BTreeSet<&EndpointId> = whole.rows.iter().map(|row| &row.key).collect();
        let listed = self.listed.iter().filter(|(_, row)| row.lapsed.is_none());
        let missing = listed.filter(|(id, _)| !present.contains(id));
        let gone: Vec<Row> = missing
            .map(|(id, _)| Row {
                key: id.clone(),
                position: whole.position,
                entry: Entry::Removed,
            })
            .collect();
        let rows = whole.rows.into_iter();
        let changed = rows.filter(|row| row.position > mark);
        Rows {
            rows: changed.chain(gone).collect(),
            position: whole.position,
            next: None,
        }
    }

    /// Drops endpoints whose rows lapsed and did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let over = |listed: &Listed| listed.lapsed.is_some_and(|since| now >= since + self.lapse);
        let gone = self.listed.iter().filter(|(_, listed)| over(listed));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.listed.remove(id);
        }
        gone.into_iter().map(Change::Gone).collect()
    }

    /// Endpoints of a service that take new requests.
    pub fn open<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        self.of(service, now)
            .filter(|entry| !self.is_leaving(entry))
    }

    /// Endpoints of a service, also those that leave.
    pub fn of<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        let lapse = self.lapse;
        let usable = move |listed: &&Listed| {
            let lapsed = listed.lapsed.is_some_and(|since| now >= since + lapse);
            listed.entry.service == service && !lapsed
        };
        let listed = self.listed.values().filter(usable);
        listed.map(|listed| &listed.entry)
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// Takes over that an endpoint said at a wall time that it leaves, before the registry may list it so. It
    /// takes no new requests from then on, until it is listed with another start. Returns whether that is new.
    pub fn depart(&mut self, id: &str, boot: &str, said: SystemTime) -> bool {
        let listed = self.get(id).is_some_and(|entry| entry.boot() == boot);
        listed && self.departing.note(id, boot, said)
    }

    /// Whether an endpoint takes no new requests, as the registry or the endpoint itself says.
    pub fn is_leaving(&self, entry: &EndpointEntry) -> bool {
        entry.leaving || self.departing.has(entry)
    }

    /// Endpoints that said themselves that they leave, with their boot ids.
    pub fn departing(&self) -> Vec<(EndpointId, String)> {
        let listed = self.listed.values().map(|listed| &listed.entry);
        let said = listed.filter(|entry| self.departing.has(entry));
        said.map(|entry| (entry.id.clone(), entry.boot())).collect()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    fn apply_row(&mut self, row: Row, troubled: bool, now: Duration) -> Option<Change> {
        let known = self.listed.get(&row.key).map(|listed| listed.position);
        let known = known.max(self.removed.get(&row.key).copied());
        if known.is_some_and(|known| known > row.position) {
            return None;
        }
        match row.entry {
            Entry::Endpoint(entry) => self.list(row.key, entry, row.position),
            Entry::Removed => self.remove(row.key, row.position, troubled, now),
            Entry::Malformed(reason) => {
                self.listed.remove(&row.key);
                Some(Change::Malformed(row.key, reason))
            }
            _ => None,
        }
    }

    fn list(&mut self, id: EndpointId, entry: EndpointEntry, position: Position) -> Option<Change> {
        self.removed.remove(&id);
        let listed = Listed {
            entry,
            position,
            lapsed: None,
        };
        let (born, leaving) = (listed.entry.born, listed.entry.leaving);
        let anew = !self.listed.contains_key(&id);
        self.departing.list(&listed.entry, anew);
        let Some(before) = self.listed.insert(id.clone(), listed) else {
            return Some(Change::Joined(id));
        };
        if before.entry.born != born {
            return Some(Change::Restarted(id));
        }
        (leaving && !before.entry.leaving).then_some(Change::Leaving(id))
    }

    fn remove(
        &mut self,
        id: EndpointId,
        position: Position,
        troubled: bool,
        now: Duration,
    ) -> Option<Change> {
        while self.removed.len() >= TOMBSTONES {
            self.removed.pop_first();
        }
        self.removed.insert(id.clone(), position);
        let listed = self.listed.get_mut(&id)?;
        if troubled && !listed.entry.leaving {
            if listed.lapsed.is_some() {
                return None;
            }
            listed.lapsed = Some(now);
            listed.position = position;
            return Some(Change::Lapsed(id));
        }
        self.listed.remove(&id);
        Some(Change::Gone(id))
    }
}
