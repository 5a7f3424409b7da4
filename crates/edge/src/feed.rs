//! Changes of the endpoints, from router to router.

use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows};
use sequoiaridge_core::EndpointId;
use serde::{Deserialize, Serialize};

/// Changes that one message holds; with a hundred bytes each they fit a datagram.
const MAX_CHANGED: usize = 6;

/// Changes that are told to all routers, or given to one: some twenty datagrams. More of them fill slow
/// links, and are read from the registry by each router.
pub const MAX_TOLD: usize = 120;

/// A changed row of an endpoint; `None` if it was removed or cannot be read.
pub type ChangedRow = (EndpointId, Position, Option<EndpointEntry>);

/// The changes between two positions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Position after which the changes follow.
    pub from: Position,
    /// Position up to which they are complete.
    pub to: Position,
    /// Endpoints that changed.
    pub changed: Vec<ChangedRow>,
}

impl Feed {
    /// The feed with what `previous` told before it, so that a lost datagram leaves no gap. A feed that
    /// does not follow on the previous one stays as it is: the rows between the two are in neither.
    pub fn repeating(self, previous: &Feed) -> Feed {
        if previous.to != self.from {
            return self;
        }
        let mut changed = previous.changed.clone();
        changed.extend(self.changed);
        Feed {
            from: previous.from,
            to: self.to,
            changed,
        }
    }

    /// The feed in parts that each fit a datagram and follow on each other. A hearer that misses one
    /// finds that the next does not follow on its own position, and asks for what is missing.
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
                from: self.from,
                to,
                changed: std::mem::replace(&mut self.changed, rest),
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
