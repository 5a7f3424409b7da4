//! Changes of the configuration: one of several concurrent changes wins, a change is in force
//! within 4 s, and no router goes back to an older version.

mod support;

use sequoiaridge::fakes::platform::PlatformCommand;
use serde_json::Value;
use std::time::{Duration, Instant};
use support::eventually;
use support::fleet::Fleet;

/// The documented bound on the time until a change is in force.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Version of the configuration with which the fleet of every test starts.
const BASE_VERSION: u64 = 5;

/// Returns a class with this first-token target.
fn class(first_token: f64) -> String {
    format!(
        r#"{{"team":"team","targets":{{"first_token":{first_token},"between_tokens":0.03,"answered":0.99,"deadline":20.0,"repeat":"allowed"}}}}"#
    )
}

/// Returns the version that a router runs; 0 if it gives no status.
async fn version(fleet: &Fleet, router: usize) -> u64 {
    fleet
        .status(router)
        .await
        .and_then(|status| status["version"].as_u64())
        .unwrap_or(0)
}

/// Guards against lost updates: of operators who change the same version at the same time one wins,
/// the others are told the current version, and every router ends up with the winner's change.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_wins() {
    let fleet = Fleet::start(3, 1, 0).await;
    for round in 0..5 {
        let base = BASE_VERSION + round;
        let classes = [class(1.0), class(2.0), class(3.0)];
        let (a, b, c) = tokio::join!(
            fleet.put_class(0, "race", &classes[0], base),
            fleet.put_class(1, "race", &classes[1], base),
            fleet.put_class(2, "race", &classes[2], base),
        );
        let replies = [(1.0, a), (2.0, b), (3.0, c)];
        let won: Vec<_> = replies
            .iter()
            .filter(|(_, reply)| reply.status == 200)
            .collect();
        assert_eq!(won.len(), 1, "{replies:?}");
        assert_eq!(
            won[0].1.json()["pending"],
            serde_json::json!([]),
            "{}",
            won[0].1.text()
        );
        for (_, lost) in replies.iter().filter(|(_, reply)| reply.status != 200) {
            assert_eq!(
                (lost.status, &lost.json()["version"]),
                (409, &Value::from(base + 1))
            );
        }
        for router in 0..3 {
            let address = fleet.routers[router].address("operators");
            let path = "/admin/v1/classes/race";
            let reply = fleet
                .operator
                .send(address, http::Method::GET, path, &[], "")
                .await
                .unwrap();
            assert_eq!(reply.json()["class"]["targets"]["first_token"], won[0].0);
        }
    }
}

/// Guards against a change that is reported as accepted but is lost, and against one that is
/// reported as refused but is applied, when the platform loses writes or the answers to them, or
/// applies writes late.
#[tokio::test(flavor = "multi_thread")]
async fn lost_write_answers_are_resolved() {
    let fleet = Fleet::start(2, 1, 0).await;
    for (number, order) in [
        PlatformCommand::LoseAnswers { count: 1 },
        PlatformCommand::DropWrites { count: 1 },
        PlatformCommand::DelayWrites { ms: 300, count: 1 },
    ]
    .into_iter()
    .enumerate()
    {
        fleet.send_command(order).await;
        let reply = fleet
            .put_class(0, "lost", &class(1.0), BASE_VERSION + number as u64)
            .await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.json()["version"], BASE_VERSION + number as u64 + 1);
    }
}

/// Guards against routers that run an older version than one they have shown: a router is frozen
/// past every timeout, and another one is killed and started again while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn versions_never_go_back() {
    let mut fleet = Fleet::start(3, 1, 0).await;
    fleet.routers[1].signal("STOP");
    let reply = fleet.put_class(0, "first", &class(1.0), BASE_VERSION).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["pending"],
        serde_json::json!(["router-1"]),
        "{}",
        reply.text()
    );
    fleet.routers[1].signal("CONT");
    let resumed = Instant::now();
    eventually("the frozen router is up to date", || async {
        version(&fleet, 1).await == BASE_VERSION + 1
    })
    .await;
    assert!(
        resumed.elapsed() < IN_FORCE_BOUND,
        "{:?}",
        resumed.elapsed()
    );

    fleet.send_command(PlatformCommand::Outage).await;
    fleet.routers[2].signal("KILL");
    fleet.routers[2].wait();
    fleet.restart_router(2);
    let mut seen = Vec::new();
    eventually(
        "a router that starts in an outage gets the version of its peers",
        || async { version(&fleet, 2).await > 0 },
    )
    .await;
    for _ in 0..20 {
        seen.push(version(&fleet, 2).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        seen.iter().all(|version| *version == BASE_VERSION + 1),
        "{seen:?}"
    );
    let refused = fleet
        .put_class(0, "second", &class(1.0), BASE_VERSION + 1)
        .await;
    assert!(
        refused.status == 503 || refused.status == 504,
        "{}",
        refused.text()
    );

    fleet.send_command(PlatformCommand::Heal).await;
    eventually("changes are accepted again", || async {
        fleet
            .put_class(2, "second", &class(1.0), BASE_VERSION + 1)
            .await
            .status
            == 200
    })
    .await;
}

/// Guards against a router that serves callers without a configuration: one that starts while
/// neither the platform nor a peer answers stays unready.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_configuration_stays_unready() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    fleet.send_command(PlatformCommand::Outage).await;
    fleet.routers[0].signal("KILL");
    fleet.routers[0].wait();
    fleet.restart_router(0);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reply = fleet
        .caller
        .chat(fleet.caller_address(0), "chat", &["Scale it."], false)
        .await;
    reply.assert_refused(503, "not-ready");
    let operators = fleet.routers[0].address("operators");
    let ready = fleet
        .operator
        .send(operators, http::Method::GET, "/ready", &[], "")
        .await
        .unwrap();
    assert_eq!(ready.status, 503);
    fleet.send_command(PlatformCommand::Heal).await;
    eventually("the router becomes ready", || async {
        fleet.status(0).await.is_some()
    })
    .await;
}

/// Guards against callers that are told that a model does not exist because the router has not read
/// the membership list yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_endpoints_is_not_ready() {
    let fleet = Fleet::start(1, 0, 0).await;
    let address = fleet.caller_address(0);
    let reply = fleet
        .caller
        .chat(address, "chat", &["Scale it."], false)
        .await;
    reply.assert_refused(503, "not-ready");
}

/// Guards against a router that keeps serving with an old configuration while it is cut off from
/// the platform and its peers: it refuses new calls as not run, and serves again when it hears from
/// a peer.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_router_refuses_calls() {
    let fleet = Fleet::start(2, 1, 0).await;
    fleet.send_command(PlatformCommand::Silent).await;
    fleet.routers[1].signal("STOP");
    eventually("the router refuses calls as isolated", || async {
        let reply = fleet
            .caller
            .chat(fleet.caller_address(0), "chat", &["Scale it."], false)
            .await;
        reply.header("x-refusal") == "isolated" && reply.verdict() == "not-run"
    })
    .await;
    fleet.routers[1].signal("CONT");
    eventually("the router serves again", || async {
        let reply = fleet
            .caller
            .chat(fleet.caller_address(0), "chat", &["Scale it."], false)
            .await;
        reply.status == 200
    })
    .await;
}
