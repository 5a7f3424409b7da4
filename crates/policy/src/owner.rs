//! Admission to the endpoints that one router owns. See section 4.1 of `docs/design.md`.

mod group;
mod place;
mod query;
mod run;
mod sums;

use crate::endpoint::{Endpoint, Part};
use crate::{ChatEntry, ChatIndex, EndpointInfo, EndpointState, OwnerConfig};
use crate::{RemoteTotals, SuspectSlots, TicketId};
use group::Group;
use sequoiaridge_core::{ChatKey, CustomerId, EndpointId, Fingerprint, ModelName, RouterId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A call that runs on an endpoint.
#[derive(Clone, Debug)]
struct Running {
    endpoint: EndpointId,
    group: ModelName,
    customer: CustomerId,
    fingerprint: Fingerprint,
    started: Duration,
}

/// Admits calls to the endpoints that one router owns and counts them exactly.
///
/// The owner knows every endpoint of the fleet, because the load bound compares an endpoint with the
/// mean of its group, but it only admits to its own. An endpoint admits while
///
/// * it is up and its last successful probe is not older than `leave_bound`,
/// * its outstanding requests are below its capacity, and
/// * they stay within the [`LoadBound`](crate::LoadBound) of the group that the call names. The work
///   of a group is that of its open endpoints; an endpoint that serves several models counts with
///   all of its requests in each of its groups.
///
/// An open endpoint for which no count was received counts as idle, which keeps the bound low. In a
/// large fleet most counts are not received, so the work of other owners is then taken from their
/// sums: see [`Owner::set_remote_totals`].
///
/// WaitingCall calls start from [`Owner::finish`] and from [`Owner::start_waiting`], which the router
/// calls after probes and reports. [`Owner::expire`] has to be called several times a second.
#[derive(Clone, Debug)]
pub struct Owner {
    config: OwnerConfig,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    groups: BTreeMap<ModelName, Group>,
    running: BTreeMap<TicketId, Running>,
    // Group in whose queue a ticket waits.
    waiting: BTreeMap<TicketId, ModelName>,
    suspects: SuspectSlots,
    chats: ChatIndex,
    // No group sum changes by the passing of time before this.
    next_change: Duration,
    // Sums of the other owners; `None` while counts of single endpoints are used.
    others: Option<RemoteTotals>,
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
            others: None,
        }
    }

    /// Adds or replaces the description of an endpoint. Its counts stay.
    pub fn set_endpoint(&mut self, mut info: EndpointInfo, now: Duration) {
        info.groups.sort();
        info.groups.dedup();
        let id = info.id.clone();
        let old = self.detach(&id);
        match self.endpoints.get_mut(&id) {
            Some(endpoint) => endpoint.replace(info, now),
            None => drop(self.endpoints.insert(id.clone(), Endpoint::new(info, now))),
        }
        self.attach(&id);
        self.refresh(&id, now);
        old.iter().for_each(|name| self.drop_unused(name));
    }

    /// Changes the state of an endpoint.
    pub fn set_state(&mut self, id: &str, state: EndpointState, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| !e.removed) {
            endpoint.info.state = state;
            self.refresh(id, now);
        }
    }

    /// Forgets an endpoint. Calls that run there stay counted until they finish, in case it returns.
    pub fn remove_endpoint(&mut self, id: &str) {
        let old = self.detach(id);
        old.iter().for_each(|name| self.drop_unused(name));
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

    /// Notes a successful probe of an own endpoint, which reported `running` requests.
    pub fn record_probe(&mut self, id: &str, running: u32, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_probe(running, now);
            self.refresh(id, now);
        }
    }

    /// Notes how many calls another router has outstanding at an endpoint. Counts of several routers
    /// are added. Counts for unknown endpoints are ignored.
    pub fn record_report(&mut self, router: &str, id: &str, count: u32, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_report(router, count);
            self.refresh(id, now);
        }
    }

    /// Replaces all counts of other routers: what is not in `reports` counts as zero. A router that
    /// no longer owns an endpoint and has finished its calls there reports nothing any more.
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
                self.refresh(&id, now);
            }
        }
    }

    /// Drops the counts of a router that is dead.
    pub fn forget_router(&mut self, router: &str, now: Duration) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.record_report(router, &id, 0, now);
        }
    }

    /// Records that an endpoint of another owner took the chat.
    pub fn record_chat(&mut self, chat: ChatKey, endpoint: &str, now: Duration) {
        self.chats.record(chat, endpoint, now);
    }

    /// Adds the chat index of an owner that drains.
    pub fn merge_chats(&mut self, entries: &[ChatEntry], now: Duration) {
        self.chats.merge(entries, now);
    }

    fn attach(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        for name in &endpoint.info.groups {
            let limit = self.config.queue_limit;
            let group = self.groups.entry(name.clone());
            let group = group.or_insert_with(|| Group::new(limit));
            group.members += 1;
            if endpoint.info.owned {
                group.owned.insert(id.to_string());
            }
        }
    }

    /// Takes an endpoint out of its groups and returns their names.
    fn detach(&mut self, id: &str) -> Vec<ModelName> {
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| !e.removed) else {
            return Vec::new();
        };
        let part = std::mem::take(&mut endpoint.part);
        for name in &endpoint.info.groups {
            if let Some(group) = self.groups.get_mut(name) {
                group.update(part, Part::default());
                group.members -= 1;
                group.owned.remove(id);
            }
        }
        endpoint.info.groups.clone()
    }

    /// Brings the group sums up to date with one endpoint.
    fn refresh(&mut self, id: &str, now: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let new = endpoint.current_part(now, &self.config);
        let old = std::mem::replace(&mut endpoint.part, new);
        if let Some(at) = endpoint.next_change(now, &self.config) {
            self.next_change = self.next_change.min(at);
        }
        if old == new {
            return;
        }
        for name in &endpoint.info.groups {
            if let Some(group) = self.groups.get_mut(name) {
                group.update(old, new);
            }
        }
    }

    /// Brings the group sums up to date with the passing of time: probes grow old and settling times
    /// end. Without it an endpoint that no longer counts would still raise the mean of the others.
    fn refresh_own(&mut self, now: Duration) {
        if now < self.next_change {
            return;
        }
        self.next_change = Duration::MAX;
        let own: BTreeSet<EndpointId> =
            (self.groups.values().flat_map(|g| g.owned.iter().cloned())).collect();
        for id in own {
            self.refresh(&id, now);
        }
    }
}
