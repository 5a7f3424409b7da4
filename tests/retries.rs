//! Retries stay within the budget of each class, customer and router, however the endpoints fail.

mod support;

use futures_util::future::join_all;
use sequoiaridge::fakes::control::Stage;
use std::time::Duration;
use support::eventually;
use support::fleet::Fleet;

const CALLS: usize = 60;
/// More requests than any of these tests causes, so that a fault applies to all of them.
const ALL_REQUESTS: u32 = 10_000;

/// Returns how many requests reached the engines: those that ran and those that were refused. A
/// resumed stream continues a run and is not counted.
async fn attempts(fleet: &Fleet) -> u64 {
    let mut attempts = 0;
    for number in 0..fleet.engines.len() {
        let counters = fleet.engine(number).counters().await.unwrap();
        attempts += counters.runs + counters.refused;
    }
    attempts
}

/// Returns the upper bound on the attempts of this many calls, first attempts included:
/// `1.1 * calls + 10`.
fn max_attempts(calls: usize) -> u64 {
    (calls + calls / 10 + 10) as u64
}

/// Sends [`CALLS`] calls through one router, six at a time, checks their verdict and returns how
/// many attempts they caused.
async fn send(fleet: &Fleet, router: usize, name: &str, stream: bool, verdict: &str) -> u64 {
    let before = attempts(fleet).await;
    let address = fleet.caller_address(router);
    for batch in 0..CALLS / 6 {
        let calls = (0..6).map(|call| {
            let id = format!("{name}-{router}-{batch}-{call}");
            async move {
                let reply = fleet.caller.chat(address, &id, &[&id], stream).await;
                assert_eq!(reply.verdict(), verdict, "{}", reply.text());
            }
        });
        join_all(calls).await;
    }
    attempts(fleet).await - before
}

/// Guards against retries that multiply the load during a full outage: all engines refuse, or cut
/// every connection before the head of the answer. The two routers have separate budgets.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_a_full_outage_stay_within_the_budget() {
    let outages = [
        ("refused", None, "not-run"),
        ("cut", Some(Stage::BeforeHead), "may-have-run"),
    ];
    for (name, cut, verdict) in outages {
        let fleet = Fleet::start(2, 3, 0).await;
        for number in 0..3 {
            let engine = fleet.engine(number);
            match cut {
                None => engine.refuse(ALL_REQUESTS).await.unwrap(),
                Some(stage) => engine.cut(stage, ALL_REQUESTS).await.unwrap(),
            }
        }
        for router in [0, 1] {
            let attempts = send(&fleet, router, name, router == 0, verdict).await;
            let calls = CALLS as u64;
            let expected = calls + 1..=max_attempts(CALLS);
            assert!(
                expected.contains(&attempts),
                "{name}, router {router}: {attempts} attempts of {calls} calls, not in {expected:?}"
            );
        }
    }
}

/// Guards against attempts outside the budget when an engine at its load bound displaces calls to
/// engines that refuse them.
#[tokio::test(flavor = "multi_thread")]
async fn displaced_calls_stay_within_the_budget() {
    let fleet = Fleet::start(2, 3, 0).await;
    let address = fleet.caller_address(0);
    let first = fleet
        .caller
        .chat(address, "shared", &["Hello."], false)
        .await;
    let home = first.header("x-engine-id").to_string();
    let home: usize = home.strip_prefix("engine-").unwrap().parse().unwrap();
    fleet
        .engine(home)
        .slow(Duration::from_secs(3))
        .await
        .unwrap();
    for number in (0..3).filter(|number| *number != home) {
        fleet.engine(number).refuse(ALL_REQUESTS).await.unwrap();
    }
    let before = attempts(&fleet).await;
    let calls = (0..CALLS).map(|call| {
        let text = format!("Call {call}.");
        let fleet = &fleet;
        async move { fleet.caller.chat(address, "shared", &[&text], false).await }
    });
    join_all(calls).await;
    let attempts = attempts(&fleet).await - before;
    assert!(
        attempts <= max_attempts(CALLS),
        "{attempts} attempts of {CALLS} calls, more than {}",
        max_attempts(CALLS)
    );
}

/// Guards against a budget that stays empty: once the engines work again, calls are answered, and a
/// call that is refused once is retried.
#[tokio::test(flavor = "multi_thread")]
async fn retries_return_after_an_outage() {
    let fleet = Fleet::start(2, 3, 0).await;
    for number in 0..3 {
        fleet.engine(number).refuse(ALL_REQUESTS).await.unwrap();
    }
    send(&fleet, 0, "outage", false, "not-run").await;
    for number in 0..3 {
        fleet.engine(number).heal().await.unwrap();
    }
    let address = fleet.caller_address(0);
    for call in 0..30 {
        let id = format!("after-{call}");
        let reply = fleet.caller.chat(address, &id, &[&id], false).await;
        assert_eq!(reply.verdict(), "done", "{}", reply.text());
    }
    // The thirty calls have added three tokens to the budget.
    let reply = fleet.caller.chat(address, "last", &["One."], false).await;
    let home = reply.header("x-engine-id").to_string();
    let home: usize = home.strip_prefix("engine-").unwrap().parse().unwrap();
    fleet.engine(home).refuse(1).await.unwrap();
    eventually("a refused call is retried", || async {
        let refused = fleet.engine(home).counters().await.unwrap().refused;
        let reply = fleet.caller.chat(address, "last", &["Two."], false).await;
        assert_eq!(reply.verdict(), "done", "{}", reply.text());
        fleet.engine(home).counters().await.unwrap().refused > refused
    })
    .await;
}

/// Guards against attempts outside the budget when an owner is lost that may already have sent the
/// call to an engine: sending the call to a substitute owner counts as a retry, which an empty
/// budget does not allow.
#[tokio::test(flavor = "multi_thread")]
async fn a_substitute_for_a_lost_owner_counts_as_a_retry() {
    for (burst, runs) in [(0, 1), (10, 2)] {
        let settings = format!("retry: {{burst: {burst}}}");
        let mut fleet = Fleet::start_with(3, 1, 0, &settings).await;
        let owner = fleet.owner_of("engine-0", 0).await;
        let other = fleet.caller_address((owner + 1) % 3);
        let engine = fleet.engine(0);
        engine.slow(Duration::from_secs(1)).await.unwrap();
        let (reply, ()) =
            tokio::join!(fleet.caller.chat(other, "lost", &["Hello."], true), async {
                eventually("the engine runs the call", || async {
                    engine.counters().await.unwrap().runs == 1
                })
                .await;
                fleet.routers[owner].signal("KILL");
            });
        fleet.routers[owner].wait();
        let verdict = if burst == 0 { "may-have-run" } else { "done" };
        assert_eq!(reply.verdict(), verdict, "burst {burst}: {}", reply.text());
        assert_eq!(engine.counters().await.unwrap().runs, runs, "burst {burst}");
    }
}
