//! A model of a fleet of routers and engines over a virtual clock.
//!
//! A step of an engine's batch takes 2.8 ms and 0.0145 ms for each running request; an event comes every
//! 11 tokens. Engines read prompts at 85 tokens/ms in chunks of 1,000 tokens between the tokens of other
//! requests. Routers pass load reports on to four others every 250 ms.
#![allow(dead_code)]

#[path = "../fleet_parts/mod.rs"]
mod fleet_parts;

use fleet_parts::{Use, announce, candidate, load_report, prompt};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{
    CacheMap, Candidate, HotSubjects, Loads, Placement, StreamSampler, prefixes,
};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(5);
pub const SERVICE: &str = "engines";
const SUBJECTS: u64 = 3000;
const TOKENS_PER_EVENT: u32 = 11;
const CHUNK_TOKENS: f64 = 1000.0;
const TOKENS_PER_MS: f64 = 85.0;
const ROUND: Duration = Duration::from_millis(250);
const FAN_OUT: usize = 4;
/// Tokens of a prompt that no other request has.
const OWN_TOKENS: f64 = 800.0;
const SHARED_TOKENS: f64 = 10_000.0;
/// Reading time, in tokens, of a prefix that is copied from another engine.
const COPY_TOKENS: f64 = 400.0;
/// Time after which callers give up a stream without an event.
const PATIENCE: Duration = ms(2000);
/// Requests that wait at an engine beyond its slots before it refuses more.
const MAX_WAITING: u32 = 16;
const CALM_BOUND: f64 = 2.0;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a run consists of.
#[derive(Clone)]
pub struct Scenario {
    pub routers: usize,
    pub engines: usize,
    pub slots: u32,
    pub per_second: f64,
    pub learns: bool,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive a second time, 300 ms later.
    pub repeats: f64,
    /// Routers, from the first, that see all times this many times longer.
    pub bad_links: usize,
    pub bad_link_factor: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            routers: 84,
            engines: 60,
            slots: 64,
            per_second: 488.0,
            learns: true,
            loss: 0.0,
            repeats: 0.0,
            bad_links: 0,
            bad_link_factor: 1.0,
        }
    }
}

impl Scenario {
    /// When the router of a stream sees what its engine does at `at`.
    fn seen(&self, stream: &Stream, at: Duration) -> Duration {
        let time = at.saturating_sub(stream.begun);
        let is_bad = stream.router < self.bad_links;
        let factor = if is_bad { self.bad_link_factor } else { 1.0 };
        stream.begun + time.mul_f64(factor)
    }
}

struct Stream {
    router: usize,
    run: u64,
    begun: Duration,
    unread: f64,
    tokens_left: u32,
    tokens: u32,
    events: usize,
    sampler: StreamSampler,
    leaves_at: Option<Duration>,
    is_running: bool,
    head_sent: bool,
}

#[derive(Default)]
pub struct Engine {
    streams: Vec<Stream>,
    /// Time in ms that the engine may still use.
    budget: f64,
    pub slowness: f64,
    pub available: bool,
}

impl Engine {
    pub fn load(&self) -> u32 {
        self.streams.len() as u32
    }
}

/// Counts of requests in a window of time.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub requests: u32,
    pub refused: u32,
    pub over_bound: u32,
    /// Requests to an engine that had the subject cached.
    pub reused: u32,
    /// First events that came within 500 ms.
    pub in_time: u32,
    pub first_events: u32,
    pub by_engine: BTreeMap<usize, u32>,
}

impl Counts {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.first_events.max(1))
    }

    pub fn share_of(&self, engines: Range<usize>) -> f64 {
        let sent: u32 = self.by_engine.range(engines).map(|(_, count)| count).sum();
        f64::from(sent) / f64::from(self.requests.max(1))
    }
}

type Message = (Duration, usize, Vec<sequoiaridge_edge::ReportEntry>);

pub struct Fleet {
    pub scenario: Scenario,
    pub now: Duration,
    pub rng: StdRng,
    pub engines: Vec<Engine>,
    pub loads: Vec<Loads>,
    hot: Vec<HotSubjects>,
    ids: Vec<String>,
    cache: CacheMap,
    /// Subjects that an engine has cached in truth.
    held: Vec<BTreeMap<u64, Duration>>,
    unannounced: Vec<Use>,
    repeated: Vec<Message>,
    next_run: u64,
    pub factor: f64,
    /// Share of requests whose callers leave early.
    pub leave_share: f64,
    /// Share of requests with a prompt that no engine has cached.
    pub new_share: f64,
    /// Tokens that each prompt has in addition.
    pub extra_tokens: f64,
    pub counts: Counts,
    /// Changes of paces that routers log.
    pub changes: usize,
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Fleet {
        let (routers, engines) = (scenario.routers, scenario.engines);
        let mut loads = vec![Loads::new(); routers];
        for own in &mut loads {
            own.rely_on_reports(routers > 24);
            own.paces_mut().learn_all(scenario.learns);
        }
        let engine = |_| Engine {
            slowness: 1.0,
            available: true,
            ..Engine::default()
        };
        Fleet {
            now: ms(1000),
            rng: StdRng::seed_from_u64(seed),
            engines: (0..engines).map(engine).collect(),
            loads,
            hot: vec![HotSubjects::new(); routers],
            ids: (0..engines).map(|index| format!("i-{index:08x}")).collect(),
            cache: CacheMap::new(),
            held: vec![BTreeMap::new(); engines],
            unannounced: Vec::new(),
            repeated: Vec::new(),
            next_run: 0,
            factor: 1.0,
            leave_share: 0.0,
            new_share: 0.02,
            extra_tokens: 0.0,
            counts: Counts::default(),
            changes: 0,
            scenario,
        }
    }

    /// A fleet after 25 s of calm, in which its routers have learned the usual speed.
    pub fn warm(scenario: Scenario, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(scenario, seed);
        fleet.run(ms(25_000));
        fleet
    }

    /// Runs for a time, and returns what happened in it.
    pub fn run(&mut self, time: Duration) -> Counts {
        self.counts = Counts::default();
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
        self.counts.clone()
    }

    pub fn slow(&mut self, engines: Range<usize>, slowness: f64) {
        for engine in &mut self.engines[engines] {
            engine.slowness = slowness;
        }
    }

    /// Engines end with all their streams, and lose their caches.
    pub fn remove(&mut self, engines: Range<usize>) {
        for index in engines {
            let streams = std::mem::take(&mut self.engines[index].streams);
            for stream in streams {
                self.loads[stream.router].end(&self.ids[index], 0);
            }
            self.engines[index].available = false;
            self.held[index].clear();
            self.cache.forget(&self.ids[index]);
            self.unannounced.retain(|(_, _, engine)| *engine != index);
        }
    }

    /// Mean share, over time, of the routers' views in which the pace of an endpoint takes effect.
    pub fn mean_effective(&mut self, time: Duration) -> f64 {
        let samples = time.as_millis() / 100;
        let engines = 0..self.scenario.engines;
        let shares = (0..samples).map(|_| {
            self.run(ms(100));
            self.effective(engines.clone())
        });
        shares.sum::<f64>() / samples as f64
    }

    pub fn restore(&mut self, engines: Range<usize>) {
        for engine in &mut self.engines[engines] {
            engine.available = true;
        }
    }

    pub fn pace(&self, router: usize, engine: usize) -> f64 {
        let paces = self.loads[router].paces();
        paces.pace(SERVICE, &self.ids[engine], self.now)
    }

    /// Share of the routers' views of these engines in which the pace takes effect.
    pub fn effective(&self, engines: Range<usize>) -> f64 {
        let routers = self.scenario.bad_links..self.scenario.routers;
        let total = routers.len() * engines.len();
        let slow = routers.flat_map(|router| engines.clone().map(move |engine| (router, engine)));
        let slow = slow.filter(|(router, engine)| self.pace(*router, *engine) > 1.0);
        slow.count() as f64 / total as f64
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.engines.len() {
            self.run_engine(index);
        }
        let uses = &mut self.unannounced;
        announce(uses, &self.ids, &mut self.cache, self.now);
        self.gossip();
        let arrivals = self.scenario.per_second * self.factor * STEP.as_secs_f64();
        let count = arrivals as u32 + u32::from(self.rng.random_bool(arrivals.fract()));
        for _ in 0..count {
            self.request();
        }
    }

    fn run_engine(&mut self, index: usize) {
        let (now, slots, id) = (self.now, self.scenario.slots, self.ids[index].clone());
        let loads = &mut self.loads;
        let engine = &mut self.engines[index];
        engine.streams.retain(|stream| {
            let waits = stream.events == 0 && now >= stream.begun + PATIENCE;
            let stays = !waits && stream.leaves_at.is_none_or(|at| now < at);
            if !stays {
                loads[stream.router].end(&id, 0);
            }
            stays
        });
        engine.budget += STEP.as_secs_f64() * 1000.0;
        loop {
            for stream in engine.streams.iter_mut().take(slots as usize) {
                stream.is_running = true;
            }
            let running = engine.streams.iter().filter(|s| s.is_running).count();
            if running == 0 {
                engine.budget = engine.budget.min(0.0);
                break;
            }
            let mut streams = engine.streams.iter();
            let read = streams.find(|s| s.is_running && s.unread > 0.0);
            let chunk = read.map_or(0.0, |s| s.unread.min(CHUNK_TOKENS));
            let cost = (2.8 + 0.0145 * running as f64 + chunk / TOKENS_PER_MS) * engine.slowness;
            if engine.budget < cost {
                break;
            }
            engine.budget -= cost;
            let at = now.saturating_sub(Duration::from_secs_f64(engine.budget / 1000.0));
            let report = load_report(engine.load(), slots);
            let mut has_read = false;
            for stream in engine.streams.iter_mut().filter(|s| s.is_running) {
                let seen = self.scenario.seen(stream, at);
                if !stream.head_sent {
                    stream.head_sent = true;
                    loads[stream.router].record_report(&id, report, at);
                }
                if stream.unread > 0.0 {
                    if !has_read {
                        stream.unread = (stream.unread - CHUNK_TOKENS).max(0.0);
                        has_read = true;
                    }
                    continue;
                }
                stream.tokens += 1;
                stream.tokens_left = stream.tokens_left.saturating_sub(1);
                if !stream.tokens.is_multiple_of(TOKENS_PER_EVENT) && stream.tokens != 1 {
                    continue;
                }
                stream.events += 1;
                if stream.events == 1 {
                    self.counts.first_events += 1;
                    let in_time = at.saturating_sub(stream.begun) < ms(500);
                    self.counts.in_time += u32::from(in_time);
                }
                let sample = stream.sampler.record(stream.events, seen);
                if let Some(pause) = sample {
                    let paces = loads[stream.router].paces_mut();
                    paces.record_pause(SERVICE, &id, stream.run, pause, at);
                }
            }
            engine.streams.retain(|stream| {
                if stream.tokens_left == 0 {
                    loads[stream.router].end(&id, 0);
                }
                stream.tokens_left > 0
            });
        }
        for stream in engine.streams.iter_mut().filter(|s| s.events > 0) {
            let paces = loads[stream.router].paces_mut();
            let seen = self.scenario.seen(stream, now);
            let Some(usual) = paces.usual_pause(SERVICE, now) else {
                continue;
            };
            if stream.sampler.stall_at(usual).is_some_and(|at| seen >= at) {
                let stall = stream.sampler.stall(seen);
                paces.record_stall(SERVICE, &id, stream.run, stall, now);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self
            .repeated
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, other, entries) in due {
            self.loads[other].merge_reports(&entries, now - ms(300));
        }
        let steps = (ROUND.as_micros() / STEP.as_micros()) as usize;
        let tick = (now.as_micros() / STEP.as_micros()) as usize;
        let routers = self.scenario.routers;
        for router in (0..routers).filter(|router| (router + tick).is_multiple_of(steps)) {
            let others = (0..routers).filter(|other| *other != router);
            let others: Vec<usize> = others.sample(&mut self.rng, FAN_OUT);
            let newest = self.loads[router].newest_reports(now);
            let hot = self.hot[router].hottest(now);
            self.loads[router].expire(now, Duration::from_secs(112));
            for other in others {
                if self.rng.random_bool(self.scenario.loss) {
                    continue;
                }
                self.loads[other].merge_reports(&newest, now);
                self.hot[other].merge(&hot, now);
                if self.rng.random_bool(self.scenario.repeats) {
                    self.repeated.push((now + ms(300), other, newest.clone()));
                }
            }
        }
    }

    fn request(&mut self) {
        let now = self.now;
        let router = self.rng.random_range(0..self.scenario.routers);
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let is_new = self.rng.random_bool(self.new_share);
        self.next_run += 1;
        let subject = if is_new {
            1_000_000 + self.next_run
        } else {
            1 + (draw.powf(1.4) * (SUBJECTS - 1) as f64) as u64
        };
        let prompt = prompt(subject);
        let keys = prefixes(&prompt);
        let cached = self.cache.cached(&keys, now);
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].available)
            .collect();
        let ids = usable.iter().map(|index| self.ids[*index].as_str());
        let paces = self.loads[router].paces_mut();
        self.changes += paces.refresh(SERVICE, ids, now).len();
        let own = &self.loads[router];
        let candidates: Vec<Candidate<'_>> = usable
            .iter()
            .map(|index| self.ids[*index].as_str())
            .map(|id| Candidate {
                cached: cached.get(id).copied().unwrap_or(0),
                pace: own.paces().pace(SERVICE, id, now),
                ..candidate(id, self.scenario.slots, own.outstanding(id, now).requests)
            })
            .collect();
        let subject_key = prompt.subject();
        let mut placement = Placement::with_bound(CALM_BOUND);
        if self.scenario.routers > 24 {
            placement.request_hash = Some(self.rng.random());
            placement.spread = self.hot[router].spread(subject_key.key, now);
        }
        self.counts.requests += 1;
        let Some(choice) = placement.for_prompt(&subject_key, &candidates) else {
            self.counts.refused += 1;
            return;
        };
        if let Some(needs) = choice.needs {
            self.hot[router].raise(subject_key.key, needs, now);
        }
        let index = usize::from_str_radix(&choice.id[2..], 16).expect("an index");
        let total: u32 = usable.iter().map(|index| self.engines[*index].load()).sum();
        let bound = 2.0 * f64::from(total) / usable.len() as f64 + 3.0;
        self.counts.over_bound += u32::from(f64::from(self.engines[index].load()) > bound);
        *self.counts.by_engine.entry(index).or_default() += 1;
        if self.engines[index].load() >= self.scenario.slots + MAX_WAITING {
            return;
        }
        let ttl = Duration::from_secs(40);
        let holds = self.held[index]
            .get(&subject)
            .is_some_and(|at| now < *at + ttl);
        self.counts.reused += u32::from(holds);
        let unread = if holds {
            OWN_TOKENS
        } else if choice.fetch.is_some() {
            OWN_TOKENS + COPY_TOKENS
        } else {
            OWN_TOKENS + SHARED_TOKENS
        };
        self.held[index].insert(subject, now);
        self.loads[router].begin(&choice.id, 0, now);
        self.unannounced.push((now, subject, index));
        let leaves = self.rng.random_bool(self.leave_share);
        let leaves_at = leaves.then(|| now + ms(self.rng.random_range(100..800)));
        self.engines[index].streams.push(Stream {
            router,
            run: self.next_run,
            begun: now,
            unread: unread + self.extra_tokens,
            tokens_left: self.rng.random_range(140..560),
            tokens: 0,
            events: 0,
            sampler: StreamSampler::new(),
            leaves_at,
            is_running: false,
            head_sent: false,
        });
    }
}
