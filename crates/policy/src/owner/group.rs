//! Endpoints that serve one model or service, and the calls that wait for them.

use crate::endpoint::Contribution;
use crate::{CustomerShare, FairQueue, GroupTotal, WaitEstimator};
use sequoiaridge_core::{CustomerId, EndpointId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Retry-after time while no call has finished yet.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bounds of the retry-after time. The lower one keeps refused callers from retrying at once; the
/// upper one keeps a few long runs from deferring them for minutes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
pub(super) struct Group {
    // Number of endpoints of the group, whoever owns them.
    pub(super) endpoints: usize,
    // Endpoints of the group that this router owns.
    pub(super) owned: BTreeSet<EndpointId>,
    // Sums over the open endpoints of the group.
    pub(super) work: u64,
    pub(super) capacity: u64,
    // Calls that this router admitted to open endpoints, and slots of the open endpoints that it
    // owns.
    pub(super) own_total: GroupTotal,
    pub(super) queue: FairQueue,
    // Running calls that this router admitted: in total, and those of each customer.
    pub(super) running: u32,
    pub(super) held_slots: BTreeMap<CustomerId, u32>,
    pub(super) estimator: WaitEstimator,
}

impl Group {
    pub(super) fn new(queue_limit: usize) -> Group {
        Group {
            endpoints: 0,
            owned: BTreeSet::new(),
            work: 0,
            capacity: 0,
            own_total: GroupTotal::default(),
            queue: FairQueue::new(queue_limit),
            running: 0,
            held_slots: BTreeMap::new(),
            estimator: WaitEstimator::default(),
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        self.endpoints == 0 && self.running == 0 && self.queue.is_empty()
    }

    /// Replaces an endpoint's contribution to the sums.
    pub(super) fn replace_contribution(&mut self, old: Contribution, new: Contribution) {
        self.work = self.work - old.work + new.work;
        self.capacity = self.capacity - old.capacity + new.capacity;
        let own = &mut self.own_total;
        own.work = own.work - old.admitted + new.admitted;
        own.capacity = own.capacity - old.owned_capacity + new.owned_capacity;
    }

    pub(super) fn start(&mut self, customer: &str) {
        self.running += 1;
        *self.held_slots.entry(customer.to_string()).or_default() += 1;
    }

    pub(super) fn finish(&mut self, customer: &str, run: Duration) {
        self.estimator.observe(run);
        self.running -= 1;
        if let Some(held) = self.held_slots.get_mut(customer) {
            *held -= 1;
            if *held == 0 {
                self.held_slots.remove(customer);
            }
        }
    }

    /// Estimated wait of a new call of `customer`; zero until a call has finished.
    pub(super) fn estimated_wait(&self, customer: &str) -> Duration {
        let ahead = self.queue.ahead(customer);
        self.estimator
            .estimate(ahead, self.running)
            .unwrap_or_default()
    }

    /// Time after which a refused call of `customer` should be retried.
    pub(super) fn retry_after(&self, customer: &str) -> Duration {
        let wait = self
            .estimator
            .estimate(self.queue.ahead(customer), self.running);
        wait.unwrap_or(DEFAULT_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Division of `capacity` owned slots, `free` of which are free, between the customers that
    /// hold a slot or wait for one.
    pub(super) fn share(&self, capacity: u64, free: u64) -> CustomerShare {
        let waiting = self.queue.customers();
        let only_waiting = waiting
            .filter(|c| !self.held_slots.contains_key(*c))
            .count();
        CustomerShare {
            capacity,
            free,
            active: (self.held_slots.len() + only_waiting) as u64,
        }
    }

    /// Whether `customer` may take one more slot.
    pub(super) fn may_take_slot(&self, customer: &str, share: CustomerShare) -> bool {
        let held = self.held_slots.get(customer).copied().unwrap_or(0);
        !self.queue.others_wait(customer) || u64::from(held) < share.limit()
    }
}
