//! Control traffic of many detectors: their real datagrams, sealed, over a virtual clock.

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

/// Models in steady use; engines serve one each.
const MODELS: usize = 4;
/// Slots of an engine.
const SLOTS: u32 = 32;
/// Time between two ticks of a detector, and of the clock.
const TICK: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(5);
/// Bytes of the IPv4 and UDP headers.
const IP_UDP: usize = 28;
/// Time before counting starts, and the time that is counted.
const WARM_UP: Duration = Duration::from_secs(8);
/// Longest time that a failure may take to be known everywhere.
const DETECTION: Duration = Duration::from_secs(30);
/// Time between two changes of the counts.
const CHANGE: Duration = Duration::from_millis(250);
/// Heartbeats that are missed before a full mesh takes a router for dead.
const MISSED: u32 = 3;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Engines.
    pub engines: usize,
}

/// Bytes per second and router, sent and received, with IP and UDP headers.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Mean over the routers by kind of message, within and between failure domains.
    pub kinds: BTreeMap<&'static str, (f64, f64)>,
    /// The busiest router.
    pub most: f64,
    /// Mean age of the counts that a router has of other routers' engines.
    pub age: Duration,
    /// Share of the other routers' engines whose count is known.
    pub known: f64,
    /// Time from the death of a router until all others knew.
    pub detection: Duration,
    /// Bytes per second of a full mesh of heartbeats with the same detection time.
    pub mesh: f64,
}

impl Traffic {
    /// Mean over the routers.
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
            self.most
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
            self.mesh
        )
    }
}

struct Node {
    info: MemberInfo,
    detector: Detector,
    sealer: Sealer,
    opener: Opener,
    alive: bool,
    next_tick: Duration,
    bytes: u64,
    kinds: BTreeMap<&'static str, (u64, u64)>,
}

/// A datagram on its way.
struct Flight {
    from: usize,
    to: usize,
    kind: &'static str,
    bytes: Vec<u8>,
}

struct Net {
    nodes: Vec<Node>,
    now: Duration,
    rng: StdRng,
    places: BTreeMap<SocketAddr, usize>,
    flying: BTreeMap<(Duration, u64), Flight>,
    count: u64,
    // Count of each engine with the time of its last change.
    loads: Vec<(u32, Duration)>,
}

fn engine(number: usize) -> String {
    format!("engine-{number:04}")
}

/// What the owner of every `step`-th engine publishes for each model.
fn sums(first: usize, step: usize, loads: &[(u32, Duration)]) -> Vec<GroupSum> {
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

impl Net {
    fn new(size: Size, seed: u64) -> Net {
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
        let node = |(index, info): (usize, &MemberInfo)| {
            let incarnation = 1_700_000_000_000 + index as u64;
            let config = DetectorConfig::new(info.clone(), incarnation, rng.random());
            let mut detector = Detector::new(config);
            detector.set_list(&infos, Duration::ZERO);
            Node {
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
        let nodes: Vec<Node> = infos.iter().enumerate().map(node).collect();
        let loads = (0..size.engines).map(|_| (rng.random_range(4..20), Duration::ZERO));
        Net {
            loads: loads.collect(),
            places: infos.iter().enumerate().map(|(n, i)| (i.addr, n)).collect(),
            nodes,
            now: Duration::ZERO,
            rng,
            flying: BTreeMap::new(),
            count: 0,
        }
    }

    /// Changes the counts by small steps.
    fn change_loads(&mut self) {
        for (count, at) in &mut self.loads {
            let next = (*count + self.rng.random_range(0..5)).saturating_sub(2);
            if next != *count {
                (*count, *at) = (next, self.now);
            }
        }
        let routers = self.nodes.len();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let own = (index..self.loads.len()).step_by(routers);
            let loads: Vec<EndpointLoad> = own
                .map(|number| EndpointLoad {
                    endpoint: engine(number),
                    outstanding: self.loads[number].0,
                    state: EndpointState::Up,
                })
                .collect();
            node.detector.set_loads(&loads, self.now);
            let spread = CountScope::for_fleet(self.loads.len(), []);
            // As in the router, a small fleet publishes no sums.
            let sums = match spread {
                CountScope::All => Vec::new(),
                CountScope::Only(_) => sums(index, routers, &self.loads),
            };
            node.detector.set_sums(&sums, spread);
        }
    }

    fn run_until(&mut self, end: Duration, done: impl Fn(&Net) -> bool) {
        while self.now < end && !done(self) {
            if self.now.as_millis().is_multiple_of(CHANGE.as_millis()) {
                self.change_loads();
            }
            self.now += STEP;
            while let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 <= self.now) {
                let flight = entry.remove();
                self.deliver(&flight);
            }
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                if node.alive && self.now >= node.next_tick {
                    node.next_tick = self.now + TICK;
                    let sent = node.detector.tick(self.now);
                    self.send(index, sent);
                }
            }
        }
    }

    fn count_bytes(&mut self, node: usize, other: usize, kind: &'static str, bytes: usize) {
        let near = self.nodes[node].info.domain == self.nodes[other].info.domain;
        let node = &mut self.nodes[node];
        let bytes = (bytes + IP_UDP) as u64;
        node.bytes += bytes;
        let (inside, across) = node.kinds.entry(kind).or_default();
        *(if near { inside } else { across }) += bytes;
    }

    fn send(&mut self, from: usize, sent: Vec<Outgoing>) {
        for Outgoing { to, message } in sent {
            let to = self.places[&to];
            let kind = message.kind();
            let sealed = self.nodes[from].sealer.seal(&message);
            let bytes = sealed.expect("every message fits a datagram");
            self.count_bytes(from, to, kind, bytes.len());
            self.count += 1;
            let delay = self.rng.random_range(1..8);
            let at = self.now + Duration::from_millis(delay);
            self.flying.insert(
                (at, self.count),
                Flight {
                    from,
                    to,
                    kind,
                    bytes,
                },
            );
        }
    }

    fn deliver(&mut self, flight: &Flight) {
        let Flight {
            from,
            to,
            kind,
            ref bytes,
        } = *flight;
        if !self.nodes[to].alive {
            return;
        }
        self.count_bytes(to, from, kind, bytes.len());
        let addr = self.nodes[from].info.addr;
        let node = &mut self.nodes[to];
        if let Ok((id, incarnation, message)) = node.opener.open::<Message>(bytes) {
            let sent = node
                .detector
                .receive(&id, incarnation, addr, message, self.now);
            self.send(to, sent);
        }
    }

    /// Time for which the counts that routers have of others' engines are out of date, and the share
    /// that is known. A count that equals the engine's has age zero.
    fn freshness(&self) -> (f64, f64) {
        let (mut age, mut known, mut all) = (0.0, 0, 0);
        for node in &self.nodes {
            let reports = node.detector.loads();
            let others = reports.iter().filter(|r| r.owner != node.info.id);
            for report in others {
                let number: usize = report.endpoint[7..].parse().unwrap_or(0);
                let (count, at) = self.loads[number];
                known += 1;
                if count != report.outstanding {
                    age += (self.now - at).as_secs_f64();
                }
            }
            all += self.loads.len() - self.loads.len() / self.nodes.len();
        }
        (age / f64::from(known.max(1)), f64::from(known) / all as f64)
    }
}

/// Measures a fleet for `time`.
pub fn measure(size: Size, time: Duration, seed: u64) -> Traffic {
    let mut net = Net::new(size, seed);
    net.run_until(WARM_UP, |_| false);
    for node in &mut net.nodes {
        node.bytes = 0;
        node.kinds.clear();
    }
    let mut traffic = Traffic::default();
    let samples = time.as_secs().max(1);
    for second in 1..=samples {
        net.run_until(WARM_UP + Duration::from_secs(second), |_| false);
        let (age, known) = net.freshness();
        traffic.age += Duration::from_secs_f64(age / samples as f64);
        traffic.known += known / samples as f64;
    }
    let rate = |bytes: u64| bytes as f64 / samples as f64;
    traffic.most = net.nodes.iter().map(|n| rate(n.bytes)).fold(0.0, f64::max);
    for node in &net.nodes {
        for (kind, (near, far)) in &node.kinds {
            let sum = traffic.kinds.entry(kind).or_default();
            sum.0 += rate(*near) / size.routers as f64;
            sum.1 += rate(*far) / size.routers as f64;
        }
    }
    traffic.detection = detection(&mut net);
    traffic.mesh = mesh(size, traffic.detection);
    traffic
}

/// Ends one router and returns the time until all others know.
fn detection(net: &mut Net) -> Duration {
    let start = net.now;
    net.nodes[0].alive = false;
    let id = net.nodes[0].info.id.clone();
    let dead = |node: &Node| {
        let view = node.detector.view();
        view.iter()
            .any(|p| p.id == id && p.state == PeerState::Dead)
    };
    net.run_until(start + DETECTION, |net| {
        let often = net.now.as_millis().is_multiple_of(100);
        often && net.nodes.iter().filter(|n| n.alive).all(dead)
    });
    net.now - start
}

/// Bytes per second and router of a full mesh: each router sends its counts to each other one, and
/// a router is dead after [`MISSED`] periods of silence.
fn mesh(size: Size, detection: Duration) -> f64 {
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
    let period = detection.as_secs_f64() / f64::from(MISSED);
    2.0 * (size.routers - 1) as f64 * (bytes.len() + IP_UDP) as f64 / period
}
