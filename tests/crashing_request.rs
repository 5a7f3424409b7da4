//! A request that crashes each engine that runs it is held back; its customer's other calls go on.

mod support;

use sequoiaridge::core::Targets;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::fleet::Fleet;
use support::{Caller, Reply, eventually};

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
    let address = fleet.caller_address(router);
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
            .chat(fleet.caller_address(router), "other", &[&other], true)
            .await;
        assert_eq!(
            (reply.status, reply.body_error.clone()),
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

/// Sends a chat, and sends it again for as long as the engines that are left have no place for it.
async fn until_placed(caller: &Caller, address: SocketAddr, text: &str) -> Reply {
    let mut reply = caller.chat(address, text, &[text], true).await;
    for _ in 0..50 {
        if reply.header("x-refusal") != "overload" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        reply = caller.chat(address, text, &[text], true).await;
    }
    reply
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
        // Long enough that no chat has a token when the engines crash: placing the five takes up to a
        // second, and the crashes follow each other after a pause.
        let slow = Duration::from_millis(2000);
        fleet.engine(number).slow(slow).await.unwrap();
    }
    let texts: Vec<String> = (0..5).map(|chat| format!("Innocent {chat}.")).collect();
    let beside = texts.iter().enumerate().map(|(chat, text)| {
        let address = fleet.caller_address(chat % 2);
        let caller = fleet.caller.clone();
        async move { until_placed(&caller, address, text).await }
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
            (reply.status, reply.body_error.clone()),
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

/// Guards against routers that run the request at the same time before they have heard of each
/// other's crashes: a caller sends it through both at once, several times.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_sent_at_once_is_held_back() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    for number in 0..5 {
        arm(&fleet, number).await;
    }
    let mut crashes = 0;
    for _ in 0..3 {
        let sent = [0, 1, 0, 1].map(|router| poison(&fleet, router));
        for reply in futures_util::future::join_all(sent).await {
            assert_ne!(reply.status, 200, "{}", reply.text());
        }
        crashes += restart_crashed(&mut fleet).await;
    }
    assert!(crashes <= STRIKES, "{crashes} engines crashed");
}

/// Guards against a copy that starts after it waited beside copies that crashed their engines, and
/// against owners that each run a copy: between them they would crash more engines than
/// `quarantine.strikes` before the request is held back.
#[tokio::test(flavor = "multi_thread")]
async fn copies_that_wait_beside_a_crashing_one_are_held_back() {
    // Owners and ranks differ from fleet to fleet.
    for round in 0..4 {
        let mut fleet = Fleet::start(2, 5, 0).await;
        // Long enough that the other copies wait at their owners before the first one crashes.
        let (restart, after) = (Duration::from_millis(1), Duration::from_millis(100));
        for number in 0..5 {
            let engine = fleet.engine(number);
            engine.crash_after(POISON, restart, after).await.unwrap();
        }
        let copies = (0..6).map(|copy| poison(&fleet, copy % 2));
        for reply in futures_util::future::join_all(copies).await {
            assert_ne!(reply.status, 200, "{}", reply.text());
        }
        // A copy whose caller has gone may crash its engine after the answer.
        tokio::time::sleep(after * 2).await;
        let crashes = restart_crashed(&mut fleet).await;
        assert!(
            crashes <= STRIKES,
            "{crashes} engines crashed in round {round}"
        );
    }
}

/// Guards against a copy that waits for a slot while another copy is beside a crash, and then keeps the
/// slot that it gets from itself: it is a suspect now, runs alone, and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_that_becomes_a_suspect_while_it_waits_is_answered() {
    const SLOTS: usize = 8;
    let mut fleet = Fleet::start(1, 1, 0).await;
    // A call may wait for half of the first-token target, here longer than the engine's restart.
    let targets = Targets {
        first_token: 16.0,
        deadline: 30.0,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    let (restart, after) = (Duration::from_millis(1), Duration::from_millis(500));
    let engine = fleet.engine(0);
    engine.crash_after(POISON, restart, after).await.unwrap();
    // Long enough that no chat ends before the crash.
    engine.slow(Duration::from_millis(2000)).await.unwrap();
    let address = fleet.caller_address(0);
    let send = |text: &str| {
        let (caller, text) = (fleet.caller.clone(), text.to_string());
        tokio::spawn(async move { caller.chat(address, &text, &[&text], true).await })
    };
    let mut running: Vec<_> = (1..SLOTS)
        .map(|n| send(&format!("Innocent {n}.")))
        .collect();
    running.push(send(POISON));
    eventually("the slots are taken", || async {
        fleet.engine(0).counters().await.unwrap().runs == SLOTS as u64
    })
    .await;
    let waiting = send("Innocent 1.");
    for call in running {
        let reply = call.await.expect("the call ends");
        assert_ne!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(restart_crashed(&mut fleet).await, 1, "engines crashed");
    let reply = waiting.await.expect("the call ends");
    reply.assert_done();
}

/// Guards against a final answer that waits for a router which froze, because that router is the one to
/// be told of the strike.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_does_not_delay_the_answer_to_a_crashing_request() {
    // Whether the frozen router is the arbiter depends on the request.
    for round in 0..4 {
        let fleet = Fleet::start(2, 1, 0).await;
        arm(&fleet, 0).await;
        fleet.routers[1].signal("STOP");
        let text = format!("{POISON}, round {round}");
        let start = Instant::now();
        let reply = fleet
            .caller
            .chat(fleet.caller_address(0), "poisoned", &[&text], true)
            .await;
        assert_ne!(reply.status, 200, "{}", reply.text());
        // Less than the 2 s after which a handshake with a frozen peer is given up.
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        fleet.routers[1].signal("CONT");
    }
}
