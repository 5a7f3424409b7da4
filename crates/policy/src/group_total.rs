//! Work and capacity of the groups at the other owners, from the sums that they publish.

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

/// Work and capacity of each group at all other owners. It replaces the counts of single endpoints
/// where these do not reach all routers in time.
///
/// The total that the load bound uses may have too little work and too much capacity, which only
/// lowers the bound, but never the reverse:
///
/// * A request is counted by the router that admitted it and by no other, so work is never counted
///   twice, also while two owners admit to one endpoint.
/// * An endpoint that two owners admit to has its capacity counted twice.
/// * Endpoints whose owner has published no sum yet are added as idle with [`RemoteTotals::add_idle`].
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
    /// Adds the sum of one owner, or of several that are in no other sum.
    pub fn add(&mut self, group: &str, work: u32, capacity: u32) {
        let total = self.groups.entry(group.to_string()).or_default();
        total.work += u64::from(work);
        total.capacity += u64::from(capacity);
    }

    /// Adds an open endpoint that is in no sum. It counts as idle, because an unknown mean must not
    /// raise the bound.
    pub fn add_idle(&mut self, group: &str, capacity: u32) {
        self.add(group, 0, capacity);
    }

    /// The total of one group.
    pub fn group(&self, group: &str) -> GroupTotal {
        self.groups.get(group).copied().unwrap_or_default()
    }
}
