//! What one router read from the registry, for the others.

use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows, Table};
use sequoiaridge_core::{EndpointId, Version};
use serde::{Deserialize, Serialize};

/// Changes that one message holds; with a hundred bytes each they fit a datagram.
const MAX_CHANGED: usize = 6;

/// A changed row of an endpoint; `None` if it was removed or cannot be read.
pub type ChangedRow = (EndpointId, Position, Option<EndpointEntry>);

/// The result of one read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Table that was read.
    pub table: Table,
    /// Position after which the changes follow.
    pub from: Position,
    /// Position up to which they are complete.
    pub to: Position,
    /// Configuration that the reader has in force.
    pub version: Version,
    /// Endpoints that changed.
    pub changed: Vec<ChangedRow>,
}

impl Feed {
    /// The feed with what `previous` told before it, so that a lost datagram leaves no gap. A feed that
    /// does not follow on the previous one stays as it is: the rows between the two are in neither.
    pub fn repeating(self, previous: &Feed) -> Feed {
        if previous.table != self.table || previous.to != self.from {
            return self;
        }
        let mut changed = previous.changed.clone();
        changed.extend(self.changed);
        Feed {
            from: previous.from,
            changed,
            ..self
        }
    }

    /// The feed in parts that each fit a datagram and follow on each other. A hearer that misses one
    /// finds that the next does not follow on its own position, and reads for itself.
    pub fn into_parts(mut self) -> Vec<Feed> {
        self.changed.sort_by_key(|(_, position, _)| *position);
        let mut parts = Vec::new();
        while self.changed.len() > MAX_CHANGED {
            let rest = self.changed.split_off(MAX_CHANGED);
            let to = self
                .changed
                .last()
                .map_or(self.from, |(_, position, _)| *position);
            parts.push(Feed {
                to,
                changed: std::mem::replace(&mut self.changed, rest),
                ..self.clone()
            });
            self.from = to;
        }
        parts.push(self);
        parts
    }

    /// The changes as rows.
    pub fn into_rows(self) -> Rows {
        let row = |(key, position, entry): ChangedRow| Row {
            key,
            position,
            entry: entry.map_or(Entry::Removed, Entry::Endpoint),
        };
        Rows {
            rows: self.changed.into_iter().map(row).collect(),
            position: self.to,
            next: None,
        }
    }
}
