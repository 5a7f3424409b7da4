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
    /// Whether there are more changes than one message holds. The hearer reads them itself.
    pub fn is_cut(&self) -> bool {
        self.changed.len() > MAX_CHANGED
    }

    /// The feed with no more changes than tell the hearer that it is cut.
    pub fn for_datagram(mut self) -> Feed {
        if self.is_cut() {
            let unreadable = |_| (EndpointId::new(), 0, None);
            self.changed = (0..=MAX_CHANGED).map(unreadable).collect();
        }
        self
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
        }
    }
}
