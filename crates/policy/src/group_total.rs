//! Work and capacity of the groups at other owners, taken from the sums that they publish.

use sequoiaridge_core::ModelName;
use std::collections::BTreeMap;

/// Work and capacity of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupTotal {
    /// Outstanding requests, each counted by the one router that admitted it.
    pub work: u64,
    /// Slots of open endpoints.
    pub capacity: u64,
}

/// Work and capacity of each group at all other owners. They replace the counts of single endpoints
/// in fleets where these do not reach all routers in time.
///
/// The total that the load bound uses may underestimate work and overestimate capacity, which only
/// lowers the bound. It never overestimates work or underestimates capacity:
///
/// * A request is counted only by the router that admitted it, so work is never counted twice, even
///   while two owners admit to one endpoint.
/// * An endpoint that two owners admit to has its capacity counted twice.
/// * Endpoints whose owner has published no sum yet are added as idle with
///   [`RemoteTotals::add_idle`].
/// * A dead owner's work is left out. Its capacity stays until the next owners' sums contain it.
///
/// ```
/// use sequoiaridge_policy::RemoteTotals;
///
/// let mut others = RemoteTotals::default();
/// others.add("small", 12, 64);
/// others.add_idle("small", 32);
/// assert_eq!(others.group("small").capacity, 96);
/// assert_eq!(others.group("large").work, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemoteTotals {
    groups: BTreeMap<ModelName, GroupTotal>,
}

impl RemoteTotals {
    /// Adds the sum of one owner, or of several owners that are in no other sum.
    pub fn add(&mut self, group: &str, work: u32, capacity: u32) {
        let total = self.groups.entry(group.to_string()).or_default();
        total.work += u64::from(work);
        total.capacity += u64::from(capacity);
    }

    /// Adds an open endpoint that is in no sum. It counts as idle, because unknown load must not
    /// raise the bound.
    pub fn add_idle(&mut self, group: &str, capacity: u32) {
        self.add(group, 0, capacity);
    }

    /// Returns the total of one group.
    pub fn group(&self, group: &str) -> GroupTotal {
        self.groups.get(group).copied().unwrap_or_default()
    }
}
