//! Baselines for comparison: placement without owners. They know the true state of the engines and
//! their counts without delay.

use super::{Change, Decision, Placer, Request, Wakeups, World};
use rand::RngExt;
use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::rank_top;
use std::cmp::Reverse;
use std::time::Duration;

/// A placement without owners.
#[derive(Clone, Debug)]
pub enum Baseline {
    /// A random engine.
    Random,
    /// The engines in turn.
    RoundRobin(usize),
    /// The first-ranked engine of rendezvous hashing, without a load bound and without a chat
    /// index.
    Rendezvous,
    /// The best-ranked engine within the load bound, without a chat index.
    Bounded,
    /// Of the engines within the load bound, the one that caches most of the chat; ties go to the
    /// one with the fewest requests.
    Oracle,
}

impl Baseline {
    /// Returns the name for reports.
    pub fn name(&self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::RoundRobin(_) => "round robin",
            Baseline::Rendezvous => "rendezvous",
            Baseline::Bounded => "bounded rendezvous",
            Baseline::Oracle => "oracle",
        }
    }

    fn choose(&mut self, world: &mut World, request: &Request) -> Option<EndpointId> {
        let open: Vec<EndpointId> = world.open().map(|(id, _)| id.clone()).collect();
        if open.is_empty() {
            return None;
        }
        match self {
            Baseline::Random => Some(open[world.rng.random_range(0..open.len())].clone()),
            Baseline::RoundRobin(next) => {
                *next += 1;
                Some(open[*next % open.len()].clone())
            }
            Baseline::Rendezvous => rank_top(request.key, &world.candidates(), 1).pop(),
            Baseline::Bounded | Baseline::Oracle => {
                let limit = world.limit(1);
                let ranked = rank_top(request.key, &world.candidates(), world.engines.len());
                let running = |id: &EndpointId| world.engines[id].running;
                let mut within = ranked.iter().filter(|id| u64::from(running(id)) < limit);
                if let Baseline::Bounded = self {
                    return within.next().cloned();
                }
                let cached = |id: &EndpointId| world.engines[id].cache.tokens(request.chat);
                within
                    .min_by_key(|id| (Reverse(cached(id)), running(id)))
                    .cloned()
            }
        }
    }
}

impl Placer for Baseline {
    fn place(&mut self, world: &mut World, request: &Request) -> Decision {
        match self.choose(world, request) {
            Some(engine) => Decision::Run(engine),
            None => Decision::Refused(Duration::from_secs(1)),
        }
    }

    fn finish(&mut self, _: &World, _: u64) -> Wakeups {
        Wakeups::default()
    }

    fn tick(&mut self, _: &mut World) -> Wakeups {
        Wakeups::default()
    }

    fn change(&mut self, _: &mut World, _: &Change) -> Vec<u64> {
        Vec::new()
    }

    fn unreachable(&mut self, _: &World, _: &EndpointId, _: u64) {}
}
