//! Another writer leaves an entry with missing fields under the id of a server that has left.

use crate::Outcome;
use crate::fleet::{Route, Router, Site, attempt_id, request};
use crate::http::{Answer, Channel};
use crate::server::wall_ms;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time limit of the clients.
const LIMIT: Duration = Duration::from_millis(3000);
/// Servers, of which one leaves in each round: a quarter of them, the largest share of the site.
const SERVERS: usize = 12;
const CLIENTS: usize = 36;
/// Bound on requests to a server that has left.
const DRAIN: Duration = Duration::from_millis(2000);
/// From the removal of the server's entry until the other writer's entry, and until the server exits.
const ODD_AFTER: Duration = Duration::from_millis(3000);
const EXIT_AFTER: Duration = Duration::from_millis(3500);
const ROUNDS: usize = 3;

/// One order, as its client saw it.
struct Sent {
    attempt: String,
    /// Unix millisecond at which it was sent.
    at: u128,
    answer: Answer,
}

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
    let mut servers: Vec<_> = (0..SERVERS).map(|_| site.server()).collect();
    let mut routers: Vec<Router> = Vec::new();
    for zone in ["zapopan", "tonala"] {
        match site.router(&format!("edge-{zone}-1"), zone) {
            Some(router) => routers.push(router),
            None => return Outcome::CouldNotRun,
        }
    }
    let ended = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let number = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let callers = routers[client % routers.len()].callers;
            let (ended, sent, number) = (ended.clone(), sent.clone(), number.clone());
            std::thread::spawn(move || order_on(callers, &ended, &sent, &number))
        })
        .collect();

    let (mut late, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        std::thread::sleep(Duration::from_millis(3500));
        let server = &mut servers[round];
        server.leave();
        site.unlist(server);
        let (left_at, left) = (wall_ms(), Instant::now());
        let id = server.id.clone();
        std::thread::sleep(ODD_AFTER.saturating_sub(left.elapsed()));
        if trouble {
            // Without version, cold_remaining_ms, sequence and born.
            let odd = format!(
                r#"{{"service":"app","address":"{}","zone":"zapopan","slots":6,"state":"ready"}}"#,
                server.address
            );
            site.store.put("servers", &id, Some(&odd));
            record.note(&format!("store: another writer writes servers/{id}: {odd}"));
        }
        std::thread::sleep(EXIT_AFTER.saturating_sub(left.elapsed()));
        server.kill();
        record.note(&format!("server {id} exits, as it must some time after its entry is gone"));
        if trouble {
            site.store.put("servers", &id, None);
        }
        std::thread::sleep(LIMIT);
        let sent = sent.lock().expect("sent");
        for order in sent.iter().filter(|order| order.at >= left_at) {
            if site.ran_at(&order.attempt).as_deref() != Some(id.as_str()) {
                continue;
            }
            let after = order.at - left_at;
            if after <= DRAIN.as_millis() {
                continue;
            }
            late += 1;
            let whole = order.answer.status == 200 && order.answer.complete;
            lost += usize::from(!whole);
            record.note(&format!(
                "DRAIN: {} sent {after} ms after the store confirmed that {id} is gone, and run there: {}",
                order.attempt,
                order.answer.describe()
            ));
        }
    }
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    site.note_runs();
    let sent = sent.lock().expect("sent");
    let whole = sent
        .iter()
        .filter(|order| order.answer.status == 200 && order.answer.complete)
        .count();
    record.note(&format!(
        "orders={} answered whole={whole} too late at a server that had left={late}, lost with it={lost}",
        sent.len()
    ));
    if !trouble && whole < sent.len() {
        return Outcome::CouldNotRun;
    }
    if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Places one order after another on a kept channel.
fn order_on(
    callers: SocketAddr,
    ended: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    number: &AtomicUsize,
) {
    let mut channel = None;
    while !ended.load(Ordering::SeqCst) {
        let attempt = attempt_id(number.fetch_add(1, Ordering::SeqCst));
        let bytes = request("POST", "/order/1?work=400", &attempt, LIMIT, "two trays", "");
        let Ok(mut open) = channel.take().map_or_else(|| Channel::open(callers), Ok) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let at = wall_ms();
        let answer = open.call(&bytes, LIMIT);
        if answer.complete && answer.head.get("connection") != Some("close") {
            channel = Some(open);
        }
        sent.lock().expect("sent").push(Sent {
            attempt,
            at,
            answer,
        });
        std::thread::sleep(Duration::from_millis(20));
    }
}
