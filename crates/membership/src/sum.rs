//! Sums of outstanding work and capacity that each owner publishes for each group.

use crate::{OwnerSums, SentSum, SumDigest};
use sequoiaridge_core::{DomainId, EndpointId, ModelName, RouterId, hash64};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of owners whose sums are stored: more than ten times the target size.
const MAX_OWNERS: usize = 4096;

/// Maximum number of groups per owner whose sums are sent. Each digest refers to its groups by one
/// byte.
const MAX_GROUPS: usize = 200;

/// Encoded bytes of an owner's sums besides its groups: short id, length, and sequence number
/// offset for clocks that differ by up to three days. A larger offset only uses up the reserve of
/// the datagram.
const OWNER_BYTES: usize = 10;

/// Encoded bytes of a digest's sums besides names and sums: lengths and newest sequence number.
const FIXED_BYTES: usize = 12;

/// Largest number of endpoints in a fleet at which the counts of all endpoints are sent. With 256
/// endpoints, a router needs about 5 KB for one report of each; with 7,400, datagrams carry a fifth
/// of them.
pub const MAX_COUNTED_ENDPOINTS: usize = 256;

/// Outstanding work and capacity of one group at one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSum {
    /// Model that the engines serve, or name of the service.
    pub group: ModelName,
    /// Requests that the owner has outstanding on open endpoints.
    pub outstanding: u32,
    /// Slots of the open endpoints of the owner.
    pub capacity: u32,
}

/// The newest sums of one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSum {
    /// Router that made the sums.
    pub owner: RouterId,
    /// Its groups; empty if it has no open endpoint.
    pub groups: Vec<GroupSum>,
}

/// Sums over all owners of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSum {
    /// The domain.
    pub domain: DomainId,
    /// Its groups.
    pub groups: Vec<GroupSum>,
}

/// Work and capacity of the other owners as a router knows them. No owner is part of both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSums {
    /// Owners whose sums are known individually.
    pub owners: Vec<OwnerSum>,
    /// Domains of which only the sum over all owners is known.
    pub domains: Vec<DomainSum>,
}

/// Endpoints whose counts are sent individually.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CountScope {
    /// All of them.
    #[default]
    All,
    /// These, and those with a new or disputed owner. Of the other endpoints, only states are sent.
    Only(BTreeSet<EndpointId>),
}

impl CountScope {
    /// Returns the scope for a fleet of `endpoints` endpoints, among them the given instances of
    /// services. The least used instance of a service is chosen by counts at every fleet size.
    pub fn for_fleet(
        endpoints: usize,
        services: impl IntoIterator<Item = EndpointId>,
    ) -> CountScope {
        if endpoints <= MAX_COUNTED_ENDPOINTS {
            CountScope::All
        } else {
            CountScope::Only(services.into_iter().collect())
        }
    }
}

/// Returns the short id of an owner in messages, a hash of its name. Two live routers of 370 share
/// one with a probability of 1 in 60,000; the sums of one of them are then missing.
pub(crate) fn short_id(owner: &str) -> u32 {
    (hash64(owner.as_bytes()) >> 32) as u32
}

/// Position in the send queue: this router's sums first, then those sent less often, among these
/// the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SendPriority {
    relayed: bool,
    sent: u32,
    reverse_seq: u64,
    id: u32,
}

#[derive(Debug)]
struct Entry {
    groups: Vec<GroupSum>,
    seq: u64,
    /// When the sums were stored.
    updated_at: Duration,
    /// Short id of the router that sent the sums, to which they are not sent back.
    sender: u32,
    priority: Option<SendPriority>,
}

/// The newest sums of each owner. The sums of an owner are replaced together.
///
/// The sequence number of sums is the time of publication in milliseconds: the owner's clock at its
/// start plus its running time. Only numbers of the same owner decide which sums are newer. Between
/// owners they only order what is sent, so clock skew between owners does no harm.
#[derive(Debug)]
pub(crate) struct SumTable {
    local: u32,
    seq: u64,
    incarnation: u64,
    /// Time of the first publication, to which the incarnation corresponds.
    started: Option<Duration>,
    entries: BTreeMap<u32, Entry>,
    queue: BTreeMap<SendPriority, u32>,
    /// Current sums of this router, published by [`SumTable::refresh`] when due.
    own_sums: Option<Vec<GroupSum>>,
}

impl SumTable {
    /// Creates an empty table. `incarnation` is the start time in milliseconds, so that sums of
    /// this process replace those of earlier ones.
    pub(crate) fn new(local: &str, incarnation: u64) -> SumTable {
        SumTable {
            local: short_id(local),
            seq: incarnation,
            incarnation,
            started: None,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            own_sums: None,
        }
    }

    /// Sets the sums of this router. `None` publishes nothing.
    pub(crate) fn set(&mut self, sums: Option<Vec<GroupSum>>) {
        self.own_sums = sums;
        if let Some(own) = &mut self.own_sums {
            own.truncate(MAX_GROUPS);
        }
    }

    /// Publishes this router's sums if they are due, and drops sums that their owners did not
    /// refresh.
    pub(crate) fn refresh(&mut self, now: Duration, intervals: &SumIntervals) {
        if let Some(own) = self
            .own_sums
            .clone()
            .filter(|own| self.is_due(own, now, intervals))
        {
            let started = *self.started.get_or_insert(now);
            let running = now.saturating_sub(started).as_millis() as u64;
            self.seq = (self.seq + 1).max(self.incarnation + running);
            self.insert(self.local, self.local, own, self.seq, now);
        }
        let queue = &mut self.queue;
        self.entries.retain(|_, entry| {
            let keep = now.saturating_sub(entry.updated_at) < intervals.expiry;
            if let (false, Some(priority)) = (keep, entry.priority) {
                queue.remove(&priority);
            }
            keep
        });
    }

    fn is_due(&self, own: &[GroupSum], now: Duration, intervals: &SumIntervals) -> bool {
        let Some(known) = self.entries.get(&self.local) else {
            return true;
        };
        let age = now.saturating_sub(known.updated_at);
        if known.groups == own {
            return age >= intervals.refresh;
        }
        age >= intervals.change
    }

    /// Merges newer sums of other owners that router `from` sent.
    pub(crate) fn receive(&mut self, from: &str, digest: &SumDigest, now: Duration) {
        let from = short_id(from);
        for sent in &digest.sums {
            let seq = digest.newest.saturating_sub(sent.seq_offset);
            let known = self.entries.get_mut(&sent.owner);
            if let Some(known) = known.filter(|entry| entry.seq >= seq) {
                if known.seq == seq {
                    known.sender = from;
                }
                continue;
            }
            if sent.owner == self.local {
                continue;
            }
            let groups = sent.sums.iter().filter_map(|sum| {
                Some(GroupSum {
                    group: digest.groups.get(usize::from(sum.group))?.clone(),
                    outstanding: sum.outstanding,
                    capacity: sum.capacity,
                })
            });
            self.insert(sent.owner, from, groups.collect(), seq, now);
        }
    }

    fn insert(&mut self, owner: u32, from: u32, groups: Vec<GroupSum>, seq: u64, now: Duration) {
        if self.entries.len() >= MAX_OWNERS && !self.entries.contains_key(&owner) {
            return;
        }
        let priority = self.send_priority(owner, seq, 0);
        let entry = Entry {
            groups,
            seq,
            updated_at: now,
            sender: from,
            priority: Some(priority),
        };
        let replaced = self.entries.insert(owner, entry);
        if let Some(old) = replaced.and_then(|entry| entry.priority) {
            self.queue.remove(&old);
        }
        self.queue.insert(priority, owner);
    }

    fn send_priority(&self, owner: u32, seq: u64, sent: u32) -> SendPriority {
        SendPriority {
            relayed: owner != self.local,
            sent,
            reverse_seq: u64::MAX - seq,
            id: owner,
        }
    }

    /// Whether no sums wait to be sent.
    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Selects sums of at most `budget` bytes to send to router `to`, each up to `sends` times
    /// after a change, and returns them with the bytes that are left.
    pub(crate) fn select(
        &mut self,
        budget: usize,
        sends: u32,
        to: Option<u32>,
        wanted: impl Fn(u32) -> bool,
    ) -> (Option<SumDigest>, usize) {
        let mut left = budget.saturating_sub(FIXED_BYTES);
        let mut digest = SumDigest::default();
        let mut taken = Vec::new();
        for (priority, owner) in &self.queue {
            let Some(entry) = self.entries.get(owner) else {
                continue;
            };
            if to == Some(*owner) || to == Some(entry.sender) || !wanted(*owner) {
                continue;
            }
            let known = digest.groups.len();
            let sums = number_groups(&entry.groups, &mut digest.groups);
            let new: usize = digest.groups[known..].iter().map(|g| g.len() + 2).sum();
            let size = new + OWNER_BYTES + sums.iter().map(encoded_len).sum::<usize>();
            if size > left || digest.groups.len() > MAX_GROUPS {
                digest.groups.truncate(known);
                // Sums that alone exceed the budget must not block those of other owners.
                if digest.sums.is_empty() {
                    continue;
                }
                break;
            }
            left -= size;
            taken.push(*priority);
            digest.newest = digest.newest.max(entry.seq);
            digest.sums.push(OwnerSums {
                owner: *owner,
                seq_offset: entry.seq,
                sums,
            });
        }
        for sums in &mut digest.sums {
            sums.seq_offset = digest.newest - sums.seq_offset;
        }
        self.mark_sent(taken, sends);
        match digest.sums.is_empty() {
            true => (None, budget),
            false => (Some(digest), left),
        }
    }

    fn mark_sent(&mut self, priorities: Vec<SendPriority>, sends: u32) {
        for priority in priorities {
            self.queue.remove(&priority);
            let sent = priority.sent + 1;
            let next = SendPriority { sent, ..priority };
            let again = (sent < sends).then_some(next);
            if let Some(entry) = self.entries.get_mut(&priority.id) {
                entry.priority = again;
            }
            if again.is_some() {
                self.queue.insert(next, priority.id);
            }
        }
    }

    /// The newest sums of one owner.
    pub(crate) fn groups_of(&self, owner: &str) -> Option<&[GroupSum]> {
        self.entries
            .get(&short_id(owner))
            .map(|entry| &entry.groups[..])
    }

    /// The current sums of this router.
    pub(crate) fn own_sums(&self) -> Option<&[GroupSum]> {
        self.own_sums.as_deref()
    }
}

/// Intervals at which sums are published and dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SumIntervals {
    /// Age at which unchanged sums are published again.
    pub(crate) refresh: Duration,
    /// Age of the last publication at which changed sums are published.
    pub(crate) change: Duration,
    /// Age at which sums that were not refreshed are dropped.
    pub(crate) expiry: Duration,
}

/// Converts group names to indexes in `names`, to which new names are added.
fn number_groups(groups: &[GroupSum], names: &mut Vec<ModelName>) -> Vec<SentSum> {
    let numbered = groups.iter().map(|sum| {
        let known = names.iter().position(|name| *name == sum.group);
        let group = known.unwrap_or_else(|| {
            names.push(sum.group.clone());
            names.len() - 1
        });
        SentSum {
            // Selection stops before an index exceeds a byte.
            group: u8::try_from(group).unwrap_or(u8::MAX),
            outstanding: sum.outstanding,
            capacity: sum.capacity,
        }
    });
    numbered.collect()
}

fn encoded_len(sum: &SentSum) -> usize {
    let varint_len = |number: u32| (32 - number.leading_zeros()).div_ceil(7).max(1) as usize;
    1 + varint_len(sum.outstanding) + varint_len(sum.capacity)
}
