//! Calls through a fleet of separate processes: routers, engines, services and the platform.

mod support;

use sequoiaridge::fakes::engine::{expected_events, expected_text};
use sequoiaridge::fakes::service::expected_answer;
use support::chat_body;
use support::fleet::Fleet;

/// Guards against incomplete or wrong answers, and against the second turn of a chat that is placed
/// on another engine than the first: the two turns go through different routers.
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_returns_to_its_engine_with_its_whole_answer() {
    let fleet = Fleet::start(2, 3, 1).await;
    let first = fleet
        .caller
        .chat(
            fleet.caller_address(0),
            "chat-1",
            &["Scale to 40 covers."],
            true,
        )
        .await;
    first.assert_done();
    assert_eq!(first.body_error, None);
    let body = chat_body(&["Scale to 40 covers."], true);
    assert_eq!(
        first.body,
        expected_events(body.as_bytes()).expect("a chat")
    );

    let turns = ["Scale to 40 covers.", "And without eggs?"];
    let second = fleet
        .caller
        .chat(fleet.caller_address(1), "chat-1", &turns, false)
        .await;
    second.assert_done();
    let answer = second.json();
    let body = chat_body(&turns, false);
    let text = expected_text(body.as_bytes()).expect("a chat");
    assert_eq!(answer["choices"][0]["message"]["content"], text);
    assert_eq!(second.header("x-engine-id"), first.header("x-engine-id"));
    let cached = answer["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    assert!(cached.is_some_and(|tokens| tokens > 0), "{answer}");
}

/// Guards against bookings that run twice when a caller repeats them through another router, and
/// against a key that is accepted with another body.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_booking_runs_once() {
    let fleet = Fleet::start(2, 1, 2).await;
    let order = r#"{"item":"masa","kilos":40}"#;
    let expected = expected_answer("booking", "POST", "/orders", order.as_bytes());
    for router in [0, 1, 0] {
        let reply = fleet
            .caller
            .book(fleet.caller_address(router), "order-1", order)
            .await
            .unwrap();
        reply.assert_done();
        assert_eq!(reply.body, expected);
    }
    assert_eq!(fleet.runs_of("order-1").await, 1);

    let other = fleet
        .caller
        .book(fleet.caller_address(1), "order-1", r#"{"item":"eggs"}"#)
        .await
        .unwrap();
    assert_eq!(
        (other.status, other.header("x-refusal")),
        (422, "key-reused"),
        "{}",
        other.text()
    );
    assert_eq!(fleet.runs_of("order-1").await, 1);
}
