//! Pattern: a request that has ended three servers is sent to every router of a fleet, while a third of
//! them is cut off, start again or lose datagrams. Each must hold it back in time; over a virtual clock and
//! without network.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::CrashSync;
use sequoiaridge_policy::{Aged, Crash, Quarantine, QuarantineState};
use std::time::Duration;

/// Routers up to which everyone tells everyone.
const SMALL: usize = 24;
const DOMAINS: usize = 4;
/// Routers of the own domain, and of others, that a message of a large fleet goes to.
const NEAR: usize = 3;
const FAR: usize = 1;
const TICK: Duration = Duration::from_millis(100);
const LOSS: f64 = 0.05;
/// Time after the end of trouble from which routers must hold the request back: the least that the
/// operators set.
const CONTACT: Duration = Duration::from_secs(3);
/// Times that a crash is told when it happens.
const TELLINGS: u32 = 3;
/// Messages of 1,200 bytes in the 23 KB that a router may spend in a second.
const MOST: f64 = 23_000.0 / 1_200.0;
const POISON: u64 = 7;

struct Router {
    quarantine: Quarantine,
    sync: CrashSync,
    cut: bool,
    /// Messages with crashes that are told again.
    told: usize,
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
        let hold = Duration::from_secs(24 * 3600);
        Router {
            quarantine: Quarantine::new(3, hold, 4096).with_trust_window(Duration::from_secs(60)),
            sync: CrashSync::new(),
            cut: false,
            told: 0,
        }
    }

    fn is_large(&self) -> bool {
        self.routers.len() > SMALL
    }

    /// Whether a datagram arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let cut = self.routers[from].cut || self.routers[to].cut;
        !cut && !self.rng.random_bool(LOSS)
    }

    /// Routers that a message goes to.
    fn partners(&mut self, from: usize) -> Vec<usize> {
        let others = (0..self.routers.len()).filter(|to| *to != from);
        if !self.is_large() {
            return others.collect();
        }
        let (near, far): (Vec<usize>, Vec<usize>) =
            others.partition(|to| to % DOMAINS == from % DOMAINS);
        let mut partners: Vec<usize> = near.sample(&mut self.rng, NEAR).copied().collect();
        partners.extend(far.sample(&mut self.rng, FAR).copied());
        partners
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        let now = self.now;
        // Messages of a large fleet go out every 250 ms.
        let round = !self.is_large() || matches!(self.ticks % 5, 0 | 2);
        for from in 0..self.routers.len() {
            if round {
                let digest = self.routers[from].quarantine.digest();
                for to in self.partners(from) {
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
            router.told += 1;
            let to: usize = to.parse().expect("a router");
            if self.arrives(from, to) {
                self.hear(to, &page);
            }
        }
    }

    fn hear(&mut self, to: usize, page: &[Aged<Crash>]) {
        for crash in page {
            let router = &mut self.routers[to];
            router
                .quarantine
                .strike_aged(&crash.value, crash.age(), self.now);
        }
    }

    /// Tells the crashes of a request when they happen: to the own domain, and through one router of each
    /// other domain.
    fn tell(&mut self, from: usize, fingerprint: u64) {
        let page = self.routers[from].quarantine.crashes(fingerprint, self.now);
        for domain in 0..DOMAINS {
            let mut teller = from;
            if domain != from % DOMAINS {
                let routers = (domain..self.routers.len()).step_by(DOMAINS);
                let routers: Vec<usize> = routers.collect();
                let relay = *routers.choose(&mut self.rng).expect("a relay");
                if !self.arrives(from, relay) {
                    continue;
                }
                self.hear(relay, &page);
                teller = relay;
            }
            for to in (domain..self.routers.len()).step_by(DOMAINS) {
                if self.arrives(teller, to) {
                    self.hear(to, &page);
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
            fingerprint,
            endpoint: format!("i-{endpoint:010}"),
            boot: "1781639404012".to_string(),
            earlier: 0,
        };
        self.routers[router].quarantine.strike(&crash, self.now);
    }

    /// Routers that do not hold the request back.
    fn open(&self) -> usize {
        let held = |router: &&Router| {
            let standing = router.quarantine.state(POISON, self.now);
            matches!(standing, QuarantineState::Held { .. })
        };
        self.routers.len() - self.routers.iter().filter(held).count()
    }
}

/// Guards against a router that lets a request go on because it was cut off while others saw the crashes,
/// or has started since.
#[test]
fn every_router_holds_a_request_back_in_time() {
    for routers in [9, 86, 295] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(routers, seed);
            let mut order: Vec<usize> = (0..routers).collect();
            order.sort_by_key(|router| router * 7919 % 997);
            let (cut, rest) = order.split_at(routers / 3);
            for router in cut {
                fleet.routers[*router].cut = true;
            }
            // No router sees more than one of the three.
            for (endpoint, router) in rest.iter().take(3).enumerate() {
                fleet.crash(*router, POISON, endpoint);
            }
            for _ in 0..TELLINGS {
                fleet.run(CONTACT / (TELLINGS + 1));
                rest[..3]
                    .iter()
                    .for_each(|router| fleet.tell(*router, POISON));
            }
            fleet.run(CONTACT / (TELLINGS + 1));
            let open = fleet.open();
            assert_eq!(open, cut.len(), "{routers} routers, seed {seed}: before");

            fleet
                .routers
                .iter_mut()
                .for_each(|router| router.cut = false);
            for router in &rest[rest.len() / 2..] {
                fleet.routers[*router] = Fleet::router();
            }
            fleet.run(CONTACT);
            assert_eq!(fleet.open(), 0, "{routers} routers, seed {seed}: after");
        }
    }
}

/// Guards against a fleet that tells crashes again for ever, or to everyone at once: many servers end, and
/// some requests are held back.
#[test]
fn telling_again_ends_and_is_bounded() {
    for routers in [9, 295] {
        let mut fleet = Fleet::new(routers, 1);
        for fingerprint in 0..40 {
            for endpoint in 0..3 {
                let router = fleet.rng.random_range(0..routers);
                fleet.crash(router, fingerprint, endpoint);
                fleet.tell(router, fingerprint);
            }
        }
        let mut most = 0.0f64;
        for _ in 0..20 {
            fleet.routers.iter_mut().for_each(|router| router.told = 0);
            fleet.run(Duration::from_secs(1));
            let told: usize = fleet.routers.iter().map(|router| router.told).sum();
            most = most.max(told as f64 / routers as f64);
        }
        assert!(most < MOST, "{routers} routers: {most} messages a second");
        let digest = fleet.routers[0].quarantine.digest();
        let same = |router: &Router| router.quarantine.digest() == digest;
        assert!(fleet.routers.iter().all(same), "{routers} routers agree");
        fleet.routers.iter_mut().for_each(|router| router.told = 0);
        fleet.run(Duration::from_secs(5));
        assert!(fleet.routers.iter().all(|router| router.told == 0));
    }
}
