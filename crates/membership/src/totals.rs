//! Choice of the sums that a router publishes, relays and uses.
//!
//! In a small fleet the sums of all owners are sent to all routers. At 370 routers they cannot
//! reach all others within seconds in the bytes that a router may use, but those of one domain
//! (about 30 owners) fit into one datagram. Above [`LARGE_FLEET`] routers, the sums of owners
//! therefore stay in their domain, and each router also publishes the sum of its domain. Other
//! domains use the newest of these.

use crate::sum::{SumIntervals, short_id};
use crate::{CountScope, Detector, Digest, DomainSum, FleetSums, GroupSum, OwnerSum, PeerState};
use sequoiaridge_core::{DomainId, ModelName, RouterId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Largest number of routers in a fleet at which the sums of all owners are sent to all routers.
const LARGE_FLEET: usize = 64;

/// Time between two publications of changing sums. It is below the probe period (500 ms by
/// default), so that a change is published once per period.
const CHANGE_DELAY: Duration = Duration::from_millis(400);

/// Divisor of the number of other owners in the domain that gives how many of their sums may be
/// missing in the sum of the domain. A router that has just started knows few sums, and its sum of
/// the domain must not replace those of the others.
const MISSING_DIVISOR: usize = 16;

/// Which part of a member's or domain's sums counts.
enum Inclusion {
    All,
    /// Only the capacity, for a member that died recently: its endpoints are in no other sum yet,
    /// and a total without their capacity would raise the bound. Its work is left out, which only
    /// lowers the bound.
    Capacity,
    Nothing,
}

impl Detector {
    /// Sets this router's sums of each group, and the endpoints whose counts are sent individually.
    pub fn set_sums(&mut self, sums: &[GroupSum], scope: CountScope) {
        self.sums.set(Some(sums.to_vec()));
        self.loads.set_scope(scope);
    }

    /// Returns the newest sums of all other owners that are not dead. The capacity of an owner that
    /// died within [`DetectorConfig::capacity_hold`](crate::DetectorConfig::capacity_hold) still
    /// counts.
    pub fn sums(&self, now: Duration) -> FleetSums {
        let mut fleet = FleetSums::default();
        let mut domains: BTreeMap<&DomainId, Inclusion> = BTreeMap::new();
        for peer in self.roster.values() {
            let inclusion = self.inclusion(peer.state, peer.state_since, now);
            let domain = &peer.info.domain;
            if *domain != self.config.local.domain && self.domain_sums.groups_of(domain).is_some() {
                let known = domains.entry(domain).or_insert(Inclusion::Nothing);
                match (&known, &inclusion) {
                    (_, Inclusion::All) | (Inclusion::Nothing, _) => *known = inclusion,
                    _ => {}
                }
            } else if let Some(groups) = self
                .sums
                .groups_of(&peer.info.id)
                .and_then(|g| included(g, inclusion))
            {
                let owner = peer.info.id.clone();
                fleet.owners.push(OwnerSum { owner, groups });
            }
        }
        let domains = domains.into_iter().filter_map(|(domain, inclusion)| {
            let groups = included(self.domain_sums.groups_of(domain)?, inclusion)?;
            let domain = domain.clone();
            Some(DomainSum { domain, groups })
        });
        fleet.domains = domains.collect();
        fleet
    }

    fn inclusion(&self, state: PeerState, since: Duration, now: Duration) -> Inclusion {
        match state {
            PeerState::Dead if now < since + self.config.capacity_hold => Inclusion::Capacity,
            PeerState::Dead => Inclusion::Nothing,
            PeerState::Alive | PeerState::Suspect | PeerState::Leaving => Inclusion::All,
        }
    }

    /// Publishes this router's sums and, in a large fleet, the sum of its domain, whose other live
    /// routers are `peers`.
    pub(crate) fn refresh_sums(&mut self, peers: &BTreeSet<RouterId>, now: Duration) {
        let intervals = SumIntervals {
            refresh: self.config.sum_refresh,
            change: CHANGE_DELAY,
            expiry: self.config.load_expiry,
        };
        self.sums.refresh(now, &intervals);
        let large = self.fleet_size() > LARGE_FLEET;
        self.domain_owners = large.then(|| {
            let me = std::iter::once(&self.config.local.id);
            peers.iter().chain(me).map(|id| short_id(id)).collect()
        });
        let sum = large.then(|| self.domain_sum(peers, now)).flatten();
        self.domain_sums.set(sum);
        let refresh = self.config.period;
        self.domain_sums.refresh(
            now,
            &SumIntervals {
                refresh,
                ..intervals
            },
        );
    }

    /// Returns the sum of this router's domain, if the sums of enough of its owners are known.
    fn domain_sum(&self, peers: &BTreeSet<RouterId>, now: Duration) -> Option<Vec<GroupSum>> {
        let known = peers
            .iter()
            .filter(|id| self.sums.groups_of(id).is_some())
            .count();
        if (peers.len() - known) * MISSING_DIVISOR > peers.len() {
            return None;
        }
        let mut total: BTreeMap<ModelName, GroupSum> = BTreeMap::new();
        let mut add = |groups: &[GroupSum]| {
            for sum in groups {
                let entry = total.entry(sum.group.clone()).or_insert_with(|| GroupSum {
                    group: sum.group.clone(),
                    outstanding: 0,
                    capacity: 0,
                });
                entry.outstanding = entry.outstanding.saturating_add(sum.outstanding);
                entry.capacity = entry.capacity.saturating_add(sum.capacity);
            }
        };
        add(self.sums.own_sums()?);
        for peer in self.roster.values() {
            if peer.info.domain == self.config.local.domain {
                let inclusion = self.inclusion(peer.state, peer.state_since, now);
                let groups = self
                    .sums
                    .groups_of(&peer.info.id)
                    .and_then(|g| included(g, inclusion));
                add(&groups.unwrap_or_default());
            }
        }
        Some(total.into_values().collect())
    }

    /// Whether no sums wait to be sent.
    pub(crate) fn sum_queues_empty(&self) -> bool {
        self.sums.is_queue_empty() && self.domain_sums.is_queue_empty()
    }

    /// Adds sums of at most `budget` bytes for router `to`. Returns the bytes that are left.
    pub(crate) fn add_sums(
        &mut self,
        digest: &mut Digest,
        budget: usize,
        sends: u32,
        to: Option<&RouterId>,
    ) -> usize {
        let receiver = to.map(|id| short_id(id));
        let domain = to.and_then(|id| self.roster.get(id));
        let domain = domain.map(|peer| short_id(&peer.info.domain));
        let Some(owners) = &self.domain_owners else {
            let (sums, left) = self
                .sums
                .select(budget, sends.div_ceil(2), receiver, |_| true);
            digest.sums = sums;
            return left;
        };
        // The receiver does not need the sum of its own domain, and it needs the sums of single
        // owners only if it is in this router's domain.
        let inside = receiver.is_some_and(|id| owners.contains(&id));
        let domain_budget = if inside { budget * 2 / 5 } else { budget };
        let wanted = |id| Some(id) != domain;
        let (domains, left) = self
            .domain_sums
            .select(domain_budget, sends, receiver, wanted);
        digest.domains = domains;
        let left = budget - domain_budget + left;
        if !inside {
            return left;
        }
        let (sums, left) = self
            .sums
            .select(left, sends, receiver, |id| owners.contains(&id));
        digest.sums = sums;
        left
    }
}

/// Returns the part of the sums that counts, if any.
fn included(groups: &[GroupSum], inclusion: Inclusion) -> Option<Vec<GroupSum>> {
    let mut groups = groups.to_vec();
    match inclusion {
        Inclusion::Nothing => return None,
        Inclusion::Capacity => groups.iter_mut().for_each(|sum| sum.outstanding = 0),
        Inclusion::All => {}
    }
    Some(groups)
}
