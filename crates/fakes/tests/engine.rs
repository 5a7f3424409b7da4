//! The fake engine: answers, cache, queue, streams and injected faults.

use bytes::Bytes;
use hyper::{Method, Request};
use sequoiaridge_fakes::control::{Scope, Stage};
use sequoiaridge_fakes::engine::{Engine, EngineConfig, expected_events, expected_text};
use sequoiaridge_http::{Client, ClientConfig, ClientError, Response};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Timeout for an answer's head and for each of its chunks; long enough for a busy host.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for answers that never arrive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

fn start(change: impl FnOnce(&mut EngineConfig)) -> Engine {
    let mut config = EngineConfig::default();
    change(&mut config);
    Engine::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), config).unwrap()
}

fn chat(messages: &[(&str, &str)], rest: serde_json::Value) -> Vec<u8> {
    let of = |(role, content): &(&str, &str)| serde_json::json!({"role": role, "content": content});
    let messages: Vec<_> = messages.iter().map(of).collect();
    let mut body = serde_json::json!({ "model": "model", "messages": messages });
    for (name, value) in rest.as_object().unwrap() {
        body[name] = value.clone();
    }
    body.to_string().into_bytes()
}

fn streamed(text: &str, tokens: u32) -> Vec<u8> {
    let rest = serde_json::json!({ "stream": true, "max_tokens": tokens });
    chat(&[("user", text)], rest)
}

async fn call(
    engine: SocketAddr,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response, ClientError> {
    call_within(TIMEOUT, engine, headers, body).await
}

async fn call_within(
    timeout: Duration,
    engine: SocketAddr,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response, ClientError> {
    let mut request = Request::builder().method(Method::POST);
    request = request.uri("/v1/chat/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Bytes::copy_from_slice(body)).unwrap();
    let client = Client::new(ClientConfig::default());
    client.send_fresh(engine, request, timeout, timeout).await
}

/// Returns the body of an answer that must succeed.
async fn full_body(engine: SocketAddr, body: &[u8]) -> Bytes {
    let answer = call(engine, &[], body).await.unwrap();
    assert_eq!(answer.status, 200);
    answer.bytes(1 << 20).await.unwrap()
}

/// Reads an answer that must break off; returns what came before, and the error.
async fn read_until_error(mut answer: Response) -> (Vec<u8>, ClientError) {
    let mut seen = Vec::new();
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => seen.extend_from_slice(&chunk),
            Ok(None) => panic!("the answer ended as if complete"),
            Err(error) => return (seen, error),
        }
    }
}

/// Guards against answers that vary, which tests could not compare byte for byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_depend_on_the_request_alone() {
    let (one, two) = (start(|_| {}), start(|c| c.id = "engine-2".to_string()));
    let body = chat(&[("user", "hi")], serde_json::json!({ "max_tokens": 5 }));
    let json: serde_json::Value =
        serde_json::from_slice(&full_body(one.address(), &body).await).unwrap();
    let text = json["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, expected_text(&body).unwrap());
    assert_eq!(text.split(' ').count(), 5);
    assert_eq!(json["usage"]["completion_tokens"], 5);
    let body = streamed("hi", 5);
    let events = full_body(one.address(), &body).await;
    assert_eq!(events, expected_events(&body).unwrap());
    assert!(events.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(events, full_body(two.address(), &body).await);
    let headers = [("x-request-id", "r1")];
    let answer = call(two.address(), &headers, &body).await.unwrap();
    assert_eq!(answer.header("x-request-id"), Some("r1"));
    assert_eq!(answer.header("x-engine-id"), Some("engine-2"));
    assert!(answer.header("x-boot-id").is_some() && answer.header("x-stream-id").is_some());
}

/// Guards against a cache that never hits, that hits for other chats, or that has no limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_chat_is_cached_until_it_is_evicted() {
    let engine = start(|c| c.cache_tokens = 200);
    let cached = async |body: &[u8]| {
        let json = full_body(engine.address(), body).await;
        let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
        let details = &json["usage"]["prompt_tokens_details"];
        details["cached_tokens"].as_u64().unwrap()
    };
    let long = "x".repeat(400);
    let first = chat(&[("user", &long)], serde_json::json!({ "max_tokens": 4 }));
    assert_eq!(cached(&first).await, 0);
    let answer = expected_text(&first).unwrap();
    let messages = [
        ("user", &long[..]),
        ("assistant", &answer),
        ("user", "go on"),
    ];
    let second = chat(&messages, serde_json::json!({ "max_tokens": 4 }));
    let answer_tokens = answer.len().div_ceil(4) as u64;
    assert_eq!(cached(&second).await, 100 + answer_tokens);
    let other = chat(&[("user", &"y".repeat(700))], serde_json::json!({}));
    assert_eq!(cached(&other).await, 0);
    assert_eq!(cached(&second).await, 0);
}

/// Guards against more running requests than the capacity, a queue that ignores priority, and a
/// refusal that does not report the request as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_are_bounded_and_queued_by_priority() {
    let engine = start(|c| {
        (c.capacity, c.queue) = (1, 2);
        c.output_token = Duration::from_millis(50);
    });
    let address = engine.address();
    let order = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (name, priority, present) in [("first", "5", 1), ("low", "9", 2), ("high", "0", 3)] {
        let order = order.clone();
        tasks.push(tokio::spawn(async move {
            let body = chat(&[("user", name)], serde_json::json!({ "max_tokens": 15 }));
            let answer = call(address, &[("x-priority", priority)], &body).await;
            answer.unwrap().bytes(1 << 20).await.unwrap();
            order.lock().unwrap().push(name);
        }));
        loop {
            let load = engine.control().load().await.unwrap();
            if load.running + load.waiting == present {
                break;
            }
        }
    }
    let headers = [("x-request-id", "r")];
    let refused = call(address, &headers, &streamed("more", 1)).await;
    let refused = refused.unwrap();
    assert_eq!(refused.header("x-request-id"), Some("r"));
    assert_eq!(
        (refused.status.as_u16(), refused.header("x-not-run")),
        (503, Some("1"))
    );
    let load = engine.control().load().await.unwrap();
    assert_eq!((load.running, load.waiting, load.capacity), (1, 2, 1));
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(*order.lock().unwrap(), ["first", "high", "low"]);
    let counters = engine.control().counters().await.unwrap();
    assert_eq!(
        (counters.highest, counters.runs, counters.refused),
        (1, 3, 1)
    );
}

/// Guards against generation for clients that have disconnected, and against a gap in a resumed
/// stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn abandoned_stream_stops_and_resumes_without_gap() {
    let engine = start(|c| c.output_token = Duration::from_millis(10));
    let body = streamed("long", 60);
    let mut answer = call(engine.address(), &[], &body).await.unwrap();
    let id = answer.header("x-stream-id").unwrap().to_string();
    let mut seen = Vec::new();
    while seen.windows(2).filter(|end| end == b"\n\n").count() < 5 {
        seen.extend_from_slice(&answer.chunk().await.unwrap().unwrap());
    }
    drop(answer);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = engine.control().counters().await.unwrap();
    assert_eq!(before.running, 0);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let after = engine.control().counters().await.unwrap();
    assert_eq!(before.output_tokens, after.output_tokens);
    assert!(after.output_tokens < 60, "{after:?}");
    let offset = seen
        .windows(2)
        .filter(|end| end == b"\n\n")
        .count()
        .to_string();
    let headers = [("x-stream-id", &id[..]), ("x-stream-offset", &offset)];
    let rest = call(engine.address(), &headers, b"").await.unwrap();
    seen.extend_from_slice(&rest.bytes(1 << 20).await.unwrap());
    assert_eq!(seen, expected_events(&body).unwrap());
    let counters = engine.control().counters().await.unwrap();
    assert_eq!(
        (counters.runs, counters.resumed, counters.output_tokens),
        (1, 1, 60)
    );
}

/// Guards against a cut that loses data sent before it, or that looks like a complete answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_streams_break_at_their_stage() {
    let engine = start(|_| {});
    let body = streamed("cut me", 10);
    let expected = expected_events(&body).unwrap();
    engine.control().cut(Stage::BeforeHead, 1).await.unwrap();
    let broken = call(engine.address(), &[], &body).await.unwrap_err();
    assert_eq!(broken, ClientError::Broken(engine.address()));
    for (stage, events) in [
        (Stage::AfterHead, 0),
        (Stage::MidBody, 6),
        (Stage::BeforeEnd, 11),
    ] {
        engine.control().cut(stage, 1).await.unwrap();
        let answer = call(engine.address(), &[], &body).await.unwrap();
        let (seen, error) = read_until_error(answer).await;
        assert_eq!(error, ClientError::Broken(engine.address()));
        assert!(expected.starts_with(&seen));
        assert_eq!(
            seen.windows(2).filter(|end| end == b"\n\n").count(),
            events,
            "{stage:?}"
        );
    }
    assert_eq!(full_body(engine.address(), &body).await, expected);
}

/// Guards against faults that do not take effect or do not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_late_crossed_duplicate_and_leave_take_effect() {
    let engine = start(|_| {});
    let (address, control) = (engine.address(), engine.control());
    let body = streamed("x", 3);
    let expected = expected_events(&body).unwrap();
    control.slow(Duration::from_millis(100)).await.unwrap();
    control.late(Duration::from_millis(100), 1).await.unwrap();
    let begin = Instant::now();
    assert_eq!(full_body(address, &body).await, expected);
    assert!(begin.elapsed() >= Duration::from_millis(200));
    control.heal().await.unwrap();
    control.crossed(1).await.unwrap();
    let answer = call(address, &[("x-request-id", "mine")], &body)
        .await
        .unwrap();
    assert_ne!(answer.header("x-request-id"), Some("mine"));
    assert_ne!(answer.bytes(1 << 20).await.unwrap(), expected);
    control.duplicate(1).await.unwrap();
    assert_eq!(full_body(address, &body).await, expected.repeat(2));
    control.refuse(1).await.unwrap();
    assert_eq!(call(address, &[], &body).await.unwrap().status, 503);
    assert_eq!(full_body(address, &body).await, expected);
    control.leave().await.unwrap();
    let state = |load| {
        serde_json::to_value::<sequoiaridge_fakes::control::Load>(load).unwrap()["state"].clone()
    };
    assert_eq!(state(control.load().await.unwrap()), "leaving");
    control.unleave().await.unwrap();
    assert_eq!(state(control.load().await.unwrap()), "up");
}

/// Guards against silence that also affects new connections, or the commands to the fake.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silence_affects_open_connections_but_not_control() {
    let engine = start(|c| c.output_token = Duration::from_millis(20));
    let mut open = call_within(SHORT_TIMEOUT, engine.address(), &[], &streamed("a", 40))
        .await
        .unwrap();
    open.chunk().await.unwrap();
    engine.control().silent(Scope::Open).await.unwrap();
    let silent = loop {
        match open.chunk().await {
            Ok(chunk) => assert!(chunk.is_some()),
            Err(error) => break error,
        }
    };
    assert_eq!(silent, ClientError::Silent(engine.address()));
    full_body(engine.address(), &streamed("b", 2)).await;
    engine.control().silent(Scope::All).await.unwrap();
    let silent = call_within(SHORT_TIMEOUT, engine.address(), &[], &streamed("c", 2))
        .await
        .unwrap_err();
    assert_eq!(silent, ClientError::Silent(engine.address()));
    assert_eq!(engine.control().counters().await.unwrap().runs, 3);
    engine.control().heal().await.unwrap();
    full_body(engine.address(), &streamed("d", 2)).await;
}

/// Guards against a crash that leaves other requests running or keeps the boot id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_cuts_everything_and_restarts_with_a_new_boot() {
    let engine = start(|c| c.output_token = Duration::from_millis(20));
    let (address, control) = (engine.address(), engine.control());
    let other = call(address, &[], &streamed("bystander", 40))
        .await
        .unwrap();
    let before = control.counters().await.unwrap();
    control
        .crash_on("poison", Duration::from_secs(1))
        .await
        .unwrap();
    let crashed = call(address, &[], &streamed("the poison pill", 2))
        .await
        .unwrap_err();
    assert_eq!(crashed, ClientError::Broken(address));
    assert_eq!(
        read_until_error(other).await.1,
        ClientError::Broken(address)
    );
    let down = call(address, &[], &streamed("b", 2)).await.unwrap_err();
    assert_eq!(down, ClientError::Connect(address));
    let after = loop {
        match control.counters().await {
            Ok(counters) => break counters,
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    assert_ne!(before.boot, after.boot);
    assert_eq!((after.runs, after.running), (2, 0));
    full_body(address, &streamed("b", 2)).await;
}

/// Guards against load reports without the lag that those of real engines have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_report_lags() {
    let engine = start(|c| {
        c.output_token = Duration::from_millis(20);
        c.load_lag = Duration::from_millis(300);
    });
    let _open = call(engine.address(), &[], &streamed("a", 40))
        .await
        .unwrap();
    assert_eq!(engine.control().load().await.unwrap().running, 0);
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(engine.control().load().await.unwrap().running, 1);
}
