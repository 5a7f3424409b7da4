//! The true state of the engines, as opposed to the routers' view of them.

use super::cache::PrefixCache;
use super::{CAPACITY, MODEL};
use rand::rngs::StdRng;
use sequoiaridge_core::{DomainId, EndpointId};
use sequoiaridge_policy::{Candidate, LoadBound};
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of an engine's prefix cache in tokens.
const CACHE_TOKENS: u64 = 1_000_000;

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it accepts connections.
    pub reachable: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Boot number, which changes with each restart.
    pub boot: u64,
    /// Number of running requests.
    pub running: u32,
    /// Its prefix cache.
    pub cache: PrefixCache,
}

/// The engines, the time and the random numbers of a run.
#[derive(Debug)]
pub struct World {
    /// Virtual time.
    pub now: Duration,
    /// Engines by name.
    pub engines: BTreeMap<EndpointId, Engine>,
    /// Random numbers of the placer. The workload has its own, so that all placers get the same
    /// chats.
    pub rng: StdRng,
}

impl World {
    /// Adds an engine with an empty cache.
    pub fn add(&mut self, id: &str, domain: &str) {
        let engine = Engine {
            domain: domain.to_string(),
            reachable: true,
            leaving: false,
            boot: 1,
            running: 0,
            cache: PrefixCache::new(CACHE_TOKENS),
        };
        self.engines.insert(id.to_string(), engine);
    }

    /// Returns the engines that take new work.
    pub fn open(&self) -> impl Iterator<Item = (&EndpointId, &Engine)> {
        let engines = self.engines.iter();
        engines.filter(|(_, engine)| engine.reachable && !engine.leaving)
    }

    /// Returns the engines that take new work as candidates for the ranking.
    pub fn candidates(&self) -> Vec<Candidate> {
        let open = self.open();
        open.map(|(id, _)| Candidate::new(id.clone(), CAPACITY))
            .collect()
    }

    /// Returns the largest number of requests that the load bound allows on one engine after `more`
    /// requests are added.
    pub fn limit(&self, more: u64) -> u64 {
        let (mut work, mut total) = (more, 0);
        for (_, engine) in self.open() {
            work += u64::from(engine.running);
            total += u64::from(CAPACITY);
        }
        LoadBound::default().limit(work, CAPACITY.into(), total)
    }

    /// Returns the groups that an engine serves.
    pub fn groups() -> Vec<String> {
        vec![MODEL.to_string()]
    }
}
