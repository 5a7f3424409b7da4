//! Starts of endpoints that announced in an answer that they are leaving.

use crate::manifest::EndpointEntry;
use crate::sorted_walk::SortedWalk;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Most endpoints that are remembered, including those whose rows are gone.
const MAX_ENDPOINTS: usize = 4096;

/// Leaving starts by endpoint and boot id, with the wall time of the answer that announced it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingStarts {
    starts: BTreeMap<EndpointId, BTreeMap<String, SystemTime>>,
}

impl LeavingStarts {
    /// Records that a start is leaving, as an answer of the given wall time says. Returns whether
    /// that is new.
    pub(crate) fn insert(&mut self, id: &str, boot: &str, announced_at: SystemTime) -> bool {
        while self.starts.len() >= MAX_ENDPOINTS {
            self.starts.pop_first();
        }
        let starts = self.starts.entry(id.to_string()).or_default();
        starts.insert(boot.to_string(), announced_at).is_none()
    }

    /// Whether the listed start has announced that it is leaving.
    pub(crate) fn contains(&self, entry: &EndpointEntry) -> bool {
        let starts = self.starts.get(&entry.id);
        starts.is_some_and(|starts| starts.contains_key(&entry.boot()))
    }

    /// Looks up ascending ids. Those of endpoints that are gone stay in the table, so it may be as long as the
    /// roster.
    pub(crate) fn walk(&self) -> LeavingWalk<'_> {
        LeavingWalk(SortedWalk::new(&self.starts))
    }

    /// Records that a start is listed; `is_new` says that the endpoint was not listed before. Other
    /// starts are over. But an answer from after the listed start began must have come from that
    /// start, which the registry lists only now, so its announcement is kept for the listed start.
    /// Clocks of instances differ a little; a margin either way would be wrong where they do not.
    pub(crate) fn note_listed(&mut self, entry: &EndpointEntry, is_new: bool) {
        let Some(starts) = self.starts.get_mut(&entry.id) else {
            return;
        };
        let boot = entry.boot();
        let own = starts.remove(&boot).filter(|_| !is_new || !boot.is_empty());
        let born = entry.born.map(Duration::from_millis);
        let born = born.map(|born| SystemTime::UNIX_EPOCH + born);
        let late = starts
            .values()
            .find(|announced_at| born.is_some_and(|born| **announced_at > born));
        let announced_at = own.or(late.copied());
        self.starts.remove(&entry.id);
        if let Some(announced_at) = announced_at {
            self.insert(&entry.id, &boot, announced_at);
        }
    }
}

/// Lookups of ascending ids among the leaving starts.
pub(crate) struct LeavingWalk<'a>(SortedWalk<'a, EndpointId, BTreeMap<String, SystemTime>>);

impl LeavingWalk<'_> {
    /// Whether the listed start has announced that it is leaving.
    pub(crate) fn contains(&mut self, entry: &EndpointEntry) -> bool {
        let starts = self.0.find(&entry.id);
        starts.is_some_and(|starts| starts.contains_key(&entry.boot()))
    }
}
