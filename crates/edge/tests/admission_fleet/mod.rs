//! A fleet of routers with admission in front of one service, over a virtual clock.
//!
//! Routers with unequal shares of the traffic exchange demand and loads as the real ones do: up to 24 of
//! them send their own counts to all others every 100 ms, more of them pass load reports on to four others
//! every 250 ms. Plain services are placed by the router's own `Placement::for_service`; all servers
//! are in other domains than the routers, which leaves nothing but the expected wait to tell them apart.

#![allow(dead_code, unused_imports, unused_macros)]

mod figures;
#[path = "../fleet_parts/mod.rs"]
mod fleet_parts;
mod server;

pub use figures::{Figures, check_surge};

use figures::Run;
use fleet_parts::{candidate, load_report};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::hash_parts;
use sequoiaridge_edge::{
    Admission, Admitted, Arrival, Candidate, DemandReport, EndpointQueue, EndpointRoom, Loads,
    PeerRouter, Placement, ReportEntry, RoomRefusal, ServiceRoom, WaitLimit, Work,
};
use server::{Job, Server};
use std::collections::BTreeMap;
use std::time::Duration;

pub const CUSTOMERS: usize = 40;
/// Customers that stay at their calm rate in a surge: one large, two medium and one small. The largest
/// needs 0.7 of what each customer gets in a surge of ten times.
pub const STEADY: [usize; 4] = [3, 11, 17, 33];
pub const START: Duration = Duration::from_secs(5);
/// Run time that routers assume for a request to a plain service.
const SERVICE_RUN_TIME: Duration = Duration::from_millis(50);
const HOP: Duration = Duration::from_millis(2);
const PEER_HOP: Duration = Duration::from_millis(20);
/// Patience of callers, as a share of the longest deadline of their route.
const PATIENCE: std::ops::RangeInclusive<f64> = 0.85..=1.0;

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// They come back once after `Retry-After`.
    Patient,
    /// Those of one customer in four repeat at once, up to eight times.
    SomeImpatient,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    pub servers: usize,
    pub slots: u32,
    pub queue: usize,
    pub rate: f64,
    /// Seconds of a slot, and of these the part before the first event.
    pub hold: f64,
    pub first_event: f64,
    /// Target and share of the traffic by rank.
    pub ranks: Vec<(Duration, f64)>,
    pub deadline: Duration,
    pub surge: f64,
    pub surge_seconds: u64,
    /// Customers that send 12 times as much as the others during the surge.
    pub hot: Vec<usize>,
    pub callers: Callers,
    pub cut_off: f64,
    pub restarted: f64,
    /// Factor between real and recorded holding times.
    pub hold_error: f64,
    /// Factor between the real and the known number of routers.
    pub count_error: f64,
    /// Share of the servers that run at a fifth of their speed in the surge, with their pace unknown.
    pub slow: f64,
    pub seed: u64,
}

/// Defines tests that play a setup and check the bounds on a surge, one a line.
macro_rules! surge_tests {
    ($($test:ident: $setup:expr;)*) => {
        $(#[test]
        fn $test() {
            let figures = $crate::admission_fleet::play($setup);
            $crate::admission_fleet::check_surge(stringify!($test), &figures);
        })*
    };
}
pub(crate) use surge_tests;

/// A new request of the most urgent rank, whose caller waits until the longest deadline of the route.
pub fn arrival(attempt: &str, target: Duration, limit: Duration) -> Arrival<'_> {
    Arrival {
        attempt,
        service: "s",
        route: "r",
        customer: Some("c"),
        rank: 0,
        target,
        deadline: Some(limit),
        limit,
        resumed: false,
    }
}

/// What the only router of a service knows of its endpoints.
pub fn room(endpoints: Vec<EndpointRoom>, target: Duration) -> ServiceRoom<'static> {
    ServiceRoom {
        service: "s",
        endpoints,
        routers: 1,
        target,
    }
}

/// An endpoint at the usual pace.
pub fn endpoint(slots: u32, requests: u32) -> EndpointRoom {
    EndpointRoom {
        slots,
        requests,
        pace: 1.0,
    }
}

/// Three servers of orders.
pub fn plain(routers: usize, surge: f64) -> Setup {
    Setup {
        routers,
        servers: 3,
        slots: 6,
        queue: 24,
        rate: 190.0,
        hold: 0.03,
        first_event: 0.03,
        ranks: vec![(Duration::from_millis(200), 1.0)],
        deadline: Duration::from_secs(2),
        surge,
        surge_seconds: 12,
        hot: Vec::new(),
        callers: Callers::Patient,
        cut_off: 0.0,
        restarted: 0.0,
        hold_error: 1.0,
        count_error: 1.0,
        slow: 0.0,
        seed: std::env::var("TEST_SEED").map_or(1, |seed| seed.parse().expect("a number")),
    }
}

/// Sixty model servers with three ranks.
pub fn model(routers: usize, surge: f64) -> Setup {
    let ms = Duration::from_millis;
    Setup {
        servers: 60,
        slots: 64,
        queue: 64,
        rate: 488.0,
        hold: 1.0,
        first_event: 0.15,
        ranks: vec![(ms(500), 0.3), (ms(1500), 0.5), (ms(4000), 0.2)],
        deadline: Duration::from_secs(10),
        ..plain(routers, surge)
    }
}

/// One request of a caller with all its attempts.
#[derive(Clone, Copy, Debug)]
struct Call {
    at: Duration,
    customer: usize,
    rank: usize,
    /// Time for which the caller waits.
    deadline: Duration,
    attempts: u32,
}

#[derive(Clone, Debug)]
enum Event {
    NextCall,
    Attempt(usize),
    AtServer(usize, Job),
    SlotEnds(usize, Job),
    Answer {
        server: usize,
        job: Job,
        requests: u32,
        run: bool,
    },
    Refresh(usize),
    Exchange(usize),
    Peer(usize, PeerUpdate),
    Restart,
}

/// A message of one router to others.
#[derive(Clone, Debug)]
struct PeerUpdate {
    from: String,
    reports: Vec<DemandReport>,
    loads: PeerLoads,
}

/// What a message says of the servers' loads.
#[derive(Clone, Debug)]
enum PeerLoads {
    /// The sender's own counts.
    Counts(BTreeMap<String, Work>),
    /// The newest reports that it knows.
    Reports(Vec<ReportEntry>),
}

struct Router {
    admission: Admission,
    weight: f64,
    cut_off: bool,
    loads: Loads,
}

pub struct Fleet {
    setup: Setup,
    rng: StdRng,
    now: Duration,
    /// Events by time, and by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    server_ids: Vec<String>,
    calls: Vec<Call>,
    figures: Figures,
}

/// Plays a surge from 5 s on, and 6 s after it.
pub fn play(setup: Setup) -> Figures {
    let end = START + Duration::from_secs(setup.surge_seconds + 6);
    let mut fleet = Fleet::new(setup);
    while let Some(((at, _), event)) = fleet.events.pop_first() {
        if at > end {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.figures.finish(&fleet.setup, &fleet.calls);
    fleet.figures
}

impl Fleet {
    fn new(setup: Setup) -> Fleet {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let cut_off = (setup.cut_off * setup.routers as f64).round() as usize;
        let routers = (0..setup.routers).map(|index| Router {
            admission: Admission::new(true),
            weight: rng.random_range(-0.8_f64..0.8).exp(),
            cut_off: index < cut_off,
            loads: empty_loads(&setup),
        });
        let routers = routers.collect();
        let mut fleet = Fleet {
            rng,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            routers,
            servers: (0..setup.servers)
                .map(|_| Server::new(setup.slots, setup.queue))
                .collect(),
            server_ids: (0..setup.servers).map(|n| format!("server-{n}")).collect(),
            calls: Vec::new(),
            figures: Figures::default(),
            setup,
        };
        for index in 0..fleet.setup.routers {
            let phase = Duration::from_millis(fleet.rng.random_range(0..250));
            fleet.schedule(phase, Event::Refresh(index));
            fleet.schedule(phase, Event::Exchange(index));
        }
        fleet.schedule(Duration::ZERO, Event::NextCall);
        fleet.schedule(START + Duration::from_secs(3), Event::Restart);
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let key = (self.now + delay, self.next_event);
        self.events.insert(key, event);
        self.next_event += 1;
    }

    fn in_surge(&self) -> bool {
        self.now >= START && self.now < START + Duration::from_secs(self.setup.surge_seconds)
    }

    fn customer_rate(&self, customer: usize) -> f64 {
        let calm = ((customer + 1) as f64).powf(-0.7);
        if !self.in_surge() || STEADY.contains(&customer) {
            calm
        } else if self.setup.hot.contains(&customer) {
            12.0 * self.setup.surge * calm
        } else {
            self.setup.surge * calm
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextCall => self.next_call(),
            Event::Attempt(call) => self.attempt(call),
            Event::AtServer(server, job) => self.at_server(server, job),
            Event::SlotEnds(server, job) => self.slot_ends(server, job),
            Event::Answer {
                server,
                job,
                requests,
                run,
            } => self.answer(server, job, requests, run),
            Event::Refresh(router) => self.refresh(router),
            Event::Exchange(router) => self.exchange(router),
            Event::Peer(to, update) => {
                let now = self.now;
                let router = &mut self.routers[to];
                router.admission.merge(&update.from, update.reports, now);
                match update.loads {
                    PeerLoads::Reports(entries) => router.loads.merge_reports(&entries, now),
                    PeerLoads::Counts(work) => {
                        let peer = PeerRouter {
                            id: &update.from,
                            domain: &String::new(),
                            link_mbps: 100,
                        };
                        router.loads.set_peer_work(peer, work, false, now);
                    }
                }
            }
            Event::Restart => {
                let count = (self.setup.restarted * self.setup.routers as f64) as usize;
                for router in self.routers.iter_mut().rev().take(count) {
                    router.admission = Admission::new(true);
                    router.loads = empty_loads(&self.setup);
                }
            }
        }
    }

    fn is_impatient(&self, customer: usize) -> bool {
        self.setup.callers == Callers::SomeImpatient && customer % 4 == 1
    }

    fn next_call(&mut self) {
        let calm: f64 = (1..=CUSTOMERS).map(|n| (n as f64).powf(-0.7)).sum();
        let rates: Vec<f64> = (0..CUSTOMERS).map(|c| self.customer_rate(c)).collect();
        let rate = self.setup.rate * rates.iter().sum::<f64>() / calm;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let customer = pick(&mut self.rng, &rates);
        let ranks: Vec<f64> = self.setup.ranks.iter().map(|(_, share)| *share).collect();
        let rank = pick(&mut self.rng, &ranks);
        let deadline = if self.is_impatient(customer) {
            self.setup.deadline
        } else {
            self.setup.deadline.mul_f64(self.rng.random_range(PATIENCE))
        };
        self.calls.push(Call {
            at: self.now,
            customer,
            rank,
            deadline,
            attempts: 0,
        });
        self.attempt(self.calls.len() - 1);
        self.schedule(Duration::from_secs_f64(pause), Event::NextCall);
    }

    fn attempt(&mut self, id: usize) {
        self.calls[id].attempts += 1;
        let call = self.calls[id];
        let weights: Vec<f64> = self.routers.iter().map(|router| router.weight).collect();
        let router = pick(&mut self.rng, &weights);
        let arrival = Arrival {
            attempt: &self.attempt_id(id),
            service: "s",
            route: &format!("route-{}", call.rank),
            customer: Some(&format!("customer-{}", call.customer)),
            rank: call.rank as u8,
            target: self.setup.ranks[call.rank].0,
            deadline: Some(call.deadline.saturating_sub(self.now - call.at)),
            limit: self.setup.deadline,
            resumed: false,
        };
        match self.routers[router].admission.decide(&arrival, self.now) {
            Admitted::Yes => {
                let job = Job {
                    call: id,
                    router,
                    since: self.now,
                    started: None,
                    tries: 0,
                };
                let admission = &self.routers[router].admission;
                let limit = admission.wait_limit(&arrival, Duration::ZERO, self.now);
                if let Some(wait) = limit.and_then(|limit| self.excess_wait(&limit, router)) {
                    let refusal = admission.refuse_wait(&arrival, wait);
                    return self.refused(id, Some(refusal));
                }
                self.send(job, None);
            }
            Admitted::No(refusal) => self.refused(id, Some(refusal)),
        }
    }

    /// The caller learns that its attempt was refused.
    fn refused(&mut self, id: usize, refusal: Option<RoomRefusal>) {
        let call = self.calls[id];
        if STEADY.contains(&call.customer) && std::env::var("TEST_LOGS").is_ok() {
            println!(
                "steady {:.1} c{} a{} {refusal:?}",
                self.now.as_secs_f64(),
                call.customer,
                call.attempts
            );
        }
        let waits = refusal.as_ref().is_some_and(|no| no.wait.is_some());
        self.figures.wait_refusals += u32::from(waits);
        self.figures.refusals.push(self.now);
        let impatient = self.is_impatient(call.customer);
        if impatient && call.attempts < 9 {
            self.schedule(Duration::from_millis(10), Event::Attempt(id));
        } else if !impatient && call.attempts < 2 {
            let left = call.deadline.saturating_sub(self.now - call.at);
            let pause = refusal.map_or(left / 6, |refusal| refusal.retry_after);
            self.schedule(pause.min(left / 3), Event::Attempt(id));
        }
    }

    /// The least wait at any server, as far as a router knows, if it is beyond the limit at all of them.
    fn excess_wait(&self, limit: &WaitLimit, router: usize) -> Option<Duration> {
        let loads = &self.routers[router].loads;
        let waits = self.server_ids.iter().map(|id| {
            limit.excess_wait(&EndpointQueue {
                slots: self.setup.slots,
                pace: 1.0,
                report: loads.reported(id, self.now),
            })
        });
        // `None`, for a server that takes the request in time, orders before any wait.
        waits.min().flatten()
    }

    /// Sends a job to a server, as far as its router knows their loads.
    fn send(&mut self, job: Job, except: Option<usize>) {
        let server = if self.setup.first_event < self.setup.hold {
            self.choose_of_two(&job, except)
        } else {
            self.choose_by_wait(&job, except)
        };
        let Some(server) = server else {
            return self.refused(job.call, None);
        };
        let router = &mut self.routers[job.router];
        router.loads.begin(&self.server_ids[server], 0, self.now);
        self.schedule(HOP, Event::AtServer(server, job));
    }

    /// The less loaded of two servers, as for prompts that several engines have cached.
    fn choose_of_two(&mut self, job: &Job, except: Option<usize>) -> Option<usize> {
        let servers = (0..self.setup.servers).filter(|server| Some(*server) != except);
        let drawn = servers.sample(&mut self.rng, 2);
        let loads = &self.routers[job.router].loads;
        let known = |server: &usize| loads.outstanding(&self.server_ids[*server], self.now);
        drawn
            .into_iter()
            .min_by_key(|server| known(server).requests)
    }

    /// The server that the router itself chooses at a plain service.
    fn choose_by_wait(&self, job: &Job, except: Option<usize>) -> Option<usize> {
        let loads = &self.routers[job.router].loads;
        let ids = self.server_ids.iter().enumerate();
        let ids = ids.filter(|(server, _)| Some(*server) != except);
        let requests = |id: &String| loads.outstanding(id, self.now).requests;
        let candidates = ids.map(|(_, id)| candidate(id, self.setup.slots, requests(id)));
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let attempt = self.attempt_id(job.call);
        let request_hash = hash_parts(&[attempt.as_bytes()]);
        let placement = Placement {
            draws: is_large(&self.setup),
            ..Placement::default()
        };
        let choice = placement.for_service(request_hash, SERVICE_RUN_TIME, &candidates)?;
        self.server_ids.iter().position(|id| *id == choice.id)
    }

    fn attempt_id(&self, call: usize) -> String {
        format!("{call}-{}-{}", self.calls[call].attempts, self.setup.seed)
    }

    fn at_server(&mut self, server: usize, job: Job) {
        let accepted = self.servers[server].offer(job);
        self.figures.offers.push((self.now, accepted));
        if accepted {
            self.start_next(server);
        } else {
            self.send_answer(server, job, false);
        }
    }

    /// Tells the router of a job whether it was run, and how much the server has to do now.
    fn send_answer(&mut self, server: usize, job: Job, run: bool) {
        let answer = Event::Answer {
            server,
            job,
            requests: self.servers[server].requests(),
            run,
        };
        self.schedule(HOP, answer);
    }

    fn start_next(&mut self, server: usize) {
        if let Some(mut job) = self.servers[server].start() {
            job.started = Some(self.now);
            let slow = (server as f64) < self.setup.slow * self.setup.servers as f64;
            let pace = if slow && self.in_surge() { 5.0 } else { 1.0 };
            // Half of the time is fixed, the rest varies between requests.
            let hold = self.setup.hold * pace * self.rng.random_range(0.5..1.5);
            let first = self.setup.first_event.min(hold);
            let call = self.calls[job.call];
            let late = self.now + Duration::from_secs_f64(first) + HOP;
            self.figures.runs.push(Run {
                call,
                attempt: job.since,
                answered: late,
                target: self.setup.ranks[call.rank].0,
            });
            self.schedule(Duration::from_secs_f64(hold), Event::SlotEnds(server, job));
        }
    }

    fn slot_ends(&mut self, server: usize, job: Job) {
        self.servers[server].end();
        self.send_answer(server, job, true);
        self.start_next(server);
    }

    fn answer(&mut self, server: usize, mut job: Job, requests: u32, run: bool) {
        let now = self.now;
        let router = &mut self.routers[job.router];
        let load = load_report(requests, self.setup.slots);
        let id = &self.server_ids[server];
        router.loads.end(id, 0);
        router.loads.record_report(id, load, now);
        if router.admission.note_load("s", load, now) {
            self.refresh_now(job.router);
        }
        let router = &mut self.routers[job.router];
        let call = self.calls[job.call];
        if let (true, Some(started)) = (run, job.started) {
            let held = (now - started).mul_f64(self.setup.hold_error);
            let route = format!("route-{}", call.rank);
            router.admission.record_hold("s", &route, held, now);
        } else if job.tries == 0 {
            job.tries = 1;
            self.send(job, Some(server));
        } else {
            self.refused(job.call, None);
        }
    }

    fn refresh(&mut self, index: usize) {
        self.refresh_now(index);
        self.schedule(Duration::from_millis(100), Event::Refresh(index));
    }

    fn refresh_now(&mut self, index: usize) {
        let targets = self.setup.ranks.iter().map(|(target, _)| *target);
        let router = &mut self.routers[index];
        router.loads.expire(self.now, Duration::from_secs(3));
        let requests = |id: &String| router.loads.outstanding(id, self.now).requests;
        let ids = self.server_ids.iter();
        let endpoints = ids.map(|id| endpoint(self.setup.slots, requests(id)));
        let view = ServiceRoom {
            routers: (self.setup.routers as f64 * self.setup.count_error).round() as usize,
            ..room(endpoints.collect(), targets.min().expect("a rank"))
        };
        router.admission.refresh(&view, self.now);
        router.admission.expire(self.now);
        if let (0, Some(figures)) = (index, router.admission.figures("s"))
            && std::env::var("TEST_LOGS").is_ok()
        {
            let fill: Vec<u32> = self.servers.iter().take(3).map(Server::requests).collect();
            println!("{:?} {fill:?} {figures:?}", self.now);
        }
    }

    fn exchange(&mut self, from: usize) {
        let all = !is_large(&self.setup);
        let pause = if all { 100 } else { 250 };
        self.schedule(Duration::from_millis(pause), Event::Exchange(from));
        if self.routers[from].cut_off {
            return;
        }
        let others = (0..self.setup.routers).filter(|other| *other != from);
        let drawn = others.sample(&mut self.rng, if all { 24 } else { 4 });
        let reports = self.routers[from].admission.report(self.now);
        let loads = &self.routers[from].loads;
        let loads = if all {
            PeerLoads::Counts(loads.own_work().clone())
        } else {
            PeerLoads::Reports(loads.newest_reports(self.now))
        };
        let update = PeerUpdate {
            from: format!("r{from}"),
            reports,
            loads,
        };
        for to in drawn {
            if !self.routers[to].cut_off {
                self.schedule(PEER_HOP, Event::Peer(to, update.clone()));
            }
        }
    }
}

fn is_large(setup: &Setup) -> bool {
    setup.routers > 25
}

fn empty_loads(setup: &Setup) -> Loads {
    let mut loads = Loads::new();
    loads.rely_on_reports(is_large(setup));
    loads
}

/// Draws an index by weight.
fn pick(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut drawn = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        drawn -= weight;
        if drawn <= 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
