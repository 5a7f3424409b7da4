//! Connections to endpoints, peers and the platform that fall silent while new ones work.

mod support;

use sequoiaridge::fakes::control::Scope;
use sequoiaridge::fakes::platform::PlatformCommand;
use std::time::{Duration, Instant};
use support::fleet::Fleet;

/// The documented bound: `links.silence` of 3 s, and as long again for the call that follows.
const SILENCE_BOUND: Duration = Duration::from_secs(6);

/// Guards against callers that wait forever on a connection that the engine lost track of, and
/// against an engine that is taken as down although new connections to it work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_engines_are_found() {
    let fleet = Fleet::start(2, 2, 0).await;
    for engine in 0..2 {
        fleet
            .engine(engine)
            .slow(Duration::from_millis(500))
            .await
            .unwrap();
    }
    let calls: Vec<_> = (0..4)
        .map(|number| fleet.spawn_chat(number % 2, &format!("chat-{number}"), true))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    for engine in 0..2 {
        fleet.engine(engine).silent(Scope::Open).await.unwrap();
    }
    let start = Instant::now();
    for call in calls {
        let reply = call.await.expect("the call ends");
        let whole = reply.status == 200 && reply.text().ends_with("data: [DONE]\n\n");
        let failed = reply.verdict() != "done" || reply.body_error.is_some();
        assert!(whole || failed, "{reply:?}");
    }
    assert!(start.elapsed() < SILENCE_BOUND, "{:?}", start.elapsed());
    let reply = fleet
        .caller
        .chat(fleet.caller_address(0), "new", &["Scale it."], true)
        .await;
    reply.assert_done();
}

/// Guards against calls that wait for a frozen peer: another router takes its place, and a chat
/// that has not begun is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_peer_is_worked_around() {
    let fleet = Fleet::start(2, 4, 0).await;
    for number in 0..8 {
        let id = format!("chat-{number}");
        fleet
            .caller
            .chat(fleet.caller_address(0), &id, &["Scale it."], true)
            .await;
    }
    fleet.routers[1].signal("STOP");
    for number in 0..8 {
        let start = Instant::now();
        let id = format!("chat-{number}");
        let reply = fleet
            .caller
            .chat(fleet.caller_address(0), &id, &["Scale it."], true)
            .await;
        reply.assert_done();
        assert!(start.elapsed() < SILENCE_BOUND, "{:?}", start.elapsed());
    }
    fleet.routers[1].signal("CONT");
}

/// Guards against a platform client that keeps using a connection that fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn the_platform_is_reached_again_after_silence() {
    let fleet = Fleet::start(1, 1, 1).await;
    let before = fleet
        .caller
        .book(fleet.caller_address(0), "before", "{}")
        .await
        .unwrap();
    before.assert_done();
    fleet.send_command(PlatformCommand::Silent).await;
    let during = fleet
        .caller
        .book(fleet.caller_address(0), "during", "{}")
        .await
        .unwrap();
    during.assert_refused(503, "claim-unavailable");
    let chat = fleet
        .caller
        .chat(fleet.caller_address(0), "chat", &["Scale it."], true)
        .await;
    chat.assert_done();
    fleet.send_command(PlatformCommand::Heal).await;
    support::eventually("bookings run again", || async {
        let reply = fleet
            .caller
            .book(fleet.caller_address(0), "during", "{}")
            .await
            .unwrap();
        reply.status == 200
    })
    .await;
    assert_eq!(fleet.runs_of("during").await, 1);
}
