//! Start and end of calls.

use super::{Owner, Running};
use crate::{
    Call, CustomerShare, FairQueue, Placement, RefusedCall, StartedCall, TicketId, WaitingCall,
};
use sequoiaridge_core::{EndpointId, ModelName, Refusal, RefusalReason};
use std::time::Duration;

/// Time to retry after when the group is not known.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

impl Owner {
    /// Ends a call, running or waiting, and starts the calls that can run now. A ticket that is
    /// neither is ignored, so a repeated call changes no count.
    pub fn finish(&mut self, ticket: TicketId, now: Duration) -> Vec<StartedCall> {
        if let Some(name) = self.waiting.remove(&ticket) {
            if let Some(group) = self.groups.get_mut(&name) {
                group.queue.remove(ticket);
            }
            self.drop_unused(&name);
        }
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        let id = running.endpoint.as_str();
        self.suspects.release(id, ticket);
        if let Some(group) = self.groups.get_mut(&running.group) {
            group.finish(&running.customer, now.saturating_sub(running.started));
        }
        self.drop_unused(&running.group);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outstanding -= 1;
            if endpoint.removed && endpoint.outstanding == 0 {
                self.endpoints.remove(id);
            }
        }
        self.refresh(id, now);
        self.start_waiting(now)
    }

    /// Starts the waiting calls that can run now; called after probes, reports and changes of state.
    pub fn start_waiting(&mut self, now: Duration) -> Vec<StartedCall> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.refresh_own(now);
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

    /// Ends the waiting calls whose allowed wait or deadline has passed; called several times a
    /// second.
    pub fn expire(&mut self, now: Duration) -> Vec<RefusedCall> {
        self.refresh_own(now);
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
                ended.push(self.end(&call, reason));
            }
            self.drop_unused(&name);
        }
        ended
    }

    /// Removes every waiting call, so that a draining router can forward them.
    pub fn take_waiting(&mut self) -> Vec<WaitingCall> {
        self.waiting.clear();
        let groups = self.groups.values_mut();
        let taken = groups.flat_map(|g| g.queue.take_all()).collect();
        self.groups.retain(|_, group| !group.is_unused());
        taken
    }

    /// Counts the call at the endpoint, which has room for it.
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
        let running = Running {
            endpoint: id.to_string(),
            group: call.group.clone(),
            customer: call.customer.clone(),
            fingerprint: call.fingerprint,
            started: now,
        };
        self.running.insert(call.ticket, running);
        self.refresh(id, now);
        Placement::Admit {
            endpoint: id.to_string(),
        }
    }

    /// Whether the own endpoint admits one more call of this kind.
    pub(super) fn has_room(&self, call: &Call, id: &str, now: Duration) -> bool {
        let alone = !call.suspect || self.suspects.is_free(id) && !self.is_running(call);
        alone && self.has_slot(&call.group, id, now)
    }

    /// Whether a call with the same fingerprint runs on an own endpoint.
    pub(super) fn is_running(&self, call: &Call) -> bool {
        let mut running = self.running.values();
        running.any(|running| running.fingerprint == call.fingerprint)
    }

    /// Whether the own endpoint is below its capacity and its bound in the group.
    fn has_slot(&self, group: &str, id: &str, now: Duration) -> bool {
        let total = self.group_total(group);
        let (Some(group), Some(endpoint)) = (self.groups.get(group), self.endpoints.get(id)) else {
            return false;
        };
        if !group.owned.contains(id) || !endpoint.is_open(now, &self.config) {
            return false;
        }
        let part = endpoint.part;
        let bound = self.config.bound;
        let limit = bound.limit(total.work + 1, part.capacity, total.capacity);
        part.work < limit.min(part.capacity)
    }

    /// Own endpoint for the call: the best candidate with room, else the one with room that is used
    /// least. Copies of one request stay on the candidates, because each further endpoint is one more
    /// that they could crash before the first crash is known.
    pub(super) fn choose_own(
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
            let own = self.groups.get(&call.group)?.owned.iter();
            let roomy = own.filter(|id| self.has_room(call, id, now));
            roomy.min_by_key(|id| self.use_of(id, now))
        };
        ranked.or_else(other).cloned()
    }

    /// Whether the customer may hold one more slot of the group.
    pub(super) fn within_share(&self, call: &Call, now: Duration) -> bool {
        let Some(group) = self.groups.get(&call.group) else {
            return false;
        };
        // The share only matters, and is only computed, while others wait.
        !group.queue.others_wait(&call.customer)
            || group.may_hold(&call.customer, self.share(&call.group, now))
    }

    /// Ends a call that waited.
    pub(super) fn end(&mut self, call: &Call, reason: RefusalReason) -> RefusedCall {
        self.waiting.remove(&call.ticket);
        RefusedCall {
            ticket: call.ticket,
            refusal: self.refusal(call, reason),
        }
    }

    pub(super) fn refusal(&self, call: &Call, reason: RefusalReason) -> Refusal {
        let group = self.groups.get(&call.group);
        let retry = group.map_or(UNKNOWN_RETRY, |g| g.retry_after(&call.customer));
        Refusal::not_run(reason, retry)
    }

    fn start_next(&mut self, name: &str, now: Duration) -> Option<StartedCall> {
        let group = self.groups.get(name)?;
        if !group.owned.iter().any(|id| self.has_slot(name, id, now)) {
            return None;
        }
        let share = self.share(name, now);
        let roomy = |w: &WaitingCall| self.choose_own(&w.call, &w.candidates, now).is_some();
        let fair = |w: &WaitingCall| group.may_hold(&w.call.customer, share) && roomy(w);
        // If all that wait are beyond their shares, a free slot is used nevertheless.
        let ticket = group
            .queue
            .peek(&fair)
            .or_else(|| group.queue.peek(&roomy))?;
        let queue: &mut FairQueue = &mut self.groups.get_mut(name)?.queue;
        let WaitingCall {
            call, candidates, ..
        } = queue.take(ticket)?;
        self.waiting.remove(&ticket);
        let endpoint = self.choose_own(&call, &candidates, now)?;
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
            let part = endpoint.current_part(now, &self.config);
            capacity += part.capacity;
            free += part.capacity.saturating_sub(part.work);
        }
        group.share(capacity, free)
    }

    /// Used part of the endpoint's capacity, in thousandths.
    pub(super) fn use_of(&self, id: &str, now: Duration) -> u64 {
        self.endpoints.get(id).map_or(u64::MAX, |e| {
            let part = e.current_part(now, &self.config);
            part.work * 1000 / part.capacity.max(1)
        })
    }

    pub(super) fn drop_unused(&mut self, name: &str) {
        if self.groups.get(name).is_some_and(|g| g.is_unused()) {
            self.groups.remove(name);
        }
    }
}
