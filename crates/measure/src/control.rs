//! Control traffic of many failure detectors: their real, sealed datagrams on a virtual clock.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_membership::{
    CountScope, Detector, DetectorConfig, Digest, EndpointLoad, EndpointState, GroupSum,
    MemberInfo, Message, Outgoing, OwnerLoads, PeerState, SentLoad,
};
use sequoiaridge_wire::{Opener, PeerKeys, Sealer};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of models in steady use; each engine serves one.
const MODELS: usize = 4;
/// Number of slots of an engine.
const SLOTS: u32 = 32;
/// Interval of a detector's ticks.
const TICK: Duration = Duration::from_millis(50);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);
/// Size of the IPv4 and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: usize = 28;
/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(8);
/// Maximum time that is simulated until all routers know of a failure.
const MAX_DETECTION: Duration = Duration::from_secs(30);
/// Interval at which the load counts change.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Missed heartbeats after which a full mesh declares a router dead.
const MISSED_HEARTBEATS: u32 = 3;

/// Numbers of routers, failure domains and engines in a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of routers.
    pub routers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of engines.
    pub engines: usize,
}

/// Control traffic: bytes per second and router, sent and received, including IP and UDP headers.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Mean over the routers by kind of message: within a failure domain, and between domains.
    pub kinds: BTreeMap<&'static str, (f64, f64)>,
    /// Traffic of the busiest router.
    pub busiest: f64,
    /// Mean time for which a router's count of another router's engine has been out of date.
    pub age: Duration,
    /// Share of the other routers' engines whose count a router knows.
    pub known: f64,
    /// Time from the failure of a router until all others know of it.
    pub detection: Duration,
    /// Bytes per second and router of a full mesh of heartbeats with the same detection time.
    pub full_mesh: f64,
}

impl Traffic {
    /// Returns the mean over the routers, of all kinds of messages together.
    pub fn mean(&self) -> f64 {
        self.kinds.values().map(|(near, far)| near + far).sum()
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "mean {:.0} B/s, busiest {:.0} B/s;",
            self.mean(),
            self.busiest
        )?;
        for (kind, (near, far)) in &self.kinds {
            write!(f, " {kind} {near:.0} in-domain {far:.0} cross-domain;")?;
        }
        write!(
            f,
            " counts known {:.1} %, mean age {:.2} s; death known everywhere after {:.2} s; full mesh {:.0} B/s",
            100.0 * self.known,
            self.age.as_secs_f64(),
            self.detection.as_secs_f64(),
            self.full_mesh
        )
    }
}

struct SimRouter {
    info: MemberInfo,
    detector: Detector,
    sealer: Sealer,
    opener: Opener,
    alive: bool,
    next_tick: Duration,
    bytes: u64,
    kinds: BTreeMap<&'static str, (u64, u64)>,
}

/// A datagram in transit.
struct Datagram {
    from: usize,
    to: usize,
    kind: &'static str,
    bytes: Vec<u8>,
}

/// All routers and the datagrams between them.
struct Network {
    routers: Vec<SimRouter>,
    now: Duration,
    rng: StdRng,
    indexes: BTreeMap<SocketAddr, usize>,
    in_transit: BTreeMap<(Duration, u64), Datagram>,
    sequence: u64,
    // Requests outstanding at each engine, with the time of the last change.
    loads: Vec<(u32, Duration)>,
}

fn engine(number: usize) -> String {
    format!("engine-{number:04}")
}

/// Returns the sums for each model that the owner of every `step`-th engine publishes.
fn group_sums(first: usize, step: usize, loads: &[(u32, Duration)]) -> Vec<GroupSum> {
    let mut sums: Vec<GroupSum> = (0..MODELS)
        .map(|model| GroupSum {
            group: format!("model-{model}"),
            outstanding: 0,
            capacity: 0,
        })
        .collect();
    for number in (first..loads.len()).step_by(step) {
        let sum = &mut sums[number % MODELS];
        sum.outstanding += loads[number].0;
        sum.capacity += SLOTS;
    }
    sums
}

impl Network {
    fn new(size: Size, seed: u64) -> Network {
        let mut rng = StdRng::seed_from_u64(seed);
        let keys = PeerKeys::from_bytes([0x5a; 32], None);
        let infos: Vec<MemberInfo> = (0..size.routers)
            .map(|index| MemberInfo {
                id: format!("router-{index:03}"),
                addr: ([10, 0, (index >> 8) as u8, index as u8], 7000).into(),
                domain: format!("domain-{}", index % size.domains),
                region: format!("region-{}", index % size.domains / 4),
            })
            .collect();
        let router = |(index, info): (usize, &MemberInfo)| {
            let incarnation = 1_700_000_000_000 + index as u64;
            let config = DetectorConfig::new(info.clone(), incarnation, rng.random());
            let mut detector = Detector::new(config);
            detector.set_list(&infos, Duration::ZERO);
            SimRouter {
                info: info.clone(),
                detector,
                sealer: Sealer::new(&keys, info.id.clone(), incarnation),
                opener: Opener::new(&keys),
                alive: true,
                next_tick: rng.random_range(Duration::ZERO..Duration::from_millis(500)),
                bytes: 0,
                kinds: BTreeMap::new(),
            }
        };
        let routers: Vec<SimRouter> = infos.iter().enumerate().map(router).collect();
        let loads = (0..size.engines).map(|_| (rng.random_range(4..20), Duration::ZERO));
        Network {
            loads: loads.collect(),
            indexes: infos.iter().enumerate().map(|(n, i)| (i.addr, n)).collect(),
            routers,
            now: Duration::ZERO,
            rng,
            in_transit: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Changes each engine's count by at most two, and passes the counts to the owners' detectors.
    fn change_loads(&mut self) {
        for (count, at) in &mut self.loads {
            let next = (*count + self.rng.random_range(0..5)).saturating_sub(2);
            if next != *count {
                (*count, *at) = (next, self.now);
            }
        }
        let routers = self.routers.len();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let own = (index..self.loads.len()).step_by(routers);
            let loads: Vec<EndpointLoad> = own
                .map(|number| EndpointLoad {
                    endpoint: engine(number),
                    outstanding: self.loads[number].0,
                    state: EndpointState::Up,
                })
                .collect();
            router.detector.set_loads(&loads, self.now);
            let scope = CountScope::for_fleet(self.loads.len(), []);
            // In a small fleet a router publishes no sums, as in the router process.
            let sums = match scope {
                CountScope::All => Vec::new(),
                CountScope::Only(_) => group_sums(index, routers, &self.loads),
            };
            router.detector.set_sums(&sums, scope);
        }
    }

    fn run_until(&mut self, end: Duration, done: impl Fn(&Network) -> bool) {
        while self.now < end && !done(self) {
            if self
                .now
                .as_millis()
                .is_multiple_of(LOAD_INTERVAL.as_millis())
            {
                self.change_loads();
            }
            self.now += STEP;
            while let Some(entry) = self
                .in_transit
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                let datagram = entry.remove();
                self.deliver(&datagram);
            }
            for index in 0..self.routers.len() {
                let router = &mut self.routers[index];
                if router.alive && self.now >= router.next_tick {
                    router.next_tick = self.now + TICK;
                    let sent = router.detector.tick(self.now);
                    self.send(index, sent);
                }
            }
        }
    }

    fn count_bytes(&mut self, router: usize, other: usize, kind: &'static str, bytes: usize) {
        let near = self.routers[router].info.domain == self.routers[other].info.domain;
        let router = &mut self.routers[router];
        let bytes = (bytes + IP_UDP_HEADER_BYTES) as u64;
        router.bytes += bytes;
        let (inside, across) = router.kinds.entry(kind).or_default();
        *(if near { inside } else { across }) += bytes;
    }

    fn send(&mut self, from: usize, sent: Vec<Outgoing>) {
        for Outgoing { to, message } in sent {
            let to = self.indexes[&to];
            let kind = message.kind();
            let sealed = self.routers[from].sealer.seal(&message);
            let bytes = sealed.expect("every message fits a datagram");
            self.count_bytes(from, to, kind, bytes.len());
            self.sequence += 1;
            let delay = self.rng.random_range(1..8);
            let at = self.now + Duration::from_millis(delay);
            self.in_transit.insert(
                (at, self.sequence),
                Datagram {
                    from,
                    to,
                    kind,
                    bytes,
                },
            );
        }
    }

    fn deliver(&mut self, datagram: &Datagram) {
        let Datagram {
            from,
            to,
            kind,
            ref bytes,
        } = *datagram;
        if !self.routers[to].alive {
            return;
        }
        self.count_bytes(to, from, kind, bytes.len());
        let addr = self.routers[from].info.addr;
        let router = &mut self.routers[to];
        if let Ok((id, incarnation, message)) = router.opener.open::<Message>(bytes) {
            let sent = router
                .detector
                .receive(&id, incarnation, addr, message, self.now);
            self.send(to, sent);
        }
    }

    /// Returns the mean time in seconds for which the counts that routers have of others' engines
    /// have been out of date, and the share of these counts that is known. A count that equals the
    /// engine's has age zero.
    fn count_age(&self) -> (f64, f64) {
        let (mut age, mut known, mut all) = (0.0, 0, 0);
        for router in &self.routers {
            let reports = router.detector.loads();
            let others = reports.iter().filter(|r| r.owner != router.info.id);
            for report in others {
                let number: usize = report.endpoint[7..].parse().unwrap_or(0);
                let (count, at) = self.loads[number];
                known += 1;
                if count != report.outstanding {
                    age += (self.now - at).as_secs_f64();
                }
            }
            all += self.loads.len() - self.loads.len() / self.routers.len();
        }
        (age / f64::from(known.max(1)), f64::from(known) / all as f64)
    }
}

/// Measures the traffic of a fleet for `time`, then the detection of one failure.
pub fn measure(size: Size, time: Duration, seed: u64) -> Traffic {
    let mut network = Network::new(size, seed);
    network.run_until(WARM_UP, |_| false);
    for router in &mut network.routers {
        router.bytes = 0;
        router.kinds.clear();
    }
    let mut traffic = Traffic::default();
    let samples = time.as_secs().max(1);
    for second in 1..=samples {
        network.run_until(WARM_UP + Duration::from_secs(second), |_| false);
        let (age, known) = network.count_age();
        traffic.age += Duration::from_secs_f64(age / samples as f64);
        traffic.known += known / samples as f64;
    }
    let rate = |bytes: u64| bytes as f64 / samples as f64;
    traffic.busiest = network
        .routers
        .iter()
        .map(|r| rate(r.bytes))
        .fold(0.0, f64::max);
    for router in &network.routers {
        for (kind, (near, far)) in &router.kinds {
            let sum = traffic.kinds.entry(kind).or_default();
            sum.0 += rate(*near) / size.routers as f64;
            sum.1 += rate(*far) / size.routers as f64;
        }
    }
    traffic.detection = detection(&mut network);
    traffic.full_mesh = full_mesh_rate(size, traffic.detection);
    traffic
}

/// Stops one router and returns the time until all others consider it dead.
fn detection(network: &mut Network) -> Duration {
    let start = network.now;
    network.routers[0].alive = false;
    let id = network.routers[0].info.id.clone();
    let dead = |router: &SimRouter| {
        let view = router.detector.view();
        view.iter()
            .any(|p| p.id == id && p.state == PeerState::Dead)
    };
    network.run_until(start + MAX_DETECTION, |network| {
        let often = network.now.as_millis().is_multiple_of(100);
        often && network.routers.iter().filter(|r| r.alive).all(dead)
    });
    network.now - start
}

/// Returns the bytes per second and router of a full mesh: each router sends its counts to every
/// other one, and counts as dead after [`MISSED_HEARTBEATS`] periods without a heartbeat.
fn full_mesh_rate(size: Size, detection: Duration) -> f64 {
    let keys = PeerKeys::from_bytes([0x5a; 32], None);
    let sealer = Sealer::new(&keys, "router-000".to_string(), 1_700_000_000_000);
    let own = size.engines.div_ceil(size.routers);
    let loads = (0..own).map(|number| SentLoad {
        endpoint: engine(number),
        outstanding: 12,
        state: EndpointState::Up,
        seq_offset: number as u64,
    });
    let digest = Digest {
        version: 1000,
        knows: true,
        loads: vec![OwnerLoads {
            owner: "router-000".to_string(),
            base: 1_700_000_000_000,
            loads: loads.collect(),
        }],
        ..Digest::default()
    };
    let heartbeat = Message::Ack { seq: 1000, digest };
    let bytes = sealer
        .seal(&heartbeat)
        .expect("a heartbeat fits a datagram");
    let period = detection.as_secs_f64() / f64::from(MISSED_HEARTBEATS);
    2.0 * (size.routers - 1) as f64 * (bytes.len() + IP_UDP_HEADER_BYTES) as f64 / period
}
