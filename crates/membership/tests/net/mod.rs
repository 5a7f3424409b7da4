//! Simulated network that passes sealed datagrams between detectors in virtual time, with delay,
//! loss, pauses and partitions.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_membership::{
    Detector, DetectorConfig, MemberEvent, MemberInfo, Message, Outgoing,
};
use sequoiaridge_wire::{Opener, PeerKeys, Sealer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two ticks of one detector.
const TICK: Duration = Duration::from_millis(50);

/// Bytes of the IPv4 and UDP headers.
const IP_UDP: usize = 28;

/// One router of the test network.
pub struct Router {
    pub info: MemberInfo,
    pub detector: Detector,
    pub events: Vec<(Duration, MemberEvent)>,
    pub alive: bool,
    pub paused: bool,
    /// Side of a partition. Routers of different sides cannot reach each other.
    pub side: u8,
    /// Bytes sent and received, with IP and UDP headers.
    pub bytes: u64,
    sealer: Sealer,
    opener: Opener,
    next_tick: Duration,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
}

/// The test network.
pub struct Net {
    pub nodes: Vec<Router>,
    pub now: Duration,
    pub loss: f64,
    pub rng: StdRng,
    keys: PeerKeys,
    indexes: BTreeMap<SocketAddr, usize>,
    in_flight: BTreeMap<(Duration, u64), (usize, SocketAddr, Vec<u8>)>,
    count: u64,
}

pub fn info(index: usize, domains: usize) -> MemberInfo {
    MemberInfo {
        id: format!("router-{index:03}"),
        addr: ([10, 0, (index >> 8) as u8, index as u8], 7000).into(),
        domain: format!("domain-{}", index % domains),
        region: format!("region-{}", index % domains / 3),
    }
}

impl Net {
    /// Creates `size` routers that know each other from the list.
    pub fn new(size: usize, domains: usize, loss: f64, seed: u64) -> Net {
        let mut net = Net::unlisted(size, domains, loss, seed);
        let list: Vec<_> = net.nodes.iter().map(|node| node.info.clone()).collect();
        let now = net.now;
        net.nodes
            .iter_mut()
            .for_each(|node| node.detector.set_list(&list, now));
        net
    }

    /// Creates `size` routers that do not know each other.
    pub fn unlisted(size: usize, domains: usize, loss: f64, seed: u64) -> Net {
        let keys = PeerKeys::from_hex(&"5a".repeat(32), None).unwrap();
        let mut net = Net {
            nodes: Vec::new(),
            now: Duration::ZERO,
            loss,
            rng: StdRng::seed_from_u64(seed),
            keys,
            indexes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            count: 0,
        };
        for index in 0..size {
            net.add(info(index, domains));
        }
        net
    }

    /// Adds a router that knows no other.
    pub fn add(&mut self, info: MemberInfo) {
        let index = self.nodes.len();
        self.indexes.insert(info.addr, index);
        let node = self.start(info, 1_700_000_000_000 + index as u64);
        self.nodes.push(node);
    }

    /// Starts a router's process.
    pub fn start(&mut self, info: MemberInfo, incarnation: u64) -> Router {
        let config = DetectorConfig::new(info.clone(), incarnation, self.rng.random());
        Router {
            detector: Detector::new(config),
            events: Vec::new(),
            alive: true,
            paused: false,
            side: 0,
            bytes: 0,
            sealer: Sealer::new(&self.keys, info.id.clone(), incarnation),
            opener: Opener::new(&self.keys),
            next_tick: self.now
                + self
                    .rng
                    .random_range(Duration::ZERO..Duration::from_millis(500)),
            inbox: Vec::new(),
            info,
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds or until `end`. Returns whether `done` holds.
    pub fn run_until(&mut self, end: Duration, done: impl Fn(&Net) -> bool) -> bool {
        while self.now < end {
            if done(self) {
                return true;
            }
            self.now += Duration::from_millis(5);
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                let (to, from, bytes) = entry.remove();
                self.deliver(to, from, bytes);
            }
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
        done(self)
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.alive || node.paused || now < node.next_tick {
            return;
        }
        node.next_tick = now + TICK;
        let sent = node.detector.tick(now);
        self.send(index, sent);
        for (from, bytes) in std::mem::take(&mut self.nodes[index].inbox) {
            self.deliver(index, from, bytes);
        }
        let node = &mut self.nodes[index];
        let (version, _) = node.detector.highest_version();
        node.detector.set_version(version);
        let events = node.detector.events();
        node.events
            .extend(events.into_iter().map(|event| (now, event)));
    }

    pub fn send(&mut self, from: usize, sent: Vec<Outgoing>) {
        for Outgoing { to, message } in sent {
            let node = &mut self.nodes[from];
            let bytes = node
                .sealer
                .seal(&message)
                .expect("every message fits a datagram");
            node.bytes += (bytes.len() + IP_UDP) as u64;
            let (addr, side) = (node.info.addr, node.side);
            let index = self.indexes.get(&to).copied();
            let Some(to) = index.filter(|to| self.nodes[*to].side == side) else {
                continue;
            };
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.count += 1;
            let delay = self
                .rng
                .random_range(Duration::from_millis(1)..Duration::from_millis(8));
            self.in_flight
                .insert((self.now + delay, self.count), (to, addr, bytes));
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if !node.alive {
            return;
        }
        if node.paused {
            node.inbox.push((from, bytes));
            return;
        }
        node.bytes += (bytes.len() + IP_UDP) as u64;
        let Ok((id, incarnation, message)) = node.opener.open::<Message>(&bytes) else {
            return;
        };
        let sent = node.detector.receive(&id, incarnation, from, message, now);
        self.send(to, sent);
    }
}
