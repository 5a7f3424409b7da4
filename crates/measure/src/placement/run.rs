//! The event loop of one run.

use super::{Change, Churn, Decision, Figures, Placer, Request, Wakeups, Workload, World};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiaridge_core::{EndpointId, hash_parts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two ticks of a placer.
pub const TICK: Duration = Duration::from_millis(250);
/// Time that an engine takes for a prompt token that is not cached, and for an answer token.
const PROMPT_TOKEN: Duration = Duration::from_micros(200);
const OUTPUT_TOKEN: Duration = Duration::from_millis(20);
/// Attempts of a caller for one turn.
const ATTEMPTS: u32 = 6;
/// Pause after a broken run.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Share of a run that is not counted, because the caches are still empty.
const WARM_UP: f64 = 0.2;
/// Engines and failure domains at the start.
const ENGINES: usize = 20;
const DOMAINS: usize = 4;

#[derive(Debug)]
enum Event {
    Arrive,
    Turn(usize),
    Try(Request),
    Finish(u64),
    Tick,
    Change(Change),
}

struct Loop<'p> {
    placer: &'p mut dyn Placer,
    world: World,
    workload: Workload,
    figures: Figures,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    running: BTreeMap<u64, (Request, EndpointId)>,
    waiting: BTreeMap<u64, Request>,
    warm: Duration,
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
    let mut state = Loop {
        placer,
        world,
        workload,
        figures: Figures::default(),
        events: BTreeMap::new(),
        count: 0,
        running: BTreeMap::new(),
        waiting: BTreeMap::new(),
        warm: length.mul_f64(WARM_UP),
    };
    state.push(Duration::ZERO, Event::Tick);
    // The first probes open the engines before the first chat.
    state.push(Duration::from_secs(3), Event::Arrive);
    for (at, change) in churn {
        state.push(at, Event::Change(change));
    }
    while let Some(((at, _), event)) = state.events.pop_first() {
        if at > length {
            break;
        }
        state.world.now = at;
        state.step(event);
    }
    state.figures.own_violations = state.placer.own_violations();
    state.figures
}

/// Failure domain of the engine or router of this number.
pub(super) fn domain(number: usize) -> String {
    format!("domain-{}", number % DOMAINS)
}

impl Loop<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.push(self.world.now + pause, event);
    }

    fn counts(&self) -> bool {
        self.world.now >= self.warm
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let next = self.workload.start();
                let chat = self.workload.chats.len() - 1;
                self.after(next, Event::Arrive);
                self.turn(chat);
            }
            Event::Turn(chat) => self.turn(chat),
            Event::Try(request) => self.attempt(request),
            Event::Finish(ticket) => self.finish(ticket),
            Event::Tick => {
                let wakeups = self.placer.tick(&mut self.world);
                self.wake(wakeups);
                if self.counts() {
                    self.figures.sample(&self.world);
                }
                self.after(TICK, Event::Tick);
            }
            Event::Change(change) => self.change(change),
        }
    }

    fn turn(&mut self, number: usize) {
        let chat = &mut self.workload.chats[number];
        let returning = chat.context;
        let (new, output) = chat.turn();
        let customer = format!("customer-{}", chat.customer);
        let request = Request {
            ticket: 0,
            chat: number,
            key: hash_parts(&[customer.as_bytes(), &number.to_le_bytes()]),
            customer,
            prompt: returning + new,
            returning,
            output,
            attempts: 0,
            excluded: Vec::new(),
        };
        self.attempt(request);
    }

    fn attempt(&mut self, mut request: Request) {
        self.count += 1;
        request.ticket = self.count;
        request.attempts += 1;
        match self.placer.place(&mut self.world, &request) {
            Decision::Run(engine) => self.start(request, engine),
            Decision::Waits => {
                self.figures.waited += u64::from(self.counts());
                self.waiting.insert(request.ticket, request);
            }
            Decision::Refused(pause) => self.refused(request, pause),
        }
    }

    fn refused(&mut self, request: Request, pause: Duration) {
        let counts = u64::from(self.counts());
        self.figures.refused += counts;
        if request.attempts < ATTEMPTS {
            self.after(pause, Event::Try(request));
        } else {
            self.figures.lost += counts;
        }
    }

    fn start(&mut self, mut request: Request, id: EndpointId) {
        let counts = self.counts();
        let engine = self.world.engines.get_mut(&id).expect("engine exists");
        if !engine.reachable || engine.leaving {
            self.placer.unreachable(&self.world, &id, request.ticket);
            request.excluded.push(id);
            self.after(RETRY_PAUSE, Event::Try(request));
            return;
        }
        engine.running += 1;
        let cached = engine.cache.tokens(request.chat).min(request.returning);
        engine.cache.insert(request.chat, request.prompt);
        if counts {
            self.figures.runs += 1;
            self.figures.returning += request.returning;
            self.figures.cached += cached;
            self.figures.check(&self.world, &id);
        }
        let time =
            PROMPT_TOKEN * (request.prompt - cached) as u32 + OUTPUT_TOKEN * request.output as u32;
        self.after(time, Event::Finish(request.ticket));
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
            self.after(pause, Event::Turn(request.chat));
        }
        let wakeups = self.placer.finish(&self.world, ticket);
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Wakeups) {
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
            Change::Cut(id) => {
                engines.get_mut(id).expect("engine exists").reachable = false;
                let here = self.running.iter().filter(|(_, (_, on))| on == id);
                broken.extend(here.map(|(ticket, _)| *ticket));
            }
            Change::Back(id) => engines.get_mut(id).expect("engine exists").reachable = true,
            Change::Restart(id) => {
                let engine = engines.get_mut(id).expect("engine exists");
                engine.reachable = true;
                engine.boot += 1;
                engine.cache.clear();
            }
            Change::Surge(factor) => self.workload.surge = *factor,
            _ => {}
        }
        let gone = self.placer.change(&mut self.world, &change);
        for ticket in &gone {
            if let Some(request) = self.waiting.remove(ticket) {
                self.after(RETRY_PAUSE, Event::Try(request));
            }
        }
        for ticket in broken.iter().chain(&gone) {
            self.break_run(*ticket, matches!(change, Change::Cut(_)));
        }
    }

    /// Ends a run whose engine or router failed; the caller sends the request again.
    fn break_run(&mut self, ticket: u64, exclude: bool) {
        let Some((mut request, id)) = self.running.remove(&ticket) else {
            return;
        };
        self.world.engines.get_mut(&id).expect("exists").running -= 1;
        self.figures.broken += u64::from(self.counts());
        let wakeups = self.placer.finish(&self.world, ticket);
        if exclude {
            request.excluded.push(id);
        }
        self.after(RETRY_PAUSE, Event::Try(request));
        self.wake(wakeups);
    }
}
