//! Queue of the calls that wait for an endpoint. See section 4.7 of `docs/design.md`.

use crate::{Call, TicketId};
use sequoiaridge_core::{ClassName, CustomerId, EndpointId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Credit that a customer gains in each round, in the unit of [`Call::cost`]. With the smallest
/// cost as quantum, customers with equal calls take turns call by call.
const QUANTUM: u32 = 1;
/// Largest cost of one call. It bounds the rounds for which a customer with large calls waits.
const MAX_COST: u32 = 64;

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingCall {
    /// The call.
    pub call: Call,
    /// Endpoints that the call may run on, best first.
    pub candidates: Vec<EndpointId>,
}

/// Result of [`FairQueue::push`].
#[derive(Clone, Debug, PartialEq)]
pub enum PushOutcome {
    /// The call was queued.
    Queued,
    /// The call was queued, and the contained call was removed to make room.
    Replaced(Box<WaitingCall>),
    /// The queue is full, and no waiting call is shed in favor of the contained new one.
    Rejected(Box<WaitingCall>),
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    // Credit of the deficit round robin, at most the cost of one call.
    deficit: u32,
    calls: VecDeque<WaitingCall>,
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    // The due time and ticket of every waiting call of the class.
    due: BTreeSet<(Duration, TicketId)>,
    customers: BTreeMap<CustomerId, CustomerQueue>,
    // Round-robin order; holds exactly the keys of `customers`.
    ring: VecDeque<CustomerId>,
    answered: f64,
}

/// Bounded queue with three levels of order: earliest `arrival + first_token` first between
/// classes, deficit round robin between the customers of a class, first in, first out within a
/// customer.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limit: usize,
    classes: BTreeMap<ClassName, ClassQueue>,
    // Class, customer and wait deadline of each ticket.
    locations: BTreeMap<TicketId, (ClassName, CustomerId, Duration)>,
    // The wait deadline and ticket of every waiting call.
    deadlines: BTreeSet<(Duration, TicketId)>,
    // Number of waiting calls of each customer, over all classes.
    counts: BTreeMap<CustomerId, usize>,
}

impl FairQueue {
    /// Creates an empty queue of at most `limit` calls.
    pub fn new(limit: usize) -> FairQueue {
        FairQueue {
            limit,
            classes: BTreeMap::new(),
            locations: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns whether the call with this ticket waits.
    pub fn contains(&self, ticket: TicketId) -> bool {
        self.locations.contains_key(&ticket)
    }

    /// Returns the customers with waiting calls.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.counts.keys()
    }

    /// Returns whether a customer other than `customer` waits.
    pub fn others_wait(&self, customer: &str) -> bool {
        self.counts.keys().any(|waiting| waiting != customer)
    }

    /// Estimates the number of calls that are served before a new call of `customer`.
    ///
    /// Customers take turns, so each other customer counts with at most as many calls as this one
    /// would have. The order between classes is ignored.
    pub fn ahead(&self, customer: &str) -> usize {
        let own = self.counts.get(customer).copied().unwrap_or(0);
        let others = self.counts.iter().filter(|(c, _)| *c != customer);
        own + others.map(|(_, n)| (*n).min(own + 1)).sum::<usize>()
    }

    /// Adds a call.
    ///
    /// When the queue is full, a call of the class with the lowest `answered` target is removed:
    /// the newest call of the customer with the most calls in that class. If the new call has the
    /// same target, its customer must have fewer calls there, the new one included, than that
    /// customer.
    pub fn push(&mut self, mut waiting: WaitingCall) -> PushOutcome {
        waiting.call.cost = waiting.call.cost.clamp(1, MAX_COST);
        if self.len() < self.limit {
            self.insert(waiting);
            return PushOutcome::Queued;
        }
        match self.victim(&waiting.call).and_then(|t| self.remove(t)) {
            Some(victim) => {
                self.insert(waiting);
                PushOutcome::Replaced(Box::new(victim))
            }
            None => PushOutcome::Rejected(Box::new(waiting)),
        }
    }

    /// Returns the earliest time at which a first token is due.
    pub fn first_due(&self) -> Option<Duration> {
        let first = |class: &ClassQueue| class.due.first().map(|(due, _)| *due);
        self.classes.values().filter_map(first).min()
    }

    /// Returns the ticket of the next call in fair order that satisfies `eligible`.
    pub fn peek(&self, eligible: &dyn Fn(&WaitingCall) -> bool) -> Option<TicketId> {
        let mut order: Vec<(Duration, &ClassQueue)> = (self.classes.values())
            .filter_map(|class| Some((class.due.first()?.0, class)))
            .collect();
        order.sort_by_key(|(due, _)| *due);
        order.iter().find_map(|(_, class)| class.peek(eligible))
    }

    /// Removes a call that is served now, and charges its cost to its customer.
    ///
    /// The rounds needed until the customer's credit covers the call also add credit to the other
    /// customers that wait in the class.
    pub fn take(&mut self, ticket: TicketId) -> Option<WaitingCall> {
        let (class, customer, _) = self.locations.get(&ticket)?;
        if let Some(class) = self.classes.get_mut(class) {
            class.charge(customer, ticket);
        }
        self.remove(ticket)
    }

    /// Removes a waiting call.
    pub fn remove(&mut self, ticket: TicketId) -> Option<WaitingCall> {
        let (class_name, customer, end) = self.locations.remove(&ticket)?;
        self.deadlines.remove(&(end, ticket));
        if let Some(count) = self.counts.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&customer);
            }
        }
        let class = self.classes.get_mut(&class_name)?;
        let removed = class.remove(&customer, ticket);
        if class.due.is_empty() {
            self.classes.remove(&class_name);
        }
        removed
    }

    /// Removes and returns the calls whose wait deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<WaitingCall> {
        let mut expired = Vec::new();
        while let Some((_, ticket)) = self
            .deadlines
            .first()
            .copied()
            .filter(|(end, _)| *end <= now)
        {
            // `remove` also takes the entry out of `deadlines`.
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Removes and returns every call, ordered by ticket.
    pub fn drain(&mut self) -> Vec<WaitingCall> {
        let tickets: Vec<TicketId> = self.locations.keys().copied().collect();
        tickets.into_iter().filter_map(|t| self.remove(t)).collect()
    }

    fn insert(&mut self, waiting: WaitingCall) {
        let call = &waiting.call;
        let (ticket, end) = (call.ticket, call.wait_deadline());
        let place = (call.class.clone(), call.customer.clone(), end);
        self.locations.insert(ticket, place);
        self.deadlines.insert((end, ticket));
        *self.counts.entry(call.customer.clone()).or_default() += 1;
        let class = self.classes.entry(call.class.clone()).or_default();
        class.answered = call.policy.answered;
        class.insert(waiting);
    }

    /// Returns the ticket of the call that is shed so that `call` can wait.
    fn victim(&self, call: &Call) -> Option<TicketId> {
        let classes = self.classes.values();
        let lowest = classes.min_by(|a, b| a.answered.total_cmp(&b.answered))?;
        let (customer, queue) = lowest.customers.iter().max_by_key(|(_, q)| q.calls.len())?;
        let shed = if lowest.answered < call.policy.answered {
            true
        } else {
            let own = lowest.customers.get(&call.customer);
            let own = own.map_or(0, |q| q.calls.len());
            lowest.answered == call.policy.answered
                && *customer != call.customer
                && queue.calls.len() > own + 1
        };
        queue.calls.back().filter(|_| shed).map(|w| w.call.ticket)
    }
}

impl ClassQueue {
    fn insert(&mut self, waiting: WaitingCall) {
        let call = &waiting.call;
        self.due.insert((call.due(), call.ticket));
        if !self.customers.contains_key(&call.customer) {
            self.ring.push_back(call.customer.clone());
        }
        let queue = self.customers.entry(call.customer.clone()).or_default();
        queue.calls.push_back(waiting);
    }

    fn remove(&mut self, customer: &str, ticket: TicketId) -> Option<WaitingCall> {
        let queue = self.customers.get_mut(customer)?;
        let at = queue.calls.iter().position(|w| w.call.ticket == ticket)?;
        let waiting = queue.calls.remove(at)?;
        self.due.remove(&(waiting.call.due(), ticket));
        if queue.calls.is_empty() {
            self.customers.remove(customer);
            self.ring.retain(|c| c != customer);
        }
        Some(waiting)
    }

    /// Returns the next eligible call by deficit round robin: the one whose customer has enough
    /// credit after the fewest rounds, and among equals the first in the ring.
    fn peek(&self, eligible: &dyn Fn(&WaitingCall) -> bool) -> Option<TicketId> {
        let ready = self.ring.iter().filter_map(|customer| {
            let queue = self.customers.get(customer)?;
            let next = queue.calls.iter().find(|w| eligible(w))?;
            Some((queue.rounds(next.call.cost), next.call.ticket))
        });
        // `min_by_key` returns the first of equal minima.
        Some(ready.min_by_key(|(rounds, _)| *rounds)?.1)
    }

    fn charge(&mut self, customer: &str, ticket: TicketId) {
        let Some(queue) = self.customers.get(customer) else {
            return;
        };
        let Some(waiting) = queue.calls.iter().find(|w| w.call.ticket == ticket) else {
            return;
        };
        let (cost, rounds) = (waiting.call.cost, queue.rounds(waiting.call.cost));
        for queue in self.customers.values_mut() {
            // A customer that is not served accumulates no more credit than its next call costs, so
            // that it cannot run many calls in a row later.
            let next = queue.calls.front().map_or(0, |w| w.call.cost);
            queue.deficit = (queue.deficit + rounds * QUANTUM).min(next);
        }
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.deficit = queue.deficit.saturating_sub(cost);
        }
        if let Some(at) = self.ring.iter().position(|c| c == customer) {
            let moved = self.ring.remove(at);
            self.ring.extend(moved);
        }
    }
}

impl CustomerQueue {
    /// Returns the rounds until the customer's credit covers `cost`.
    fn rounds(&self, cost: u32) -> u32 {
        cost.saturating_sub(self.deficit).div_ceil(QUANTUM)
    }
}
