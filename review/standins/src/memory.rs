//! Many clients upload proper bodies in chunks at once.

use crate::Outcome;
use crate::fleet::{HOST, KEY, Route, Site, attempt_id, request};
use crate::http::{Answer, Channel};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Memory of the machine, as in the settings of the router.
const MEMORY: u64 = 260 << 20;
const LIMIT: Duration = Duration::from_millis(12_000);
/// Clients of the burst, and the size of each body: below `max_body_bytes`.
const UPLOADS: usize = 80;
const BODY: usize = 4_000_000;
const CHUNK: usize = 15_000;
/// Pause between two chunks: all clients together stay below the link's 1,000 Mbit/s.
const PAUSE: Duration = Duration::from_millis(10);
/// Clients on kept channels, and how many uploads run at a time without the burst.
const KEPT: usize = 8;
const CALM: usize = 4;

pub fn run(folder: &Path, trouble: bool) -> Outcome {
    let route = |prefix, kind, timeout_ms, resumable| Route {
        prefix,
        kind,
        timeout_ms,
        goal_ms: 600,
        attempts: 2,
        resumable,
    };
    let mut site = Site::start(
        folder,
        &[
            route("/chat/", "streaming", 12_000, true),
            route("/read/", "idempotent", 3000, false),
        ],
    );
    let record = site.record.clone();
    let _servers: Vec<_> = (0..4).map(|_| site.server()).collect();
    let Some(mut router) = site.router("edge-tlajomulco-1", "tlajomulco") else {
        return Outcome::CouldNotRun;
    };
    let Some(_other) = site.router("edge-zapopan-1", "zapopan") else {
        return Outcome::CouldNotRun;
    };
    let callers = router.callers;
    let ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let numbers = Arc::new(AtomicUsize::new(0));
    let kept: Vec<_> = (0..KEPT)
        .map(|_| {
            let (ended, lost, numbers) = (ended.clone(), lost.clone(), numbers.clone());
            std::thread::spawn(move || keep_reading(callers, &ended, &lost, &numbers))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let results = Arc::new(Mutex::new(Vec::new()));
    let next = Arc::new(AtomicUsize::new(0));
    let clients = if trouble { UPLOADS } else { CALM };
    record.note(&format!(
        "{UPLOADS} uploads of {BODY} bytes in chunks begin, {clients} at a time"
    ));
    let uploads: Vec<_> = (0..clients)
        .map(|_| {
            let (results, next) = (results.clone(), next.clone());
            std::thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= UPLOADS {
                        return;
                    }
                    let answer = upload(callers, &attempt_id(10_000 + number));
                    results.lock().expect("results").push((number, answer));
                }
            })
        })
        .collect();
    let started = Instant::now();
    let mut peak = 0;
    let mut ends = 0;
    let mut noted = 0;
    while uploads.iter().any(|upload| !upload.is_finished())
        && started.elapsed() < Duration::from_secs(90)
    {
        let memory = router.memory();
        peak = peak.max(memory);
        if memory >> 20 >= noted + 40 {
            noted = memory >> 20;
            record.note(&format!("edge-tlajomulco-1 uses {noted} MB"));
        }
        if memory > MEMORY {
            ends += 1;
            record.note(&format!(
                "platform: {} MB are over the limit of {} MB; SIGKILL",
                memory >> 20,
                MEMORY >> 20
            ));
            router.kill();
            std::thread::sleep(Duration::from_millis(500));
            router.start_again();
            noted = 0;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    ended.store(true, Ordering::SeqCst);
    for client in kept.into_iter().chain(uploads) {
        let _ = client.join();
    }
    let mut results = results.lock().expect("results").clone();
    results.sort_by_key(|(number, _)| *number);
    let mut whole = 0;
    for (number, answer) in &results {
        whole += usize::from(answer.status == 200 && answer.complete);
        record.note(&format!(
            "client got upload {}: {}",
            attempt_id(10_000 + number),
            answer.describe()
        ));
    }
    let mut broken = 0;
    for (attempt, answer) in lost.lock().expect("lost").iter() {
        let ran = site.ran_at(attempt);
        record.note(&format!(
            "kept channel, {attempt}: {} ran at {}",
            answer.describe(),
            ran.as_deref().unwrap_or("-")
        ));
        if ran.is_some() {
            broken += 1;
            record.note("LOST: passed on from a kept channel to a sound server, and the channel closed without an answer");
        }
    }
    site.note_runs();
    record.note(&format!(
        "uploads answered whole={whole} of {UPLOADS}, peak memory={} MB, ends of the process={ends}, lost on kept channels={broken}",
        peak >> 20
    ));
    if !trouble && (whole < UPLOADS || broken > 0) {
        return Outcome::CouldNotRun;
    }
    // The rule allows three.
    if broken > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Reads again and again on one channel, until an answer is missing.
fn keep_reading(
    callers: SocketAddr,
    ended: &AtomicBool,
    lost: &Mutex<Vec<(String, Answer)>>,
    numbers: &AtomicUsize,
) {
    let limit = Duration::from_millis(3000);
    let Ok(mut channel) = Channel::open(callers) else {
        return;
    };
    while !ended.load(Ordering::SeqCst) {
        let attempt = attempt_id(numbers.fetch_add(1, Ordering::SeqCst));
        let bytes = request("GET", "/read/1?work=600", &attempt, limit, "", "");
        let answer = channel.call(&bytes, limit);
        if !answer.complete {
            lost.lock().expect("lost").push((attempt, answer));
            return;
        }
    }
}

/// Sends a body in chunks.
fn upload(callers: SocketAddr, attempt: &str) -> Answer {
    let failed = |error: String| Answer {
        error,
        ..Answer::default()
    };
    let mut channel = match Channel::open(callers) {
        Ok(channel) => channel,
        Err(error) => return failed(error.to_string()),
    };
    let sent = Instant::now();
    let head = format!(
        "POST /chat/1?work=20&parts=8 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\nX-Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n",
        LIMIT.as_millis()
    );
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', CHUNK));
    chunk.extend(b"\r\n");
    let stream = channel.stream();
    let mut write = || -> std::io::Result<()> {
        stream.write_all(head.as_bytes())?;
        for number in 0..BODY / CHUNK {
            stream.write_all(&chunk)?;
            let due = sent + PAUSE * (number as u32 + 1);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        stream.write_all(b"0\r\n\r\n")
    };
    if let Err(error) = write() {
        return failed(format!("not written: {error}"));
    }
    channel.answer(sent, LIMIT)
}
