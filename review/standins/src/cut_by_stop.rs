//! Routers of a zone are stopped and started in turn while clients place orders that take a while.

use crate::Outcome;
use crate::fleet::{Route, Router, Site, attempt_id, eventually, is_ready, request};
use crate::http::Channel;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time limit of the clients, and timeout of the route.
const LIMIT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(8);
/// Pause between the stops of two machines, and between two orders.
const GAP: Duration = Duration::from_millis(1300);
const ORDER_EVERY: Duration = Duration::from_millis(125);
/// When the first machine is stopped, and when the clients end.
const FIRST_STOP: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(22);
/// Requests sent later than this after SIGTERM are not excused when they are cut.
const EXCUSED: Duration = Duration::from_secs(3);

/// The platform's balancer in front of the routers of one zone.
struct Balancer {
    routers: Vec<(SocketAddr, SocketAddr)>,
    /// Consecutive misses of each router.
    misses: Vec<u32>,
}

impl Balancer {
    /// The router for a new channel of a client; `None` if the platform turns to another zone.
    fn pick(&self, client: usize) -> Option<usize> {
        let all: Vec<usize> = (0..self.routers.len()).collect();
        let rotation: Vec<usize> = all
            .iter()
            .copied()
            .filter(|i| self.misses[*i] < 2)
            .collect();
        let from = match rotation.len() {
            0 => return None,
            ready if ready * 2 < all.len() => all,
            _ => rotation,
        };
        let hash = (client as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        Some(from[hash as usize % from.len()])
    }
}

struct Sent {
    attempt: String,
    router: usize,
    at: Instant,
    status: u16,
    complete: bool,
    error: String,
    elapsed: Duration,
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
    let _servers: Vec<_> = (0..6).map(|_| site.server()).collect();
    let mut routers: Vec<Router> = Vec::new();
    for number in 1..=3 {
        match site.router(&format!("edge-zapopan-{number}"), "zapopan") {
            Some(router) => routers.push(router),
            None => return Outcome::CouldNotRun,
        }
    }
    // The machines of the other zones.
    let mut others = Vec::new();
    for zone in [
        "tlaquepaque",
        "tlaquepaque",
        "tonala",
        "tonala",
        "tlajomulco",
    ] {
        match site.router(&format!("edge-{zone}-{}", others.len() + 1), zone) {
            Some(router) => others.push(router),
            None => return Outcome::CouldNotRun,
        }
    }
    let balancer = Arc::new(Mutex::new(Balancer {
        routers: routers.iter().map(|r| (r.callers, r.readiness)).collect(),
        misses: vec![0; routers.len()],
    }));
    let ended = Arc::new(AtomicBool::new(false));
    let probes: Vec<_> = (0..routers.len())
        .map(|index| probe(index, balancer.clone(), ended.clone(), record.clone()))
        .collect();

    let started = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut stops: Vec<Option<Instant>> = vec![None; routers.len()];
    let mut number = 0;
    while started.elapsed() < END {
        let now = started.elapsed();
        for index in 0..2 {
            if trouble && stops[index].is_none() && now >= FIRST_STOP + GAP * index as u32 {
                record.note(&format!("SIGTERM to {}", routers[index].name));
                routers[index].signal("TERM");
                stops[index] = Some(Instant::now());
            }
            let stopped = stops[index].is_some_and(|at| at.elapsed() < Duration::from_secs(60));
            if stopped && routers[index].has_ended() && !is_ready(routers[index].readiness) {
                let after = stops[index].map_or(Duration::ZERO, |at| at.elapsed());
                record.note(&format!(
                    "{} ended {} ms after SIGTERM and starts again",
                    routers[index].name,
                    after.as_millis()
                ));
                routers[index].start_again();
            }
        }
        let picked = balancer.lock().expect("balancer").pick(number);
        if let Some(router) = picked {
            let (callers, sent) = (routers[router].callers, sent.clone());
            let attempt = attempt_id(number);
            clients.push(std::thread::spawn(move || {
                order(&attempt, router, callers, &sent)
            }));
        }
        number += 1;
        std::thread::sleep(ORDER_EVERY);
    }
    for client in clients {
        let _ = client.join();
    }
    ended.store(true, Ordering::SeqCst);
    for probe in probes {
        let _ = probe.join();
    }

    let sent = sent.lock().expect("sent");
    let (mut whole, mut cut) = (0, 0);
    for order in sent.iter() {
        whole += usize::from(order.status == 200 && order.complete);
        let ran = site.ran_at(&order.attempt);
        let after = stops[order.router].map(|stop| order.at.checked_duration_since(stop));
        let after = after.flatten();
        let around =
            after.is_some_and(|after| after > EXCUSED && after < GRACE + Duration::from_secs(1));
        let left = LIMIT.saturating_sub(order.elapsed);
        record.note(&format!(
            "client sent {} to {} {} ms after its SIGTERM: status={} complete={} elapsed_ms={} error={:?} ran at {}",
            order.attempt,
            routers[order.router].name,
            after.map_or("-".to_string(), |after| after.as_millis().to_string()),
            order.status,
            order.complete,
            order.elapsed.as_millis(),
            order.error,
            ran.as_deref().unwrap_or("-")
        ));
        // The time limit was not reached, and the servers did not break off.
        if !order.complete && ran.is_some() && around && left > Duration::from_millis(100) {
            cut += 1;
            record.note("LOST: passed on to a server, and the channel ended without an answer");
        }
    }
    site.note_runs();
    record.note(&format!(
        "orders={} answered whole={whole} cut={cut}",
        sent.len()
    ));
    if !trouble && whole < sent.len() {
        return Outcome::CouldNotRun;
    }
    if cut > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Places one order on a new channel.
fn order(attempt: &str, router: usize, callers: SocketAddr, sent: &Mutex<Vec<Sent>>) {
    let bytes = request(
        "POST",
        "/order/1?work=2500",
        attempt,
        LIMIT,
        "two trays",
        "",
    );
    let mut channel = match Channel::open(callers) {
        Ok(channel) => channel,
        // The process is between its end and its start.
        Err(_) => return,
    };
    let at = Instant::now();
    let answer = channel.call(&bytes, LIMIT);
    sent.lock().expect("sent").push(Sent {
        attempt: attempt.to_string(),
        router,
        at,
        status: answer.status,
        complete: answer.complete,
        error: answer.error,
        elapsed: answer.elapsed,
    });
}

/// Asks a router once a second whether it is ready.
fn probe(
    index: usize,
    balancer: Arc<Mutex<Balancer>>,
    ended: Arc<AtomicBool>,
    record: crate::fleet::Record,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let readiness = balancer.lock().expect("balancer").routers[index].1;
        while !ended.load(Ordering::SeqCst) {
            let ready = is_ready(readiness);
            let mut state = balancer.lock().expect("balancer");
            let before = state.misses[index];
            state.misses[index] = if ready { 0 } else { before + 1 };
            if (before < 2) != (state.misses[index] < 2) {
                let text = if ready {
                    "in rotation"
                } else {
                    "out of rotation"
                };
                record.note(&format!("balancer: router {} is {text}", index + 1));
            }
            drop(state);
            eventually(Duration::from_secs(1), || ended.load(Ordering::SeqCst));
        }
    })
}
