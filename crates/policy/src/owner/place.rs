//! Placement of a new call.

use super::Owner;
use crate::{Call, Placement, PushOutcome, WaitingCall};
use sequoiaridge_core::{EndpointId, Refusal, RefusalReason};
use std::time::Duration;

impl Owner {
    /// Admits, forwards, queues or refuses a call.
    ///
    /// `candidates` are the endpoints of the call's group, best first; `asked` is the number of
    /// owners that were asked before this one. An owner that is asked by another one passes
    /// `endpoint` and `next` of [`Placement::Forward`] as candidates and never queues the call.
    /// When every other owner has refused, the first owner asks itself again with `asked` at the
    /// limit, and the call waits here or is refused.
    ///
    /// For a ticket that already runs or waits, nothing changes.
    pub fn place(
        &mut self,
        call: &Call,
        candidates: &[EndpointId],
        asked: u32,
        now: Duration,
    ) -> Placement {
        self.update_owned_sums(now);
        if let Some(running) = self.running.get(&call.ticket) {
            let endpoint = running.endpoint.clone();
            return Placement::Admit { endpoint };
        }
        if self.waiting.contains_key(&call.ticket) {
            return Placement::Queued { shed: None };
        }
        if now >= call.deadline {
            let refusal = Refusal::not_run(RefusalReason::Deadline, Duration::ZERO);
            return Placement::Refused(refusal);
        }
        if self
            .groups
            .get(&call.group)
            .is_none_or(|g| g.endpoints == 0)
        {
            return self.refuse(call, RefusalReason::UnknownModel);
        }
        if call.cached_only {
            return self.place_cached(call, now);
        }
        if asked >= self.config.max_owners {
            return self.wait_or_refuse(call, candidates, now);
        }
        if asked == 0
            && let Some(endpoint) = self.lookback(call, candidates, now)
        {
            return Placement::Forward {
                endpoint,
                next: Vec::new(),
                cached_only: true,
            };
        }
        self.place_ranked(call, candidates, asked, now)
    }

    /// Tries the candidates in order.
    fn place_ranked(
        &mut self,
        call: &Call,
        candidates: &[EndpointId],
        asked: u32,
        now: Duration,
    ) -> Placement {
        // Copies of one suspect run one after the other. If each ran on a different engine, they
        // would crash several engines before the first crash is recorded.
        if call.suspect && self.is_running(call) {
            return match asked {
                0 => self.wait_or_refuse(call, candidates, now),
                _ => self.refuse(call, RefusalReason::Overload),
            };
        }
        let order = self.placement_order(call, candidates, asked, now);
        let within_share = self.within_share(call, now);
        let mut any_open = false;
        for (at, id) in order.iter().enumerate() {
            let Some(endpoint) = self.endpoints.get(id) else {
                continue;
            };
            let serves = endpoint.info.groups.contains(&call.group);
            if !serves || !endpoint.is_open(now, &self.config) {
                continue;
            }
            any_open = true;
            if endpoint.info.owned {
                if within_share && self.has_room(call, id, now) {
                    return self.admit(call, id, now);
                }
            } else if asked + 1 < self.config.max_owners {
                return Placement::Forward {
                    endpoint: id.clone(),
                    next: order[at + 1..].to_vec(),
                    cached_only: false,
                };
            }
        }
        match (asked, any_open) {
            (0, _) => self.wait_or_refuse(call, candidates, now),
            (_, true) => self.refuse(call, RefusalReason::Overload),
            (_, false) => self.refuse(call, RefusalReason::NoEndpoint),
        }
    }

    /// Returns the order in which endpoints are tried: first the endpoint in the chat index, which
    /// caches the chat's newest context, then the candidates by utilization. Candidates for a
    /// service are ordered by outstanding work.
    fn placement_order(
        &self,
        call: &Call,
        candidates: &[EndpointId],
        asked: u32,
        now: Duration,
    ) -> Vec<EndpointId> {
        let mut order = candidates.to_vec();
        if call.suspect {
            return order;
        }
        let Some(chat) = call.chat else {
            order.sort_by_cached_key(|id| self.load(id, now));
            return order;
        };
        let Some(cached_at) = self.chats.get(chat) else {
            self.sort_by_utilization(&mut order, now);
            return order;
        };
        // An owner that is asked by another one does not forward the call to a third endpoint that
        // the first owner may have tried.
        let owned = self.endpoints.get(cached_at).is_some_and(|e| e.info.owned);
        if asked > 0 && !owned {
            return order;
        }
        order.retain(|id| id != cached_at);
        self.sort_by_utilization(&mut order, now);
        order.insert(0, cached_at.clone());
        order
    }

    /// Sorts endpoints by utilization, equal ones by rank. None of them caches the chat's context,
    /// and a chat that starts on a less used endpoint more often finds room there when it returns.
    fn sort_by_utilization(&self, order: &mut [EndpointId], now: Duration) {
        order.sort_by_cached_key(|id| self.utilization(id, now));
    }

    /// Returns the second-ranked endpoint if its owner may know a chat that this one does not know,
    /// because the first-ranked endpoint joined recently or because this router has become its
    /// owner recently.
    fn lookback(
        &self,
        call: &Call,
        candidates: &[EndpointId],
        now: Duration,
    ) -> Option<EndpointId> {
        let [first, second, ..] = candidates else {
            return None;
        };
        if call.suspect || self.chats.get(call.chat?).is_some() {
            return None;
        }
        let first = self.endpoints.get(first).filter(|e| e.info.owned)?;
        if !first.joined_recently(now, &self.config) && !first.owned_recently(now, &self.config) {
            return None;
        }
        let other = self.endpoints.get(second)?;
        let asks = !other.info.owned && other.is_open(now, &self.config);
        asks.then(|| second.clone())
    }

    /// Admits the call only to the endpoint that caches its chat.
    fn place_cached(&mut self, call: &Call, now: Duration) -> Placement {
        let cached_at = call.chat.and_then(|chat| self.chats.get(chat)).cloned();
        match cached_at {
            Some(id) if self.within_share(call, now) && self.has_room(call, &id, now) => {
                self.admit(call, &id, now)
            }
            _ => self.refuse(call, RefusalReason::Overload),
        }
    }

    /// Queues the call, or refuses it if it would wait too long. A call within its customer's share
    /// is admitted instead if an owned endpoint of the group has room.
    fn wait_or_refuse(
        &mut self,
        call: &Call,
        candidates: &[EndpointId],
        now: Duration,
    ) -> Placement {
        let within_share = self.within_share(call, now);
        if within_share && let Some(id) = self.choose_owned(call, candidates, now) {
            return self.admit(call, &id, now);
        }
        let Some(group) = self.groups.get_mut(&call.group) else {
            return self.refuse(call, RefusalReason::UnknownModel);
        };
        let is_open = |id| (self.endpoints.get(id)).is_some_and(|e| e.is_open(now, &self.config));
        if !group.owned.iter().any(is_open) {
            return match (group.capacity, group.owned.is_empty()) {
                (0, _) => self.refuse(call, RefusalReason::NoEndpoint),
                (_, true) => Placement::NotOwner,
                (_, false) => self.refuse(call, RefusalReason::Overload),
            };
        }
        let busy = if within_share {
            RefusalReason::Overload
        } else {
            RefusalReason::CustomerShare
        };
        if now + group.estimated_wait(&call.customer) >= call.wait_deadline() {
            return self.refuse(call, busy);
        }
        let pushed = group.queue.push(WaitingCall {
            call: call.clone(),
            candidates: candidates.to_vec(),
        });
        let shed = match pushed {
            PushOutcome::Rejected(_) => return self.refuse(call, busy),
            PushOutcome::Queued => None,
            PushOutcome::Replaced(victim) => {
                Some(self.end_waiting(&victim.call, RefusalReason::Overload))
            }
        };
        self.waiting.insert(call.ticket, call.group.clone());
        Placement::Queued { shed }
    }

    fn refuse(&self, call: &Call, reason: RefusalReason) -> Placement {
        Placement::Refused(self.refusal(call, reason))
    }
}
