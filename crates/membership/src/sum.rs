//! Sums of outstanding work and capacity that each owner publishes for each group.

use crate::{OwnerSums, SentSum, SumDigest};
use sequoiaridge_core::{DomainId, EndpointId, ModelName, RouterId, hash64};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Owners whose sums are kept at the same time: more than ten times the target size.
const MAX_OWNERS: usize = 4096;

/// Groups of one owner whose sums are sent. Each digest numbers its groups with one byte.
const MAX_GROUPS: usize = 200;

/// Bytes of an owner's sums as sent beyond its groups: short id, length, and sequence number below
/// the newest, for clocks that differ by up to three days; more only uses up the datagram's reserve.
const OWNER_BYTES: usize = 10;

/// Bytes of a digest's sums beyond names and sums: lengths and newest sequence number.
const FIXED_BYTES: usize = 12;

/// Most endpoints of a fleet in which the counts of all endpoints are spread. With 256 endpoints, a
/// router needs about 5 KB for one report of each; with 7,400, datagrams carry a fifth of them.
pub const MAX_COUNTED_ENDPOINTS: usize = 256;

/// Outstanding work and capacity of one group at one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSum {
    /// Model that the engines serve, or name of the service.
    pub group: ModelName,
    /// Requests that the owner has outstanding on open endpoints.
    pub outstanding: u32,
    /// Slots of the open endpoints that the owner admits to.
    pub capacity: u32,
}

/// The newest sums of one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSum {
    /// Router that made the sums.
    pub owner: RouterId,
    /// Its groups; empty if it admits to no endpoint.
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

/// What a router knows of the work and capacity of the others. No owner is part of both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSums {
    /// Owners that are known one by one.
    pub owners: Vec<OwnerSum>,
    /// Domains whose owners are known together.
    pub domains: Vec<DomainSum>,
}

/// Endpoints whose counts are spread one by one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CountScope {
    /// All of them.
    #[default]
    All,
    /// These, and those whose owner is new or disputed. Of the others only states are spread.
    Only(BTreeSet<EndpointId>),
}

impl CountScope {
    /// Choice for a fleet of `endpoints` endpoints, among them these services. The least used
    /// instance of a service is chosen by counts at every size.
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

/// Short id of an owner in messages. Two live routers of 370 share one with a probability of
/// 1 in 60,000; the sums of one of them are then missing.
pub(crate) fn short(owner: &str) -> u32 {
    (hash64(owner.as_bytes()) >> 32) as u32
}

/// Place in the order of sending: the own sums first, then those sent less often, of these the
/// newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    relayed: bool,
    sent: u32,
    below: u64,
    id: u32,
}

#[derive(Debug)]
struct Entry {
    groups: Vec<GroupSum>,
    seq: u64,
    /// When the sums were taken over.
    at: Duration,
    /// Router that sent them, which needs them least.
    from: u32,
    rank: Option<Rank>,
}

/// The newest sums of each owner. The sums of an owner are replaced together.
///
/// The sequence number of sums is the time of publication in milliseconds, as the owner's clock at
/// its start and its running time give it. Only numbers of one owner decide which sums are newer;
/// between owners they only order what is sent, so clocks that differ do no harm.
#[derive(Debug)]
pub(crate) struct SumTable {
    me: u32,
    seq: u64,
    incarnation: u64,
    /// Time of the first refresh, to which the incarnation belongs.
    started: Option<Duration>,
    entries: BTreeMap<u32, Entry>,
    queue: BTreeMap<Rank, u32>,
    /// The own sums, published at the next refresh if they changed.
    own: Option<Vec<GroupSum>>,
}

impl SumTable {
    /// Creates an empty table. `incarnation` is the start time in milliseconds, so that sums of this
    /// process replace those of earlier ones.
    pub(crate) fn new(me: &str, incarnation: u64) -> SumTable {
        SumTable {
            me: short(me),
            seq: incarnation,
            incarnation,
            started: None,
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
            own: None,
        }
    }

    /// Sets the own sums; `None` publishes nothing.
    pub(crate) fn set(&mut self, sums: Option<Vec<GroupSum>>) {
        self.own = sums;
        if let Some(own) = &mut self.own {
            own.truncate(MAX_GROUPS);
        }
    }

    /// Publishes the own sums if it is time, and drops sums that their owners did not refresh.
    pub(crate) fn refresh(&mut self, now: Duration, times: &SumTimes) {
        if let Some(own) = self.own.clone().filter(|own| self.is_due(own, now, times)) {
            let started = *self.started.get_or_insert(now);
            let running = now.saturating_sub(started).as_millis() as u64;
            self.seq = (self.seq + 1).max(self.incarnation + running);
            self.put(self.me, self.me, own, self.seq, now);
        }
        let queue = &mut self.queue;
        self.entries.retain(|_, entry| {
            let keep = now.saturating_sub(entry.at) < times.expiry;
            if let (false, Some(rank)) = (keep, entry.rank) {
                queue.remove(&rank);
            }
            keep
        });
    }

    fn is_due(&self, own: &[GroupSum], now: Duration, times: &SumTimes) -> bool {
        let Some(known) = self.entries.get(&self.me) else {
            return true;
        };
        let age = now.saturating_sub(known.at);
        if known.groups == own {
            return age >= times.refresh;
        }
        age >= times.change
    }

    /// Takes over newer sums of other owners from router `from`.
    pub(crate) fn receive(&mut self, from: &str, digest: &SumDigest, now: Duration) {
        let from = short(from);
        for sent in &digest.sums {
            let seq = digest.newest.saturating_sub(sent.seq_offset);
            let known = self.entries.get_mut(&sent.owner);
            if let Some(known) = known.filter(|entry| entry.seq >= seq) {
                if known.seq == seq {
                    known.from = from;
                }
                continue;
            }
            if sent.owner == self.me {
                continue;
            }
            let groups = sent.sums.iter().filter_map(|sum| {
                Some(GroupSum {
                    group: digest.groups.get(usize::from(sum.group))?.clone(),
                    outstanding: sum.outstanding,
                    capacity: sum.capacity,
                })
            });
            self.put(sent.owner, from, groups.collect(), seq, now);
        }
    }

    fn put(&mut self, owner: u32, from: u32, groups: Vec<GroupSum>, seq: u64, now: Duration) {
        if self.entries.len() >= MAX_OWNERS && !self.entries.contains_key(&owner) {
            return;
        }
        let rank = self.rank(owner, seq, 0);
        let entry = Entry {
            groups,
            seq,
            at: now,
            from,
            rank: Some(rank),
        };
        let replaced = self.entries.insert(owner, entry);
        if let Some(old) = replaced.and_then(|entry| entry.rank) {
            self.queue.remove(&old);
        }
        self.queue.insert(rank, owner);
    }

    fn rank(&self, owner: u32, seq: u64, sent: u32) -> Rank {
        Rank {
            relayed: owner != self.me,
            sent,
            below: u64::MAX - seq,
            id: owner,
        }
    }

    /// Whether nothing waits to be sent.
    pub(crate) fn is_quiet(&self) -> bool {
        self.queue.is_empty()
    }

    /// Chooses sums of at most `room` bytes to send to router `to`, each up to `sends` times after a
    /// change, and returns them with the room that is left.
    pub(crate) fn select(
        &mut self,
        room: usize,
        sends: u32,
        to: Option<u32>,
        wanted: impl Fn(u32) -> bool,
    ) -> (Option<SumDigest>, usize) {
        let mut left = room.saturating_sub(FIXED_BYTES);
        let mut digest = SumDigest::default();
        let mut taken = Vec::new();
        for (rank, owner) in &self.queue {
            let Some(entry) = self.entries.get(owner) else {
                continue;
            };
            if to == Some(*owner) || to == Some(entry.from) || !wanted(*owner) {
                continue;
            }
            let known = digest.groups.len();
            let sums = number(&entry.groups, &mut digest.groups);
            let new: usize = digest.groups[known..].iter().map(|g| g.len() + 2).sum();
            let size = new + OWNER_BYTES + sums.iter().map(bytes).sum::<usize>();
            if size > left || digest.groups.len() > MAX_GROUPS {
                digest.groups.truncate(known);
                // Sums that alone exceed the room must not hold up those of others.
                if digest.sums.is_empty() {
                    continue;
                }
                break;
            }
            left -= size;
            taken.push(*rank);
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
        self.count_sent(taken, sends);
        match digest.sums.is_empty() {
            true => (None, room),
            false => (Some(digest), left),
        }
    }

    fn count_sent(&mut self, ranks: Vec<Rank>, sends: u32) {
        for rank in ranks {
            self.queue.remove(&rank);
            let sent = rank.sent + 1;
            let next = Rank { sent, ..rank };
            let again = (sent < sends).then_some(next);
            if let Some(entry) = self.entries.get_mut(&rank.id) {
                entry.rank = again;
            }
            if again.is_some() {
                self.queue.insert(next, rank.id);
            }
        }
    }

    /// The newest sums of one owner.
    pub(crate) fn of(&self, owner: &str) -> Option<&[GroupSum]> {
        self.entries
            .get(&short(owner))
            .map(|entry| &entry.groups[..])
    }

    /// The own sums that are to be published.
    pub(crate) fn own(&self) -> Option<&[GroupSum]> {
        self.own.as_deref()
    }
}

/// When own sums are published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SumTimes {
    /// Age of unchanged sums.
    pub(crate) refresh: Duration,
    /// Age of changed sums.
    pub(crate) change: Duration,
    /// Age at which the sums of others are dropped.
    pub(crate) expiry: Duration,
}

/// Numbers the groups in `names`, to which new ones are added.
fn number(groups: &[GroupSum], names: &mut Vec<ModelName>) -> Vec<SentSum> {
    let numbered = groups.iter().map(|sum| {
        let known = names.iter().position(|name| *name == sum.group);
        let group = known.unwrap_or_else(|| {
            names.push(sum.group.clone());
            names.len() - 1
        });
        SentSum {
            // Selection stops before the numbers exceed a byte.
            group: u8::try_from(group).unwrap_or(u8::MAX),
            outstanding: sum.outstanding,
            capacity: sum.capacity,
        }
    });
    numbered.collect()
}

fn bytes(sum: &SentSum) -> usize {
    let varint = |number: u32| (32 - number.leading_zeros()).div_ceil(7).max(1) as usize;
    1 + varint(sum.outstanding) + varint(sum.capacity)
}
