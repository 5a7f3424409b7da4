//! A simulated fleet of routers that exchange crashes, over a virtual clock and with lost messages.

// Each test file uses only some of it.
#![allow(dead_code)]

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{CrashSync, QuarantineProbes};
use sequoiaridge_policy::{Aged, Crash, Quarantine, Suspect};
use std::time::Duration;

/// Largest fleet in which each router sends its messages to all others.
const SMALL_FLEET: usize = 24;
const DOMAINS: usize = 4;
/// Recipients of a message in a large fleet: routers of the sender's failure domain, and of others.
const NEAR_PEERS: usize = 3;
const FAR_PEERS: usize = 1;
pub const TICK: Duration = Duration::from_millis(100);
const LOSS_RATE: f64 = 0.05;
/// Time after the end of the failures within which every router must hold the request: the shortest
/// that operators set.
pub const SYNC_BOUND: Duration = Duration::from_secs(3);
/// Messages of 1,200 bytes in the 23 KB that a router may send in a second.
pub const MAX_MESSAGES_PER_SECOND: f64 = 23_000.0 / 1_200.0;
/// Successes of parts in a message, and the time after a crash for which they are sent.
const MAX_PART_SUCCESSES: usize = 8;
const SUCCESS_WINDOW: Duration = Duration::from_secs(20);

pub struct Router {
    pub quarantine: Quarantine,
    pub probes: QuarantineProbes,
    sync: CrashSync,
    pub partitioned: bool,
    /// Messages that sent known crashes again.
    pub resends: usize,
}

impl Router {
    pub fn new() -> Router {
        let hold_time = Duration::from_secs(24 * 3600);
        Router {
            quarantine: Quarantine::new(3, hold_time, 4096)
                .with_trust_window(Duration::from_secs(60))
                .with_part_trust_window(Duration::from_secs(2)),
            probes: QuarantineProbes::new(),
            sync: CrashSync::new(),
            partitioned: false,
            resends: 0,
        }
    }
}

pub struct Fleet {
    pub routers: Vec<Router>,
    pub now: Duration,
    pub rng: StdRng,
    ticks: u64,
}

impl Fleet {
    pub fn new(routers: usize, seed: u64) -> Fleet {
        Fleet {
            routers: (0..routers).map(|_| Router::new()).collect(),
            now: Duration::from_secs(10),
            rng: StdRng::seed_from_u64(seed),
            ticks: 0,
        }
    }

    fn is_large(&self) -> bool {
        self.routers.len() > SMALL_FLEET
    }

    /// Draws whether a datagram arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let partitioned = self.routers[from].partitioned || self.routers[to].partitioned;
        !partitioned && !self.rng.random_bool(LOSS_RATE)
    }

    /// Recipients of a message.
    fn peers(&mut self, from: usize) -> Vec<usize> {
        let others = (0..self.routers.len()).filter(|to| *to != from);
        if !self.is_large() {
            return others.collect();
        }
        let (near, far): (Vec<usize>, Vec<usize>) =
            others.partition(|to| to % DOMAINS == from % DOMAINS);
        let mut peers: Vec<usize> = near.sample(&mut self.rng, NEAR_PEERS).copied().collect();
        peers.extend(far.sample(&mut self.rng, FAR_PEERS).copied());
        peers
    }

    /// Lets the time between two rounds pass, and makes each router send what is due.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        let now = self.now;
        // In a large fleet, messages are sent every 250 ms.
        let round = !self.is_large() || matches!(self.ticks % 5, 0 | 2);
        for from in 0..self.routers.len() {
            if round {
                self.send_round(from);
            }
            let router = &mut self.routers[from];
            let Some(to) = router.sync.next_peer(now, &mut self.rng) else {
                continue;
            };
            let page = router.sync.next_page(&router.quarantine, now);
            router.resends += 1;
            let to: usize = to.parse().expect("a router");
            if self.arrives(from, to) {
                self.apply(to, &page);
            }
        }
    }

    fn send_round(&mut self, from: usize) {
        let now = self.now;
        let quarantine = &self.routers[from].quarantine;
        let digest = quarantine.digest();
        let successes: Vec<Aged<Suspect>> =
            quarantine.part_successes(SUCCESS_WINDOW, MAX_PART_SUCCESSES, now);
        for to in self.peers(from) {
            if !self.arrives(from, to) {
                continue;
            }
            let router = &mut self.routers[to];
            for success in &successes {
                let age = success.age();
                router.quarantine.record_success(success.value, age, now);
            }
            let own = router.quarantine.digest();
            router.sync.apply_digest(&from.to_string(), digest, own);
        }
    }

    fn apply(&mut self, to: usize, page: &[Aged<Crash>]) {
        for crash in page {
            let router = &mut self.routers[to];
            router
                .quarantine
                .strike_aged(&crash.value, crash.age(), self.now);
        }
    }

    /// Sends crashes when they happen: to all routers of the sender's failure domain, and through
    /// one relay in each other domain.
    pub fn broadcast(&mut self, from: usize, page: &[Aged<Crash>]) {
        for domain in 0..DOMAINS {
            let mut sender = from;
            if domain != from % DOMAINS {
                let routers = (domain..self.routers.len()).step_by(DOMAINS);
                let routers: Vec<usize> = routers.collect();
                let relay = *routers.choose(&mut self.rng).expect("a relay");
                if !self.arrives(from, relay) {
                    continue;
                }
                self.apply(relay, page);
                sender = relay;
            }
            for to in (domain..self.routers.len()).step_by(DOMAINS) {
                if self.arrives(sender, to) {
                    self.apply(to, page);
                }
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}
