//! Planned stops: SIGTERM drains a router and cuts no call.

mod support;

use http::Method;
use std::time::{Duration, Instant};
use support::chat_body;
use support::fleet::Fleet;

/// Guards against streams that are cut, and calls that are refused, when routers are replaced: all
/// routers but one are stopped while callers use every router.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_router_cuts_no_call() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let mut calls = Vec::new();
    for number in 0..30 {
        let (caller, address) = (fleet.caller.clone(), fleet.caller_address(number % 3));
        calls.push(tokio::spawn(async move {
            let id = format!("chat-{number}");
            caller
                .chat(address, &id, &["Scale it.", "Again."], true)
                .await
        }));
    }
    tokio::time::sleep(Duration::from_millis(10)).await;
    fleet.routers[0].signal("TERM");
    fleet.routers[1].signal("TERM");
    let expected = sequoiaridge::fakes::engine::expected_events(
        chat_body(&["Scale it.", "Again."], true).as_bytes(),
    );
    for call in calls {
        let reply = call.await.expect("the call ends");
        reply.assert_done();
        assert_eq!(Some(reply.body.to_vec()), expected);
    }
    for number in [0, 1] {
        assert_eq!(fleet.routers[number].wait().code(), Some(0));
    }
}

/// Guards against a load balancer that keeps sending callers to a router that drains, against calls
/// that are refused before the load balancer notices, and against peers that wait for a timeout
/// before they take over the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_falls_first_and_peers_take_over_at_once() {
    let mut fleet = Fleet::start(2, 2, 0).await;
    fleet.routers[0].signal("TERM");
    let operators = fleet.routers[0].address("operators");
    support::eventually("readiness falls", || async {
        let reply = fleet
            .operator
            .send(operators, Method::GET, "/ready", &[], "")
            .await;
        reply.is_ok_and(|reply| reply.status == 503)
    })
    .await;
    let late = fleet
        .caller
        .chat(fleet.caller_address(0), "late", &["Scale it."], true)
        .await;
    late.assert_done();
    for number in 0..10 {
        let start = Instant::now();
        let id = format!("chat-{number}");
        let reply = fleet
            .caller
            .chat(fleet.caller_address(1), &id, &["Scale it."], true)
            .await;
        reply.assert_done();
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    }
    assert_eq!(fleet.routers[0].wait().code(), Some(0));
}

/// Guards against a stop that never ends: past the drain limit the router exits with a distinct
/// exit code.
#[tokio::test(flavor = "multi_thread")]
async fn the_drain_limit_ends_a_stop_with_a_distinct_code() {
    let mut fleet = Fleet::start_with(1, 1, 0, "drain: {limit: 1}\n").await;
    fleet.engine(0).slow(Duration::from_secs(10)).await.unwrap();
    let call = fleet.spawn_chat(0, "slow", true);
    support::eventually("the call is in flight", || async {
        fleet
            .engine(0)
            .counters()
            .await
            .is_ok_and(|counters| counters.running > 0)
            || fleet
                .status(0)
                .await
                .is_some_and(|status| status["endpoints"][0]["outstanding"] == 1)
    })
    .await;
    fleet.routers[0].signal("TERM");
    assert_eq!(fleet.routers[0].wait().code(), Some(3));
    call.abort();
}

/// Guards against calls that a draining router accepts and cuts at the drain limit, which comes before
/// the deadline of their class.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_outlast_the_drain_is_refused_at_once() {
    let mut fleet = Fleet::start_with(2, 1, 0, "drain: {limit: 5}\n").await;
    fleet.engine(0).slow(Duration::from_secs(10)).await.unwrap();
    let call = fleet.spawn_chat(0, "slow", true);
    support::eventually("the call runs", || async {
        let counters = fleet.engine(0).counters().await;
        counters.is_ok_and(|counters| counters.running > 0)
    })
    .await;
    fleet.routers[0].signal("TERM");
    let operators = fleet.routers[0].address("operators");
    support::eventually("readiness falls", || async {
        let reply = fleet
            .operator
            .send(operators, Method::GET, "/ready", &[], "")
            .await;
        reply.is_ok_and(|reply| reply.status == 503)
    })
    .await;
    let late = fleet
        .caller
        .chat(fleet.caller_address(0), "late", &["Scale it."], true)
        .await;
    late.assert_refused(503, "draining");
    assert_eq!(fleet.routers[0].wait().code(), Some(3));
    call.abort();
}
