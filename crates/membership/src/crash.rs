//! Deduplication of crash notices.

use crate::CrashNotice;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a notice is recognized when it arrives again. Strikes count for as long.
const NOTICE_TTL: Duration = Duration::from_secs(600);

/// Maximum number of notices that are remembered. The oldest is evicted first.
const MAX_NOTICES: usize = 4096;

/// Notices that were sent or received, and those of other routers that the caller has not taken
/// yet.
#[derive(Debug, Default)]
pub(crate) struct CrashNotices {
    seen: BTreeMap<CrashNotice, Duration>,
    undelivered: Vec<CrashNotice>,
}

impl CrashNotices {
    /// Records a notice of this router. Returns whether it is new.
    pub(crate) fn record(&mut self, notice: &CrashNotice, now: Duration) -> bool {
        if self.seen.contains_key(notice) {
            return false;
        }
        if self.seen.len() >= MAX_NOTICES
            && let Some(oldest) = self.seen.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.seen.remove(&oldest);
        }
        self.seen.insert(notice.clone(), now);
        true
    }

    /// Records a notice of another router. Returns whether it is new.
    pub(crate) fn receive(&mut self, notice: &CrashNotice, now: Duration) -> bool {
        let new = self.record(notice, now);
        if new {
            self.undelivered.push(notice.clone());
        }
        new
    }

    /// Takes the notices that arrived since the last call.
    pub(crate) fn take(&mut self) -> Vec<CrashNotice> {
        std::mem::take(&mut self.undelivered)
    }

    /// Forgets notices older than [`NOTICE_TTL`].
    pub(crate) fn expire(&mut self, now: Duration) {
        self.seen
            .retain(|_, at| now.saturating_sub(*at) < NOTICE_TTL);
    }
}
