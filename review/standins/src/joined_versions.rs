//! Servers start again with another version of their software while the store is away.

use crate::Outcome;
use crate::fleet::{Route, Site, attempt_id, request};
use crate::http::Channel;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_millis(12_000);
/// Gap after which clients abandon a stream: four times the objective of 600 ms.
const PATIENCE: Duration = Duration::from_millis(2400);
/// Servers, and how many crash at a time: the largest share of the site, 0.25.
const SERVERS: usize = 8;
const CRASHED: usize = 2;
const STREAMS: usize = 24;
const EVENTS: usize = 55;
/// Length of the outage, and time for which a server is down.
const OUTAGE: Duration = Duration::from_millis(4500);
const DOWN: Duration = Duration::from_millis(1500);

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut site = Site::start(
        folder,
        &[Route {
            prefix: "/chat/",
            kind: "streaming",
            timeout_ms: 12_000,
            goal_ms: 600,
            attempts: 2,
            resumable: true,
        }],
    );
    let record = site.record.clone();
    let mut servers: Vec<_> = (0..SERVERS).map(|_| site.server()).collect();
    let Some(router) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let Some(_other) = site.router("edge-zapopan-2", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    // The service has had one version for longer than a stream may run.
    std::thread::sleep(Duration::from_secs(26));
    let callers = router.callers;
    let began = Instant::now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let attempt = attempt_id(number);
            record.note(&format!("client sends {attempt} POST /chat/{number}"));
            std::thread::spawn(move || {
                let path = format!("/chat/{number}?work=50&parts={EVENTS}&pause=100");
                let bytes = request("POST", &path, &attempt, LIMIT, "scale", "");
                let answer =
                    Channel::open(callers).map(|mut channel| channel.call(&bytes, PATIENCE));
                (attempt, answer)
            })
        })
        .collect();
    let at = |millis: u64| {
        let due = began + Duration::from_millis(millis);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    if trouble {
        at(500);
        site.store.set_away(true);
        let outage = Instant::now();
        record.note("store: away, answers 503");
        for (first, millis) in [(0, 800), (CRASHED, 2600)] {
            at(millis);
            let crashed = &mut servers[first..first + CRASHED];
            for server in crashed.iter_mut() {
                server.kill();
                record.note(&format!("server {} crashes", server.id));
            }
            std::thread::sleep(DOWN);
            for server in crashed {
                server.start_again("v2");
                record.note(&format!(
                    "server {} starts again with version v2",
                    server.id
                ));
            }
        }
        std::thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
        site.store.set_away(false);
        record.note(&format!(
            "store: back after {} ms",
            outage.elapsed().as_millis()
        ));
        for server in &servers {
            site.list(server, "ready", 2);
        }
    }
    let (mut joined, mut whole) = (0, 0);
    for client in clients {
        let Ok((attempt, Ok(answer))) = client.join() else {
            return Outcome::CouldNotRun;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let versions: BTreeSet<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.rsplit(' ').next())
            .collect();
        let events = text.lines().filter(|line| line.starts_with("id: ")).count();
        record.note(&format!(
            "client got {attempt}: {} events={events} of {EVENTS} by {versions:?}",
            answer.describe()
        ));
        whole += usize::from(answer.complete && events == EVENTS);
        if versions.len() > 1 {
            joined += 1;
            record.note("ORDER: the stream holds events of two software versions");
        }
    }
    site.note_runs();
    record.note(&format!(
        "streams={STREAMS} whole={whole} of two versions={joined}"
    ));
    if !trouble && whole < STREAMS {
        return Outcome::CouldNotRun;
    }
    // The rule allows two.
    if joined > 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
