//! A server is taken away two seconds after its notice, while it sends the answer to an order.

use crate::Outcome;
use crate::fleet::{Route, Site, attempt_id, eventually, request};
use crate::http::Channel;
use crate::server::{Server, whole};
use std::path::Path;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
/// Time limit of the clients, and timeout of the route.
const LIMIT: Duration = Duration::from_millis(3000);
/// Time between the notice and the end of a server.
const NOTICE: Duration = Duration::from_millis(2000);
/// Time from the notice until another server takes the place of one that was taken away.
const REPLACED: Duration = Duration::from_millis(6000);
const LINES: usize = 8;

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut site = Site::start(
        folder,
        &[Route {
            prefix: "/order/",
            kind: "non_idempotent",
            timeout_ms: 3000,
            goal_ms: 300,
            attempts: 1,
            resumable: false,
        }],
    );
    let record = site.record.clone();
    // One of four is taken away at a time: the largest share of the site, 0.25.
    let mut servers: Vec<_> = (0..4).map(|_| site.server()).collect();
    let Some(router) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let mut broken = 0;
    let mut served = 0;
    for round in 0..ROUNDS {
        let attempt = attempt_id(round);
        let path = format!("/order/{round}?work=900&parts={LINES}&pause=200&framing=none");
        let bytes = request("POST", &path, &attempt, LIMIT, "two trays", "");
        record.note(&format!("client sends {attempt} POST {path}"));
        let callers = router.callers;
        let client = std::thread::spawn(move || {
            Channel::open(callers).map(|mut channel| channel.call(&bytes, LIMIT))
        });
        if !eventually(Duration::from_secs(2), || site.ran_at(&attempt).is_some()) {
            record.note("the order did not reach a server");
            return Outcome::CouldNotRun;
        }
        let began = Instant::now();
        let at = site.ran_at(&attempt).unwrap_or_default();
        record.note(&format!("server {at} runs {attempt}"));
        let index = servers
            .iter()
            .position(|server| server.id == at)
            .unwrap_or(0);
        if trouble {
            let server: &mut Server = &mut servers[index];
            server.leave();
            site.list(&servers[index], "draining", 2);
            let noticed = Instant::now();
            std::thread::sleep(NOTICE);
            record.note(&format!(
                "server {at} is taken away, {} ms after its notice",
                noticed.elapsed().as_millis()
            ));
            servers[index].kill();
        }
        let Ok(Ok(answer)) = client.join() else {
            return Outcome::CouldNotRun;
        };
        let body = whole(&attempt, LINES, false, "v1");
        let lines = answer.body.iter().filter(|byte| **byte == b'\n').count();
        record.note(&format!(
            "client got {attempt}: {} lines={lines} of {LINES}",
            answer.describe()
        ));
        let success = answer.status == 200 && answer.complete;
        if success && answer.sealed() && answer.body != body.as_bytes() {
            broken += 1;
            record.note("MIXED: a complete success whose body is not the server's whole body");
        }
        served += usize::from(success && answer.body == body.as_bytes());
        if trouble {
            site.unlist(&servers[index]);
            std::thread::sleep(REPLACED.saturating_sub(began.elapsed()));
            servers[index] = site.server();
            // Routers learn of it within a second.
            std::thread::sleep(Duration::from_millis(1000));
        }
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
