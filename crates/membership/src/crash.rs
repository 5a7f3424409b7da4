//! Crash notices, each delivered once.

use crate::CrashNotice;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a notice is recognised when it arrives again. Strikes count for as long.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Notices that are remembered at the same time.
const MAX_REMEMBERED: usize = 4096;

/// Notices that arrived, and those that the router has not taken yet.
#[derive(Debug, Default)]
pub(crate) struct CrashBook {
    seen: BTreeMap<CrashNotice, Duration>,
    fresh: Vec<CrashNotice>,
}

impl CrashBook {
    /// Records a notice of the own router; returns whether it is new.
    pub(crate) fn record(&mut self, notice: &CrashNotice, now: Duration) -> bool {
        if self.seen.contains_key(notice) {
            return false;
        }
        if self.seen.len() >= MAX_REMEMBERED
            && let Some(oldest) = self.seen.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.seen.remove(&oldest);
        }
        self.seen.insert(notice.clone(), now);
        true
    }

    /// Records a notice of another router; returns whether it is new.
    pub(crate) fn receive(&mut self, notice: &CrashNotice, now: Duration) -> bool {
        let new = self.record(notice, now);
        if new {
            self.fresh.push(notice.clone());
        }
        new
    }

    /// Notices that arrived since the last call.
    pub(crate) fn take(&mut self) -> Vec<CrashNotice> {
        std::mem::take(&mut self.fresh)
    }

    /// Forgets old notices.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.seen
            .retain(|_, at| now.saturating_sub(*at) < REMEMBERED);
    }
}
