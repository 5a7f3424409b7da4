//! What the roster holds of one endpoint, and whether the endpoint is in use.

use super::overwritten::Overwritten;
use crate::feed::{ChangedRow, RowChange};
use crate::load_reports::ReportKey;
use crate::manifest::EndpointEntry;
use crate::registry::Position;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Listed endpoints by id.
pub(super) type ListedEndpoints = BTreeMap<EndpointId, ListedEndpoint>;

/// An endpoint with its row and what limits its use.
#[derive(Clone, Debug)]
pub(super) struct ListedEndpoint {
    pub(super) entry: EndpointEntry,
    /// Key in messages, which every choice of an endpoint needs.
    pub(super) key: ReportKey,
    pub(super) position: Position,
    /// When the endpoint is no longer used, since its row vanished around an outage of the registry.
    pub(super) lapses_at: Option<Duration>,
    /// A later row of its id that names no endpoint.
    pub(super) overwritten: Option<Overwritten>,
    /// Until when the endpoint is not used, since it was gone before the registry came back from a
    /// copy that lists it.
    pub(super) doubted_until: Option<Duration>,
    /// Until when the endpoint is cold, by its row or by an answer of its own.
    pub(super) cold_until: Duration,
}

impl ListedEndpoint {
    pub(super) fn is_lapsed(&self, now: Duration) -> bool {
        let overwritten = self.overwritten.map(|overwritten| overwritten.lapses_at);
        let ends = [self.lapses_at, overwritten];
        ends.into_iter().flatten().any(|at| now >= at)
    }

    pub(super) fn is_doubted(&self, now: Duration) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// The row as of now, and the one in its place if it was overwritten, for another router.
    pub(super) fn changes(
        &self,
        id: &EndpointId,
        now: Duration,
    ) -> impl Iterator<Item = ChangedRow> {
        let entry = EndpointEntry {
            cold: self.cold_until.saturating_sub(now),
            ..self.entry.clone()
        };
        let known = (id.clone(), self.position, RowChange::Listed(entry));
        let unreadable = |by: Overwritten| (id.clone(), by.position, RowChange::Unreadable);
        std::iter::once(known).chain(self.overwritten.map(unreadable))
    }
}
