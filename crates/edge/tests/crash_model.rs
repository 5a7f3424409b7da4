//! Tests of the quarantine in a simulated fleet, over a virtual clock and without network.
//!
//! A request has crashed three endpoints. Every router must hold it in time, although a third of
//! the routers is partitioned, some restart and datagrams are lost.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::CrashSync;
use sequoiaridge_policy::{Aged, Crash, Quarantine, QuarantineState, Suspect};
use std::time::Duration;

/// Largest fleet in which each router sends its messages to all others.
const SMALL_FLEET: usize = 24;
const DOMAINS: usize = 4;
/// Recipients of a message in a large fleet: routers of the sender's failure domain, and of others.
const NEAR_PEERS: usize = 3;
const FAR_PEERS: usize = 1;
const TICK: Duration = Duration::from_millis(100);
const LOSS_RATE: f64 = 0.05;
/// Time after the end of the failures within which every router must hold the request: the shortest
/// that operators set.
const SYNC_BOUND: Duration = Duration::from_secs(3);
/// Messages that carry each crash when it happens.
const SENDS_PER_CRASH: u32 = 3;
/// Messages of 1,200 bytes in the 23 KB that a router may send in a second.
const MAX_MESSAGES_PER_SECOND: f64 = 23_000.0 / 1_200.0;
const CRASHING_REQUEST: u64 = 7;

struct Router {
    quarantine: Quarantine,
    sync: CrashSync,
    partitioned: bool,
    /// Messages that sent known crashes again.
    resends: usize,
}

struct Fleet {
    routers: Vec<Router>,
    now: Duration,
    rng: StdRng,
    ticks: u64,
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Fleet {
        Fleet {
            routers: (0..routers).map(|_| Fleet::router()).collect(),
            now: Duration::from_secs(10),
            rng: StdRng::seed_from_u64(seed),
            ticks: 0,
        }
    }

    fn router() -> Router {
        let hold_time = Duration::from_secs(24 * 3600);
        Router {
            quarantine: Quarantine::new(3, hold_time, 4096)
                .with_trust_window(Duration::from_secs(60)),
            sync: CrashSync::new(),
            partitioned: false,
            resends: 0,
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

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        let now = self.now;
        // In a large fleet, messages are sent every 250 ms.
        let round = !self.is_large() || matches!(self.ticks % 5, 0 | 2);
        for from in 0..self.routers.len() {
            if round {
                let digest = self.routers[from].quarantine.digest();
                for to in self.peers(from) {
                    if self.arrives(from, to) {
                        let router = &mut self.routers[to];
                        let own = router.quarantine.digest();
                        router.sync.apply_digest(&from.to_string(), digest, own);
                    }
                }
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

    fn apply(&mut self, to: usize, page: &[Aged<Crash>]) {
        for crash in page {
            let router = &mut self.routers[to];
            router
                .quarantine
                .strike_aged(&crash.value, crash.age(), self.now);
        }
    }

    /// Sends the crashes of a request when they happen: to all routers of the sender's failure
    /// domain, and through one relay in each other domain.
    fn announce(&mut self, from: usize, fingerprint: u64) {
        let page = self.routers[from]
            .quarantine
            .crashes(Suspect::Request(fingerprint), self.now);
        for domain in 0..DOMAINS {
            let mut sender = from;
            if domain != from % DOMAINS {
                let routers = (domain..self.routers.len()).step_by(DOMAINS);
                let routers: Vec<usize> = routers.collect();
                let relay = *routers.choose(&mut self.rng).expect("a relay");
                if !self.arrives(from, relay) {
                    continue;
                }
                self.apply(relay, &page);
                sender = relay;
            }
            for to in (domain..self.routers.len()).step_by(DOMAINS) {
                if self.arrives(sender, to) {
                    self.apply(to, &page);
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    fn crash(&mut self, router: usize, fingerprint: u64, endpoint: usize) {
        let crash = Crash {
            suspect: Suspect::Request(fingerprint),
            endpoint: format!("i-{endpoint:010}"),
            boot: "1781639404012".to_string(),
            earlier: 0,
        };
        self.routers[router].quarantine.strike(&crash, self.now);
    }

    /// Number of routers that do not hold the request.
    fn not_holding(&self) -> usize {
        let held = |router: &&Router| {
            let state = router
                .quarantine
                .state(Suspect::Request(CRASHING_REQUEST), self.now);
            matches!(state, QuarantineState::Held { .. })
        };
        self.routers.len() - self.routers.iter().filter(held).count()
    }
}

/// Guards against a router that does not hold a request because it was partitioned while others saw
/// the crashes, or has started since.
#[test]
fn every_router_holds_a_request_back_in_time() {
    for routers in [9, 86, 295] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(routers, seed);
            let mut order: Vec<usize> = (0..routers).collect();
            order.sort_by_key(|router| router * 7919 % 997);
            let (partitioned, connected) = order.split_at(routers / 3);
            for router in partitioned {
                fleet.routers[*router].partitioned = true;
            }
            // No router sees more than one of the three crashes.
            for (endpoint, router) in connected.iter().take(3).enumerate() {
                fleet.crash(*router, CRASHING_REQUEST, endpoint);
            }
            for _ in 0..SENDS_PER_CRASH {
                fleet.run(SYNC_BOUND / (SENDS_PER_CRASH + 1));
                connected[..3]
                    .iter()
                    .for_each(|router| fleet.announce(*router, CRASHING_REQUEST));
            }
            fleet.run(SYNC_BOUND / (SENDS_PER_CRASH + 1));
            let not_holding = fleet.not_holding();
            assert_eq!(
                not_holding,
                partitioned.len(),
                "{routers} routers, seed {seed}: before"
            );

            fleet
                .routers
                .iter_mut()
                .for_each(|router| router.partitioned = false);
            for router in &connected[connected.len() / 2..] {
                fleet.routers[*router] = Fleet::router();
            }
            fleet.run(SYNC_BOUND);
            assert_eq!(
                fleet.not_holding(),
                0,
                "{routers} routers, seed {seed}: after"
            );
        }
    }
}

/// Guards against crashes that are sent again forever, or to all routers at once, when many
/// endpoints crash and several requests are held.
#[test]
fn resends_end_and_are_bounded() {
    for routers in [9, 295] {
        let mut fleet = Fleet::new(routers, 1);
        for fingerprint in 0..40 {
            for endpoint in 0..3 {
                let router = fleet.rng.random_range(0..routers);
                fleet.crash(router, fingerprint, endpoint);
                fleet.announce(router, fingerprint);
            }
        }
        let mut max_rate = 0.0f64;
        for _ in 0..20 {
            fleet
                .routers
                .iter_mut()
                .for_each(|router| router.resends = 0);
            fleet.run(Duration::from_secs(1));
            let resends: usize = fleet.routers.iter().map(|router| router.resends).sum();
            max_rate = max_rate.max(resends as f64 / routers as f64);
        }
        assert!(
            max_rate < MAX_MESSAGES_PER_SECOND,
            "{routers} routers: {max_rate} messages per second"
        );
        let digest = fleet.routers[0].quarantine.digest();
        let same = |router: &Router| router.quarantine.digest() == digest;
        assert!(fleet.routers.iter().all(same), "{routers} routers agree");
        fleet
            .routers
            .iter_mut()
            .for_each(|router| router.resends = 0);
        fleet.run(Duration::from_secs(5));
        assert!(fleet.routers.iter().all(|router| router.resends == 0));
    }
}
