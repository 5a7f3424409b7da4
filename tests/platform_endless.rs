//! Bytes without an end, from servers and towards callers that do not read.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};
use support::client::{Caller, post};
use support::program::RouterProcess;
use support::server::{Behavior, Endless};
use support::{Site, eventually};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Memory that the settings of the tests allow a router.
const MEMORY: u64 = 260 << 20;
/// Time that callers give a request, and in which a router must have ended it after that.
const DEADLINE: Duration = Duration::from_millis(2500);
const SLACK: Duration = Duration::from_millis(500);

/// Sends a request to a server whose bytes do not end, and checks that it ends in time, that the server
/// is freed and that memory is kept.
async fn ends(name: &str, kind: Endless, path: &str) -> Option<u16> {
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
    assert!(elapsed < DEADLINE + SLACK, "{kind:?}: free {elapsed:?}");
    let memory = router.peak_memory();
    assert!(memory < MEMORY, "{kind:?}: {} MB", memory >> 20);
    let whole = answer.as_ref().is_some_and(|answer| answer.complete);
    answer.filter(|_| whole).map(|answer| answer.status)
}

/// Guards against a router that runs out of memory, or holds its caller, because the head of an answer does
/// not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_an_end_is_given_up() {
    for (name, kind) in [
        ("noise", Endless::Noise),
        ("head", Endless::Head),
        ("informational", Endless::Informational),
    ] {
        let status = ends(name, kind, "/order/1").await;
        assert!(matches!(status, Some(502 | 504)), "{kind:?}: {status:?}");
    }
}

/// The same for the body of an answer that is held until it is whole, and for its trailer.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_an_end_is_given_up() {
    for (name, kind) in [
        ("body", Endless::Body),
        ("chunks", Endless::Chunks),
        ("trailer", Endless::Trailer),
    ] {
        let status = ends(name, kind, "/order/1").await;
        assert_eq!(status, Some(502), "{kind:?}");
    }
}

/// Guards against a refusal whose body does not end: its head has said all, and the caller is told at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_end_is_taken_at_its_word() {
    let start = Instant::now();
    let status = ends("refusal", Endless::Refusal, "/order/1").await;
    assert_eq!(status, Some(503));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against an event without an end, of which a router keeps the beginning until it is whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_an_end_is_given_up() {
    let status = ends("event", Endless::Event, "/chat/1").await;
    assert_eq!(status, None, "the stream is not whole");
}

/// Guards against bytes after an answer that fill the memory of a router, or that the next caller gets.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_an_answer_end_its_connection() {
    let status = ends("rest", Endless::AfterAnswer, "/order/1").await;
    assert_eq!(status, Some(200));
}

/// Guards against a caller that leaves, or stays and does not read, while its server sends without an end:
/// the server works on for nobody.
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
    assert!(memory < MEMORY, "{} MB", memory >> 20);
}
