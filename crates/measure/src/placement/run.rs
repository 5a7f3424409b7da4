//! The event loop of one simulated run.

use super::{Change, Churn, Decision, Figures, Placer, Request, Wakeups, Workload, World};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiaridge_core::{EndpointId, hash_parts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which the placer's `tick` is called.
pub const TICK: Duration = Duration::from_millis(250);
/// Time that an engine takes for a prompt token that is not cached.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(200);
/// Time that an engine takes for an output token.
const OUTPUT_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Largest number of attempts of a caller for one turn.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the retry of a request whose run or connection to an engine failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Share of a run that is not measured, because the caches are still empty at its start.
const WARM_UP_SHARE: f64 = 0.2;
/// Number of engines at the start, and of failure domains.
const ENGINES: usize = 20;
const DOMAINS: usize = 4;

#[derive(Debug)]
enum Event {
    Arrive,
    Turn(usize),
    Retry(Request),
    Finish(u64),
    Tick,
    Change(Change),
}

struct Simulation<'p> {
    placer: &'p mut dyn Placer,
    world: World,
    workload: Workload,
    figures: Figures,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    running: BTreeMap<u64, (Request, EndpointId)>,
    waiting: BTreeMap<u64, Request>,
    warm_up: Duration,
}

/// Runs `workload` for `length` with the changes of `churn`.
pub fn run(
    placer: &mut dyn Placer,
    workload: Workload,
    churn: Churn,
    length: Duration,
    seed: u64,
) -> Figures {
    let mut world = World {
        now: Duration::ZERO,
        engines: BTreeMap::new(),
        rng: StdRng::seed_from_u64(seed ^ 0x5eed),
    };
    for number in 0..ENGINES {
        world.add(&format!("engine-{number}"), &domain(number));
    }
    let mut simulation = Simulation {
        placer,
        world,
        workload,
        figures: Figures::default(),
        events: BTreeMap::new(),
        sequence: 0,
        running: BTreeMap::new(),
        waiting: BTreeMap::new(),
        warm_up: length.mul_f64(WARM_UP_SHARE),
    };
    simulation.push(Duration::ZERO, Event::Tick);
    // The first chat starts only when the first probes have found the engines up.
    simulation.push(Duration::from_secs(3), Event::Arrive);
    for (at, change) in churn {
        simulation.push(at, Event::Change(change));
    }
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        if at > length {
            break;
        }
        simulation.world.now = at;
        simulation.step(event);
    }
    simulation.figures.own_violations = simulation.placer.own_violations();
    simulation.figures
}

/// Returns the failure domain of the engine or router with this number.
pub(super) fn domain(number: usize) -> String {
    format!("domain-{}", number % DOMAINS)
}

impl Simulation<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn push_after(&mut self, delay: Duration, event: Event) {
        self.push(self.world.now + delay, event);
    }

    /// Returns whether the warm-up is over.
    fn measuring(&self) -> bool {
        self.world.now >= self.warm_up
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let next = self.workload.start();
                let chat = self.workload.chats.len() - 1;
                self.push_after(next, Event::Arrive);
                self.turn(chat);
            }
            Event::Turn(chat) => self.turn(chat),
            Event::Retry(request) => self.attempt(request),
            Event::Finish(ticket) => self.finish(ticket),
            Event::Tick => {
                let wakeups = self.placer.tick(&mut self.world);
                self.apply_wakeups(wakeups);
                if self.measuring() {
                    self.figures.sample(&self.world);
                }
                self.push_after(TICK, Event::Tick);
            }
            Event::Change(change) => self.change(change),
        }
    }

    fn turn(&mut self, number: usize) {
        let chat = &mut self.workload.chats[number];
        let reusable = chat.context;
        let (new, output) = chat.turn();
        let customer = format!("customer-{}", chat.customer);
        let request = Request {
            ticket: 0,
            chat: number,
            key: hash_parts(&[customer.as_bytes(), &number.to_le_bytes()]),
            customer,
            prompt: reusable + new,
            reusable,
            output,
            attempts: 0,
            excluded: Vec::new(),
        };
        self.attempt(request);
    }

    fn attempt(&mut self, mut request: Request) {
        self.sequence += 1;
        request.ticket = self.sequence;
        request.attempts += 1;
        match self.placer.place(&mut self.world, &request) {
            Decision::Run(engine) => self.start(request, engine),
            Decision::Queued => {
                self.figures.waited += u64::from(self.measuring());
                self.waiting.insert(request.ticket, request);
            }
            Decision::Refused(delay) => self.refused(request, delay),
        }
    }

    fn refused(&mut self, request: Request, delay: Duration) {
        let measured = u64::from(self.measuring());
        self.figures.refused += measured;
        if request.attempts < MAX_ATTEMPTS {
            self.push_after(delay, Event::Retry(request));
        } else {
            self.figures.lost += measured;
        }
    }

    fn start(&mut self, mut request: Request, id: EndpointId) {
        let measuring = self.measuring();
        let engine = self.world.engines.get_mut(&id).expect("engine exists");
        if !engine.reachable || engine.leaving {
            self.placer.unreachable(&self.world, &id, request.ticket);
            request.excluded.push(id);
            self.push_after(RETRY_DELAY, Event::Retry(request));
            return;
        }
        engine.running += 1;
        let cached = engine.cache.tokens(request.chat).min(request.reusable);
        engine.cache.insert(request.chat, request.prompt);
        if measuring {
            self.figures.runs += 1;
            self.figures.reusable += request.reusable;
            self.figures.cached += cached;
            self.figures.check(&self.world, &id);
        }
        let time = PROMPT_TOKEN_TIME * (request.prompt - cached) as u32
            + OUTPUT_TOKEN_TIME * request.output as u32;
        self.push_after(time, Event::Finish(request.ticket));
        self.running.insert(request.ticket, (request, id));
    }

    fn finish(&mut self, ticket: u64) {
        let Some((request, id)) = self.running.remove(&ticket) else {
            return;
        };
        let engine = self.world.engines.get_mut(&id).expect("engine exists");
        engine.running -= 1;
        let context = request.prompt + request.output;
        engine.cache.insert(request.chat, context);
        let chat = &mut self.workload.chats[request.chat];
        chat.context = context;
        let pause = chat.pause();
        if let Some(pause) = pause {
            self.push_after(pause, Event::Turn(request.chat));
        }
        let wakeups = self.placer.finish(&self.world, ticket);
        self.apply_wakeups(wakeups);
    }

    fn apply_wakeups(&mut self, wakeups: Wakeups) {
        for (ticket, engine) in wakeups.started {
            if let Some(request) = self.waiting.remove(&ticket) {
                self.start(request, engine);
            }
        }
        for ticket in wakeups.ended {
            if let Some(request) = self.waiting.remove(&ticket) {
                self.refused(request, Duration::from_secs(1));
            }
        }
    }

    fn change(&mut self, change: Change) {
        let mut broken = Vec::new();
        let engines = &mut self.world.engines;
        match &change {
            Change::Join(id) => {
                let number = id.rsplit('-').next().and_then(|n| n.parse().ok());
                self.world.add(id, &domain(number.unwrap_or(0)));
            }
            Change::Leave(id) => engines.get_mut(id).expect("engine exists").leaving = true,
            Change::Fail(id) => {
                engines.get_mut(id).expect("engine exists").reachable = false;
                let lost = self.running.iter().filter(|(_, (_, engine))| engine == id);
                broken.extend(lost.map(|(ticket, _)| *ticket));
            }
            Change::Recover(id) => engines.get_mut(id).expect("engine exists").reachable = true,
            Change::Restart(id) => {
                let engine = engines.get_mut(id).expect("engine exists");
                engine.reachable = true;
                engine.boot += 1;
                engine.cache.clear();
            }
            Change::Surge(factor) => self.workload.surge = *factor,
            _ => {}
        }
        let failed = self.placer.change(&mut self.world, &change);
        for ticket in &failed {
            if let Some(request) = self.waiting.remove(ticket) {
                self.push_after(RETRY_DELAY, Event::Retry(request));
            }
        }
        for ticket in broken.iter().chain(&failed) {
            self.fail_run(*ticket, matches!(change, Change::Fail(_)));
        }
    }

    /// Ends a run whose engine or router failed, and schedules the caller's retry.
    fn fail_run(&mut self, ticket: u64, exclude: bool) {
        let Some((mut request, id)) = self.running.remove(&ticket) else {
            return;
        };
        self.world.engines.get_mut(&id).expect("exists").running -= 1;
        self.figures.broken += u64::from(self.measuring());
        let wakeups = self.placer.finish(&self.world, ticket);
        if exclude {
            request.excluded.push(id);
        }
        self.push_after(RETRY_DELAY, Event::Retry(request));
        self.apply_wakeups(wakeups);
    }
}
