//! Starts of endpoints that announced in an answer that they are leaving.

use crate::manifest::EndpointEntry;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Most endpoints that are remembered, including those whose rows are gone.
const MAX_ENDPOINTS: usize = 4096;
/// Time after a start from which an answer is attributed to that start. Clocks of instances may
/// differ by about two seconds.
const CLOCK_SKEW: Duration = Duration::from_millis(2500);

/// An answer that announced that its endpoint is leaving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement {
    /// Wall time of the answer.
    pub(crate) at: SystemTime,
    /// Whether the listed start had ended, so that a later one announced it.
    pub(crate) by_next: bool,
}

impl Announcement {
    /// Creates an announcement of the listed start, as far as is known.
    pub(crate) fn new(at: SystemTime) -> Announcement {
        Announcement { at, by_next: false }
    }
}

/// Leaving starts by endpoint and boot id, with the answer that announced it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingStarts {
    starts: BTreeMap<EndpointId, BTreeMap<String, Announcement>>,
}

impl LeavingStarts {
    /// Records that a start is leaving, as an answer says. Returns whether that is new.
    pub(crate) fn insert(&mut self, id: &str, boot: &str, announcement: Announcement) -> bool {
        while self.starts.len() >= MAX_ENDPOINTS {
            self.starts.pop_first();
        }
        let starts = self.starts.entry(id.to_string()).or_default();
        starts.insert(boot.to_string(), announcement).is_none()
    }

    /// Whether the listed start has announced that it is leaving.
    pub(crate) fn contains(&self, entry: &EndpointEntry) -> bool {
        let starts = self.starts.get(&entry.id);
        starts.is_some_and(|starts| starts.contains_key(&entry.boot()))
    }

    /// Records that a start is listed; `is_new` says that the endpoint was not listed before. Other
    /// starts are over. But an answer from after the listed start began must have come from that
    /// start, which the registry lists only now, so its announcement is kept for the listed start.
    pub(crate) fn note_listed(&mut self, entry: &EndpointEntry, is_new: bool) {
        let Some(starts) = self.starts.get_mut(&entry.id) else {
            return;
        };
        let boot = entry.boot();
        let own = starts.remove(&boot).filter(|_| !is_new || !boot.is_empty());
        let born = entry.born.map(Duration::from_millis);
        let born = born.map(|born| SystemTime::UNIX_EPOCH + born);
        let late = starts.values().find(|announcement| {
            born.is_some_and(|born| {
                let is_near = announcement.at + CLOCK_SKEW > born;
                announcement.at > born + CLOCK_SKEW || announcement.by_next && is_near
            })
        });
        let announcement = own.or(late.copied());
        self.starts.remove(&entry.id);
        if let Some(Announcement { at, .. }) = announcement {
            self.insert(&entry.id, &boot, Announcement::new(at));
        }
    }
}
