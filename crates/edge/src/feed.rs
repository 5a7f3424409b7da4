//! Feeds: changes of the endpoint table that routers send each other.

use crate::manifest::EndpointEntry;
use crate::registry::{Entry, Position, Row, Rows};
use sequoiaridge_core::EndpointId;
use serde::{Deserialize, Serialize};

/// Changes in one message, and bytes that they may take. A datagram holds 1,200 bytes, and the other
/// fields take up to 300; one change with the longest names is alone in its message.
const CHANGES_PER_MESSAGE: usize = 6;
const MAX_CHANGE_BYTES: usize = 850;

/// Most changes that are sent to all routers, or to one as a repair: about 20 datagrams. More would
/// fill slow links, so each router reads them from the registry instead.
pub const MAX_FEED_CHANGES: usize = 120;

/// What became of a row of the endpoint table.
///
/// On the wire, the first two variants are what an `Option` of an entry is, as earlier routers send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row was removed.
    Removed,
    /// The row lists an endpoint.
    Listed(EndpointEntry),
    /// The row names no endpoint. The one that was listed before is held until it lapses.
    Unreadable,
}

impl From<&Entry> for RowChange {
    fn from(entry: &Entry) -> RowChange {
        match entry {
            Entry::Endpoint(entry) => RowChange::Listed(entry.clone()),
            Entry::Malformed(_) => RowChange::Unreadable,
            _ => RowChange::Removed,
        }
    }
}

impl From<RowChange> for Entry {
    fn from(change: RowChange) -> Entry {
        match change {
            RowChange::Removed => Entry::Removed,
            RowChange::Listed(entry) => Entry::Endpoint(entry),
            RowChange::Unreadable => Entry::malformed("another router cannot read it"),
        }
    }
}

/// A changed row of the endpoint table.
pub type ChangedRow = (EndpointId, Position, RowChange);

/// The changes between two positions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Position after which the changes start.
    pub from: Position,
    /// Position up to which the changes are complete.
    pub to: Position,
    /// Rows that changed.
    pub changed: Vec<ChangedRow>,
}

impl Feed {
    /// Prepends the changes of `previous`, so that the loss of one datagram leaves no gap. A feed
    /// that does not start where `previous` ends stays as it is, since neither contains the rows
    /// between them.
    pub fn preceded_by(self, previous: &Feed) -> Feed {
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

    /// Splits the feed into consecutive parts that each fit in a datagram. A receiver that misses a
    /// part finds that the next one starts after its own position, and requests a repair.
    pub fn into_parts(mut self) -> Vec<Feed> {
        self.changed.sort_by_key(|(_, position, _)| *position);
        let mut parts = Vec::new();
        loop {
            let count = count_that_fits(&self.changed);
            if count == self.changed.len() {
                break;
            }
            let rest = self.changed.split_off(count);
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

    /// Converts the changes to rows.
    pub fn into_rows(self) -> Rows {
        let row = |(key, position, entry): ChangedRow| Row {
            key,
            position,
            entry: entry.into(),
        };
        Rows {
            rows: self.changed.into_iter().map(row).collect(),
            position: self.to,
            next: None,
        }
    }
}

/// How many of the first changes fit in one message, but at least one.
fn count_that_fits(changed: &[ChangedRow]) -> usize {
    let mut bytes = 0;
    let fits = |change: &&ChangedRow| {
        bytes += encoded_bytes(change);
        bytes <= MAX_CHANGE_BYTES
    };
    let first = changed.iter().take(CHANGES_PER_MESSAGE);
    first.take_while(fits).count().max(changed.len().min(1))
}

/// Bytes that a change takes in a message. One that cannot be encoded fills a message, whose sender
/// then logs why.
fn encoded_bytes(change: &ChangedRow) -> usize {
    postcard::to_allocvec(change).map_or(MAX_CHANGE_BYTES, |bytes| bytes.len())
}
