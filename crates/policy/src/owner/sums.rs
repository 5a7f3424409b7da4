//! Sums that an [`Owner`] publishes and those of the others that it uses.

use super::Owner;
use crate::{GroupTotal, RemoteTotals};
use sequoiaridge_core::ModelName;
use std::time::Duration;

impl Owner {
    /// Work and capacity of each group at this router: the requests that it has outstanding on open
    /// endpoints, and the slots of the open endpoints that it admits to.
    ///
    /// Load that only an engine reports is left out. Another router may still count it in its own
    /// sum, and work that is counted twice would raise the bound.
    pub fn sums(&mut self, now: Duration) -> Vec<(ModelName, GroupTotal)> {
        self.refresh_own(now);
        let groups = self
            .groups
            .iter()
            .map(|(name, g)| (name.clone(), g.own_total));
        groups
            .filter(|(_, total)| *total != GroupTotal::default())
            .collect()
    }

    /// Replaces what is known of the other owners' sums. With `None` the counts of single endpoints
    /// are used, as in a small fleet, in which all of them are known.
    pub fn set_remote_totals(&mut self, others: Option<RemoteTotals>) {
        self.others = others;
    }

    /// Work and capacity of a group, with which the bound is computed.
    pub fn group_total(&self, group: &str) -> GroupTotal {
        let Some(known) = self.groups.get(group) else {
            return GroupTotal::default();
        };
        let Some(others) = &self.others else {
            return GroupTotal {
                work: known.work,
                capacity: known.capacity,
            };
        };
        let others = others.group(group);
        GroupTotal {
            work: known.own_total.work + others.work,
            capacity: known.own_total.capacity + others.capacity,
        }
    }
}
