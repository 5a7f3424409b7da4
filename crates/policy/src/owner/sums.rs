//! Sums that an [`Owner`] publishes, and its use of the sums of other owners.

use super::Owner;
use crate::{GroupTotal, RemoteTotals};
use sequoiaridge_core::ModelName;
use std::time::Duration;

impl Owner {
    /// Returns the work and capacity of each group at this router: the requests that it has
    /// outstanding on open endpoints, and the slots of the open endpoints that it owns.
    ///
    /// Load that only an engine reports is left out. Another router may still count it in its own
    /// sum, and work counted twice would raise the bound.
    pub fn sums(&mut self, now: Duration) -> Vec<(ModelName, GroupTotal)> {
        self.update_owned_sums(now);
        let groups = self
            .groups
            .iter()
            .map(|(name, g)| (name.clone(), g.own_total));
        groups
            .filter(|(_, total)| *total != GroupTotal::default())
            .collect()
    }

    /// Sets the totals of the other owners. With `None`, the counts of single endpoints are used
    /// instead, as in a small fleet, in which all of them are known.
    pub fn set_remote_totals(&mut self, remote: Option<RemoteTotals>) {
        self.remote = remote;
    }

    /// Returns the work and capacity of a group from which the bound is computed.
    pub fn group_total(&self, group: &str) -> GroupTotal {
        let Some(known) = self.groups.get(group) else {
            return GroupTotal::default();
        };
        let Some(remote) = &self.remote else {
            return GroupTotal {
                work: known.work,
                capacity: known.capacity,
            };
        };
        let remote = remote.group(group);
        GroupTotal {
            work: known.own_total.work + remote.work,
            capacity: known.own_total.capacity + remote.capacity,
        }
    }
}
