//! Servers reject long requests before they are in, keep the channel and read on later.

use crate::Outcome;
use crate::fleet::{Route, Site, attempt_id, request};
use crate::http::Channel;
use crate::server::Server;
use std::path::Path;
use std::time::{Duration, Instant};

const ROUNDS: usize = 18;
/// Servers, and how many of them reject long requests early: the largest share of the site, 0.6.
const SERVERS: usize = 5;
const EARLY: usize = 3;
/// Time limit of the clients, and timeout of the route of orders.
const LIMIT: Duration = Duration::from_millis(3000);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the timeout in which the rule wants an answer.
const SLACK: Duration = Duration::from_millis(500);
/// Size of the long requests: below `max_body_bytes`.
const BODY: usize = 4_100_000;
/// Orders that are placed after a long request, and the pause between two: the rejections stay below
/// 0.03 of the answers of the servers that reject.
const ORDERS: usize = 64;
const PAUSE: Duration = Duration::from_millis(15);
const ROUND: Duration = Duration::from_millis(5000);

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let route = |prefix, timeout_ms| Route {
        prefix,
        kind: "non_idempotent",
        timeout_ms,
        goal_ms: 300,
        attempts: 1,
        resumable: false,
    };
    let mut site = Site::start(folder, &[route("/order/", 1500), route("/stock/", 3000)]);
    let record = site.record.clone();
    let mut servers: Vec<_> = (0..SERVERS).map(|_| site.server()).collect();
    let Some(router) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    if trouble {
        servers[..EARLY]
            .iter_mut()
            .for_each(|server| server.reject_early());
    }
    let callers = router.callers;
    let body = "x".repeat(BODY);
    // Requests that are unanswered at the timeout of their route, and those still unanswered later.
    let (mut slow, mut unanswered, mut served, mut number) = (0, 0, 0, 0);
    for round in 0..ROUNDS {
        let began = Instant::now();
        let attempt = attempt_id(1000 + round);
        record.note(&format!(
            "client sends {attempt} POST /stock/1 with {BODY} bytes"
        ));
        let bytes = request("POST", "/stock/1", &attempt, LIMIT, &body, "");
        let answer = Channel::open(callers).map(|mut channel| channel.call(&bytes, LIMIT));
        let Ok(answer) = answer else {
            return Outcome::CouldNotRun;
        };
        record.note(&format!("client got {attempt}: {}", answer.describe()));
        let clients: Vec<_> = (0..ORDERS)
            .map(|_| {
                let attempt = attempt_id(number);
                number += 1;
                record.note(&format!("client sends {attempt} POST /order/1"));
                std::thread::sleep(PAUSE);
                std::thread::spawn(move || {
                    let bytes =
                        request("POST", "/order/1?work=60", &attempt, LIMIT, "two trays", "");
                    let answer =
                        Channel::open(callers).map(|mut channel| channel.call(&bytes, LIMIT));
                    (attempt, answer)
                })
            })
            .collect();
        for client in clients {
            let Ok((attempt, Ok(answer))) = client.join() else {
                return Outcome::CouldNotRun;
            };
            record.note(&format!(
                "client got {attempt}: {} ran at {}",
                answer.describe(),
                site.ran_at(&attempt).as_deref().unwrap_or("-")
            ));
            slow += usize::from(answer.elapsed >= TIMEOUT);
            if answer.elapsed >= TIMEOUT + SLACK {
                unanswered += 1;
                record.note("CONFIG: no answer half a second after the timeout of the route");
            }
            served += usize::from(answer.status == 200 && answer.complete);
        }
        std::thread::sleep(ROUND.saturating_sub(began.elapsed()));
    }
    let (rejected, answers, largest) = shares(&site, &servers[..EARLY]);
    record.note(&format!(
        "rejected early: {rejected} of {answers} answers of {EARLY} of {SERVERS} servers, at most {largest:.3} of one server's"
    ));
    site.note_runs();
    record.note(&format!(
        "orders={number} served={served} unanswered at the timeout={slow} and half a second later={unanswered}"
    ));
    if !trouble && served < number {
        return Outcome::CouldNotRun;
    }
    if unanswered * 2 > slow {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Requests that these servers rejected early, all their answers, and the largest share of rejections
/// among the answers of one of them.
fn shares(site: &Site, servers: &[Server]) -> (usize, usize, f64) {
    let runs = site.runs();
    let count = |id: &str, mark: &str| {
        let mark = format!(" {id} {mark} ");
        runs.iter().filter(|line| line.contains(&mark)).count()
    };
    let each = servers.iter().map(|server| {
        let rejected = count(&server.id, "REJECTS");
        (rejected, rejected + count(&server.id, "RUN"))
    });
    each.fold((0, 0, 0.0), |(rejected, answers, largest), (r, a)| {
        (
            rejected + r,
            answers + a,
            f64::max(largest, r as f64 / a.max(1) as f64),
        )
    })
}
