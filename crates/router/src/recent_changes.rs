//! The latest configuration changes, which peers with an older version request.

use bytes::Bytes;
use sequoiaridge_core::{Change, Version};
use sequoiaridge_wire::VersionedChange;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Maximum number of changes kept: about an hour at 6,700 changes a day.
const MAX_CHANGES: usize = 256;

/// A bounded list of consecutive changes that are in force at this router.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    changes: Mutex<VecDeque<VersionedChange>>,
}

impl RecentChanges {
    /// Adds the change that led to `version`. If versions were skipped, the earlier changes are
    /// dropped.
    pub(crate) fn push(&self, version: Version, change: &Change) {
        let Ok(json) = serde_json::to_vec(change) else {
            return;
        };
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        if changes
            .back()
            .is_some_and(|last| last.version + 1 != version)
        {
            changes.clear();
        }
        changes.push_back(VersionedChange {
            version,
            change: Bytes::from(json),
        });
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
        }
    }

    /// Returns the changes after version `since`; `None` if some of them are not kept.
    pub(crate) fn since(&self, since: Version) -> Option<Vec<VersionedChange>> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let first = changes.front()?.version;
        (first <= since + 1).then(|| {
            changes
                .iter()
                .filter(|change| change.version > since)
                .cloned()
                .collect()
        })
    }
}
