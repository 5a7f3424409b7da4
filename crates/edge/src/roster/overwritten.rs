//! Rows that name no endpoint: how long the endpoint before such a row is still used, and which of them are
//! remembered.

use crate::registry::Position;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an endpoint is still used after another writer replaced its row by one that names no
/// endpoint. A live endpoint writes its row again within it: the row of a silent one lapses after that time.
const OVERWRITTEN_LAPSE_TIME: Duration = Duration::from_millis(3600);
/// Number of ids that are not listed of which a row that names no endpoint is remembered.
const MAX_UNLISTED: usize = 4096;

/// A row that names no endpoint, in place of one that did.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overwritten {
    pub(super) position: Position,
    /// When the endpoint is no longer used unless it writes its row again.
    pub(super) lapses_at: Duration,
}

impl Overwritten {
    /// A row that was read at `now`.
    pub(super) fn new(position: Position, now: Duration) -> Overwritten {
        Overwritten {
            position,
            lapses_at: now + OVERWRITTEN_LAPSE_TIME,
        }
    }

    /// Starts the time for the endpoint to write its row again anew.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.lapses_at = self.lapses_at.max(now + OVERWRITTEN_LAPSE_TIME);
    }
}

/// Rows that name no endpoint, of ids that are not listed. Another router's older table may list one.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedRows {
    rows: BTreeMap<EndpointId, Overwritten>,
}

impl UnlistedRows {
    /// The row of an id, which is `by` if none was known.
    pub(super) fn get_or_insert(&mut self, id: &str, by: Overwritten) -> &mut Overwritten {
        while self.rows.len() >= MAX_UNLISTED && !self.rows.contains_key(id) {
            self.rows.pop_first();
        }
        self.rows.entry(id.to_string()).or_insert(by)
    }

    /// Forgets the row of an id, and returns it.
    pub(super) fn remove(&mut self, id: &str) -> Option<Overwritten> {
        self.rows.remove(id)
    }
}
