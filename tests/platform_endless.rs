//! Answers of servers that never end, also towards callers that do not read them.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};
use support::client::{Caller, post};
use support::program::RouterProcess;
use support::server::{Behavior, Endless};
use support::{HOST, KEY, Site, config, eventually};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Memory in bytes that the settings of the tests allow a router.
const MEMORY_LIMIT: u64 = 260 << 20;
/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Time after the deadline in which the router must have ended the request.
const SLACK: Duration = Duration::from_millis(500);

/// Sends a request to a server whose answer never ends. Checks that the request ends in time, that
/// the server is freed and that the router stays within its memory. Returns the status if the
/// answer to the caller was complete.
async fn status_of_endless(name: &str, kind: Endless, path: &str) -> Option<u16> {
    let site = Site::start(1).await;
    let router = RouterProcess::start(PROGRAM, FOLDER, name, site.store.address);
    router.wait_ready().await;
    let server = &site.servers[0];
    server.set_behaviors(&[Behavior::Endless(kind)]);
    let start = Instant::now();
    let answer = post(router.callers, path, "x1").await;
    let elapsed = start.elapsed();
    assert!(elapsed < DEADLINE + SLACK, "{kind:?}: {elapsed:?}");
    eventually("the server is free", || async { server.abandoned() >= 1 }).await;
    let elapsed = start.elapsed();
    assert!(
        elapsed < DEADLINE + SLACK,
        "{kind:?}: server freed after {elapsed:?}"
    );
    let memory = router.peak_memory();
    assert!(memory < MEMORY_LIMIT, "{kind:?}: {} MB", memory >> 20);
    let whole = answer.as_ref().is_some_and(|answer| answer.complete);
    answer.filter(|_| whole).map(|answer| answer.status)
}

/// Guards against a router that runs out of memory, or makes its caller wait, because the head of
/// an answer does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_an_end_is_given_up() {
    for (name, kind) in [
        ("noise", Endless::Noise),
        ("head", Endless::Head),
        ("informational", Endless::Informational),
    ] {
        let status = status_of_endless(name, kind, "/order/1").await;
        assert!(matches!(status, Some(502 | 504)), "{kind:?}: {status:?}");
    }
}

/// Guards against a router that runs out of memory, or makes its caller wait, because the body of an
/// answer, which the router holds back until it is complete, or its trailer does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_an_end_is_given_up() {
    for (name, kind) in [
        ("body", Endless::Body),
        ("chunks", Endless::Chunks),
        ("trailer", Endless::Trailer),
    ] {
        let status = status_of_endless(name, kind, "/order/1").await;
        assert_eq!(status, Some(502), "{kind:?}");
    }
}

/// Guards against a refusal that is delayed because its body does not end: its head says
/// everything, so the caller is told at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_end_is_taken_at_its_word() {
    let start = Instant::now();
    let status = status_of_endless("refusal", Endless::Refusal, "/order/1").await;
    assert_eq!(status, Some(503));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against an event that never ends: the router keeps the start of an event in memory until
/// the event is complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_an_end_is_given_up() {
    let status = status_of_endless("event", Endless::Event, "/chat/1").await;
    assert_eq!(status, None, "the stream must not look complete");
}

/// Guards against bytes after an answer that fill the memory of a router, or are passed on to the
/// next caller.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_an_answer_end_its_connection() {
    let status = status_of_endless("rest", Endless::AfterAnswer, "/order/1").await;
    assert_eq!(status, Some(200));
}

/// Guards against a server that works on for nobody: its answer never ends, and its caller has
/// left, or stays and does not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_holds_no_server() {
    let site = Site::start(1).await;
    let router = RouterProcess::start(PROGRAM, FOLDER, "unread", site.store.address);
    router.wait_ready().await;
    let server = &site.servers[0];
    server.set_behaviors(&[Behavior::Endless(Endless::Chunks)]);
    for (number, path) in ["/talk/1", "/chat/1"].into_iter().enumerate() {
        let mut caller = Caller::connect(router.callers).await.expect("a connection");
        let start = Instant::now();
        caller.send(path, "x1", "", "a body").await.expect("sent");
        eventually("the server is free", || async {
            server.abandoned() > number
        })
        .await;
        let elapsed = start.elapsed();
        assert!(elapsed < DEADLINE + SLACK, "{path}: {elapsed:?}");
    }
    let mut caller = Caller::connect(router.callers).await.expect("a connection");
    caller
        .send("/talk/1", "x2", "", "a body")
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);
    let start = Instant::now();
    eventually("the server is free", || async { server.abandoned() > 2 }).await;
    assert!(start.elapsed() < Duration::from_millis(500));
    let memory = router.peak_memory();
    assert!(memory < MEMORY_LIMIT, "{} MB", memory >> 20);
}

/// Guards against uploads without a length that take the memory of a router together: each of them is within
/// the limit on bodies. The requests of others on open connections would end with the process.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_in_chunks_stay_within_the_memory() {
    const UPLOADS: usize = 80;
    const LENGTH: usize = 4_000_000;
    let site = Site::start(8).await;
    let config =
        config(2, "/read/").replace(r#""max_body_bytes":100000"#, r#""max_body_bytes":4194304"#);
    site.store.put("op", "config", &config);
    for server in &site.servers {
        server.set_behaviors(&[Behavior::Slow(Duration::from_millis(500))]);
    }
    let router = RouterProcess::start(PROGRAM, FOLDER, "uploads", site.store.address);
    router.wait_ready().await;
    let mut uploads = Vec::new();
    for number in 0..UPLOADS {
        let callers = router.callers;
        uploads.push(tokio::spawn(async move {
            let mut caller = Caller::connect(callers).await?;
            let head = format!(
                "POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: u{number}\r\n\
                 X-Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            caller.send_raw(&head).await?;
            let chunk = format!("{:x}\r\n{}\r\n", 32_000, "x".repeat(32_000));
            for _ in 0..LENGTH / 32_000 {
                // A router that refuses the upload closes the connection.
                if caller.send_raw(&chunk).await.is_none() {
                    break;
                }
            }
            let _ = caller.send_raw("0\r\n\r\n").await;
            caller.answer().await
        }));
    }
    let mut statuses = Vec::new();
    for upload in uploads {
        let answer = upload.await.expect("a task");
        statuses.push(answer.map(|answer| answer.status));
    }
    let memory = router.peak_memory();
    assert!(memory < MEMORY_LIMIT, "{} MB", memory >> 20);
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert!(served.count() >= 8, "{statuses:?}");
    let answer = post(router.callers, "/order/1", "after").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    for (number, status) in statuses.iter().enumerate() {
        let runs = site.runs_of(&format!("u{number}"));
        let was_refused = *status == Some(503);
        assert!(!was_refused || runs == 0, "u{number} ran and was refused");
    }
}

/// Sends orders at the same time to servers that answer every second one without an end. Returns how many
/// answers of the others arrived whole, and how many there were.
async fn endless_beside_sound(name: &str, kind: Endless, orders: usize) -> (usize, usize) {
    const ROUNDS: usize = 3;
    let site = Site::start(20).await;
    let router = RouterProcess::start(PROGRAM, FOLDER, name, site.store.address);
    router.wait_ready().await;
    for server in &site.servers {
        let pair = [Behavior::Endless(kind), Behavior::Answer(200, "fine")];
        server.set_behaviors(&pair.repeat(ROUNDS * orders));
    }
    let mut whole = 0;
    for round in 0..ROUNDS {
        let callers = router.callers;
        let calls = (0..orders).map(|number| {
            let id = format!("x{round}-{number}");
            tokio::spawn(async move { post(callers, "/order/1", &id).await })
        });
        for call in calls.collect::<Vec<_>>() {
            let answer = call.await.expect("a task");
            whole += usize::from(answer.is_some_and(|answer| answer.body == "fine"));
        }
        let memory = router.peak_memory();
        assert!(memory < MEMORY_LIMIT, "{kind:?}: {} MB", memory >> 20);
    }
    let sound = site
        .servers
        .iter()
        .map(|server| server.requests().len() / 2);
    (whole, sound.sum())
}

/// Guards against answers without an end that fill the memory of a router together, although each of them
/// has a bound: the process would end with the requests of all its callers.
#[tokio::test(flavor = "multi_thread")]
async fn many_endless_answers_stay_within_the_memory() {
    for (name, kind) in [
        ("many-bodies", Endless::Body),
        ("many-chunks", Endless::Chunks),
        ("many-heads", Endless::Head),
    ] {
        let (whole, sound) = endless_beside_sound(name, kind, 160).await;
        assert!(sound >= 160, "{kind:?}: {sound} sound answers");
        assert_eq!(whole, sound, "{kind:?}");
    }
}

/// Guards against events without an end that fill the memory of a router together.
#[tokio::test(flavor = "multi_thread")]
async fn many_endless_events_stay_within_the_memory() {
    let site = Site::start(50).await;
    let router = RouterProcess::start(PROGRAM, FOLDER, "many-events", site.store.address);
    router.wait_ready().await;
    for server in &site.servers {
        server.set_behaviors(&[Behavior::Endless(Endless::Event)]);
    }
    let streams = (0..400).map(|number| {
        let callers = router.callers;
        tokio::spawn(async move { post(callers, "/chat/1", &format!("x{number}")).await })
    });
    for stream in streams.collect::<Vec<_>>() {
        let answer = stream.await.expect("a task");
        assert!(!answer.is_some_and(|answer| answer.complete && answer.status == 200));
    }
    let memory = router.peak_memory();
    assert!(memory < MEMORY_LIMIT, "{} MB", memory >> 20);
}
