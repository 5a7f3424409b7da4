//! A request that crashes each engine that runs it is held back; its customer's other calls go on.

mod support;

use sequoiaridge::core::Targets;
use std::time::Duration;
use support::fleet::Fleet;
use support::{Reply, eventually};

/// Engines that crash on a request with this text.
const POISON: &str = "divide the recipe by zero";
/// Default of `quarantine.strikes`.
const STRIKES: usize = 3;

/// Orders the engine to crash on the text.
async fn arm(fleet: &Fleet, number: usize) {
    let restart = Duration::from_millis(1);
    fleet
        .engine(number)
        .crash_on(POISON, restart)
        .await
        .unwrap();
}

/// Starts the engines that ended again, as separate processes with other addresses, and returns how
/// many they were.
async fn restart_crashed(fleet: &mut Fleet) -> usize {
    let mut crashed = Vec::new();
    for (number, engine) in fleet.engines.iter_mut().enumerate() {
        if !engine.running() {
            crashed.push(number);
        }
    }
    for number in &crashed {
        fleet.restart_engine(*number);
        arm(fleet, *number).await;
    }
    fleet.publish().await;
    crashed.len()
}

async fn poison(fleet: &Fleet, router: usize) -> Reply {
    let address = fleet.callers(router);
    fleet
        .caller
        .chat(address, "poisoned", &[POISON], true)
        .await
}

/// Guards against a request that takes down one engine after another because its caller repeats it
/// through every router, and against holding back more than that one request.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_held_back_at_every_router() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    for number in 0..5 {
        arm(&fleet, number).await;
    }
    let mut crashes = 0;
    let mut held = [false, false];
    for attempt in 0..8 {
        let router = attempt % 2;
        let reply = poison(&fleet, router).await;
        assert_ne!(reply.status, 200, "{}", reply.text());
        held[router] = reply.header("x-refusal") == "quarantined";
        // The crashed engines are back before the next attempt, so that they could crash again.
        crashes += restart_crashed(&mut fleet).await;
        let all = 5;
        eventually("the other engines are up", || async {
            fleet.up_endpoints(0).await + STRIKES >= all
        })
        .await;
        assert!(
            crashes <= STRIKES,
            "{crashes} engines crashed after {attempt} repetitions"
        );
    }
    assert_eq!(crashes, STRIKES, "engines crashed");
    assert_eq!(
        held,
        [true, true],
        "the request is held back at both routers"
    );

    for router in [0, 1] {
        let other = format!("Halve the recipe, router {router}.");
        let reply = fleet
            .caller
            .chat(fleet.callers(router), "other", &[&other], true)
            .await;
        assert_eq!(
            (reply.status, reply.broken.clone()),
            (200, None),
            "{}",
            reply.text()
        );
    }
    // Restarted engines serve again.
    eventually("every engine is up", || async {
        fleet.up_endpoints(0).await == 5 && fleet.up_endpoints(1).await == 5
    })
    .await;
    assert_eq!(
        restart_crashed(&mut fleet).await,
        0,
        "crashes after the request was held back"
    );
}

/// Guards against chats that are taken for the cause of a crash because they ran beside the one that
/// caused it: they are answered, on other engines, and are not held back.
#[tokio::test(flavor = "multi_thread")]
async fn chats_beside_a_crashing_request_are_answered() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    // A call whose endpoints are down or run a suspect may wait for half of the first-token target.
    let targets = Targets {
        first_token: 8.0,
        deadline: 20.0,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    for number in 0..5 {
        arm(&fleet, number).await;
        // Long enough that no chat has a token when the engines crash.
        let slow = Duration::from_millis(1000);
        fleet.engine(number).slow(slow).await.unwrap();
    }
    let texts: Vec<String> = (0..5).map(|chat| format!("Innocent {chat}.")).collect();
    let beside = texts.iter().enumerate().map(|(chat, text)| {
        let address = fleet.callers(chat % 2);
        let caller = fleet.caller.clone();
        async move { caller.chat(address, text, &[text.as_str()], true).await }
    });
    let (poisoned, beside) = tokio::join!(
        async {
            eventually("the chats run", || async {
                let mut runs = 0;
                for number in 0..5 {
                    runs += fleet.engine(number).counters().await.unwrap().runs;
                }
                runs == 5
            })
            .await;
            poison(&fleet, 0).await
        },
        futures_util::future::join_all(beside),
    );
    assert_ne!(poisoned.status, 200);
    for reply in beside {
        assert_eq!(
            (reply.status, reply.broken.clone()),
            (200, None),
            "{}",
            reply.text()
        );
    }
    let crashes = restart_crashed(&mut fleet).await;
    assert!(
        (1..=STRIKES).contains(&crashes),
        "{crashes} engines crashed"
    );
}
