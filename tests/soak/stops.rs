//! Runs in which routers are stopped and started in series while callers use them until they are gone.
//!
//! Nothing but planned work happens, so every request that a router passed on has to be answered.

use super::support::client::{Answer, Caller};
use super::support::program::RouterProcess;
use super::support::server::{Behavior, Server};
use super::support::store::FakeStore;
use super::support::{HOST, KEY, config, row};
use super::{DOMAINS, FOLDER, PROGRAM, ROUTERS, SERVERS, env_size};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Callers of each router.
const CALLERS: usize = 4;
/// Time from SIGTERM until the platform kills a router, as in the settings of the tests.
const GRACE: Duration = Duration::from_secs(6);
/// Time after SIGTERM from which on no request may be cut whose limit has not passed.
const EXCUSED: Duration = Duration::from_secs(3);
/// Time limits that callers give requests in ms; the route's own limit holds without one.
const LIMITS: [Option<u64>; 4] = [Some(400), Some(1500), Some(2500), None];
/// Timeouts of the routes in ms, which change between versions of the configuration.
const TIMEOUTS: [u64; 2] = [3000, 30_000];
/// Longest time that a server takes for a request.
const MAX_WORK_MS: u64 = 2000;
/// Longest that an answer may take beyond the limit of its request.
const SLACK: Duration = Duration::from_millis(100);
/// Time after which a caller gives up; longer than any run takes.
const PATIENCE: Duration = Duration::from_secs(10);

/// A request as its caller saw it.
struct Sent {
    router: usize,
    at: Instant,
    limit: Option<Duration>,
    elapsed: Duration,
    answer: Option<Answer>,
}

type SentRequests = Arc<Mutex<BTreeMap<String, Sent>>>;

/// A router that is stopped and started again.
struct Stopped {
    process: RouterProcess,
    /// When it was told to stop; `None` while it serves.
    told: Option<Instant>,
    /// When it starts again after its exit.
    starts_at: Option<Instant>,
    /// All times at which it was told to stop.
    stops: Vec<Instant>,
}

/// Sends orders and reads on one connection to one router until the router closes it, and opens the next
/// one at once, also while the router drains. Ends when `is_over` is set.
async fn call(
    seed: u64,
    number: usize,
    (router, address): (usize, SocketAddr),
    sent: SentRequests,
    is_over: Arc<AtomicBool>,
) {
    let mut rng = StdRng::seed_from_u64(seed * 10_000 + number as u64);
    let mut connection: Option<Caller> = None;
    for request in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        if connection.is_none() {
            connection = Caller::connect(address).await;
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let kind = *["order", "read"].choose(&mut rng).expect("a kind");
        let id = format!("{kind}-{number}-{request}");
        let limit = *LIMITS.choose(&mut rng).expect("a limit");
        let deadline = limit.map_or_else(String::new, |ms| format!("Deadline-Ms: {ms}\r\n"));
        let head = format!(
            "POST /{kind}/{request} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
             X-Api-Key: {KEY}\r\n{deadline}Content-Length: 6\r\n\r\n"
        );
        // Some bodies arrive later than their heads.
        let pause = if rng.random_bool(0.3) { 300 } else { 0 };
        let at = Instant::now();
        let exchange = async {
            open.send_raw(&head).await?;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            open.send_raw("a body").await?;
            open.answer().await
        };
        let answer = tokio::time::timeout(PATIENCE, exchange).await;
        let answer = answer.expect("a router answers or closes the connection");
        // A caller that does not look at `Connection: close` finds out from the close itself.
        if answer.is_none() {
            connection = None;
        }
        let entry = Sent {
            router,
            at,
            limit: limit.map(Duration::from_millis),
            elapsed: at.elapsed(),
            answer,
        };
        sent.lock().expect("requests").insert(id, entry);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
}

/// Writes a version of the configuration with a timeout that is drawn.
fn put_config(store: &FakeStore, version: u64, rng: &mut StdRng) {
    let timeout = TIMEOUTS.choose(rng).expect("a timeout");
    let timeout = format!(r#""timeout_ms":{timeout}"#);
    let config = config(version, "/read/").replace(r#""timeout_ms":3000"#, &timeout);
    store.put("op", "config", &config);
}

/// Plays planned stops, SIGHUP and changes of the configuration for `length`, in an order that the seed
/// determines, and checks what callers got.
pub async fn run_seed(seed: u64, length: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = FakeStore::start().await;
    let mut version = 1;
    put_config(&store, version, &mut rng);
    let mut servers = Vec::new();
    for index in 0..2 * env_size("SOAK_SERVERS", SERVERS) {
        let server = Server::start(&format!("i-{index}")).await;
        let works: Vec<Behavior> = (0..2000)
            .map(|_| Behavior::Slow(Duration::from_millis(rng.random_range(0..MAX_WORK_MS))))
            .collect();
        server.set_behaviors(&works);
        store.put("servers", &server.id, &row(&server, "ready"));
        servers.push(server);
    }
    let mut routers = Vec::new();
    for index in 0..env_size("SOAK_ROUTERS", ROUTERS) {
        let (name, domain) = (
            format!("soak-stops-{seed}-r{index}"),
            format!("d{}", index % DOMAINS),
        );
        let process = RouterProcess::start_in(PROGRAM, FOLDER, &name, &domain, store.address);
        routers.push(Stopped {
            process,
            told: None,
            starts_at: None,
            stops: Vec::new(),
        });
    }
    for router in &routers {
        router.process.wait_ready().await;
    }
    let sent = SentRequests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    // A run that fails ends its callers, which would otherwise call the routers of later runs.
    let mut callers = JoinSet::new();
    for number in 0..CALLERS * routers.len() {
        let router = number % routers.len();
        let target = (router, routers[router].process.callers);
        callers.spawn(call(seed, number, target, sent.clone(), is_over.clone()));
    }
    let mut trace = Vec::new();
    let start = Instant::now();
    while start.elapsed() < length || routers.iter().any(|router| router.told.is_some()) {
        let index = rng.random_range(0..routers.len());
        let action = rng.random_range(0..6u32);
        let is_ending = start.elapsed() >= length;
        let router = &mut routers[index];
        match action {
            0..=2 if !is_ending && router.starts_at.is_none() => {
                router.process.signal("TERM");
                if router.told.is_none() {
                    router.told = Some(Instant::now());
                    router.stops.push(Instant::now());
                }
                trace.push(format!("router {index}: SIGTERM"));
            }
            3 if router.starts_at.is_none() => {
                router.process.signal("HUP");
                trace.push(format!("router {index}: SIGHUP"));
            }
            4 => {
                version += 1;
                put_config(&store, version, &mut rng);
                trace.push(format!("configuration {version}"));
            }
            _ => {}
        }
        for (index, router) in routers.iter_mut().enumerate() {
            let status = router.process.exit_status();
            match (status, router.told, router.starts_at) {
                (Some(status), Some(_), None) => {
                    assert!(
                        matches!(status.code(), Some(0 | 3)),
                        "seed {seed}: router {index} ended with {status}"
                    );
                    let pause = Duration::from_millis(rng.random_range(0..500));
                    router.starts_at = Some(Instant::now() + pause);
                }
                (_, _, Some(at)) if Instant::now() >= at => {
                    router.process.restart();
                    (router.told, router.starts_at) = (None, None);
                }
                (None, Some(told), None) => {
                    // The platform would kill it.
                    assert!(
                        told.elapsed() < GRACE,
                        "seed {seed}: router {index} runs on"
                    );
                }
                (Some(status), None, None) => {
                    panic!("seed {seed}: router {index} ended by itself with {status}");
                }
                _ => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..150))).await;
    }
    is_over.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.expect("a caller");
    }
    println!("seed {seed}: {}", trace.join("; "));
    check(seed, &sent.lock().expect("requests"), &routers, &servers);
}

/// Checks that each request that ran was answered, that refused ones did not run, and that none was given
/// up that came late in a grace period.
fn check(seed: u64, sent: &BTreeMap<String, Sent>, routers: &[Stopped], servers: &[Server]) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for request in servers.iter().flat_map(Server::requests) {
        let id = request.header("attempt-id").to_string();
        *runs.entry(id).or_default() += 1;
    }
    let mut broken = Vec::new();
    let (mut served, mut refused, mut cut) = (0, 0, 0);
    for (id, request) in sent {
        let ran = runs.get(id).copied().unwrap_or(0);
        let mut stops = routers[request.router].stops.iter();
        let is_excused = stops
            .any(|told| request.at <= *told + EXCUSED && request.at + request.elapsed >= *told);
        let status = request.answer.as_ref().map(|answer| answer.status);
        let shortest = Duration::from_millis(TIMEOUTS[0]);
        let limit = request.limit.map_or(shortest, |limit| limit.min(shortest));
        let what = format!(
            "{id} at router {}: {status:?} after {:?}, {ran} runs, limit {:?}",
            request.router, request.elapsed, request.limit
        );
        let complete = request
            .answer
            .as_ref()
            .is_some_and(|answer| answer.complete);
        match status {
            Some(200) if complete && ran >= 1 => served += 1,
            Some(503) if ran == 0 => refused += 1,
            // The limit has passed.
            Some(502 | 504 | 408) if request.elapsed + SLACK >= limit => cut += 1,
            // Given up at the end of the process: sent before the load balancer could notice.
            Some(502 | 504) if is_excused => cut += 1,
            None if ran == 0 => {}
            _ => broken.push(what.clone()),
        }
        if id.starts_with("order") && ran > 1 {
            broken.push(format!("ran twice: {what}"));
        }
    }
    println!("seed {seed}: {served} served, {refused} refused, {cut} without a result in time");
    assert!(served > 0, "seed {seed}: no request was served");
    assert!(
        broken.is_empty(),
        "seed {seed}: {} times, such as\n{}",
        broken.len(),
        broken[..broken.len().min(super::MAX_SHOWN)].join("\n")
    );
}
