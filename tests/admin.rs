//! The administration API of routers that run as separate processes.

mod support;

use http::Method;
use sequoiaridge::core::token_digest;
use serde_json::{Value, json};
use support::fleet::Fleet;
use support::{Caller, Reply, eventually};

/// Token of the team `cooks`, which has no administrator rights.
const COOK_TOKEN: &str = "cook-token";

/// A fleet, and the version of its configuration at the start.
struct AdminFleet {
    fleet: Fleet,
    start_version: u64,
}

impl AdminFleet {
    async fn start(routers: usize, engines: usize, services: usize) -> AdminFleet {
        let fleet = Fleet::start(routers, engines, services).await;
        let status = fleet.status(0).await.expect("a status");
        let start_version = status["version"].as_u64().expect("a version");
        AdminFleet {
            fleet,
            start_version,
        }
    }

    /// Sends one request to the operators' address of a router. The line has the method, the path
    /// and, for changes, the number of changes since the start of the fleet, from which the version
    /// in `if-match` follows. A word that is no number is sent in `if-match` as it is.
    async fn send(&self, sender: &Caller, router: usize, line: &str, body: Value) -> Reply {
        let mut words = line.split(' ');
        let method: Method = words.next().unwrap().parse().unwrap();
        let path = format!("/admin/v1/{}", words.next().unwrap());
        let base = words.next().map(|word| match word.parse::<u64>() {
            Ok(changes) => (self.start_version + changes).to_string(),
            Err(_) => word.to_string(),
        });
        let headers: Vec<(&str, &str)> = base
            .iter()
            .map(|base| ("if-match", base.as_str()))
            .collect();
        let address = self.fleet.routers[router].address("operators");
        let sent = sender.send(address, method, &path, &headers, body.to_string());
        sent.await.expect("the operators' address answers")
    }

    /// Sends one request as the operator with administrator rights.
    async fn admin(&self, router: usize, line: &str, body: Value) -> Reply {
        self.send(&self.fleet.operator, router, line, body).await
    }
}

/// Returns a class of this team with this first-token target.
fn class(team: &str, first_token: f64) -> Value {
    let targets = json!({"first_token": first_token, "between_tokens": 0.05, "answered": 0.95,
        "deadline": 30.0, "repeat": "allowed"});
    json!({"team": team, "targets": targets})
}

/// Guards against teams that change or see entries of others, and against a change of rights that
/// takes effect at one router only.
#[tokio::test(flavor = "multi_thread")]
async fn teams_change_and_see_only_their_own_classes() {
    let admin_fleet = AdminFleet::start(2, 1, 0).await;
    let cook = Caller::new(COOK_TOKEN);
    let team = json!({"tokens": [token_digest(COOK_TOKEN)]});
    let made = admin_fleet.admin(0, "PUT teams/cooks 0", team).await;
    assert_eq!(made.json()["result"], "committed", "{}", made.text());
    assert_eq!(made.json()["in_force"], json!(["router-0", "router-1"]));

    let own = admin_fleet
        .send(&cook, 1, "PUT classes/menus 1", class("cooks", 1.0))
        .await;
    assert_eq!(
        (own.status, &own.json()["version"]),
        (200, &json!(admin_fleet.start_version + 2))
    );
    for (line, body) in [
        ("PUT classes/chat 2", class("cooks", 1.0)),
        ("PUT classes/new 2", class("team", 1.0)),
        ("PUT classes/menus 2", class("team", 1.0)),
        ("DELETE classes/chat 2", json!({})),
        ("PUT customers/c 2", json!({"tokens": []})),
        ("PUT teams/cooks 2", json!({"tokens": [], "admin": true})),
        ("GET classes/chat", json!({})),
        ("GET customers", json!({})),
        ("GET teams/team", json!({})),
        ("GET config", json!({})),
    ] {
        let reply = admin_fleet.send(&cook, 1, line, body).await;
        assert_eq!(reply.status, 403, "{line}: {}", reply.text());
    }
    let seen = admin_fleet
        .send(&cook, 1, "GET classes", json!({}))
        .await
        .json();
    assert_eq!(seen["classes"], json!({"menus": class("cooks", 1.0)}));
    let status = admin_fleet
        .send(&cook, 1, "GET status", json!({}))
        .await
        .json();
    let classes: Vec<&String> = status["classes"].as_object().unwrap().keys().collect();
    assert_eq!(classes, ["menus"]);

    // A token that is replaced through one router is refused for writes by the other one at once.
    let team = json!({"tokens": [token_digest("new")]});
    let changed = admin_fleet.admin(0, "PUT teams/cooks 2", team).await;
    assert_eq!(changed.status, 200);
    let late = admin_fleet
        .send(&cook, 1, "DELETE classes/menus 3", json!({}))
        .await;
    assert_eq!(late.status, 401, "{}", late.text());
}

/// Guards against requests with a wrong token, version, body or path that are carried out, or
/// refused without the cause.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_are_refused_with_their_cause() {
    let admin_fleet = AdminFleet::start(1, 1, 0).await;
    let (stranger, admin) = (Caller::new("guess"), &admin_fleet.fleet.operator);
    let mut wrong_field = class("team", 1.0);
    wrong_field["weight"] = json!(3);
    let mut wrong_type = class("team", 1.0);
    wrong_type["targets"]["deadline"] = json!("soon");
    let good = || class("team", 1.0);
    for (sender, line, body, status, cause) in [
        (&stranger, "GET status", json!({}), 401, "token"),
        (&stranger, "PUT classes/a 0", good(), 401, "token"),
        (admin, "PUT classes/a", good(), 428, "if-match"),
        (admin, "PUT classes/a new", good(), 428, "if-match"),
        (admin, "PUT classes/a 0", wrong_field, 400, "weight"),
        (admin, "PUT classes/a 0", wrong_type, 400, "soon"),
        (admin, "PUT classes/a 0", json!([]), 400, "not valid"),
        (
            admin,
            "DELETE classes/a 0",
            json!({}),
            422,
            "does not exist",
        ),
        (admin, "GET classes/a", json!({}), 404, "does not exist"),
        (admin, "GET weights", json!({}), 404, "admin-api.md"),
        (admin, "POST classes/a 0", good(), 405, "PUT"),
    ] {
        let reply = admin_fleet.send(sender, 0, line, body).await;
        assert_eq!(reply.status, status, "{line}: {}", reply.text());
        let problems = reply.json()["problems"].to_string();
        assert!(problems.contains(cause), "{line}: {}", reply.text());
    }
    let config = admin_fleet.admin(0, "GET config", json!({})).await;
    assert_eq!(
        config.json()["version"],
        admin_fleet.start_version,
        "nothing was changed"
    );
    assert_eq!(config.json()["customers"]["customer"], json!({"tokens": 1}));
    let digest = token_digest(support::fleet::CALLER);
    assert!(!config.text().contains(&digest), "digests are not shown");
}

/// Guards against operators who learn of the mistakes in a change one at a time, and against tokens
/// that are shown because they were given in place of digests.
#[tokio::test(flavor = "multi_thread")]
async fn all_mistakes_are_reported_at_once() {
    let admin_fleet = AdminFleet::start(1, 1, 0).await;
    let targets = json!({"first_token": 0.0, "between_tokens": 61.0, "answered": 1.0,
        "deadline": 4000.0, "repeat": "never"});
    let bad = json!({"team": "nobody", "targets": targets});
    let reply = admin_fleet.admin(0, "PUT classes/Upper 0", bad).await;
    assert_eq!(reply.status, 422);
    let problems = reply.json()["problems"].to_string();
    for field in [
        "Upper",
        "first_token",
        "between_tokens",
        "answered",
        "deadline",
        "team",
    ] {
        assert!(problems.contains(field), "{field}: {problems}");
    }

    let mut tokens: Vec<String> = (0..65).map(|i| format!("secret-{i}")).collect();
    tokens.push(token_digest(support::fleet::CALLER));
    let body = json!({"tokens": tokens});
    let reply = admin_fleet.admin(0, "PUT customers/c 0", body).await;
    assert_eq!(reply.status, 422);
    for cause in ["64 hexadecimal", "66 tokens", "in use by the customer"] {
        assert!(reply.text().contains(cause), "{cause}: {}", reply.text());
    }
    assert!(!reply.text().contains("secret-"), "{}", reply.text());

    let none = json!({"tokens": [token_digest("x")], "admin": false});
    let reply = admin_fleet.admin(0, "PUT teams/team 0", none).await;
    assert!(
        reply.text().contains("no team with 'admin'"),
        "{}",
        reply.text()
    );
}

/// Guards against lost changes: of two operators who change the configuration at the same time
/// through different routers, one is told of the conflict and that change is not made.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_wins() {
    let admin_fleet = AdminFleet::start(2, 1, 0).await;
    for round in 0..5 {
        let line = format!("PUT classes/chat {round}");
        let next = admin_fleet.start_version + round + 1;
        let (a, b) = tokio::join!(
            admin_fleet.admin(0, &line, class("team", 1.0)),
            admin_fleet.admin(1, &line, class("team", 2.0)),
        );
        let (winner, loser, target) = match a.status {
            200 => (a, b, 1.0),
            _ => (b, a, 2.0),
        };
        assert_eq!(
            (winner.status, loser.status),
            (200, 409),
            "{}",
            loser.text()
        );
        assert_eq!(winner.json()["version"], next);
        assert_eq!(loser.json(), json!({"result": "conflict", "version": next}));
        for router in [0, 1] {
            let now = admin_fleet
                .admin(router, "GET classes/chat", json!({}))
                .await;
            assert_eq!(now.json()["version"], next);
            assert_eq!(now.json()["class"], class("team", target));
        }
    }
}

/// Guards against a status that leaves out the calls and targets of a class, the reason of an
/// endpoint's state, its load bound, or the claims of calls that must not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_calls_endpoints_and_claims() {
    let mut admin_fleet = AdminFleet::start(1, 2, 1).await;
    let fleet = &mut admin_fleet.fleet;
    let address = fleet.caller_address(0);
    fleet.caller.chat(address, "1", &["Hello."], true).await;
    fleet.caller.book(address, "key", "{}").await.unwrap();
    let refused = Caller::new("guess")
        .chat(address, "1", &["Hello."], true)
        .await;
    assert_eq!(refused.status, 401);
    let status = fleet.status(0).await.expect("a status");
    let chat = &status["classes"]["chat"];
    assert_eq!(
        (&chat["calls"]["done"], &chat["answered"]),
        (&json!(1), &json!(1.0))
    );
    assert!(
        chat["first_token_p95"]
            .as_f64()
            .is_some_and(|p95| p95 > 0.0),
        "{chat}"
    );
    assert_eq!(chat["targets"]["first_token"], 2.0);
    assert_eq!(status["refusals"]["bad-token"], 1);
    assert_eq!(status["routers"][0]["version"], admin_fleet.start_version);
    assert!(
        status["claims"]["writes"].as_u64() > Some(0),
        "{}",
        status["claims"]
    );
    assert!(status["control_bytes"]["list"]["received"].as_u64() > Some(0));
    assert_eq!(status["endpoints"][1]["reason"], "probes succeed");
    assert_eq!(
        status["endpoints"][1]["bound"], 1,
        "an idle fleet of two engines allows one request each"
    );

    fleet.engines.remove(0);
    eventually(
        "the status shows that the engine is down, and why",
        || async {
            let status = fleet.status(0).await.expect("a status");
            let engines = status["endpoints"].as_array().unwrap();
            let lost = engines.iter().find(|e| e["id"] == "engine-0").unwrap();
            lost["state"] == "down" && lost["reason"] == "probes fail" && lost["bound"] == 0
        },
    )
    .await;
}

/// Guards against a router that takes calls before it knows any endpoint: it would refuse them with
/// `unknown-model`, a refusal after which callers do not retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_endpoints_is_not_ready() {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let operators = fleet.routers[0].address("operators");
    let admin = fleet.operator.clone();
    let ready = async || {
        let sent = admin.send(operators, Method::GET, "/ready", &[], "").await;
        sent.map(|reply| (reply.status, reply.text())).unwrap()
    };
    // The start of a fleet without endpoints waits for nothing, so the configuration may arrive
    // later.
    eventually("the router has a configuration", || async {
        fleet.status(0).await.is_some()
    })
    .await;
    assert_eq!(ready().await, (503, "no endpoints yet\n".to_string()));
    fleet.add_engine();
    fleet.publish().await;
    eventually("the router is ready", || async { ready().await.0 == 200 }).await;
    let chat = fleet
        .caller
        .chat(fleet.caller_address(0), "1", &["Hello."], true);
    assert_eq!(chat.await.status, 200);
}

/// Guards against a router that is behind and still grants rights that were revoked: it is frozen
/// while a token is removed through another router, and gets a change with that token when it
/// resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_is_behind_grants_no_old_rights() {
    let admin_fleet = AdminFleet::start(2, 1, 0).await;
    let team = json!({"tokens": [token_digest(COOK_TOKEN)]});
    assert_eq!(
        admin_fleet.admin(0, "PUT teams/cooks 0", team).await.status,
        200
    );
    admin_fleet.fleet.routers[1].signal("STOP");
    let late = async {
        let body = class("cooks", 1.0);
        let cook = Caller::new(COOK_TOKEN);
        admin_fleet.send(&cook, 1, "PUT classes/late 2", body).await
    };
    let removal = async {
        let removed = admin_fleet
            .admin(0, "DELETE teams/cooks 1", json!({}))
            .await;
        assert_eq!(removed.status, 200, "{}", removed.text());
        admin_fleet.fleet.routers[1].signal("CONT");
    };
    let (late, ()) = tokio::join!(late, removal);
    assert_eq!(late.status, 401, "{}", late.text());
    let classes = admin_fleet.admin(0, "GET classes", json!({})).await.text();
    assert!(!classes.contains("late"), "{classes}");
}
