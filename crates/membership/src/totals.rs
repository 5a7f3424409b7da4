//! Which sums a router publishes, passes on and uses.
//!
//! In a small fleet the sums of all owners are spread. At 370 routers they do not reach all others
//! within seconds in the bytes that a router may use, but those of one domain (about 30 owners) fit
//! one datagram. Above [`LARGE_FLEET`] routers the sums of owners therefore stay in their domain,
//! and each router also publishes the sum of its domain, of which the newest is used elsewhere.

use crate::sum::{SumTimes, short};
use crate::{CountScope, Detector, Digest, DomainSum, FleetSums, GroupSum, OwnerSum, PeerState};
use sequoiaridge_core::{DomainId, ModelName, RouterId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most routers of a fleet in which the sums of all owners are spread to all.
const LARGE_FLEET: usize = 64;

/// Time for which changed sums wait: one period, so that a change is published once per probe.
const CHANGE: Duration = Duration::from_millis(400);

/// Part of the near owners whose sums may be missing in the sum of the domain, as a divisor. A
/// router that has just started knows few, and its sum must not replace those of the others.
const MISSING: usize = 16;

/// What counts of a member's sums.
enum Holding {
    All,
    /// A member that died recently: its endpoints are in no other sum yet, and a total without
    /// their capacity would raise the bound. Its work is left out, which only lowers the bound.
    Capacity,
    Nothing,
}

impl Detector {
    /// Sets the own sums of each group, and for which endpoints counts are spread one by one.
    pub fn set_sums(&mut self, sums: &[GroupSum], spread: CountScope) {
        self.sums.set(Some(sums.to_vec()));
        self.loads.set_spread(spread);
    }

    /// The newest sums of all other owners that are not dead. The capacity of an owner that died
    /// within [`DetectorConfig::sum_hold`](crate::DetectorConfig::sum_hold) still counts.
    pub fn sums(&self, now: Duration) -> FleetSums {
        let mut fleet = FleetSums::default();
        let mut domains: BTreeMap<&DomainId, Holding> = BTreeMap::new();
        for peer in self.roster.values() {
            let holding = self.holding(peer.state, peer.since, now);
            let domain = &peer.info.domain;
            if *domain != self.config.local.domain && self.domains.of(domain).is_some() {
                let known = domains.entry(domain).or_insert(Holding::Nothing);
                match (&known, &holding) {
                    (_, Holding::All) | (Holding::Nothing, _) => *known = holding,
                    _ => {}
                }
            } else if let Some(groups) = self.sums.of(&peer.info.id).and_then(|g| held(g, holding))
            {
                let owner = peer.info.id.clone();
                fleet.owners.push(OwnerSum { owner, groups });
            }
        }
        let domains = domains.into_iter().filter_map(|(domain, holding)| {
            let groups = held(self.domains.of(domain)?, holding)?;
            let domain = domain.clone();
            Some(DomainSum { domain, groups })
        });
        fleet.domains = domains.collect();
        fleet
    }

    fn holding(&self, state: PeerState, since: Duration, now: Duration) -> Holding {
        match state {
            PeerState::Dead if now < since + self.config.sum_hold => Holding::Capacity,
            PeerState::Dead => Holding::Nothing,
            PeerState::Alive | PeerState::Suspect | PeerState::Leaving => Holding::All,
        }
    }

    /// Publishes the own sums and, in a large fleet, that of the domain, in which the live routers
    /// `near` are.
    pub(crate) fn refresh_sums(&mut self, near: &BTreeSet<RouterId>, now: Duration) {
        let times = SumTimes {
            refresh: self.config.sum_refresh,
            change: CHANGE,
            expiry: self.config.load_expiry,
        };
        self.sums.refresh(now, &times);
        let large = self.fleet_size() > LARGE_FLEET;
        self.near_owners = large.then(|| {
            let me = std::iter::once(&self.config.local.id);
            near.iter().chain(me).map(|id| short(id)).collect()
        });
        let sum = large.then(|| self.domain_sum(near, now)).flatten();
        self.domains.set(sum);
        let refresh = self.config.period;
        self.domains.refresh(now, &SumTimes { refresh, ..times });
    }

    /// Sum of the own domain, if enough of its owners are known.
    fn domain_sum(&self, near: &BTreeSet<RouterId>, now: Duration) -> Option<Vec<GroupSum>> {
        let known = near.iter().filter(|id| self.sums.of(id).is_some()).count();
        if (near.len() - known) * MISSING > near.len() {
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
        add(self.sums.own()?);
        for peer in self.roster.values() {
            if peer.info.domain == self.config.local.domain {
                let holding = self.holding(peer.state, peer.since, now);
                let groups = self.sums.of(&peer.info.id).and_then(|g| held(g, holding));
                add(&groups.unwrap_or_default());
            }
        }
        Some(total.into_values().collect())
    }

    /// Whether no sums wait to be sent.
    pub(crate) fn sums_are_quiet(&self) -> bool {
        self.sums.is_quiet() && self.domains.is_quiet()
    }

    /// Adds sums of at most `room` bytes for router `to`; returns the room that is left.
    pub(crate) fn add_sums(
        &mut self,
        digest: &mut Digest,
        room: usize,
        sends: u32,
        to: Option<&RouterId>,
    ) -> usize {
        let receiver = to.map(|id| short(id));
        let domain = to.and_then(|id| self.roster.get(id));
        let domain = domain.map(|peer| short(&peer.info.domain));
        let Some(near) = &self.near_owners else {
            let (sums, left) = self
                .sums
                .select(room, sends.div_ceil(2), receiver, |_| true);
            digest.sums = sums;
            return left;
        };
        // The own domain's sum is of no use within the domain, and its owners' are of none outside.
        let inside = receiver.is_some_and(|id| near.contains(&id));
        let part = if inside { room * 2 / 5 } else { room };
        let wanted = |id| Some(id) != domain;
        let (domains, left) = self.domains.select(part, sends, receiver, wanted);
        digest.domains = domains;
        let left = room - part + left;
        if !inside {
            return left;
        }
        let (sums, left) = self
            .sums
            .select(left, sends, receiver, |id| near.contains(&id));
        digest.sums = sums;
        left
    }
}

/// The part of the sums that counts.
fn held(groups: &[GroupSum], holding: Holding) -> Option<Vec<GroupSum>> {
    let mut groups = groups.to_vec();
    match holding {
        Holding::Nothing => return None,
        Holding::Capacity => groups.iter_mut().for_each(|sum| sum.outstanding = 0),
        Holding::All => {}
    }
    Some(groups)
}
