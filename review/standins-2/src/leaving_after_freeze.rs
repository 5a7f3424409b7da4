//! Servers leave one second after a router that was frozen runs again.

use crate::client::{Ask, Connection};
use crate::server::epoch_ms;
use crate::site::{Process, Site};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Servers of the service, and how many of them leave: a quarter.
const SERVERS: usize = 40;
const LEAVING: usize = 10;
/// Time for which the router is frozen.
const FROZEN: Duration = Duration::from_millis(4000);
/// Time from the router's return from which on the servers leave.
const LEAVE_FROM: Duration = Duration::from_millis(1000);
/// One way between zones, and the time that the store takes for an answer.
const LINK: Duration = Duration::from_millis(3);
const STORE_TIME: Duration = Duration::from_millis(4);
/// Bounds of the site in ms.
const DRAIN_MS: u64 = 2000;
const CONTACT_MS: u64 = 3000;
/// Clients, and the pause between two requests of one.
const CLIENTS: usize = 64;
const PAUSE: Duration = Duration::from_millis(12);

/// When each request was sent, by the clock that all processes of the machine share.
type Sent = Arc<Mutex<BTreeMap<String, u64>>>;

/// Runs the case. Returns whether the rule was broken.
pub fn run(folder: &Path) -> bool {
    let site = Site::start(folder);
    let record = &site.record;
    let servers: Vec<Process> = (0..SERVERS)
        .map(|number| site.server(&format!("i-{number:02}"), Duration::ZERO))
        .collect();
    servers.iter().for_each(|server| site.list(server, "ready"));
    site.store.set_delays(LINK, STORE_TIME + LINK);
    let _other = site.router("edge-izki-c-1");
    let router = site.router("edge-nizwa-a-1");
    std::thread::sleep(Duration::from_millis(2500));

    let back = Instant::now() + FROZEN;
    if site.trouble {
        router.signal("STOP");
        record.note("router edge-nizwa-a-1 freezes (SIGSTOP)");
    }
    sleep_until(back);
    if site.trouble {
        router.signal("CONT");
    }
    let (back, back_ms) = (Instant::now(), epoch_ms());
    record.note("router edge-nizwa-a-1 runs again (SIGCONT)");

    let leaving: Vec<String> = servers
        .iter()
        .take(LEAVING)
        .map(|s| s.name.clone())
        .collect();
    site.store
        .remove_after_read(back + LEAVE_FROM, leaving.clone());
    let (sent, ended) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, sent, ended) = (router.address, sent.clone(), ended.clone());
            std::thread::spawn(move || press(address, client, &sent, &ended))
        })
        .collect();
    sleep_until(back + Duration::from_millis(4500));
    ended.store(true, Ordering::Relaxed);
    let answered: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    let sent = sent.lock().expect("what was sent");
    record.note(&format!(
        "{} requests were sent and {answered} answered with 200",
        sent.len()
    ));
    let Some(left_ms) = site.store.removed_at() else {
        record.note("the servers' table was not read");
        std::process::exit(2);
    };
    record.note(&format!(
        "the store removed the rows of {LEAVING} servers, which go on serving, {} ms after the return",
        left_ms.saturating_sub(back_ms)
    ));
    for event in ["endpoint-lapsed", "endpoint-leaving"] {
        site.record_log(&router, event);
    }
    judge(&site, &servers[..LEAVING], left_ms, &sent, back_ms)
}

/// Whether requests reached servers too late. Only those count that were sent while the router was in touch.
fn judge(
    site: &Site,
    leaving: &[Process],
    left_ms: u64,
    sent: &BTreeMap<String, u64>,
    back_ms: u64,
) -> bool {
    let in_touch = if site.trouble {
        back_ms + CONTACT_MS
    } else {
        0
    };
    let mut late = 0;
    for server in leaving {
        for line in server
            .log()
            .lines()
            .filter(|line| line.contains(" run attempt="))
        {
            let (time, rest) = line.split_once(' ').unwrap_or(("0", ""));
            let at: u64 = time.parse().unwrap_or(0);
            let attempt = rest.split("attempt=").nth(1);
            let attempt = attempt
                .and_then(|text| text.split(' ').next())
                .unwrap_or_default();
            let sent_at = sent.get(attempt).copied().unwrap_or(0);
            if at > left_ms + DRAIN_MS && sent_at >= in_touch {
                late += 1;
                site.record.note(&format!(
                    "BROKEN: request {attempt} was sent {} ms after the return and reached server {} {} ms after its row was removed",
                    sent_at.saturating_sub(back_ms),
                    server.name,
                    at - left_ms
                ));
            }
        }
    }
    site.record.note(&format!(
        "{late} requests reached servers later than {DRAIN_MS} ms after the store removed their rows"
    ));
    late > 0
}

/// Sends one request after another until the end. Returns how many were answered with 200.
fn press(router: SocketAddr, client: usize, sent: &Sent, ended: &AtomicBool) -> usize {
    let mut connection = None;
    let mut answered = 0;
    for number in 0.. {
        if ended.load(Ordering::Relaxed) {
            break;
        }
        let ask = Ask {
            attempt: format!("a-{client}-{number}"),
            method: "GET",
            path: "/read/1".to_string(),
            work: "body=80".to_string(),
            wait: Duration::from_secs(3),
            rate: None,
        };
        let open = connection.take().or_else(|| Connection::open(router));
        let Some(mut open) = open else {
            std::thread::sleep(PAUSE);
            continue;
        };
        sent.lock()
            .expect("what was sent")
            .insert(ask.attempt.clone(), epoch_ms());
        if open.ask(&ask).is_some_and(|answer| answer.status == 200) {
            answered += 1;
            connection = Some(open);
        }
        std::thread::sleep(PAUSE);
    }
    answered
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
