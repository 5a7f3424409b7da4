//! Schedule of the routers that a router probes.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use sequoiaridge_core::RouterId;
use std::collections::BTreeSet;

/// Members in shuffled round-robin order. Each is returned once per round, which bounds the time
/// between two probes of a member.
#[derive(Debug, Default)]
struct Rotation {
    /// Members that remain in this round, the next one last.
    remaining: Vec<RouterId>,
    /// Members of this round.
    members: BTreeSet<RouterId>,
}

impl Rotation {
    fn next(&mut self, members: &BTreeSet<RouterId>, rng: &mut StdRng) -> Option<RouterId> {
        if self.members != *members {
            self.remaining.retain(|id| members.contains(id));
            // A new member is inserted at a random position of the current round. Otherwise it
            // would wait for the end of the round, which takes long in a large fleet.
            for id in members.difference(&self.members) {
                let at = rng.random_range(0..=self.remaining.len());
                self.remaining.insert(at, id.clone());
            }
            self.members = members.clone();
        }
        if self.remaining.is_empty() {
            self.remaining = members.iter().cloned().collect();
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }
}

/// Chooses the routers that one router probes in each period: one of its own failure domain, and in
/// some periods (by default every fourth) one of another domain. Most bytes thus stay off the links
/// between domains, and the number of messages does not grow with the fleet.
#[derive(Debug)]
pub struct ProbeSchedule {
    same_domain: Rotation,
    other_domains: Rotation,
    remote_every: u64,
    period: u64,
}

impl ProbeSchedule {
    /// Creates a schedule that probes another domain in every `remote_every`-th period.
    ///
    /// `offset` is the number of the first period. Routers that start together pass different
    /// offsets, so that they do not all use the costly links between domains at the same time.
    pub fn new(remote_every: u64, offset: u64) -> ProbeSchedule {
        ProbeSchedule {
            same_domain: Rotation::default(),
            other_domains: Rotation::default(),
            remote_every: remote_every.max(1),
            period: offset,
        }
    }

    /// Returns the members to probe in the next period, given the members of the router's own
    /// domain and those of the other domains.
    pub fn next(
        &mut self,
        same_domain: &BTreeSet<RouterId>,
        other_domains: &BTreeSet<RouterId>,
        rng: &mut StdRng,
    ) -> Vec<RouterId> {
        let probes_other = self.period.is_multiple_of(self.remote_every);
        self.period = self.period.wrapping_add(1);
        let mut targets = Vec::with_capacity(2);
        targets.extend(self.same_domain.next(same_domain, rng));
        if probes_other || same_domain.is_empty() {
            targets.extend(self.other_domains.next(other_domains, rng));
        }
        targets
    }
}
