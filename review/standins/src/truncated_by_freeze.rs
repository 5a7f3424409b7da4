//! A machine freezes; meanwhile a server that sends a stream through it crashes and starts again.

use crate::Outcome;
use crate::fleet::{Route, Site, attempt_id, eventually, request};
use crate::http::Channel;
use std::path::Path;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
/// Time limit of the clients, and timeout of the route.
const LIMIT: Duration = Duration::from_millis(12_000);
/// Gap after which clients abandon a stream: four times the objective of 800 ms.
const PATIENCE: Duration = Duration::from_millis(3200);
/// From the start of the freeze: when the server crashes, when it is back, when the machine wakes.
const CRASH: Duration = Duration::from_millis(200);
const BACK: Duration = Duration::from_millis(2200);
const WAKE: Duration = Duration::from_millis(2800);
const EVENTS: usize = 49;

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut site = Site::start(
        folder,
        &[Route {
            prefix: "/talk/",
            kind: "streaming",
            timeout_ms: 12_000,
            goal_ms: 800,
            attempts: 1,
            resumable: false,
        }],
    );
    let record = site.record.clone();
    let mut servers = vec![site.server(), site.server()];
    let Some(router) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let Some(_other) = site.router("edge-zapopan-2", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let (mut broken, mut served) = (0, 0);
    for round in 0..ROUNDS {
        let attempt = attempt_id(round);
        let path = format!("/talk/{round}?work=100&parts={EVENTS}&pause=40&framing=none");
        let bytes = request("POST", &path, &attempt, LIMIT, "summarise", "");
        record.note(&format!("client sends {attempt} POST {path}"));
        let callers = router.callers;
        let client = std::thread::spawn(move || {
            Channel::open(callers).map(|mut channel| channel.call(&bytes, PATIENCE))
        });
        if !eventually(Duration::from_secs(2), || site.ran_at(&attempt).is_some()) {
            record.note("the request did not reach a server");
            return Outcome::CouldNotRun;
        }
        let at = site.ran_at(&attempt).unwrap_or_default();
        record.note(&format!("server {at} runs {attempt}"));
        let index = servers
            .iter()
            .position(|server| server.id == at)
            .unwrap_or(0);
        if trouble {
            std::thread::sleep(Duration::from_millis(600));
            let frozen = Instant::now();
            router.signal("STOP");
            record.note("edge-zapopan-1 freezes");
            std::thread::sleep(CRASH);
            servers[index].kill();
            record.note(&format!("server {at} crashes"));
            site.unlist(&servers[index]);
            std::thread::sleep(BACK.saturating_sub(frozen.elapsed()));
            servers[index] = site.server_at(servers[index].address);
            record.note(&format!("it is back as {}", servers[index].id));
            std::thread::sleep(WAKE.saturating_sub(frozen.elapsed()));
            router.signal("CONT");
            record.note(&format!(
                "edge-zapopan-1 wakes after {} ms",
                frozen.elapsed().as_millis()
            ));
        }
        let Ok(Ok(answer)) = client.join() else {
            return Outcome::CouldNotRun;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let ids: Vec<usize> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let in_order = ids.iter().copied().eq(1..=ids.len());
        record.note(&format!(
            "client got {attempt}: {} events={} of {EVENTS} in_order={in_order}",
            answer.describe(),
            ids.len()
        ));
        let success = answer.status == 200 && answer.complete;
        if success && (ids.len() < EVENTS || !in_order) {
            broken += 1;
            record.note("ORDER: the stream ends as complete before its last piece");
        }
        served += usize::from(success && ids.len() == EVENTS);
        std::thread::sleep(Duration::from_millis(1500));
    }
    site.note_runs();
    record.note(&format!(
        "rounds={ROUNDS} broken={broken} served whole={served}"
    ));
    if !trouble && served < ROUNDS {
        return Outcome::CouldNotRun;
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
