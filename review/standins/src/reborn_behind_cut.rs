//! A server is cut off while it sends the answer to an order; it crashes behind the cut and starts
//! again before the cut heals.

use crate::Outcome;
use crate::fleet::{Route, Site, attempt_id, eventually, free_address, request};
use crate::http::Channel;
use crate::proxy::Link;
use crate::server::{Server, whole};
use std::path::Path;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
/// Servers, one of which is cut off at a time: a share of 0.2.
const SERVERS: usize = 5;
/// Time limit of the clients, and timeout of the route.
const LIMIT: Duration = Duration::from_millis(3000);
/// From the start of the run until the cut, until the server is back, and until the cut heals.
const CUT_AT: Duration = Duration::from_millis(900);
const BACK_AT: Duration = Duration::from_millis(1500);
const HEALED_AT: Duration = Duration::from_millis(2100);
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
    let mut servers: Vec<Server> = Vec::new();
    let mut links: Vec<Link> = Vec::new();
    for _ in 0..SERVERS {
        let server = site.server();
        let link = Link::start(free_address(), server.address);
        list(&site, &server, &link, 1);
        servers.push(server);
        links.push(link);
    }
    let Some(router) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let (mut broken, mut served) = (0, 0);
    for round in 0..ROUNDS {
        let attempt = attempt_id(round);
        let path = format!("/order/{round}?work=300&parts={LINES}&pause=200&framing=none");
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
        let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(began.elapsed()));
        let at = site.ran_at(&attempt).unwrap_or_default();
        record.note(&format!("server {at} runs {attempt}"));
        let index = servers.iter().position(|server| server.id == at).unwrap_or(0);
        if trouble {
            sleep_until(CUT_AT);
            links[index].set_cut(true);
            servers[index].kill();
            record.note(&format!("server {at} is cut off, and crashes behind the cut"));
            sleep_until(BACK_AT);
            servers[index].start_again("v1");
            record.note(&format!("server {at} starts again behind the cut"));
            sleep_until(HEALED_AT);
            links[index].set_cut(false);
            record.note(&format!("the cut heals after {} ms", (began.elapsed() - CUT_AT).as_millis()));
            list(&site, &servers[index], &links[index], 1);
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
        let success = answer.status == 200 && answer.complete && answer.sealed();
        if success && answer.body != body.as_bytes() {
            broken += 1;
            record.note("MIXED: a complete success whose body is not the server's whole body");
        }
        served += usize::from(success && answer.body == body.as_bytes());
        // Other machines and servers are calm again before the next round.
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

/// Writes the row of a server that is reached over a link.
fn list(site: &Site, server: &Server, link: &Link, sequence: u64) {
    let row = server.row("ready", sequence);
    let row = row.replace(&server.address.to_string(), &link.address.to_string());
    site.store.put("servers", &server.id, Some(&row));
    site.record.note(&format!("store: servers/{}: {row}", server.id));
}
