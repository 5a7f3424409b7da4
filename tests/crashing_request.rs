//! A request that crashes each engine that runs it is held back, while its customer's other calls
//! go on.

mod support;

use sequoiaridge::core::Targets;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::fleet::Fleet;
use support::{Caller, Reply, eventually};

/// Text of a request on which engines crash.
const CRASH_TEXT: &str = "divide the recipe by zero";
/// Default of the setting `quarantine.strikes`.
const STRIKES: usize = 3;

/// Sets an engine to crash on a request with [`CRASH_TEXT`].
async fn enable_crash(fleet: &Fleet, number: usize) {
    let restart = Duration::from_millis(1);
    fleet
        .engine(number)
        .crash_on(CRASH_TEXT, restart)
        .await
        .unwrap();
}

/// Restarts the engines that crashed, as new processes with other addresses, and returns how many
/// there were.
async fn restart_crashed(fleet: &mut Fleet) -> usize {
    let mut crashed = Vec::new();
    for (number, engine) in fleet.engines.iter_mut().enumerate() {
        if !engine.running() {
            crashed.push(number);
        }
    }
    for number in &crashed {
        fleet.restart_engine(*number);
        enable_crash(fleet, *number).await;
    }
    fleet.publish().await;
    crashed.len()
}

/// Sends the crashing request through a router.
async fn send_crashing(fleet: &Fleet, router: usize) -> Reply {
    let address = fleet.caller_address(router);
    fleet
        .caller
        .chat(address, "poisoned", &[CRASH_TEXT], true)
        .await
}

/// Guards against a request that crashes one engine after another because its caller repeats it
/// through every router, and against holding back other requests as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_held_back_at_every_router() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    for number in 0..5 {
        enable_crash(&fleet, number).await;
    }
    let mut crashes = 0;
    let mut held = [false, false];
    for attempt in 0..8 {
        let router = attempt % 2;
        let reply = send_crashing(&fleet, router).await;
        assert_ne!(reply.status, 200, "{}", reply.text());
        held[router] = reply.header("x-refusal") == "quarantined";
        // The crashed engines are restarted before the next attempt, so that they could crash
        // again.
        crashes += restart_crashed(&mut fleet).await;
        let all = 5;
        eventually("the other engines are up", || async {
            fleet.up_endpoints(0).await + STRIKES >= all
        })
        .await;
        assert!(
            crashes <= STRIKES,
            "{crashes} engines crashed after {attempt} repeats"
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

/// Sends a chat, and repeats it while it is refused because the engines that are up have no free
/// slot, at most 50 times.
async fn chat_until_placed(caller: &Caller, address: SocketAddr, text: &str) -> Reply {
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

/// Guards against chats that are held back as the cause of a crash because they ran on the same
/// engine as the request that caused it: they are answered by other engines.
#[tokio::test(flavor = "multi_thread")]
async fn chats_beside_a_crashing_request_are_answered() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    // A call may wait for half of the first-token target while its endpoints are down or run a
    // suspect.
    let targets = Targets {
        first_token: 8.0,
        deadline: 20.0,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    for number in 0..5 {
        enable_crash(&fleet, number).await;
        // Long enough that no chat has a token when the engines crash: it takes up to a second to
        // place the five, and there is a pause between the crashes.
        let slow = Duration::from_millis(2000);
        fleet.engine(number).slow(slow).await.unwrap();
    }
    let texts: Vec<String> = (0..5).map(|chat| format!("Innocent {chat}.")).collect();
    let beside = texts.iter().enumerate().map(|(chat, text)| {
        let address = fleet.caller_address(chat % 2);
        let caller = fleet.caller.clone();
        async move { chat_until_placed(&caller, address, text).await }
    });
    let (crashing, beside) = tokio::join!(
        async {
            eventually("the chats run", || async {
                let mut runs = 0;
                for number in 0..5 {
                    runs += fleet.engine(number).counters().await.unwrap().runs;
                }
                runs == 5
            })
            .await;
            send_crashing(&fleet, 0).await
        },
        futures_util::future::join_all(beside),
    );
    assert_ne!(crashing.status, 200);
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

/// Guards against routers that run the request at the same time, before each knows of the crashes
/// that the other one saw: a caller sends it through both at once, several times.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_sent_at_once_is_held_back() {
    let mut fleet = Fleet::start(2, 5, 0).await;
    for number in 0..5 {
        enable_crash(&fleet, number).await;
    }
    let mut crashes = 0;
    for _ in 0..3 {
        let sent = [0, 1, 0, 1].map(|router| send_crashing(&fleet, router));
        for reply in futures_util::future::join_all(sent).await {
            assert_ne!(reply.status, 200, "{}", reply.text());
        }
        crashes += restart_crashed(&mut fleet).await;
    }
    assert!(crashes <= STRIKES, "{crashes} engines crashed");
}

/// Guards against a copy that starts after it waited beside copies that crashed their engines, and
/// against owners that each run a copy: together they would crash more engines than
/// `quarantine.strikes` before the request is held back.
#[tokio::test(flavor = "multi_thread")]
async fn copies_that_wait_beside_a_crashing_one_are_held_back() {
    // The owners and the ranking of the engines differ between fleets.
    for round in 0..4 {
        let mut fleet = Fleet::start(2, 5, 0).await;
        // Long enough that the other copies wait at their owners before the first one crashes.
        let (restart, after) = (Duration::from_millis(1), Duration::from_millis(100));
        for number in 0..5 {
            let engine = fleet.engine(number);
            engine
                .crash_after(CRASH_TEXT, restart, after)
                .await
                .unwrap();
        }
        let copies = (0..6).map(|copy| send_crashing(&fleet, copy % 2));
        for reply in futures_util::future::join_all(copies).await {
            assert_ne!(reply.status, 200, "{}", reply.text());
        }
        // A copy may crash its engine after its caller has the answer.
        tokio::time::sleep(after * 2).await;
        let crashes = restart_crashed(&mut fleet).await;
        assert!(
            crashes <= STRIKES,
            "{crashes} engines crashed in round {round}"
        );
    }
}

/// Guards against a copy that blocks itself: it waits for a slot while another copy runs beside the
/// request that crashes the engine. This makes the waiting copy a suspect too, which must run
/// alone. It must not wait for the slot that it holds itself, and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_that_becomes_a_suspect_while_it_waits_is_answered() {
    const SLOTS: usize = 8;
    let mut fleet = Fleet::start(1, 1, 0).await;
    // A call may wait for half of the first-token target, here longer than the engine's restart
    // takes.
    let targets = Targets {
        first_token: 16.0,
        deadline: 30.0,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    let (restart, after) = (Duration::from_millis(1), Duration::from_millis(500));
    let engine = fleet.engine(0);
    engine
        .crash_after(CRASH_TEXT, restart, after)
        .await
        .unwrap();
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
    running.push(send(CRASH_TEXT));
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

/// Guards against a final answer that is delayed because it waits for a frozen router, which is the
/// arbiter that must record the strike.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_does_not_delay_the_answer_to_a_crashing_request() {
    // The request determines whether the frozen router is its arbiter.
    for round in 0..4 {
        let fleet = Fleet::start(2, 1, 0).await;
        enable_crash(&fleet, 0).await;
        fleet.routers[1].signal("STOP");
        let text = format!("{CRASH_TEXT}, round {round}");
        let start = Instant::now();
        let reply = fleet
            .caller
            .chat(fleet.caller_address(0), "poisoned", &[&text], true)
            .await;
        assert_ne!(reply.status, 200, "{}", reply.text());
        // Less than the 2 s after which a handshake with a frozen peer times out.
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        fleet.routers[1].signal("CONT");
    }
}
