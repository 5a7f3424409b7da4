//! The fake service: journal and injected faults.

use bytes::Bytes;
use hyper::{Method, Request};
use sequoiaridge_fakes::control::Stage;
use sequoiaridge_fakes::service::{Service, ServiceConfig, expected_answer};
use sequoiaridge_http::{Client, ClientConfig, ClientError, Response};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Timeout for an answer's head and for each of its chunks.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> Service {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Service::start(address, ServiceConfig::default()).unwrap()
}

async fn call(service: &Service, key: &str, body: &'static str) -> Result<Response, ClientError> {
    let request = Request::builder().method(Method::POST).uri("/charge");
    let request = request.header("idempotency-key", key);
    let request = request.body(Bytes::from(body)).unwrap();
    let client = Client::new(ClientConfig::default());
    client
        .send_fresh(service.address(), request, TIMEOUT, TIMEOUT)
        .await
}

/// Guards against a journal that misses executions, which would hide a call that ran twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn journal_counts_each_execution() {
    let service = start();
    for _ in 0..2 {
        let answer = call(&service, "k1", "{}").await.unwrap();
        let body = answer.bytes(1 << 20).await.unwrap();
        assert_eq!(body, expected_answer("service", "POST", "/charge", b"{}"));
    }
    call(&service, "k2", "{}").await.unwrap();
    service.control().refuse(1).await.unwrap();
    let refused = call(&service, "k3", "{}").await.unwrap();
    assert_eq!(refused.header("x-not-run"), Some("1"));
    let control = service.control();
    assert_eq!(control.runs_of("k1").await.unwrap(), 2);
    assert_eq!(control.runs_of("k2").await.unwrap(), 1);
    assert_eq!(control.runs_of("k3").await.unwrap(), 0);
}

/// Guards against cuts before the call has run, with which tests would miss a wrong "not run", and
/// against cut answers that look complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_calls_have_run_and_break() {
    let service = start();
    for (key, stage) in [
        ("head", Stage::BeforeHead),
        ("after", Stage::AfterHead),
        ("mid", Stage::MidBody),
        ("end", Stage::BeforeEnd),
    ] {
        service.control().cut(stage, 1).await.unwrap();
        let broken = match call(&service, key, "{}").await {
            Ok(answer) => answer.bytes(1 << 20).await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(broken, ClientError::Broken(service.address()), "{stage:?}");
        assert_eq!(service.control().runs_of(key).await.unwrap(), 1);
    }
}

/// Guards against a crash that loses the record of executed calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn journal_survives_a_crash() {
    let service = start();
    let control = service.control();
    control
        .crash_on("boom", Duration::from_millis(100))
        .await
        .unwrap();
    let broken = call(&service, "k", "boom").await.unwrap_err();
    assert_eq!(broken, ClientError::Broken(service.address()));
    let runs = loop {
        match control.runs_of("k").await {
            Ok(runs) => break runs,
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    assert_eq!(runs, 1);
}

/// Guards against duplicate and crossed answers that equal the right one, which no check could
/// detect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn duplicate_and_crossed_answers_differ_from_the_right_one() {
    let service = start();
    let right = expected_answer("service", "POST", "/charge", b"{}");
    service.control().duplicate(1).await.unwrap();
    let answer = call(&service, "k", "{}").await.unwrap();
    assert_eq!(answer.bytes(1 << 20).await.unwrap(), right.repeat(2));
    service.control().crossed(1).await.unwrap();
    let answer = call(&service, "k", "{}").await.unwrap();
    assert_ne!(answer.bytes(1 << 20).await.unwrap(), right);
}
