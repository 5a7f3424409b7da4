//! Planned stops of routers on the platform, as processes that end.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};
use support::client::{Answer, Caller};
use support::program::RouterProcess;
use support::server::Behavior;
use support::{HOST, KEY, Site, config, eventually};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Time from SIGTERM until the platform kills a router, as in the settings of the tests.
const GRACE: Duration = Duration::from_secs(6);
/// Pause between two requests to a router that stops.
const GAP: Duration = Duration::from_millis(100);

/// Starts a site with a router. Requests may take up to `timeout_ms`.
async fn start(name: &str, timeout_ms: u64) -> (Site, RouterProcess) {
    let site = Site::start(4).await;
    let timeout = format!(r#""timeout_ms":{timeout_ms}"#);
    let config = config(2, "/read/").replace(r#""timeout_ms":3000"#, &timeout);
    site.store.put("op", "config", &config);
    let router = RouterProcess::start(PROGRAM, FOLDER, name, site.store.address);
    router.wait_ready().await;
    (site, router)
}

/// The head of an order whose body has `length` bytes, without a time limit unless `extra` has one.
fn order_head(id: &str, extra: &str, length: usize) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n{extra}\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Waits until a router that was told to stop has exited. Returns how long it took from `stopped`.
async fn wait_exit(router: &mut RouterProcess, stopped: Instant) -> Duration {
    while router.exit_status().is_none() {
        assert!(stopped.elapsed() < GRACE, "the router runs on");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stopped.elapsed()
}

/// Guards against orders that a stopping router accepts and cuts when it exits: they ran, and their
/// callers never hear of it. SIGHUP, a second SIGTERM, a new configuration and the stop of another router
/// come meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_stops_cuts_no_order() {
    let (site, mut router) = start("stop-orders", 3000).await;
    let mut other = RouterProcess::start(PROGRAM, FOLDER, "stop-other", site.store.address);
    other.wait_ready().await;
    for server in &site.servers {
        server.set_behaviors(&[Behavior::Slow(Duration::from_millis(2300))]);
    }
    router.signal("TERM");
    let stopped = Instant::now();
    let mut orders = Vec::new();
    let mut number = 0;
    while router.exit_status().is_none() && stopped.elapsed() < GRACE {
        match number {
            5 => router.signal("HUP"),
            10 => other.signal("TERM"),
            15 => site.store.put("op", "config", &config(3, "/read/")),
            20 => router.signal("TERM"),
            _ => {}
        }
        let (callers, id) = (router.callers, format!("x{number}"));
        orders.push(tokio::spawn(async move {
            // A connection that is refused, or closed before the request was read, is no loss.
            let mut caller = Caller::connect(callers).await?;
            caller.send("/order/1", &id, "", "").await?;
            Some((id, caller.answer().await))
        }));
        number += 1;
        tokio::time::sleep(GAP).await;
    }
    let (mut served, mut refused) = (0, 0);
    for order in orders {
        let Some((id, answer)) = order.await.expect("a task") else {
            continue;
        };
        let runs = site.runs_of(&id);
        match answer {
            Some(answer) if answer.status == 200 && answer.complete => served += 1,
            Some(answer) => {
                assert_eq!((answer.status, runs), (503, 0), "{id}");
                refused += 1;
            }
            None => assert_eq!(runs, 0, "{id} ran, and its caller got no answer"),
        }
    }
    assert!(served > 10 && refused > 10, "{served} and {refused}");
    wait_exit(&mut other, Instant::now()).await;
}

/// Guards against an order whose body arrives so late that the router exits before its answer: the
/// decision at its head does not hold any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_late_is_not_sent_on() {
    let (site, router) = start("stop-late-body", 30_000).await;
    let mut caller = Caller::connect(router.callers).await.expect("a connection");
    caller
        .send_raw(&order_head("x1", "", 6))
        .await
        .expect("sent");
    caller.send_raw("two").await.expect("sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    router.signal("TERM");
    tokio::time::sleep(Duration::from_millis(4500)).await;
    caller.send_raw("two").await.expect("sent");
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.status, site.runs_of("x1")), (503, 0));
}

/// Guards against a request whose body never arrives, and whose caller learns only from the end of the
/// process that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_its_body_is_refused_before_the_process_ends() {
    let (site, mut router) = start("stop-no-body", 30_000).await;
    let mut caller = Caller::connect(router.callers).await.expect("a connection");
    caller
        .send_raw(&order_head("x1", "", 6))
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    router.signal("TERM");
    let stopped = Instant::now();
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.status, site.runs()), (503, 0));
    wait_exit(&mut router, stopped).await;
}

/// Guards against a caller that learns nothing of an order that still runs when its router exits, and
/// against a promise that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_on_is_answered_before_the_process_ends() {
    let (site, mut router) = start("stop-long", 30_000).await;
    for server in &site.servers {
        server.set_behaviors(&[Behavior::Slow(Duration::from_secs(20))]);
    }
    let mut caller = Caller::connect(router.callers).await.expect("a connection");
    caller
        .send_raw(&order_head("x1", "", 0))
        .await
        .expect("sent");
    eventually("the order runs", || async { site.runs_of("x1") == 1 }).await;
    router.signal("TERM");
    let stopped = Instant::now();
    let answer = caller.answer().await;
    let status = answer.filter(|answer| answer.complete).map(|a| a.status);
    assert!(matches!(status, Some(502 | 504)), "{status:?}");
    wait_exit(&mut router, stopped).await;
}

/// Guards against a route with a long timeout that is refused from the first moment of a stop on: the load
/// balancer still sends its callers here, and its requests are short.
#[tokio::test(flavor = "multi_thread")]
async fn short_requests_of_a_patient_route_are_served_until_the_balancer_has_noticed() {
    let (site, mut router) = start("stop-patient", 30_000).await;
    let order = |id: String, extra: &'static str| {
        let callers = router.callers;
        async move {
            let mut caller = Caller::connect(callers).await.expect("a connection");
            let head = order_head(&id, extra, 0);
            caller.send_raw(&head).await.expect("sent");
            caller.answer().await.expect("an answer")
        }
    };
    assert_eq!(order("x0".to_string(), "").await.status, 200);
    router.signal("TERM");
    let stopped = Instant::now();
    let mut answers: Vec<(Duration, Answer)> = Vec::new();
    while stopped.elapsed() < Duration::from_millis(3000) {
        let after = stopped.elapsed();
        let id = format!("x{}", answers.len() + 1);
        answers.push((after, order(id, "").await));
        tokio::time::sleep(GAP).await;
    }
    for (after, answer) in &answers {
        let is_early = *after < Duration::from_millis(2500);
        assert!(
            !is_early || answer.status == 200,
            "{} after {after:?}",
            answer.status
        );
    }
    assert_eq!(answers.last().expect("an answer").1.status, 503);
    let late = order("late".to_string(), "Deadline-Ms: 1000\r\n").await;
    assert_eq!((late.status, site.runs_of("late")), (200, 1));
    wait_exit(&mut router, stopped).await;
}
