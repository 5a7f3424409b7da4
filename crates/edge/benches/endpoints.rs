//! Cost of what a router does with all endpoints of a service: choices, refreshes of the room and of the paces, and
//! load reports in messages.
//!
//! ```console
//! $ cargo bench -p sequoiaridge-edge --bench endpoints -- choice-prompt 3000 200
//! ```
//!
//! The arguments are the work, the number of endpoints and how often it is done. Without them, each work is timed at
//! 300, 3,000 and 7,500 endpoints. For instructions, the benchmark's binary runs below `valgrind
//! --tool=callgrind`, once with the given number and once with 0, which only sets the state up.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{
    Admission, Candidate, EndpointEntry, EndpointLoad, EndpointRoom, EndpointTables, Entry, Era,
    Health, Loads, PaceEntry, Placement, Position, ReportEntry, RestRequest, Rests, Roster, Row,
    Rows, ServiceRoom, Subject,
};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const SERVICE: &str = "talk";
const START: Duration = Duration::from_secs(100);
const ROUTERS: usize = 300;
const DOMAINS: usize = 30;
/// Reports in a message of a large fleet.
const MESSAGE_REPORTS: usize = 88;
const WORKS: [&str; 7] = [
    "choice-prompt",
    "choice-plain",
    "room",
    "paces",
    "merge",
    "newest",
    "expire",
];

/// What a router of a large fleet knows of the endpoints.
struct State {
    roster: Roster,
    loads: Loads,
    health: Health,
    rests: Rests,
    admission: Admission,
    cached: BTreeMap<String, u64>,
    message: Vec<ReportEntry>,
}

impl State {
    fn new(endpoints: usize) -> State {
        let mut rng = StdRng::seed_from_u64(1);
        let ids: Vec<String> = (0..endpoints).map(|at| format!("i-{at:08x}")).collect();
        let position = Position::new(Era::default(), 7);
        let rows = ids.iter().enumerate().map(|(at, id)| Row {
            key: id.clone(),
            position,
            entry: Entry::Endpoint(entry(at, id)),
        });
        let rows = Rows {
            rows: rows.collect(),
            position,
            next: None,
        };
        let mut roster = Roster::new();
        roster.replace(rows, false, START);
        let mut state = State {
            roster,
            loads: Loads::new(),
            health: Health::new(),
            rests: Rests::new(),
            admission: Admission::new(true),
            cached: BTreeMap::new(),
            message: Vec::new(),
        };
        state.loads.rely_on_reports(true);
        state.loads.paces_mut().learn_all(true);
        for id in &ids {
            state.learn(id, &mut rng);
        }
        for id in ids.iter().step_by(endpoints / 6) {
            state.loads.begin(id, 500, START);
        }
        for id in ids.iter().step_by(endpoints / 3) {
            let rest = RestRequest::For(Duration::from_secs(60));
            state.rests.request(id, rest, START, &mut rng);
            state.cached.insert(id.clone(), 10_000);
        }
        state.message = state.loads.newest_reports(START);
        state
    }

    /// Records what the router knows of one endpoint: a report of the last 2.5 s of four in five, health of nine in
    /// ten, and a pace, which takes effect at one in 50.
    fn learn(&mut self, id: &str, rng: &mut StdRng) {
        let at = START - Duration::from_millis(rng.random_range(0..3125));
        let load = EndpointLoad {
            running: rng.random_range(8..24),
            waiting: 0,
            slots: 24,
            pace_percent: None,
        };
        if at + Duration::from_millis(2500) > START {
            self.loads.record_report(id, load, at);
        }
        if rng.random_bool(0.9) {
            self.health.record_answer(id, rng.random_bool(0.01));
        }
        let paces = self.loads.paces_mut();
        if rng.random_bool(0.02) {
            let load = EndpointLoad {
                pace_percent: Some(300),
                ..load
            };
            paces.record_load(SERVICE, id, &load, START);
        } else {
            let pause = Duration::from_micros(rng.random_range(8_000..12_000));
            paces.record_pause(SERVICE, id, 1, pause, at);
        }
    }

    /// Chooses an endpoint for a prompt or a plain request.
    fn choose(&self, is_prompt: bool, number: u64, now: Duration) -> usize {
        let paces = self.loads.paces().at(SERVICE, now);
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for endpoint in self.tables().scan(|entry| entry.service == SERVICE, now) {
            let (entry, health) = (endpoint.entry, endpoint.health);
            if health.is_misdirected(entry) {
                continue;
            }
            candidates.push(Candidate {
                id: &entry.id,
                slots: entry.slots,
                requests: endpoint.work.requests,
                unread: endpoint.work.unread,
                cached: self.cached.get(&entry.id).copied().unwrap_or(0),
                eligible: true,
                leaving: endpoint.leaving,
                same_domain: entry.domain == "domain-1",
                avoid: health.is_paused(now) || health.is_failing(0.0),
                resting: endpoint.resting,
                excluded: false,
                limit: None,
                pace: paces.of_key(endpoint.key),
            });
        }
        place(is_prompt, number, &candidates)
    }

    fn tables(&self) -> EndpointTables<'_> {
        EndpointTables {
            roster: &self.roster,
            loads: &self.loads,
            health: &self.health,
            rests: &self.rests,
        }
    }

    /// Refreshes the room of the service.
    fn refresh_room(&mut self, now: Duration) {
        let paces = self.loads.paces().at(SERVICE, now);
        let endpoints = self.tables().scan(|entry| entry.service == SERVICE, now);
        let usable = endpoints.filter(|endpoint| {
            let health = endpoint.health;
            !(endpoint.leaving
                || endpoint.resting
                || health.is_misdirected(endpoint.entry)
                || health.is_paused(now))
        });
        let rooms = usable.map(|endpoint| EndpointRoom {
            slots: endpoint.entry.slots,
            requests: endpoint.work.requests,
            pace: paces.of_key(endpoint.key),
        });
        let room = ServiceRoom {
            service: SERVICE,
            endpoints: rooms.collect(),
            routers: ROUTERS,
            target: Duration::from_millis(400),
        };
        self.admission.refresh(&room, now);
    }

    /// Compares the paces of the service's endpoints.
    fn refresh_paces(&mut self, now: Duration) -> usize {
        let endpoints = self.roster.keys_of(SERVICE, now);
        let paces = self.loads.paces_mut();
        paces.refresh_keyed(SERVICE, endpoints, now).len()
    }

    fn run(&mut self, work: &str, times: u64) {
        for number in 0..times {
            let now = START + Duration::from_millis(number % 10);
            match work {
                "choice-prompt" => {
                    black_box(self.choose(true, number, now));
                }
                "choice-plain" => {
                    black_box(self.choose(false, number, now));
                }
                "room" => self.refresh_room(START + Duration::from_millis(number)),
                "paces" => {
                    black_box(self.refresh_paces(START + Duration::from_millis(50 * number)));
                }
                "merge" => {
                    let entries = self.other_message(number);
                    self.loads.merge_reports(&entries, now);
                }
                "newest" => drop(black_box(self.loads.newest_reports(now))),
                "expire" => self.loads.expire(now, Duration::from_secs(60)),
                other => panic!("unknown work: {other}"),
            }
        }
    }

    /// A message of another router, whose reports are a little newer than known ones or older.
    fn other_message(&self, number: u64) -> Vec<ReportEntry> {
        let entries = self.message.iter().take(MESSAGE_REPORTS);
        let age = u8::try_from(number % 20).unwrap_or(0);
        let pace = PaceEntry { level: 33, age };
        entries
            .map(|(key, requests, ..)| (*key, *requests, age, pace))
            .collect()
    }
}

fn entry(at: usize, id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: format!("domain-{}", at % DOMAINS),
        slots: 24,
        leaving: at % 100 == 99,
        cold: Duration::ZERO,
        born: Some(1_700_000_000_000),
        version: "v1".to_string(),
    }
}

fn place(is_prompt: bool, number: u64, candidates: &[Candidate<'_>]) -> usize {
    let mut placement = Placement::with_bound(2.0);
    placement.draws = true;
    let choice = if is_prompt {
        placement.request_hash = Some(number);
        let subject = Subject {
            key: number % 50,
            tokens: 8_000,
        };
        placement.for_prompt(&subject, candidates)
    } else {
        placement.for_service(number, Duration::from_millis(50), candidates)
    };
    choice.map_or(0, |choice| choice.id.len())
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args: Vec<&str> = args.into_iter().filter(|arg| *arg != "--bench").collect();
    if let [work, endpoints, times] = args[..] {
        let number = |text: &str| text.parse().expect("a number");
        let mut state = State::new(number(endpoints) as usize);
        return state.run(work, number(times));
    }
    for work in WORKS {
        for endpoints in [300, 3_000, 7_500] {
            const TIMES: u64 = 200;
            let mut state = State::new(endpoints);
            let begun = Instant::now();
            state.run(work, TIMES);
            let micros = begun.elapsed().as_secs_f64() * 1e6 / TIMES as f64;
            println!("{work} endpoints={endpoints} {micros:.1} us");
        }
    }
}
