//! A server that is leaving crashes within an answer without a length, of a request that may be repeated.

use crate::client::{Answer, Ask, ask};
use crate::site::{Process, Site};
use std::path::Path;
use std::time::Duration;

/// Time from the report `draining` to the crash: beyond `drain_ms` (2 s), as a leaving server goes on
/// serving for that long and a little longer.
const LEFT_FOR: Duration = Duration::from_millis(2600);
/// Time that the other servers take to their first byte, because others wait there, too.
const BUSY: Duration = Duration::from_millis(1300);
/// Servers that take the place of the leaving one, so that no more than a sixth of them crash.
const OTHERS: usize = 5;
/// Events of a whole stream, and the pause between them in ms.
const EVENTS: usize = 20;
const GAP_MS: u32 = 200;
/// Bytes of a whole plain answer, and the pause within it in ms.
const BODY: usize = 800;
const HALF_MS: u32 = 4000;

/// Runs the case. Returns whether the rule was broken.
pub fn run(folder: &Path) -> bool {
    let site = Site::start(folder);
    let router = site.router("edge-zapopan-1");
    let mut broken = false;
    for (method, route) in [("POST", "chat"), ("GET", "read")] {
        broken |= play(&site, &router, method, route);
    }
    broken
}

/// Plays the end of one server under one request.
fn play(site: &Site, router: &Process, method: &'static str, route: &str) -> bool {
    let record = &site.record;
    let mut leaving = site.server(&format!("i-{route}-1"), Duration::ZERO);
    let others: Vec<Process> = (2..2 + OTHERS)
        .map(|number| site.server(&format!("i-{route}-{number}"), BUSY))
        .collect();
    site.list(&leaving, "ready");
    std::thread::sleep(Duration::from_millis(1200));
    let streams = route == "chat";
    let work = if streams {
        format!("framing=connection,last=1,events={EVENTS},gap={GAP_MS}")
    } else {
        format!("framing=connection,last=1,body={BODY},half={HALF_MS}")
    };
    let request = Ask {
        attempt: format!("attempt-{route}"),
        method,
        path: format!("/{route}/1"),
        work,
        wait: Duration::from_secs(9),
        rate: None,
    };
    let address = router.address;
    record.note(&format!(
        "a client sends {method} /{route}/1 as {}",
        request.attempt
    ));
    let sent = request.clone();
    let client = std::thread::spawn(move || ask(address, &sent));
    std::thread::sleep(Duration::from_millis(300));
    others.iter().for_each(|other| site.list(other, "ready"));
    site.list(&leaving, "draining");
    std::thread::sleep(LEFT_FOR);
    if site.trouble {
        leaving.kill();
        record.note(&format!("server {} crashes (SIGKILL)", leaving.name));
    }
    let answer = client.join().expect("a client");
    site.store.remove("servers", &leaving.name);
    for other in &others {
        site.store.remove("servers", &other.name);
    }
    std::thread::sleep(Duration::from_millis(1200));
    site.record_runs(&leaving);
    others.iter().for_each(|other| site.record_runs(other));
    site.record_log(router, &request.attempt);
    judge(site, route, streams, &answer)
}

/// Whether an answer looks complete but is not the whole one.
fn judge(site: &Site, route: &str, streams: bool, answer: &Answer) -> bool {
    let (part, whole) = if streams {
        (answer.events(), EVENTS)
    } else {
        (answer.body.len(), BODY)
    };
    let success = (200..300).contains(&answer.status) && !answer.seal.is_empty();
    let broken = success && answer.complete && part < whole;
    site.record.note(&format!(
        "the client of /{route}/ got status={} seal={:?} complete={} {part} of {whole} {} after {:.1} s{}",
        answer.status,
        answer.seal,
        answer.complete,
        if streams { "events" } else { "bytes" },
        answer.time.as_secs_f64(),
        if broken { ": BROKEN, it ends early and looks complete" } else { "" }
    ));
    if !site.trouble && !(success && answer.complete && part == whole) {
        site.record
            .note("without the disruption the answer should be whole");
        return true;
    }
    broken
}
