//! Endpoints as the registry lists them.

mod differences;
mod listed;
mod overwritten;
mod tombstones;

use crate::feed::ChangedRow;
use crate::leaving_starts::LeavingStarts;
use crate::load_reports::ReportKey;
use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows};
use crate::version_history::ServiceVersions;
use listed::{ListedEndpoint, ListedEndpoints};
use overwritten::{Overwritten, UnlistedRows};
use sequoiaridge_core::{DomainId, EndpointId, id_key};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};
use tombstones::Tombstones;

/// Time for which an endpoint is still used after its row vanished around an outage of the
/// registry, unless it is set. The rows of live endpoints are back within 2 s of the registry's
/// return.
const LAPSE_TIME: Duration = Duration::from_millis(1500);
/// The same as a share of the bound on leaving endpoints: a request that is sent later than that
/// bound after the row is known to be gone would be too late.
const LAPSE_SHARE: f64 = 0.75;
/// The same after the registry came back from a copy that lacks the row: endpoints write their rows
/// again within 2 s, and a read follows.
const RESTORED_LAPSE_TIME: Duration = Duration::from_millis(2500);
/// Time for which a row from a copy is not used if its endpoint was gone before. The row of an
/// endpoint that is gone lapses after 3.6 s of silence.
const DOUBT_TIME: Duration = Duration::from_secs(6);

/// What a change in the registry means for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// The endpoint is new.
    Joined(EndpointId),
    /// The endpoint restarted under the same id.
    Restarted(EndpointId),
    /// The endpoint restarted under the same id, and this start takes no new requests, nor did the one before.
    RestartedLeaving(EndpointId),
    /// The endpoint takes no new requests.
    Leaving(EndpointId),
    /// The row is gone, and so is the endpoint.
    Gone(EndpointId),
    /// The row vanished around an outage of the registry; the endpoint is used a little longer.
    Lapsed(EndpointId),
    /// The row cannot be read, for the given reason, and names no endpoint. One that was listed before is
    /// held until it lapses.
    Malformed(EndpointId, String),
}

/// An endpoint in a pass over the roster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listed<'a> {
    pub(crate) entry: &'a EndpointEntry,
    pub(crate) key: ReportKey,
    /// Whether it accepts no new requests.
    pub(crate) leaving: bool,
    pub(crate) cold_until: Duration,
}

/// How the roster came into the current era of the registry.
#[derive(Clone, Copy, Debug)]
struct EraEntry {
    /// Position of the first table of the era. Rows up to it may be those of the copy.
    position: Position,
    at: Duration,
}

/// All endpoints that the registry lists, by id.
#[derive(Clone, Debug)]
pub struct Roster {
    lapse_time: Duration,
    listed: ListedEndpoints,
    tombstones: Tombstones,
    unlisted: UnlistedRows,
    position: Position,
    /// Set once a table was read.
    era_entry: Option<EraEntry>,
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
            listed: ListedEndpoints::new(),
            tombstones: Tombstones::default(),
            unlisted: UnlistedRows::default(),
            position: Position::default(),
            era_entry: None,
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

    /// All rows except those that vanished around an outage, for a router that starts. They say how
    /// much longer endpoints are cold from now on. A row that was overwritten comes before the one in its
    /// place.
    pub fn rows(&self, now: Duration) -> Vec<ChangedRow> {
        let listed = self
            .listed
            .iter()
            .filter(|(_, row)| row.lapses_at.is_none());
        let changes = listed.flat_map(|(id, row)| row.changes(id, now));
        changes.collect()
    }

    /// Until when an endpoint is cold; zero if it is not listed.
    pub fn cold_until(&self, id: &str) -> Duration {
        let listed = self.listed.get(id);
        listed.map_or(Duration::ZERO, |listed| listed.cold_until)
    }

    /// Records how much longer an endpoint says in an answer that it is cold.
    pub fn note_cold(&mut self, id: &str, boot: &str, left: Duration, now: Duration) {
        let listed = self.listed.get_mut(id);
        if let Some(listed) = listed.filter(|listed| listed.entry.boot() == boot) {
            listed.cold_until = now + left;
        }
    }

    /// Endpoints that are not used because only a copy of the registry lists them, for a router
    /// that starts.
    pub fn doubted(&self, now: Duration) -> Vec<EndpointId> {
        let doubted = self.listed.iter().filter(|(_, row)| row.is_doubted(now));
        doubted.map(|(id, _)| id.clone()).collect()
    }

    /// Records that another router does not use an endpoint because only a copy of the registry
    /// lists it.
    pub fn doubt(&mut self, id: &str, now: Duration) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.doubted_until = listed.doubted_until.max(Some(now + DOUBT_TIME));
        }
    }

    /// The rows that differ from what is listed. Of several rows of one endpoint, the last one counts, but
    /// one that names no endpoint hides none before it.
    /// An endpoint that is cold for longer than was known differs; one that warms up does not.
    pub fn new_changes(&self, rows: &[Row], now: Duration) -> Vec<ChangedRow> {
        differences::new_changes(&self.listed, rows, now)
    }

    /// Applies changed rows. `after_outage` says that the registry was unreachable a short time
    /// ago, so that a removed row may only have lapsed.
    pub fn apply(&mut self, rows: Rows, after_outage: bool, now: Duration) -> Vec<RosterChange> {
        self.apply_rows(rows, after_outage.then_some(self.lapse_time), now)
    }

    /// Replaces the whole table. A read from before the known position is stale: it neither adds
    /// nor removes anything of which something newer is known. The first table of an era is that of
    /// a copy of the registry, with what was written since.
    pub fn replace(&mut self, rows: Rows, after_outage: bool, now: Duration) -> Vec<RosterChange> {
        let copied_to = rows.position;
        self.replace_copy(rows, copied_to, after_outage, now)
    }

    /// The same for a table that another router has followed in its era since `copied_to`, so that
    /// only rows up to that position may be those of the copy.
    pub fn replace_copy(
        &mut self,
        rows: Rows,
        copied_to: Position,
        after_outage: bool,
        now: Duration,
    ) -> Vec<RosterChange> {
        let present: BTreeSet<EndpointId> = rows.rows.iter().map(|row| row.key.clone()).collect();
        let position = rows.position;
        let mut changes = Vec::new();
        let mut lapse = after_outage.then_some(self.lapse_time);
        if position.era > self.position.era {
            lapse = Some(self.lapse_time.max(RESTORED_LAPSE_TIME));
            self.era_entry = Some(EraEntry {
                position: copied_to,
                at: now,
            });
        }
        if position >= self.position {
            let missing = self.listed.keys().filter(|id| !present.contains(*id));
            let missing: Vec<EndpointId> = missing.cloned().collect();
            for id in missing {
                let row = Row {
                    key: id,
                    position,
                    entry: Entry::Removed,
                };
                changes.extend(self.apply_row(row, lapse, now));
            }
        }
        changes.extend(self.apply_rows(rows, lapse, now));
        changes
    }

    /// The difference between a whole table and this roster since `revision`: rows that changed,
    /// and rows that are gone.
    pub fn diff(&self, table: Rows, revision: Position) -> Rows {
        differences::removed_and_changed(&self.listed, table, revision)
    }

    /// Starts the time for lapsed rows to come back anew, because the registry is away: the endpoints
    /// cannot write them. `verified_at` is when the table was last known to be complete. Rows that
    /// were still missing then, although their time was over, stay lapsed.
    pub fn postpone_lapses(&mut self, verified_at: Duration, now: Duration) {
        let until = Some(now + self.lapse_time);
        for listed in self.listed.values_mut() {
            if listed.is_lapsed(verified_at) {
                continue;
            }
            if listed.lapses_at.is_some() {
                listed.lapses_at = listed.lapses_at.max(until);
            }
            if let Some(overwritten) = &mut listed.overwritten {
                overwritten.postpone(now);
            }
        }
    }

    /// Drops endpoints whose rows lapsed and were still missing when their time was over.
    /// `verified_at` is when the table was last known to be complete.
    pub fn expire(&mut self, verified_at: Duration) -> Vec<RosterChange> {
        let gone = self
            .listed
            .iter()
            .filter(|(_, listed)| listed.is_lapsed(verified_at));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            let listed = self.listed.remove(id);
            if let Some(by) = listed.as_ref().and_then(|listed| listed.overwritten) {
                let born = listed.and_then(|listed| listed.entry.born);
                self.tombstones.bury(id, by.position, born.unwrap_or(0));
            }
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

    /// Endpoints of a service, including those that are leaving, but without those that only a copy
    /// of the registry lists.
    pub fn endpoints_of<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        self.usable(now)
            .filter(move |entry| entry.service == service)
    }

    /// Endpoints in use that `is_wanted` selects, in the order of their ids.
    pub(crate) fn listed<'a>(
        &'a self,
        is_wanted: impl Fn(&EndpointEntry) -> bool + 'a,
        now: Duration,
    ) -> impl Iterator<Item = Listed<'a>> {
        let wanted = self.used(now).filter(move |row| is_wanted(&row.entry));
        let mut announced = self.leaving_starts.walk();
        wanted.map(move |row| Listed {
            entry: &row.entry,
            key: row.key,
            leaving: row.entry.leaving || announced.contains(&row.entry),
            cold_until: row.cold_until,
        })
    }

    /// Endpoints of all services, without those that only a copy of the registry lists.
    fn usable(&self, now: Duration) -> impl Iterator<Item = &EndpointEntry> {
        self.used(now).map(|listed| &listed.entry)
    }

    /// Ids and keys of the endpoints of a service, including those that are leaving.
    pub fn keys_of<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = (&'a str, ReportKey)> + 'a {
        let rows = self
            .used(now)
            .filter(move |row| row.entry.service == service);
        rows.map(|row| (row.entry.id.as_str(), row.key))
    }

    fn used(&self, now: Duration) -> impl Iterator<Item = &ListedEndpoint> {
        let listed = self.listed.values();
        listed.filter(move |listed| !listed.is_lapsed(now) && !listed.is_doubted(now))
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// Boot id of an endpoint that is or was listed; empty if it is not known.
    pub fn last_boot(&self, id: &str) -> String {
        let listed = self.get(id).map(EndpointEntry::boot);
        let removed = self.tombstones.get(id).map(|tombstone| tombstone.born);
        let removed = removed.filter(|born| *born > 0);
        listed
            .or_else(|| removed.map(|born| born.to_string()))
            .unwrap_or_default()
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

    /// The software versions of each service's endpoints, also of those that accept no requests.
    pub fn versions(&self) -> ServiceVersions {
        let mut versions = ServiceVersions::new();
        for listed in self.listed.values() {
            let entry = &listed.entry;
            let service = versions.entry(entry.service.clone()).or_default();
            service.insert(entry.version.clone());
        }
        versions
    }

    /// Failure domains of the endpoints; one may appear several times.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.listed.values().map(|listed| &listed.entry.domain)
    }

    /// Number of endpoints that accept no new requests.
    pub fn leaving(&self) -> usize {
        let listed = self.listed.values();
        listed
            .filter(|listed| self.is_leaving(&listed.entry))
            .count()
    }

    /// Number of endpoints whose rows vanished and that are still in use.
    pub fn lapsing(&self) -> usize {
        let listed = self.listed.values();
        listed.filter(|listed| listed.lapses_at.is_some()).count()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Applies rows; removed ones lapse after the given time, if any.
    fn apply_rows(
        &mut self,
        rows: Rows,
        lapse: Option<Duration>,
        now: Duration,
    ) -> Vec<RosterChange> {
        if rows.position.era < self.position.era {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for row in rows.rows {
            changes.extend(self.apply_row(row, lapse, now));
        }
        self.position = self.position.max(rows.position);
        changes
    }

    fn apply_row(
        &mut self,
        row: Row,
        lapse: Option<Duration>,
        now: Duration,
    ) -> Option<RosterChange> {
        let known = self.listed.get(&row.key).map(|listed| listed.position);
        let removed = self.tombstones.get(&row.key);
        let known = known.max(removed.map(|tombstone| tombstone.position));
        if known.is_some_and(|known| known > row.position) {
            return None;
        }
        match row.entry {
            Entry::Endpoint(entry) => self.insert_row(row.key, entry, row.position, now),
            Entry::Removed => self.remove_row(row.key, row.position, lapse, now),
            Entry::Malformed(reason) => {
                self.note_overwritten(&row.key, row.position, now);
                Some(RosterChange::Malformed(row.key, reason))
            }
            _ => None,
        }
    }

    /// Records a row that names no endpoint. Nothing that is known of the id changes, except that a listed
    /// endpoint lapses unless it writes its row again.
    fn note_overwritten(&mut self, id: &str, position: Position, now: Duration) {
        let by = Overwritten::new(position, now);
        let known = match self.listed.get_mut(id) {
            Some(listed) => listed.overwritten.get_or_insert(by),
            None => self.unlisted.get_or_insert(id, by),
        };
        known.position = known.position.max(position);
    }

    fn insert_row(
        &mut self,
        id: EndpointId,
        mut entry: EndpointEntry,
        position: Position,
        now: Duration,
    ) -> Option<RosterChange> {
        let copied_at = self.copied_at(position);
        if copied_at.is_some()
            && let Some(known) = self.listed.get_mut(&id)
        {
            if known.entry.born > entry.born {
                // The copy is from before the endpoint's restart.
                known.position = position;
                return None;
            }
            entry.leaving |= known.entry.leaving && known.entry.born == entry.born;
        }
        let doubted = copied_at.filter(|_| self.was_gone(&id, &entry, position, now));
        // A row that is read again says nothing new of the time for which the endpoint is cold.
        let same = self
            .listed
            .get(&id)
            .filter(|known| known.position == position && known.entry.born == entry.born);
        let cold_until = same.map_or(now + entry.cold, |known| known.cold_until);
        self.tombstones.remove(&id);
        let overwritten = match self.listed.get(&id) {
            Some(known) => known.overwritten,
            None => self.unlisted.remove(&id),
        };
        let listed = ListedEndpoint {
            key: id_key(&entry.id),
            entry,
            position,
            lapses_at: None,
            overwritten: overwritten.filter(|by| by.position > position),
            doubted_until: doubted.map(|at| at + DOUBT_TIME),
            cold_until,
        };
        let (born, leaving) = (listed.entry.born, listed.entry.leaving);
        let is_new = !self.listed.contains_key(&id);
        self.leaving_starts.note_listed(&listed.entry, is_new);
        let Some(before) = self.listed.insert(id.clone(), listed) else {
            return Some(RosterChange::Joined(id));
        };
        if before.entry.born != born {
            return Some(if leaving && before.entry.leaving {
                RosterChange::RestartedLeaving(id)
            } else {
                RosterChange::Restarted(id)
            });
        }
        (leaving && !before.entry.leaving).then_some(RosterChange::Leaving(id))
    }

    /// When the roster came into the current era, if a row at `position` may be from the copy that
    /// the era began with.
    fn copied_at(&self, position: Position) -> Option<Duration> {
        let entry = self.era_entry.filter(|entry| position <= entry.position)?;
        Some(entry.at)
    }

    /// Whether the endpoint of a row from a copy was gone in an earlier era. One whose row lapsed is in
    /// use until the row should be back, and so is not.
    fn was_gone(&self, id: &str, entry: &EndpointEntry, position: Position, now: Duration) -> bool {
        let listed = self.listed.get(id);
        if let Some(listed) = listed.filter(|listed| !listed.is_lapsed(now)) {
            return listed.is_doubted(now) && listed.entry.born == entry.born;
        }
        self.tombstones.get(id).is_some_and(|tombstone| {
            tombstone.position.era < position.era && entry.born.unwrap_or(0) <= tombstone.born
        })
    }

    fn remove_row(
        &mut self,
        id: EndpointId,
        position: Position,
        lapse: Option<Duration>,
        now: Duration,
    ) -> Option<RosterChange> {
        let known = self
            .listed
            .get(&id)
            .map(|listed| listed.entry.born.unwrap_or(0));
        let before = self.tombstones.get(&id).map(|tombstone| tombstone.born);
        let born = known.or(before).unwrap_or(0);
        self.tombstones.bury(&id, position, born);
        let listed = self.listed.get_mut(&id)?;
        let in_use = !listed.entry.leaving && !listed.is_doubted(now);
        if let Some(lapse) = lapse.filter(|_| in_use) {
            let is_known = listed.lapses_at.is_some();
            if is_known && listed.position.era == position.era {
                return None;
            }
            listed.lapses_at = listed.lapses_at.max(Some(now + lapse));
            listed.position = position;
            return (!is_known).then_some(RosterChange::Lapsed(id));
        }
        self.listed.remove(&id);
        Some(RosterChange::Gone(id))
    }
}
