//! Requests that end the servers that run them, sent through router processes that end as well.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};
use support::Site;
use support::client::post;
use support::crashing::{
    CRASH_MARKER, MAX_SENT_AFTER, QUARANTINE_STRIKES, crash_times, sent_after,
};
use support::program::RouterProcess;
use support::server::{Crash, CrashMode};

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
