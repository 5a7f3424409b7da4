//! Remembers removed rows up to a bound, so that a stale read or a copy of the registry does not bring their
//! endpoints back.

use crate::registry::Position;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;

/// Removed rows whose positions are remembered.
const MAX_TOMBSTONES: usize = 4096;

/// A row that was removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tombstone {
    pub(super) position: Position,
    /// Start of the endpoint that the row named, in ms since the epoch; 0 if it is not known.
    pub(super) born: u64,
}

/// Removed rows by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Tombstones {
    rows: BTreeMap<EndpointId, Tombstone>,
}

impl Tombstones {
    /// The removed row of an id.
    pub(super) fn get(&self, id: &str) -> Option<&Tombstone> {
        self.rows.get(id)
    }

    /// Remembers the position at which a row went, so that earlier rows do not bring the endpoint back.
    pub(super) fn bury(&mut self, id: &str, position: Position, born: u64) {
        while self.rows.len() >= MAX_TOMBSTONES {
            self.rows.pop_first();
        }
        self.rows
            .insert(id.to_string(), Tombstone { position, born });
    }

    /// Forgets the removed row of an id, which is listed again.
    pub(super) fn remove(&mut self, id: &str) {
        self.rows.remove(id);
    }
}
