//! Requests that end the servers that run them, sent through router processes that end as well.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::process::{Command, Output};
use std::time::{Duration, Instant};
use support::client::{post, prompt};
use support::crashing::{
    CRASH_MARKER, CRASH_PART, MAX_PART_CRASHES, MAX_SENT_AFTER, PART_PATH, QUARANTINE_STRIKES,
    crash_times, part_crash_times, parts_sent_after, sent_after,
};
use support::program::RouterProcess;
use support::proxy::{Fault, Proxy};
use support::server::{Behavior, Crash, CrashMode};
use support::store::Mode;
use support::{Site, eventually};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Path of the request that ends servers.
const TARGET: &str = "/order/poison";
/// Pause of the caller after each attempt.
const PAUSE: Duration = Duration::from_millis(150);

/// Routers in front of servers that end under [`TARGET`].
struct Fleet {
    site: Site,
    routers: Vec<RouterProcess>,
    attempts: usize,
}

impl Fleet {
    /// Starts routers in front of servers that end under requests with the marker, and are back
    /// after the time `back`.
    async fn start(name: &str, routers: usize, back: Duration) -> Fleet {
        let site = Site::start(6).await;
        for server in &site.servers {
            server.crash_on(Crash {
                marker: CRASH_MARKER,
                delay: Duration::ZERO,
                mode: CrashMode::Reset,
                downtime: back,
            });
        }
        let names = (1..=routers).map(|number| format!("{name}-r{number}"));
        let start = |name: String| RouterProcess::start(PROGRAM, FOLDER, &name, site.store.address);
        let routers: Vec<RouterProcess> = names.map(start).collect();
        for router in &routers {
            router.wait_ready().await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        Fleet {
            site,
            routers,
            attempts: 0,
        }
    }

    /// Sends the request through one router, and waits for [`PAUSE`].
    async fn send(&mut self, router: usize) {
        self.attempts += 1;
        let callers = self.routers[router].callers;
        post(callers, TARGET, &format!("x{}", self.attempts)).await;
        tokio::time::sleep(PAUSE).await;
    }

    /// Sends the request through the routers in turn for 4.5 s: until all of them hold it back, and
    /// past the time from which attempts count.
    async fn send_until_held(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(4500) {
            for router in 0..self.routers.len() {
                self.send(router).await;
            }
        }
        let ends = crash_times(&self.site.servers, TARGET).len();
        assert!(ends >= QUARANTINE_STRIKES, "{ends} servers ended");
        assert_eq!(
            sent_after(&self.site.servers, TARGET),
            0,
            "the request was not held back in time"
        );
    }

    /// Checks that few attempts reached servers after the request had to be held back.
    fn assert_held_back(&self) {
        let ends = crash_times(&self.site.servers, TARGET).len();
        let after = sent_after(&self.site.servers, TARGET);
        assert!(
            after <= MAX_SENT_AFTER,
            "{after} more attempts reached servers; {ends} servers ended in total"
        );
    }
}

/// Guards against routers that start without knowing which requests the others hold back: in a
/// rolling restart, each of them would let the request end three more servers.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_know_which_requests_are_held_back() {
    let mut fleet = Fleet::start("roll", 3, Duration::from_millis(400)).await;
    fleet.send_until_held().await;
    for router in 0..3 {
        fleet.routers[router].restart();
        fleet.routers[router].wait_ready().await;
        for _ in 0..4 {
            fleet.send(router).await;
        }
    }
    fleet.assert_held_back();
}

/// Guards against a power cut of all routers, here two in a row, after which no router knows the
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_power_cut_of_all_routers_forgets_no_held_request() {
    let mut fleet = Fleet::start("dark", 3, Duration::from_millis(400)).await;
    fleet.send_until_held().await;
    for _ in 0..2 {
        fleet.routers.iter_mut().for_each(RouterProcess::kill);
        fleet.routers.iter_mut().for_each(RouterProcess::restart);
        for router in &fleet.routers {
            router.wait_ready().await;
        }
        for turn in 0..12 {
            fleet.send(turn % 3).await;
        }
    }
    fleet.assert_held_back();
}

/// Guards against a held request that nobody saves: the router that reads for the fleet started while
/// the store was away, and took what the others told it before it joined them for saved.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_started_in_an_outage_saves_held_requests() {
    let mut fleet = Fleet::start("outage", 1, Duration::from_millis(400)).await;
    let proxy = Proxy::start(fleet.site.store.address).await;
    for number in 2..=3 {
        let name = format!("outage-r{number}");
        let router = RouterProcess::start(PROGRAM, FOLDER, &name, proxy.address);
        router.wait_ready().await;
        fleet.routers.push(router);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.site.store.set_mode(Mode::Silent);
    proxy.set_fault(Fault::Reset);
    fleet.routers[0].kill();
    fleet.routers[0].restart();
    let routers = [fleet.routers[1].callers, fleet.routers[2].callers];
    eventually("the request is held", || async {
        let first = post(routers[0], TARGET, "x1").await;
        let second = post(routers[1], TARGET, "x2").await;
        [first, second]
            .iter()
            .all(|answer| answer.as_ref().is_some_and(|answer| answer.status == 503))
    })
    .await;
    // Only the router that has restarted reaches the store.
    fleet.site.store.set_mode(Mode::Up);
    let ends = crash_times(&fleet.site.servers, TARGET).len();
    assert!(ends >= QUARANTINE_STRIKES, "{ends} servers ended");
    eventually("the held request is saved", || async {
        fleet.site.store.get("routers", "fleet.crashes").is_some()
    })
    .await;
}

/// Guards against a router that was paused while the others saw the crashes, and against copies of
/// the request that wait in its socket.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_wakes_knows_which_requests_are_held_back() {
    let mut fleet = Fleet::start("wake", 3, Duration::from_millis(400)).await;
    fleet.routers[2].signal("STOP");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(4500) {
        fleet.send(0).await;
        fleet.send(1).await;
    }
    fleet.routers[2].signal("CONT");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..6 {
        fleet.send(2).await;
    }
    fleet.assert_held_back();
}

/// Routers in front of servers that end under [`CRASH_PART`].
struct PartFleet {
    site: Site,
    routers: Vec<RouterProcess>,
    sent: usize,
}

impl PartFleet {
    async fn start(name: &str, routers: usize) -> PartFleet {
        let site = Site::start(8).await;
        let fleet = PartFleet {
            routers: (1..=routers)
                .map(|number| {
                    let name = format!("{name}-r{number}");
                    RouterProcess::start(PROGRAM, FOLDER, &name, site.store.address)
                })
                .collect(),
            site,
            sent: 0,
        };
        for server in &fleet.site.servers {
            server.set_behaviors(&[Behavior::PausedStream(4, Duration::from_millis(10))]);
        }
        fleet.set_crashing(CRASH_PART);
        for router in &fleet.routers {
            router.wait_ready().await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet
    }

    /// Makes servers crash on prompts with this part.
    fn set_crashing(&self, part: &'static str) {
        for server in &self.site.servers {
            server.crash_on(Crash {
                marker: part,
                delay: Duration::from_millis(40),
                mode: CrashMode::Reset,
                downtime: Duration::from_millis(400),
            });
        }
    }

    /// Sends a request with the part, unlike all before, through one router. Returns the status of
    /// the answer, or 0 if there is none.
    async fn send(&mut self, router: usize) -> u16 {
        self.sent += 1;
        let (path, id) = (
            format!("{PART_PATH}{}", self.sent),
            format!("p{}", self.sent),
        );
        let parts = format!("a:500,b:700,{CRASH_PART}:300,c{}:50", self.sent);
        let answer = prompt(self.routers[router].callers, &path, &id, &parts).await;
        tokio::time::sleep(PAUSE).await;
        answer.map_or(0, |answer| answer.status)
    }

    /// Sends requests through the routers in turn for some time.
    async fn send_for(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            for router in 0..self.routers.len() {
                self.send(router).await;
            }
        }
    }

    fn assert_held(&self) {
        let crashes = part_crash_times(&self.site.servers).len();
        let after = parts_sent_after(&self.site.servers);
        assert!(crashes >= QUARANTINE_STRIKES, "{crashes} crashes");
        assert!(
            after <= MAX_SENT_AFTER,
            "{after} requests with the part were sent too late; it crashed {crashes} servers"
        );
    }
}

/// Guards against routers that forget a held part: after a rolling restart, a power cut of all of
/// them while the store is away, and a second one.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_part_outlasts_restarts_and_power_cuts() {
    let mut fleet = PartFleet::start("part", 3).await;
    fleet.send_for(Duration::from_secs(9)).await;
    assert!(part_crash_times(&fleet.site.servers).len() <= 2 * MAX_PART_CRASHES);
    for router in 0..3 {
        fleet.routers[router].restart();
        fleet.routers[router].wait_ready().await;
        fleet.send(router).await;
        fleet.send(router).await;
    }
    for _ in 0..2 {
        fleet.routers.iter_mut().for_each(RouterProcess::kill);
        fleet.routers.iter_mut().for_each(RouterProcess::restart);
        for router in &fleet.routers {
            router.wait_ready().await;
        }
        for turn in 0..12 {
            fleet.send(turn % 3).await;
        }
    }
    fleet.assert_held();
}

fn run(router: &RouterProcess, arguments: &[&str]) -> Output {
    let output = Command::new(PROGRAM)
        .args(["edge", "--status", &router.readiness.to_string()])
        .args(arguments)
        .output();
    output.expect("the program runs")
}

/// Guards against a hold that no operator can see or end: a part whose cause was repaired would stay
/// refused for the day.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_a_held_part_and_releases_it_at_every_router() {
    let mut fleet = PartFleet::start("release", 2).await;
    fleet.send_for(Duration::from_secs(9)).await;
    fleet.set_crashing("none");
    for router in 0..2 {
        let status = run(&fleet.routers[router], &[]);
        let page = String::from_utf8_lossy(&status.stdout).into_owned();
        let held = page
            .lines()
            .find(|line| line.starts_with("held part:dead "));
        let held = held.unwrap_or_else(|| panic!("router {router} shows no held part: {page}"));
        assert!(held.contains("endpoints=i-"), "{held}");
        assert_eq!(fleet.send(router).await, 503);
    }
    let wrong = run(&fleet.routers[0], &["--release", "part:beef"]);
    assert_eq!(wrong.status.code(), Some(5), "{wrong:?}");
    let released = run(&fleet.routers[0], &["--release", "part:dead"]);
    assert_eq!(released.status.code(), Some(0), "{released:?}");
    let callers: Vec<_> = fleet.routers.iter().map(|router| router.callers).collect();
    for caller in callers {
        eventually("a router serves the part again", || async {
            let parts = format!("a:500,b:700,{CRASH_PART}:300,f:50");
            let answer = prompt(caller, "/chat/released", "released", &parts).await;
            answer.is_some_and(|answer| answer.status == 200 && answer.complete)
        })
        .await;
    }
}
