//! Decides which rows of a read differ from what is listed, and are passed on to other routers.

use super::listed::ListedEndpoints;
use crate::feed::{ChangedRow, RowChange};
use crate::registry::{Entry, Position, Row, Rows};
use sequoiaridge_core::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rise of the time for which an endpoint is cold, over what is left of the known one, from which on it
/// is a change for the other routers. Reads come at different delays, which differ by less.
const COLD_RISE: Duration = Duration::from_millis(500);

/// The rows that differ from what is listed. Of several rows of one endpoint, the last one counts, but
/// one that names no endpoint hides none before it.
/// An endpoint that is cold for longer than was known differs; one that warms up does not.
pub(super) fn new_changes(
    listed: &ListedEndpoints,
    rows: &[Row],
    now: Duration,
) -> Vec<ChangedRow> {
    let mut last: BTreeMap<(&EndpointId, bool), &Row> = BTreeMap::new();
    for row in rows {
        let is_unreadable = matches!(row.entry, Entry::Malformed(_));
        let kept = last.entry((&row.key, is_unreadable)).or_insert(row);
        if row.position >= kept.position {
            *kept = row;
        }
    }
    let mut changes = Vec::new();
    for ((id, _), row) in &last {
        let known = listed.get(*id);
        let change = RowChange::from(&row.entry);
        let same = match (&change, known) {
            (RowChange::Unreadable, known) => match last.get(&(*id, false)) {
                Some(readable) => {
                    readable.position > row.position
                        || !matches!(readable.entry, Entry::Endpoint(_))
                }
                None => known.is_none_or(|known| known.overwritten.is_some()),
            },
            (RowChange::Listed(entry), Some(known)) => {
                let left = known.cold_until.saturating_sub(now);
                known.lapses_at.is_none()
                    && known.overwritten.is_none()
                    && known.entry.equals_except_cold(entry)
                    && entry.cold <= left + COLD_RISE
            }
            (RowChange::Removed, None) => true,
            _ => false,
        };
        if !same {
            changes.push((row.key.clone(), row.position, change));
        }
    }
    changes
}

/// The difference between a whole table and what is listed, since `revision`: rows that changed, and rows
/// that are gone.
pub(super) fn removed_and_changed(
    listed: &ListedEndpoints,
    table: Rows,
    revision: Position,
) -> Rows {
    let present: BTreeSet<&EndpointId> = table.rows.iter().map(|row| &row.key).collect();
    let listed = listed.iter().filter(|(_, row)| row.lapses_at.is_none());
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
