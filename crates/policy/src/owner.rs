//! Admission to the endpoints that one router owns. See section 4.1 of `docs/design.md`.

mod group;
mod place;
mod query;
mod run;
mod sums;

use crate::endpoint::{Contribution, Endpoint};
use crate::{ChatEntry, ChatIndex, EndpointInfo, EndpointState, OwnerConfig};
use crate::{RemoteTotals, SuspectSlots, TicketId};
use group::Group;
use sequoiaridge_core::{ChatKey, CustomerId, EndpointId, Fingerprint, ModelName, RouterId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A call that runs on an endpoint.
#[derive(Clone, Debug)]
struct RunningCall {
    endpoint: EndpointId,
    group: ModelName,
    customer: CustomerId,
    fingerprint: Fingerprint,
    started: Duration,
}

/// Admits calls to the endpoints that one router owns and counts them exactly.
///
/// The owner knows every endpoint of the fleet, because the load bound compares an endpoint with
/// the mean of its group, but it only admits to its own. An endpoint admits while
///
/// * it is up and its last successful probe is not older than `leave_bound`,
/// * its outstanding requests are below its capacity, and
/// * they stay within the [`LoadBound`](crate::LoadBound) of the group that the call names. The
///   work
///   of a group is that of its open endpoints; an endpoint that serves several models counts with
///   all of its requests in each of its groups.
///
/// An open endpoint without a received count counts as idle, which keeps the bound low. In a large
/// fleet most counts are not received; the work of other owners is then taken from the sums that
/// they publish, see [`Owner::set_remote_totals`].
///
/// Waiting calls are started by [`Owner::finish`] and by [`Owner::start_waiting`], which the router
/// calls after probes and reports. [`Owner::expire`] must be called several times a second.
#[derive(Clone, Debug)]
pub struct Owner {
    config: OwnerConfig,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    groups: BTreeMap<ModelName, Group>,
    running: BTreeMap<TicketId, RunningCall>,
    // Group in whose queue each ticket waits.
    waiting: BTreeMap<TicketId, ModelName>,
    suspects: SuspectSlots,
    chats: ChatIndex,
    // Earliest time at which a group sum changes without new input.
    next_change: Duration,
    // Totals of the other owners; `None` while the counts of single endpoints are used.
    remote: Option<RemoteTotals>,
}

impl Owner {
    /// Creates an owner that knows no endpoint.
    pub fn new(config: OwnerConfig) -> Owner {
        Owner {
            chats: ChatIndex::new(config.chat_limit),
            config,
            endpoints: BTreeMap::new(),
            groups: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            suspects: SuspectSlots::default(),
            next_change: Duration::MAX,
            remote: None,
        }
    }

    /// Adds an endpoint or replaces its description. Its counts are kept.
    pub fn set_endpoint(&mut self, mut info: EndpointInfo, now: Duration) {
        info.groups.sort();
        info.groups.dedup();
        let id = info.id.clone();
        let old = self.remove_from_groups(&id);
        match self.endpoints.get_mut(&id) {
            Some(endpoint) => endpoint.set_info(info, now),
            None => drop(self.endpoints.insert(id.clone(), Endpoint::new(info, now))),
        }
        self.add_to_groups(&id);
        self.update_sums(&id, now);
        old.iter().for_each(|name| self.drop_unused_group(name));
    }

    /// Changes the state of an endpoint.
    pub fn set_state(&mut self, id: &str, state: EndpointState, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| !e.removed) {
            endpoint.info.state = state;
            self.update_sums(id, now);
        }
    }

    /// Removes an endpoint. Calls that run there stay counted until they finish, in case the
    /// endpoint is added again.
    pub fn remove_endpoint(&mut self, id: &str) {
        let old = self.remove_from_groups(id);
        old.iter().for_each(|name| self.drop_unused_group(name));
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.removed = true;
        endpoint.info.state = EndpointState::Down;
        endpoint.info.owned = false;
        if endpoint.outstanding == 0 {
            self.endpoints.remove(id);
        }
    }

    /// Records a successful probe of an owned endpoint, which reported `running` requests.
    pub fn record_probe(&mut self, id: &str, running: u32, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_probe(running, now);
            self.update_sums(id, now);
        }
    }

    /// Records how many calls another router has outstanding at an endpoint. The counts of several
    /// routers are added. Counts for unknown endpoints are ignored.
    pub fn record_report(&mut self, router: &str, id: &str, count: u32, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_report(router, count);
            self.update_sums(id, now);
        }
    }

    /// Replaces all counts of other routers. A count that is missing from `reports` is zero: a
    /// router that no longer owns an endpoint and has finished its calls there stops reporting it.
    pub fn set_reports<'a>(
        &mut self,
        reports: impl Iterator<Item = (&'a RouterId, &'a EndpointId, u32)>,
        now: Duration,
    ) {
        let mut new: BTreeMap<&EndpointId, BTreeMap<RouterId, u32>> = BTreeMap::new();
        for (router, id, count) in reports.filter(|(_, _, count)| *count > 0) {
            new.entry(id).or_default().insert(router.clone(), count);
        }
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let counts = new.remove(&id).unwrap_or_default();
            if let Some(endpoint) = self.endpoints.get_mut(&id)
                && endpoint.reports != counts
            {
                endpoint.reports = counts;
                self.update_sums(&id, now);
            }
        }
    }

    /// Drops the counts of a dead router.
    pub fn forget_router(&mut self, router: &str, now: Duration) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.record_report(router, &id, 0, now);
        }
    }

    /// Records that an endpoint of another owner admitted the chat.
    pub fn record_chat(&mut self, chat: ChatKey, endpoint: &str, now: Duration) {
        self.chats.record(chat, endpoint, now);
    }

    /// Merges the chat index of a draining owner.
    pub fn merge_chats(&mut self, entries: &[ChatEntry], now: Duration) {
        self.chats.merge(entries, now);
    }

    fn add_to_groups(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        for name in &endpoint.info.groups {
            let limit = self.config.queue_limit;
            let group = self.groups.entry(name.clone());
            let group = group.or_insert_with(|| Group::new(limit));
            group.endpoints += 1;
            if endpoint.info.owned {
                group.owned.insert(id.to_string());
            }
        }
    }

    /// Removes an endpoint from its groups and returns their names.
    fn remove_from_groups(&mut self, id: &str) -> Vec<ModelName> {
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| !e.removed) else {
            return Vec::new();
        };
        let contribution = std::mem::take(&mut endpoint.contribution);
        for name in &endpoint.info.groups {
            if let Some(group) = self.groups.get_mut(name) {
                group.replace_contribution(contribution, Contribution::default());
                group.endpoints -= 1;
                group.owned.remove(id);
            }
        }
        endpoint.info.groups.clone()
    }

    /// Updates the group sums with the current contribution of one endpoint.
    fn update_sums(&mut self, id: &str, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let new = endpoint.current_contribution(now, &self.config);
        let old = std::mem::replace(&mut endpoint.contribution, new);
        if let Some(at) = endpoint.next_change(now, &self.config) {
            self.next_change = self.next_change.min(at);
        }
        if old == new {
            return;
        }
        for name in &endpoint.info.groups {
            if let Some(group) = self.groups.get_mut(name) {
                group.replace_contribution(old, new);
            }
        }
    }

    /// Updates the group sums with what the passing of time changes: probes become stale and
    /// settling times end. Otherwise an endpoint that no longer counts would still raise the mean
    /// of the others.
    fn update_owned_sums(&mut self, now: Duration) {
        if now < self.next_change {
            return;
        }
        self.next_change = Duration::MAX;
        let owned: BTreeSet<EndpointId> =
            (self.groups.values().flat_map(|g| g.owned.iter().cloned())).collect();
        for id in owned {
            self.update_sums(&id, now);
        }
    }
}
