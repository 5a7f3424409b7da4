//! The endpoints that serve one model or service, and the calls that wait for them.

use crate::endpoint::Part;
use crate::{CustomerShare, FairQueue, GroupTotal, ServiceRate};
use sequoiaridge_core::{CustomerId, EndpointId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time to retry after while no call has finished yet.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);
/// Bounds of the time to retry after. The lower one keeps refused callers from coming back at once,
/// the upper one keeps a few long runs from sending them away for minutes.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
pub(super) struct Group {
    // Endpoints of the group, own and other.
    pub(super) members: usize,
    // Endpoints of the group that this router owns.
    pub(super) owned: BTreeSet<EndpointId>,
    // Sums over the open endpoints of the group.
    pub(super) work: u64,
    pub(super) capacity: u64,
    // Sums over the calls that this router admitted and the open endpoints that it owns.
    pub(super) own_total: GroupTotal,
    pub(super) queue: FairQueue,
    // Running calls that this router admitted, in total and of each customer.
    pub(super) running: u32,
    pub(super) held: BTreeMap<CustomerId, u32>,
    pub(super) rate: ServiceRate,
}

impl Group {
    pub(super) fn new(queue_limit: usize) -> Group {
        Group {
            members: 0,
            owned: BTreeSet::new(),
            work: 0,
            capacity: 0,
            own_total: GroupTotal::default(),
            queue: FairQueue::new(queue_limit),
            running: 0,
            held: BTreeMap::new(),
            rate: ServiceRate::default(),
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        self.members == 0 && self.running == 0 && self.queue.is_empty()
    }

    /// Replaces an endpoint's part in the sums.
    pub(super) fn update(&mut self, old: Part, new: Part) {
        self.work = self.work - old.work + new.work;
        self.capacity = self.capacity - old.capacity + new.capacity;
        let own = &mut self.own_total;
        own.work = own.work - old.admitted + new.admitted;
        own.capacity = own.capacity - old.own_capacity + new.own_capacity;
    }

    pub(super) fn start(&mut self, customer: &str) {
        self.running += 1;
        *self.held.entry(customer.to_string()).or_default() += 1;
    }

    pub(super) fn finish(&mut self, customer: &str, run: Duration) {
        self.rate.observe(run);
        self.running -= 1;
        if let Some(held) = self.held.get_mut(customer) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(customer);
            }
        }
    }

    /// Estimated wait of a new call of `customer`; zero while nothing is known.
    pub(super) fn wait(&self, customer: &str) -> Duration {
        let ahead = self.queue.ahead(customer);
        self.rate.wait(ahead, self.running).unwrap_or_default()
    }

    /// Time after which a refused call of `customer` should come back.
    pub(super) fn retry_after(&self, customer: &str) -> Duration {
        let wait = self.rate.wait(self.queue.ahead(customer), self.running);
        wait.unwrap_or(UNKNOWN_RETRY).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Division of `capacity` own slots, `free` of them free, between the active customers.
    pub(super) fn share(&self, capacity: u64, free: u64) -> CustomerShare {
        let waiting = self.queue.customers();
        let only_waiting = waiting.filter(|c| !self.held.contains_key(*c)).count();
        CustomerShare {
            capacity,
            free,
            active: (self.held.len() + only_waiting) as u64,
        }
    }

    /// Whether `customer` may hold one more slot.
    pub(super) fn may_hold(&self, customer: &str, share: CustomerShare) -> bool {
        let held = self.held.get(customer).copied().unwrap_or(0);
        !self.queue.others_wait(customer) || u64::from(held) < share.limit()
    }
}
