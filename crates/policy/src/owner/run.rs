//! Start and end of calls.

use super::{Owner, RunningCall};
use crate::{
    Call, CustomerShare, FairQueue, Placement, RefusedCall, StartedCall, TicketId, WaitingCall,
};
use sequoiaridge_core::{EndpointId, ModelName, Refusal, RefusalReason};
use std::time::Duration;

/// Retry-after time if the group is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Owner {
    /// Ends a running or waiting call and starts the calls that can run now. An unknown ticket is
    /// ignored, so ending a call twice changes no count.
    pub fn finish(&mut self, ticket: TicketId, now: Duration) -> Vec<StartedCall> {
        if let Some(name) = self.waiting.remove(&ticket) {
            if let Some(group) = self.groups.get_mut(&name) {
                group.queue.remove(ticket);
            }
            self.drop_unused_group(&name);
        }
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        let id = running.endpoint.as_str();
        self.suspects.release(id, ticket);
        if let Some(group) = self.groups.get_mut(&running.group) {
            group.finish(&running.customer, now.saturating_sub(running.started));
        }
        self.drop_unused_group(&running.group);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outstanding -= 1;
            if endpoint.removed && endpoint.outstanding == 0 {
                self.endpoints.remove(id);
            }
        }
        self.update_sums(id, now);
        self.start_waiting(now)
    }

    /// Starts the waiting calls that can run now. Called after probes, reports and changes of
    /// state.
    pub fn start_waiting(&mut self, now: Duration) -> Vec<StartedCall> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.update_owned_sums(now);
        let mut busy: Vec<(Duration, ModelName)> = (self.groups.iter())
            .filter_map(|(name, group)| Some((group.queue.first_due()?, name.clone())))
            .collect();
        busy.sort();
        let mut started = Vec::new();
        for (_, name) in busy {
            while let Some(call) = self.start_next(&name, now) {
                started.push(call);
            }
        }
        started
    }

    /// Refuses the waiting calls whose allowed wait or deadline has passed. Called several times a
    /// second.
    pub fn expire(&mut self, now: Duration) -> Vec<RefusedCall> {
        self.update_owned_sums(now);
        let mut ended = Vec::new();
        let names: Vec<ModelName> = self.groups.keys().cloned().collect();
        for name in names {
            let Some(group) = self.groups.get_mut(&name) else {
                continue;
            };
            let open = group.capacity > 0;
            for WaitingCall { call, .. } in group.queue.expire(now) {
                let reason = match open {
                    _ if now >= call.deadline => RefusalReason::Deadline,
                    true => RefusalReason::Overload,
                    false => RefusalReason::NoEndpoint,
                };
                ended.push(self.end_waiting(&call, reason));
            }
            self.drop_unused_group(&name);
        }
        ended
    }

    /// Removes and returns all waiting calls, so that a draining router can forward them.
    pub fn take_waiting(&mut self) -> Vec<WaitingCall> {
        self.waiting.clear();
        let groups = self.groups.values_mut();
        let taken = groups.flat_map(|g| g.queue.drain()).collect();
        self.groups.retain(|_, group| !group.is_unused());
        taken
    }

    /// Admits the call to the endpoint, which the caller found to have room.
    pub(super) fn admit(&mut self, call: &Call, id: &str, now: Duration) -> Placement {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outstanding += 1;
        }
        if let Some(group) = self.groups.get_mut(&call.group) {
            group.start(&call.customer);
        }
        if call.suspect {
            self.suspects.take(id, call.ticket);
        } else if let Some(chat) = call.chat {
            self.chats.record(chat, id, now);
        }
        let running = RunningCall {
            endpoint: id.to_string(),
            group: call.group.clone(),
            customer: call.customer.clone(),
            fingerprint: call.fingerprint,
            started: now,
        };
        self.running.insert(call.ticket, running);
        self.update_sums(id, now);
        Placement::Admit {
            endpoint: id.to_string(),
        }
    }

    /// Whether the owned endpoint can admit this call.
    pub(super) fn has_room(&self, call: &Call, id: &str, now: Duration) -> bool {
        let alone = !call.suspect || self.suspects.is_free(id) && !self.is_running(call);
        alone && self.has_slot(&call.group, id, now)
    }

    /// Whether a call with the same fingerprint runs on an owned endpoint.
    pub(super) fn is_running(&self, call: &Call) -> bool {
        let mut running = self.running.values();
        running.any(|running| running.fingerprint == call.fingerprint)
    }

    /// Whether the owned endpoint is below its capacity and its bound in the group.
    fn has_slot(&self, group: &str, id: &str, now: Duration) -> bool {
        let total = self.group_total(group);
        let (Some(group), Some(endpoint)) = (self.groups.get(group), self.endpoints.get(id)) else {
            return false;
        };
        if !group.owned.contains(id) || !endpoint.is_open(now, &self.config) {
            return false;
        }
        let contribution = endpoint.contribution;
        let bound = self.config.bound;
        let limit = bound.limit(total.work + 1, contribution.capacity, total.capacity);
        contribution.work < limit.min(contribution.capacity)
    }

    /// Chooses an owned endpoint for the call: the best candidate with room, else the least used
    /// endpoint with room. Copies of one request stay on the candidates, because on each further
    /// endpoint they could cause one more crash before the first one is known.
    pub(super) fn choose_owned(
        &self,
        call: &Call,
        candidates: &[EndpointId],
        now: Duration,
    ) -> Option<EndpointId> {
        let ranked = candidates.iter().find(|id| self.has_room(call, id, now));
        let other = || {
            if self.is_running(call) {
                return None;
            }
            let owned = self.groups.get(&call.group)?.owned.iter();
            let with_room = owned.filter(|id| self.has_room(call, id, now));
            with_room.min_by_key(|id| self.utilization(id, now))
        };
        ranked.or_else(other).cloned()
    }

    /// Whether the customer may take one more slot of the group.
    pub(super) fn within_share(&self, call: &Call, now: Duration) -> bool {
        let Some(group) = self.groups.get(&call.group) else {
            return false;
        };
        // The share only matters, and is only computed, while other customers wait.
        !group.queue.others_wait(&call.customer)
            || group.may_take_slot(&call.customer, self.share(&call.group, now))
    }

    /// Refuses a call that waited.
    pub(super) fn end_waiting(&mut self, call: &Call, reason: RefusalReason) -> RefusedCall {
        self.waiting.remove(&call.ticket);
        RefusedCall {
            ticket: call.ticket,
            refusal: self.refusal(call, reason),
        }
    }

    pub(super) fn refusal(&self, call: &Call, reason: RefusalReason) -> Refusal {
        let group = self.groups.get(&call.group);
        let retry = group.map_or(DEFAULT_RETRY_AFTER, |g| g.retry_after(&call.customer));
        Refusal::not_run(reason, retry)
    }

    fn start_next(&mut self, name: &str, now: Duration) -> Option<StartedCall> {
        let group = self.groups.get(name)?;
        if !group.owned.iter().any(|id| self.has_slot(name, id, now)) {
            return None;
        }
        let share = self.share(name, now);
        let startable = |w: &WaitingCall| self.choose_owned(&w.call, &w.candidates, now).is_some();
        let fair = |w: &WaitingCall| group.may_take_slot(&w.call.customer, share) && startable(w);
        // If all waiting customers exceed their shares, a free slot is used nevertheless.
        let ticket = group
            .queue
            .peek(&fair)
            .or_else(|| group.queue.peek(&startable))?;
        let queue: &mut FairQueue = &mut self.groups.get_mut(name)?.queue;
        let WaitingCall {
            call, candidates, ..
        } = queue.take(ticket)?;
        self.waiting.remove(&ticket);
        let endpoint = self.choose_owned(&call, &candidates, now)?;
        self.admit(&call, &endpoint, now);
        Some(StartedCall { ticket, endpoint })
    }

    fn share(&self, name: &str, now: Duration) -> CustomerShare {
        let (mut capacity, mut free) = (0, 0);
        let Some(group) = self.groups.get(name) else {
            return CustomerShare {
                capacity,
                free,
                active: 0,
            };
        };
        for endpoint in group.owned.iter().filter_map(|id| self.endpoints.get(id)) {
            let contribution = endpoint.current_contribution(now, &self.config);
            capacity += contribution.capacity;
            free += contribution.capacity.saturating_sub(contribution.work);
        }
        group.share(capacity, free)
    }

    /// Used fraction of the endpoint's capacity, in thousandths.
    pub(super) fn utilization(&self, id: &str, now: Duration) -> u64 {
        self.endpoints.get(id).map_or(u64::MAX, |e| {
            let contribution = e.current_contribution(now, &self.config);
            contribution.work * 1000 / contribution.capacity.max(1)
        })
    }

    pub(super) fn drop_unused_group(&mut self, name: &str) {
        if self.groups.get(name).is_some_and(|g| g.is_unused()) {
            self.groups.remove(name);
        }
    }
}
