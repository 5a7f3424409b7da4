//! Which routers a router probes, and when.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use sequoiaridge_core::RouterId;
use std::collections::BTreeSet;

/// Members in shuffled round-robin order. Each is returned once per round, which bounds the time
/// between two probes of a member.
#[derive(Debug, Default)]
struct Rotation {
    /// Members that are still to come in this round, the next one last.
    rest: Vec<RouterId>,
    /// Members of this round.
    known: BTreeSet<RouterId>,
}

impl Rotation {
    fn next(&mut self, members: &BTreeSet<RouterId>, rng: &mut StdRng) -> Option<RouterId> {
        if self.known != *members {
            self.rest.retain(|id| members.contains(id));
            // A new member comes at a random place of the current round, or in a large fleet it
            // would wait for several rounds.
            for id in members.difference(&self.known) {
                let at = rng.random_range(0..=self.rest.len());
                self.rest.insert(at, id.clone());
            }
            self.known = members.clone();
        }
        if self.rest.is_empty() {
            self.rest = members.iter().cloned().collect();
            self.rest.shuffle(rng);
        }
        self.rest.pop()
    }
}

/// Chooses the routers that one router probes in each period: one of its own failure domain, and in
/// every fourth period one of another domain. Most bytes thus stay off the links between domains,
/// and the number of messages does not grow with the fleet.
#[derive(Debug)]
pub struct ProbeSchedule {
    near: Rotation,
    far: Rotation,
    far_every: u64,
    period: u64,
}

impl ProbeSchedule {
    /// Creates a plan that probes another domain in every period of number `far_every`.
    ///
    /// `offset` is the number of the first period. Routers that start together pass different ones,
    /// so that they do not all use the costly links at the same time.
    pub fn new(far_every: u64, offset: u64) -> ProbeSchedule {
        ProbeSchedule {
            near: Rotation::default(),
            far: Rotation::default(),
            far_every: far_every.max(1),
            period: offset,
        }
    }

    /// Members to probe in the next period, given those of the own and of the other domains.
    pub fn next(
        &mut self,
        near: &BTreeSet<RouterId>,
        far: &BTreeSet<RouterId>,
        rng: &mut StdRng,
    ) -> Vec<RouterId> {
        let far_turn = self.period.is_multiple_of(self.far_every);
        self.period = self.period.wrapping_add(1);
        let mut targets = Vec::with_capacity(2);
        targets.extend(self.near.next(near, rng));
        if far_turn || near.is_empty() {
            targets.extend(self.far.next(far, rng));
        }
        targets
    }
}
