//! Tests of the quarantine of parts of prompts in a simulated fleet under traffic, over a virtual
//! clock and without network.
//!
//! Requests with one part crash each endpoint that begins to write an answer on them. Sound requests
//! share their other parts and run on the same endpoints. Datagrams are lost, a third of the routers
//! is partitioned at first, some restart, and endpoints are lost for other reasons.

mod crash_fleet;

use crash_fleet::{Fleet, MAX_MESSAGES_PER_SECOND, Router, SYNC_BOUND, TICK};
use rand::RngExt;
use rand::seq::IteratorRandom;
use sequoiaridge_edge::is_designated;
use sequoiaridge_policy::{Aged, Crash, Suspect};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The part that crashes endpoints, a part of all requests, and the first of the subjects.
const CRASHING: u64 = 0xdead;
const CLASS: u64 = 1;
const FIRST_SUBJECT: u64 = 100;
const SUBJECTS: u64 = 40;
/// Subject of all requests with the crashing part.
const CRASHING_SUBJECT: u64 = FIRST_SUBJECT;
/// Crashes after which the part must be held.
const MAX_PART_CRASHES: usize = 5;
/// Requests with the part that may reach endpoints later than [`SYNC_BOUND`] after that.
const MAX_SENT_AFTER: usize = 3;
/// Time in which an endpoint reads a prompt, at least and at most.
const READ_TIME: (u64, u64) = (60, 200);
/// Time from the first event of an answer to the one that shows that it goes on, and to its end.
const PROGRESS_TIME: Duration = Duration::from_millis(30);
const RUN_TIME: Duration = Duration::from_millis(600);
/// Time for which an endpoint is down.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Step of the traffic, within a round of messages.
const STEP: Duration = Duration::from_millis(20);
/// Crashes in one message, and messages that carry each.
const CRASHES_PER_MESSAGE: usize = 8;
const SENDS_PER_CRASH: u8 = 3;

/// A size of fleet with its traffic.
#[derive(Clone, Copy, Debug)]
struct Site {
    routers: usize,
    endpoints: usize,
    /// Sound requests a second.
    sound_rate: f64,
    /// Requests with the crashing part a second.
    crashing_rate: f64,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    router: usize,
    endpoint: usize,
    suspects: Vec<Suspect>,
    is_crashing: bool,
    begins: Duration,
    progressed: bool,
}

struct Model {
    fleet: Fleet,
    site: Site,
    running: Vec<RunningRequest>,
    /// When each endpoint is up, and the number of its start.
    endpoints: Vec<(Duration, u64)>,
    /// Crashes that each router still has to send, with the messages that carry each.
    outboxes: Vec<VecDeque<(Aged<Crash>, u8)>>,
    /// Times since which each router is partitioned from none and has run.
    in_touch_since: Vec<Duration>,
    crashes: Vec<Duration>,
    /// Requests with the part that were sent, and whether their router was in touch.
    sent: Vec<(Duration, bool)>,
    /// Sound requests with the subject of the crashing ones, and whether they were refused.
    related: Vec<(Duration, bool)>,
    refused_others: usize,
    messages: BTreeMap<usize, usize>,
    next_request: u64,
}

impl Model {
    fn new(site: Site, seed: u64) -> Model {
        let fleet = Fleet::new(site.routers, seed);
        let start = fleet.now;
        Model {
            endpoints: vec![(start, 1); site.endpoints],
            outboxes: vec![VecDeque::new(); site.routers],
            in_touch_since: vec![start; site.routers],
            fleet,
            site,
            running: Vec::new(),
            crashes: Vec::new(),
            sent: Vec::new(),
            related: Vec::new(),
            refused_others: 0,
            messages: BTreeMap::new(),
            next_request: 0,
        }
    }

    fn run(&mut self, time: Duration, has_crashing: bool) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            let start = self.fleet.now;
            while self.fleet.now < start + TICK {
                self.step(has_crashing);
                self.fleet.now += STEP;
            }
            self.fleet.now = start;
            self.send_crashes();
            self.fleet.tick();
        }
    }

    fn step(&mut self, has_crashing: bool) {
        let step = STEP.as_secs_f64();
        if has_crashing {
            self.arrivals(self.site.crashing_rate * step, true);
        }
        self.arrivals(self.site.sound_rate * step, false);
        self.advance();
    }

    fn arrivals(&mut self, mean: f64, is_crashing: bool) {
        let mut left = mean;
        while left > 0.0 {
            if self.fleet.rng.random_bool(left.min(1.0)) {
                self.arrive(is_crashing);
            }
            left -= 1.0;
        }
    }

    fn arrive(&mut self, is_crashing: bool) {
        let now = self.fleet.now;
        let router = self.fleet.rng.random_range(0..self.site.routers);
        // A few subjects have most of the requests, and most subjects few.
        let drawn = self.fleet.rng.random_range(0.0..1.0f64).powi(3);
        let subject = match is_crashing {
            true => CRASHING_SUBJECT,
            false => FIRST_SUBJECT + (drawn * SUBJECTS as f64) as u64,
        };
        self.next_request += 1;
        let attempt = self.next_request.to_string();
        let mut suspects = vec![Suspect::Request(self.next_request)];
        suspects.extend([Suspect::Part(CLASS), Suspect::Part(subject)]);
        suspects.extend(is_crashing.then_some(Suspect::Part(CRASHING)));
        let is_refused = self.is_refused(router, &suspects, &attempt);
        if !is_crashing && subject == CRASHING_SUBJECT {
            self.related.push((now, is_refused));
        } else if !is_crashing {
            self.refused_others += usize::from(is_refused);
        }
        let up = (0..self.site.endpoints).filter(|e| self.endpoints[*e].0 <= now);
        let Some(endpoint) = up.choose(&mut self.fleet.rng).filter(|_| !is_refused) else {
            return;
        };
        if is_crashing {
            let in_touch = now >= self.in_touch_since[router] + SYNC_BOUND;
            self.sent.push((now, in_touch));
        }
        let read = self.fleet.rng.random_range(READ_TIME.0..READ_TIME.1);
        self.running.push(RunningRequest {
            router,
            endpoint,
            suspects,
            is_crashing,
            begins: now + Duration::from_millis(read),
            progressed: false,
        });
    }

    fn is_refused(&mut self, router: usize, suspects: &[Suspect], attempt: &str) -> bool {
        let now = self.fleet.now;
        let others: Vec<String> = (0..self.site.routers).map(|r| r.to_string()).collect();
        let own = &mut self.fleet.routers[router];
        let Some(block) = own.quarantine.block(suspects, now) else {
            return false;
        };
        let others = others.iter().filter(|other| **other != router.to_string());
        let designated = is_designated(&router.to_string(), others, block.suspect);
        !(designated && own.probes.start(&block, attempt, now))
    }

    /// Lets requests begin to write, go on and end.
    fn advance(&mut self) {
        let now = self.fleet.now;
        let mut lost = Vec::new();
        let mut progressed = Vec::new();
        for request in &mut self.running {
            if request.is_crashing && now >= request.begins {
                lost.push(request.endpoint);
            } else if !request.progressed && now >= request.begins + PROGRESS_TIME {
                request.progressed = true;
                progressed.push((request.router, request.suspects.clone()));
            }
        }
        for (router, suspects) in progressed {
            for suspect in suspects {
                let quarantine = &mut self.fleet.routers[router].quarantine;
                quarantine.record_success(suspect, Duration::ZERO, now);
            }
        }
        lost.sort();
        lost.dedup();
        for endpoint in lost {
            self.crashes.push(now);
            self.lose(endpoint);
        }
        self.running
            .retain(|request| now < request.begins + RUN_TIME);
    }

    /// Ends an endpoint; the routers whose requests ran there notice.
    fn lose(&mut self, endpoint: usize) {
        let now = self.fleet.now;
        let (running, start) = (
            std::mem::take(&mut self.running),
            self.endpoints[endpoint].1,
        );
        let (lost, left) = running
            .into_iter()
            .partition(|request| request.endpoint == endpoint);
        self.running = left;
        self.endpoints[endpoint] = (now + DOWNTIME, start + 1);
        let lost: Vec<RunningRequest> = lost;
        for request in lost {
            self.strike(&request, start);
        }
    }

    fn strike(&mut self, request: &RunningRequest, start: u64) {
        let now = self.fleet.now;
        let quarantine = &mut self.fleet.routers[request.router].quarantine;
        for suspect in &request.suspects {
            let is_part = matches!(suspect, Suspect::Part(_));
            let trusted = quarantine.recent_success(*suspect, now).is_some();
            if is_part && (request.progressed || trusted) {
                continue;
            }
            let crash = Crash {
                suspect: *suspect,
                endpoint: format!("i-{:010}", request.endpoint),
                boot: start.to_string(),
                earlier: 0,
            };
            quarantine.strike(&crash, now);
            let queued = (Aged::new(crash, Duration::ZERO), SENDS_PER_CRASH);
            let outbox = &mut self.outboxes[request.router];
            if is_part {
                outbox.push_front(queued);
            } else {
                outbox.push_back(queued);
            }
        }
    }

    fn send_crashes(&mut self) {
        for router in 0..self.site.routers {
            let outbox = &mut self.outboxes[router];
            let count = outbox.len().min(CRASHES_PER_MESSAGE);
            let sent: Vec<(Aged<Crash>, u8)> = outbox.drain(..count).collect();
            if sent.is_empty() {
                continue;
            }
            let again = sent.iter().filter(|(_, left)| *left > 1);
            outbox.extend(again.map(|(crash, left)| (crash.clone(), left - 1)));
            let page: Vec<Aged<Crash>> = sent.into_iter().map(|(crash, _)| crash).collect();
            self.fleet.broadcast(router, &page);
            *self.messages.entry(router).or_default() += 1;
        }
    }

    fn partition(&mut self, routers: impl Iterator<Item = usize>, partitioned: bool) {
        for router in routers {
            self.fleet.routers[router].partitioned = partitioned;
            self.in_touch_since[router] = self.fleet.now;
        }
    }

    fn restart(&mut self, routers: impl Iterator<Item = usize>) {
        for router in routers {
            self.fleet.routers[router] = Router::new();
            self.in_touch_since[router] = self.fleet.now;
        }
    }

    /// Time from which the part must be held.
    fn bound(&self) -> Option<Duration> {
        let fifth = self
            .crashes
            .get(MAX_PART_CRASHES - 1)
            .or(self.crashes.last());
        fifth.map(|fifth| *fifth + SYNC_BOUND)
    }

    fn check(&self, label: &str) {
        let site = self.site;
        let bound = self.bound().expect("the part crashed endpoints");
        let late = self.sent.iter().filter(|(at, touch)| *touch && *at > bound);
        let late = late.count();
        let crashes = self.crashes.len();
        assert!(
            late <= MAX_SENT_AFTER,
            "{label} {site:?}: {late} sent too late, {crashes} crashes"
        );
        let after = self
            .related
            .iter()
            .filter(|(at, _)| *at > bound + SYNC_BOUND);
        let (mut all, mut refused) = (0, 0);
        for (_, is_refused) in after {
            all += 1;
            refused += usize::from(*is_refused);
        }
        assert!(all >= 20, "{label} {site:?}: {all} sound requests");
        assert_eq!(
            refused, 0,
            "{label} {site:?}: refused of {all} sound requests"
        );
        assert_eq!(self.refused_others, 0, "{label} {site:?}: refused others");
    }
}

const SITES: [Site; 4] = [
    Site {
        routers: 9,
        endpoints: 18,
        sound_rate: 60.0,
        crashing_rate: 2.0,
    },
    Site {
        routers: 9,
        endpoints: 18,
        sound_rate: 60.0,
        crashing_rate: 0.3,
    },
    Site {
        routers: 86,
        endpoints: 60,
        sound_rate: 180.0,
        crashing_rate: 8.0,
    },
    Site {
        routers: 295,
        endpoints: 204,
        sound_rate: 300.0,
        crashing_rate: 16.0,
    },
];

/// Guards against a part that is held too late or not everywhere, and against sound requests that
/// are held with it: routers that were partitioned, have started or lost datagrams learn too late of
/// crashes and successes.
#[test]
fn a_crashing_part_is_held_in_time_at_every_router() {
    for site in SITES {
        for seed in 0..3 {
            let mut model = Model::new(site, seed);
            model.run(Duration::from_secs(3), false);
            let third = || (0..site.routers).filter(|router| router % 3 == 0);
            model.partition(third(), true);
            model.run(Duration::from_secs(4), true);
            model.partition(third(), false);
            model.run(Duration::from_secs(4), true);
            model.restart((0..site.routers).filter(|router| router % 4 == 1));
            let more = if site.crashing_rate < 1.0 { 40 } else { 16 };
            model.run(Duration::from_secs(more), true);
            model.check(&format!("seed {seed}"));
        }
    }
}

/// Guards against endpoints that are lost for other reasons, many at once, and hide which part
/// crashes them, or make sound parts look like it.
#[test]
fn endpoints_that_are_lost_for_other_reasons_change_nothing() {
    for site in SITES {
        for seed in 10..13 {
            let mut model = Model::new(site, seed);
            model.run(Duration::from_secs(3), false);
            for round in 0..10 {
                for endpoint in 0..site.endpoints {
                    if (endpoint + round) % 5 == 0 && model.endpoints[endpoint].0 <= model.fleet.now
                    {
                        model.lose(endpoint);
                    }
                }
                model.run(Duration::from_secs(2), true);
            }
            let more = if site.crashing_rate < 1.0 { 30 } else { 8 };
            model.run(Duration::from_secs(more), true);
            model.check(&format!("seed {seed}"));
        }
    }
}

/// Guards against crashes that fill the links between routers while endpoints crash by the dozen.
#[test]
fn messages_about_crashes_are_bounded() {
    let mut model = Model::new(SITES[3], 20);
    model.run(Duration::from_secs(2), false);
    let mut max_rate = 0.0f64;
    for _ in 0..8 {
        model.messages.clear();
        let routers = model.fleet.routers.iter_mut();
        routers.for_each(|router| router.resends = 0);
        model.run(Duration::from_secs(1), true);
        let own: usize = model.messages.values().sum();
        let resends = model.fleet.routers.iter().map(|router| router.resends);
        let resends: usize = resends.sum();
        max_rate = max_rate.max((own + resends) as f64 / model.site.routers as f64);
    }
    assert!(
        max_rate < MAX_MESSAGES_PER_SECOND,
        "{max_rate} messages per second"
    );
}
