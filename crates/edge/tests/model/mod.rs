//! A fleet of followers over a virtual clock: links that lose and delay datagrams, routers that are cut
//! off or frozen, and a registry that refuses some of them.

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::schedule::{ReaderRank, Schedule, retry_delay, takeover_delay};
use sequoiaridge_edge::{
    ChangedRow, Feed, Follower, MAX_FEED_CHANGES, Table, TableDigest, pick_relays,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const ROUND: Duration = Duration::from_millis(250);
const STORE_TIME: Duration = Duration::from_millis(4);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const SMALL_FLEET: usize = 24;
/// Position of the registry before the first change.
const START: u64 = 100;

/// What a site is like.
#[derive(Clone, Debug)]
pub struct Site {
    pub routers: usize,
    pub domains: usize,
    pub leave: Duration,
    pub loss: f64,
    /// Share of the routers with a fast link.
    pub fast: f64,
    /// Endpoints that register while the routers start.
    pub registering: u64,
}

/// A span in which some routers are harmed.
#[derive(Clone, Debug)]
pub struct Harm {
    pub kind: Kind,
    pub from: Duration,
    pub until: Duration,
    pub share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing reaches the router and it reaches nothing.
    Cut,
    /// The process stands still; datagrams wait.
    Frozen,
    /// The registry refuses the router's calls.
    Refused,
    /// The registry does not answer the router.
    Silent,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from each change until each unharmed router knew it.
    pub delays: Vec<Duration>,
    /// Calls to the registry after the start, by second.
    pub calls: BTreeMap<u64, u64>,
    /// Most datagrams with changes that one router sent in a second.
    pub busiest: u64,
}

impl Outcome {
    pub fn worst(&self) -> Duration {
        self.delays.iter().max().copied().unwrap_or_default()
    }

    pub fn calls_between(&self, from: u64, until: u64) -> u64 {
        self.calls.range(from..until).map(|(_, calls)| calls).sum()
    }
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    endpoints: Option<TableDigest>,
    feed: Option<Feed>,
    ask: Option<u64>,
    relay: bool,
}

#[derive(Debug)]
enum Step {
    Tick(usize),
    Arrive(usize, Message),
    Answered(usize, u64, Duration, Option<(u64, Vec<ChangedRow>)>),
    Change,
}

struct Node {
    domain: usize,
    link: u32,
    follower: Follower,
    round: Duration,
    reading: bool,
    marks: BTreeMap<usize, u64>,
    heard: BTreeMap<usize, Duration>,
    backlog: Vec<Message>,
    empty_at: Duration,
    /// When each change reached the router.
    known: BTreeMap<u64, Duration>,
}

pub struct Fleet {
    site: Site,
    rng: StdRng,
    nodes: Vec<Node>,
    harms: Vec<(Harm, Vec<usize>)>,
    position: u64,
    changes: Vec<(u64, Duration)>,
    queue: BinaryHeap<(Reverse<Duration>, u64)>,
    steps: BTreeMap<u64, Step>,
    next: u64,
    calls: BTreeMap<u64, u64>,
    /// Datagrams with changes by router and second.
    feeds: BTreeMap<(usize, u64), u64>,
}

impl Fleet {
    pub fn new(site: Site, harms: &[Harm], seed: u64) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let span = site.registering.max(10);
        let changes = (1..=site.registering).map(|change| (START + change, Duration::ZERO));
        let changes: Vec<(u64, Duration)> = changes.collect();
        let nodes = (0..site.routers).map(|index| {
            let mut follower = Follower::new(&format!("router-{index}"));
            // Routers that start together read the list at different moments.
            let read = rng.random_range(0..=site.registering.max(7));
            follower.replace(START + read, Duration::ZERO);
            let fast = (index / site.domains) as f64 <= site.fast * site.routers as f64;
            Node {
                domain: index % site.domains,
                link: if fast { 200 } else { 20 },
                follower,
                round: Duration::ZERO,
                reading: false,
                marks: BTreeMap::new(),
                heard: BTreeMap::new(),
                backlog: Vec::new(),
                empty_at: Duration::ZERO,
                known: BTreeMap::new(),
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let harms = harms.iter().map(|harm| {
            let count = (harm.share * site.routers as f64).round() as usize;
            let harmed = (0..site.routers).sample(&mut rng, count);
            (harm.clone(), harmed)
        });
        let harms = harms.collect();
        Fleet {
            site,
            rng,
            nodes,
            harms,
            position: START + span,
            changes,
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            next: 0,
            calls: BTreeMap::new(),
            feeds: BTreeMap::new(),
        }
    }

    /// Plays `time` with a change every `pause`.
    pub fn play(mut self, time: Duration, pause: Duration) -> Outcome {
        for node in 0..self.nodes.len() {
            let first = TICK.mul_f64(self.rng.random_range(0.0..1.0));
            self.at(first, Step::Tick(node));
        }
        self.at(Duration::from_secs(2), Step::Change);
        while let Some((Reverse(now), number)) = self.queue.pop() {
            if now > time {
                break;
            }
            match self.steps.remove(&number).expect("a step") {
                Step::Change => {
                    self.position += 3;
                    self.changes.push((self.position, now));
                    self.at(now + pause, Step::Change);
                }
                Step::Tick(node) => self.tick(node, now),
                Step::Arrive(node, message) => self.arrive(node, message, now),
                Step::Answered(node, from, sent, answer) => {
                    self.answered(node, from, sent, answer, now);
                }
            }
        }
        self.outcome(time)
    }

    fn outcome(self, time: Duration) -> Outcome {
        let mut delays = Vec::new();
        // A change of the last seconds may still be on its way.
        let counted = time.saturating_sub(self.site.leave * 2);
        let changes = self.changes.iter();
        for (position, at) in changes.filter(|(_, at)| !at.is_zero() && *at < counted) {
            for (index, node) in self.nodes.iter().enumerate() {
                // The rules hold for routers that were unharmed for some seconds.
                let near = |harm: &Harm| {
                    *at + self.site.leave * 2 >= harm.from
                        && *at <= harm.until + Duration::from_secs(4)
                };
                let cut = |kind| matches!(kind, Kind::Cut | Kind::Frozen);
                let harmed = self
                    .harms
                    .iter()
                    .any(|(harm, all)| cut(harm.kind) && near(harm) && all.contains(&index));
                if !harmed {
                    let known = node.known.range(position..).map(|(_, at)| *at).min();
                    delays.push(known.map_or(time, |known| known.saturating_sub(*at)));
                }
            }
        }
        Outcome {
            delays,
            calls: self.calls,
            busiest: self.feeds.into_values().max().unwrap_or_default(),
        }
    }

    fn at(&mut self, time: Duration, step: Step) {
        self.next += 1;
        self.queue.push((Reverse(time), self.next));
        self.steps.insert(self.next, step);
    }

    fn is(&self, node: usize, kind: Kind, now: Duration) -> bool {
        let mut harms = self.harms.iter();
        harms.any(|(harm, all)| {
            harm.kind == kind && now >= harm.from && now < harm.until && all.contains(&node)
        })
    }

    fn large(&self) -> bool {
        self.site.routers > SMALL_FLEET
    }

    fn place(&self, node: usize) -> ReaderRank {
        let rank = |index: &usize| (Reverse(self.nodes[*index].link), *index);
        let all = 0..self.nodes.len();
        let before = all.filter(|other| {
            let near = !self.large() || self.nodes[*other].domain == self.nodes[node].domain;
            near && rank(other) < rank(&node)
        });
        ReaderRank {
            before: before.count(),
            routers: self.nodes.len(),
            large: self.large(),
        }
    }

    fn tick(&mut self, node: usize, now: Duration) {
        self.at(now + TICK, Step::Tick(node));
        if self.is(node, Kind::Frozen, now) {
            return;
        }
        let empty_at = self.nodes[node].empty_at;
        for message in std::mem::take(&mut self.nodes[node].backlog) {
            self.hear(node, message, empty_at, now);
        }
        self.nodes[node].empty_at = now;
        if now >= self.nodes[node].round + if self.large() { ROUND } else { TICK } {
            self.nodes[node].round = now;
            let message = self.message(node, now);
            for to in self.partners(node) {
                self.send(to, message.clone(), now);
            }
        }
        if let Some(mark) = self.nodes[node].follower.repair_request(now) {
            let own = self.nodes[node].domain;
            let ahead: Vec<usize> = self.nodes[node]
                .marks
                .iter()
                .filter(|(_, known)| **known > mark)
                .map(|(other, _)| *other)
                .collect();
            let near = ahead
                .iter()
                .filter(|other| self.nodes[**other].domain == own);
            let near = near.choose(&mut self.rng).copied();
            if let Some(to) = near.or_else(|| ahead.choose(&mut self.rng).copied()) {
                let message = Message {
                    ask: Some(mark),
                    ..self.message(node, now)
                };
                self.send(to, message, now);
            }
        }
        self.read(node, now);
    }

    fn read(&mut self, node: usize, now: Duration) {
        let schedule = Schedule {
            leave_bound: self.site.leave,
            apply_bound: self.site.leave,
        };
        let place = self.place(node);
        let id = format!("router-{node}");
        let own = &self.nodes[node];
        let period = schedule.period(Table::Endpoints, own.follower.is_reader());
        let patience = schedule.gap_timeout(Table::Endpoints, place, &id);
        let due = own
            .follower
            .next_read(period, takeover_delay(place, &id), patience);
        if own.reading || now < due {
            return;
        }
        let from = own.follower.read_from().expect("a mark");
        self.nodes[node].reading = true;
        *self.calls.entry(now.as_secs()).or_default() += 1;
        let dark = self.is(node, Kind::Cut, now) || self.is(node, Kind::Silent, now);
        let refused = self.is(node, Kind::Refused, now);
        let answer = (!dark && !refused).then(|| {
            let changed = self.changes.iter().filter(|(position, _)| *position > from);
            let rows = changed.map(|(position, _)| (format!("e{position}"), *position, None));
            // Other tables move the registry's position, too.
            (self.position + 2, rows.collect())
        });
        self.position += u64::from(answer.is_some()) * 3;
        let time = if dark { STORE_TIMEOUT } else { STORE_TIME };
        self.at(now + time, Step::Answered(node, from, now, answer));
    }

    fn answered(
        &mut self,
        node: usize,
        from: u64,
        sent: Duration,
        answer: Option<(u64, Vec<ChangedRow>)>,
        now: Duration,
    ) {
        if self.is(node, Kind::Frozen, now) {
            self.at(now + TICK, Step::Answered(node, from, sent, answer));
            return;
        }
        let routers = self.nodes.len();
        let own = &mut self.nodes[node];
        own.reading = false;
        let mark = own.follower.revision().expect("a mark");
        let Some((to, changed)) = answer else {
            let failures = own.follower.failures();
            own.follower
                .record_failure(now, retry_delay(failures, routers));
            return;
        };
        own.follower.record_success();
        own.follower.apply_changes(from, to, &changed);
        own.follower.record_read(sent, sent);
        for (_, position, _) in &changed {
            own.known.entry(*position).or_insert(now);
        }
        let new = changed
            .into_iter()
            .filter(|(_, position, _)| *position > mark);
        let changed: Vec<ChangedRow> = new.collect();
        let parts = if changed.is_empty() || changed.len() > MAX_FEED_CHANGES {
            vec![None]
        } else {
            let from = mark;
            let parts = Feed { from, to, changed }.into_parts();
            parts.into_iter().map(Some).collect()
        };
        for feed in parts {
            self.spread(node, feed, now);
        }
    }

    fn spread(&mut self, node: usize, feed: Option<Feed>, now: Duration) {
        let message = Message {
            feed,
            ..self.message(node, now)
        };
        let own = self.nodes[node].domain;
        let mut far: BTreeMap<usize, Vec<(Duration, usize)>> = BTreeMap::new();
        for to in (0..self.nodes.len()).filter(|to| *to != node) {
            if self.large() && self.nodes[to].domain != own {
                let heard = self.nodes[node].heard.get(&to).copied();
                let heard = (heard.unwrap_or_default(), to);
                far.entry(self.nodes[to].domain).or_default().push(heard);
            } else {
                self.send(to, message.clone(), now);
            }
        }
        for mut peers in far.into_values() {
            peers.sort_by_key(|(heard, _)| Reverse(*heard));
            let address = |to: usize| SocketAddr::from(([10, 0, 0, 1], to as u16));
            let latest: Vec<(SocketAddr, u32)> = peers
                .iter()
                .take(12)
                .map(|(_, to)| (address(*to), self.nodes[*to].link))
                .collect();
            for relay in pick_relays(&latest, self.nodes.len()) {
                let message = Message {
                    relay: true,
                    ..message.clone()
                };
                self.send(usize::from(relay.port()), message, now);
            }
        }
    }

    fn message(&self, node: usize, now: Duration) -> Message {
        Message {
            from: node,
            endpoints: self.nodes[node].follower.digest(now),
            feed: None,
            ask: None,
            relay: false,
        }
    }

    fn partners(&mut self, node: usize) -> Vec<usize> {
        let own = self.nodes[node].domain;
        let all = (0..self.nodes.len()).filter(|to| *to != node);
        if !self.large() {
            return all.collect();
        }
        let (near, far): (Vec<usize>, Vec<usize>) =
            all.partition(|to| self.nodes[*to].domain == own);
        let mut partners: Vec<usize> = near.into_iter().sample(&mut self.rng, 3);
        partners.extend(far.into_iter().sample(&mut self.rng, 1));
        partners
    }

    fn send(&mut self, to: usize, message: Message, now: Duration) {
        let from = message.from;
        if message.feed.is_some() {
            *self.feeds.entry((from, now.as_secs())).or_default() += 1;
        }
        let cut = self.is(from, Kind::Cut, now) || self.is(to, Kind::Cut, now);
        if cut || self.rng.random_bool(self.site.loss) {
            return;
        }
        let near = self.nodes[from].domain == self.nodes[to].domain;
        let delay = Duration::from_micros(if near { 100 } else { 4400 });
        let delay = delay.mul_f64(self.rng.random_range(1.0..1.6));
        self.at(now + delay, Step::Arrive(to, message));
    }

    fn arrive(&mut self, node: usize, message: Message, now: Duration) {
        if self.is(node, Kind::Frozen, now) {
            self.nodes[node].backlog.push(message);
            return;
        }
        let empty_at = self.nodes[node].empty_at;
        self.hear(node, message, empty_at, now);
        self.nodes[node].empty_at = now;
    }

    fn hear(&mut self, node: usize, message: Message, at: Duration, now: Duration) {
        let from = message.from;
        let own = &mut self.nodes[node];
        own.heard.insert(from, now);
        if let Some(known) = &message.endpoints {
            own.marks.insert(from, known.revision);
        }
        if let Some(feed) = message.feed.clone() {
            for feed in own.follower.apply_feed(feed, now) {
                for (_, position, _) in &feed.changed {
                    own.known.entry(*position).or_insert(now);
                }
            }
        }
        if let Some(known) = &message.endpoints {
            own.follower.apply_digest(known, at);
        }
        if let Some(mark) = message.ask
            && let Some(feed) = self.nodes[node].follower.changes_since(mark, now)
        {
            for part in feed.into_parts() {
                let message = Message {
                    feed: Some(part),
                    ..self.message(node, now)
                };
                self.send(from, message, now);
            }
        }
        if message.relay {
            let message = Message {
                feed: message.feed,
                ..self.message(node, now)
            };
            let own = self.nodes[node].domain;
            for to in (0..self.nodes.len()).filter(|to| *to != node) {
                if self.nodes[to].domain == own {
                    self.send(to, message.clone(), now);
                }
            }
        }
    }
}
