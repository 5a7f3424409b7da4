//! Placement of a new call.

use super::Owner;
use crate::{Call, Placement, PushOutcome, WaitingCall};
use sequoiaridge_core::{EndpointId, Refusal, RefusalReason};
use std::time::Duration;

impl Owner {
    /// Decides what becomes of a call.
    ///
    /// `candidates` are the endpoints of the call's group, best first; `asked` is the number of owners
    /// that were asked before. An owner that is asked by another one passes `endpoint` and `next` of
    /// [`Placement::Forward`] as candidates and never lets the call wait. When every other owner has
    /// refused, the first owner asks itself again with `asked` at the limit, and the call waits here
    /// or is refused.
    ///
    /// A ticket that runs or waits already keeps its place.
    pub fn place(
        &mut self,
        call: &Call,
        candidates: &[EndpointId],
        asked: u32,
        now: Duration,
    ) -> Placement {
        self.refresh_own(now);
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
        if self.groups.get(&call.group).is_none_or(|g| g.members == 0) {
            return self.refuse(call, RefusalReason::UnknownModel);
        }
        if call.cached_only {
            return self.place_known(call, now);
        }
        if asked >= self.config.max_owners {
            return self.wait(call, candidates, now);
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
        // Copies of one suspect run one after the other: if each went to an engine of its own, they
        // would crash several engines before the first crash counts.
        if call.suspect && self.is_running(call) {
            return match asked {
                0 => self.wait(call, candidates, now),
                _ => self.refuse(call, RefusalReason::Overload),
            };
        }
        let plan = self.plan(call, candidates, asked, now);
        let within_share = self.within_share(call, now);
        let mut any_open = false;
        for (at, id) in plan.iter().enumerate() {
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
                    next: plan[at + 1..].to_vec(),
                    cached_only: false,
                };
            }
        }
        match (asked, any_open) {
            (0, _) => self.wait(call, candidates, now),
            (_, true) => self.refuse(call, RefusalReason::Overload),
            (_, false) => self.refuse(call, RefusalReason::NoEndpoint),
        }
    }

    /// Order in which endpoints are tried: the place in the chat index, which caches the chat's newest
    /// context, then the least used of the best-ranked. Services are ordered by outstanding work.
    fn plan(
        &self,
        call: &Call,
        candidates: &[EndpointId],
        asked: u32,
        now: Duration,
    ) -> Vec<EndpointId> {
        let mut plan = candidates.to_vec();
        if call.suspect {
            return plan;
        }
        let Some(chat) = call.chat else {
            plan.sort_by_cached_key(|id| self.load(id, now));
            return plan;
        };
        let Some(place) = self.chats.get(chat) else {
            self.spread(&mut plan, now);
            return plan;
        };
        // An owner that is asked by another one does not pass the call on to a third place that the
        // first owner may have tried.
        let own = self.endpoints.get(place).is_some_and(|e| e.info.owned);
        if asked > 0 && !own {
            return plan;
        }
        plan.retain(|id| id != place);
        self.spread(&mut plan, now);
        plan.insert(0, place.clone());
        plan
    }

    /// Orders endpoints by use, equal ones by rank. None of them caches the chat's context, and a chat
    /// that starts on a less used endpoint more often finds room there when it returns.
    fn spread(&self, plan: &mut [EndpointId], now: Duration) {
        plan.sort_by_cached_key(|id| self.use_of(id, now));
    }

    /// Second-ranked endpoint, if its owner may know the chat and this one does not: the first-ranked
    /// endpoint joined recently, or this router owns it only since recently.
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
        if !first.is_recent(now, &self.config) && !first.is_index_new(now, &self.config) {
            return None;
        }
        let other = self.endpoints.get(second)?;
        let asks = !other.info.owned && other.is_open(now, &self.config);
        asks.then(|| second.clone())
    }

    /// Admits the call only where its chat is cached.
    fn place_known(&mut self, call: &Call, now: Duration) -> Placement {
        let place = call.chat.and_then(|chat| self.chats.get(chat)).cloned();
        match place {
            Some(id) if self.within_share(call, now) && self.has_room(call, &id, now) => {
                self.admit(call, &id, now)
            }
            _ => self.refuse(call, RefusalReason::Overload),
        }
    }

    /// Lets the call wait, or refuses it if it would wait too long. Nothing waits while an own
    /// endpoint of the group has room.
    fn wait(&mut self, call: &Call, candidates: &[EndpointId], now: Duration) -> Placement {
        let within_share = self.within_share(call, now);
        if within_share && let Some(id) = self.choose_own(call, candidates, now) {
            return self.admit(call, &id, now);
        }
        let Some(group) = self.groups.get_mut(&call.group) else {
            return self.refuse(call, RefusalReason::UnknownModel);
        };
        let is_open = |id| (self.endpoints.get(id)).is_some_and(|e| e.is_open(now, &self.config));
        if !group.owned.iter().any(is_open) {
            let none = group.capacity == 0;
            let reason = if none {
                RefusalReason::NoEndpoint
            } else {
                RefusalReason::Overload
            };
            return self.refuse(call, reason);
        }
        let busy = if within_share {
            RefusalReason::Overload
        } else {
            RefusalReason::CustomerShare
        };
        if now + group.wait(&call.customer) >= call.wait_end() {
            return self.refuse(call, busy);
        }
        let pushed = group.queue.push(WaitingCall {
            call: call.clone(),
            candidates: candidates.to_vec(),
        });
        let shed = match pushed {
            PushOutcome::Rejected(_) => return self.refuse(call, busy),
            PushOutcome::Queued => None,
            PushOutcome::Replaced(victim) => Some(self.end(&victim.call, RefusalReason::Overload)),
        };
        self.waiting.insert(call.ticket, call.group.clone());
        Placement::Queued { shed }
    }

    fn refuse(&self, call: &Call, reason: RefusalReason) -> Placement {
        Placement::Refused(self.refusal(call, reason))
    }
}
