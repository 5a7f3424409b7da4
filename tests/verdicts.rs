//! Callers are told "not run" only if nothing ran, and no incomplete answer looks complete.

mod support;

use sequoiaridge::core::Targets;
use sequoiaridge::fakes::control::{Scope, Stage};
use sequoiaridge::fakes::engine::expected_events;
use sequoiaridge::fakes::platform::PlatformCommand;
use support::fleet::Fleet;
use support::history::{History, Outcome};
use support::{Reply, chat_body, eventually, long_chat_body};

const STAGES: [Stage; 4] = [
    Stage::BeforeHead,
    Stage::AfterHead,
    Stage::MidBody,
    Stage::BeforeEnd,
];
/// More requests than any call of these tests causes, so that a fault applies to all of them.
const ALL_REQUESTS: u32 = 1000;

/// Checks that a streamed answer is complete and right, or shows that it is incomplete.
fn check_stream(reply: &Reply, body: &str) {
    let expected = expected_events(body.as_bytes()).expect("a chat");
    let text = reply.text();
    if reply.status == 200 && reply.body_error.is_none() {
        assert_eq!(
            reply.body, expected,
            "a complete answer differs from the engine's"
        );
        return;
    }
    assert!(
        !text.contains("[DONE]"),
        "an incomplete answer looks complete: {text}"
    );
    if reply.status != 200 {
        assert_ne!(reply.verdict(), "done", "{text}");
        return;
    }
    let events = text.split_inclusive("\n\n");
    let tokens: String = events
        .filter(|event| !event.contains("\"error\""))
        .collect();
    let expected = String::from_utf8(expected).unwrap();
    assert!(expected.starts_with(&tokens), "wrong tokens: {text}");
}

/// Returns how many calls the engines ran together.
async fn engine_runs(fleet: &Fleet) -> u64 {
    let mut runs = 0;
    for number in 0..fleet.engines.len() {
        runs += fleet.engine(number).counters().await.unwrap().runs;
    }
    runs
}

/// Returns how many streams the engines resumed together.
async fn resumed_streams(fleet: &Fleet) -> u64 {
    let mut resumed = 0;
    for number in 0..fleet.engines.len() {
        resumed += fleet.engine(number).counters().await.unwrap().resumed;
    }
    resumed
}

/// Guards against "not run" for a booking that ran, and against an incomplete answer that is passed
/// on as complete: the service's connection is cut at every stage.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_booking_may_have_run() {
    let fleet = Fleet::start(2, 0, 1).await;
    let history = History::new();
    for stage in STAGES {
        for router in [0, 1] {
            let key = format!("{stage:?}-{router}");
            fleet.service(0).cut(stage, 1).await.unwrap();
            let outcome = history.book(&fleet, router, &key).await;
            assert_eq!(outcome, Outcome::MayHaveRun, "{key}");
            assert_eq!(fleet.runs_of(&key).await, 1, "{key}");
            let outcome = history.book(&fleet, 1 - router, &key).await;
            assert_eq!(outcome, Outcome::MayHaveRun, "{key} again");
        }
    }
    history.check(&fleet).await;
}

/// Guards against claims that outlive a refusal: if a service refuses a call before it runs, or
/// nothing listens at its address, the key becomes free and the caller is told that nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_booking_was_not_run() {
    let mut fleet = Fleet::start(2, 0, 1).await;
    let history = History::new();
    for router in [0, 1] {
        let key = format!("refused-{router}");
        fleet.service(0).refuse(ALL_REQUESTS).await.unwrap();
        let outcome = history.book(&fleet, router, &key).await;
        assert_eq!(outcome, Outcome::NotRun, "{key}");
        assert_eq!(fleet.runs_of(&key).await, 0, "{key}");
        fleet.service(0).heal().await.unwrap();
        // The key is free as soon as the caller has the answer.
        let outcome = history.book(&fleet, 1 - router, &key).await;
        assert!(
            matches!(outcome, Outcome::Done(_)),
            "{key} again: {outcome:?}"
        );
    }
    history.check(&fleet).await;

    fleet.services[0].signal("KILL");
    fleet.services[0].wait();
    for router in [0, 1] {
        let outcome = history
            .book(&fleet, router, &format!("dead-{router}"))
            .await;
        assert_eq!(outcome, Outcome::NotRun, "nothing listens at the address");
    }
}

/// Guards against "not run" for a call that a lost peer still holds, and against a run of that call
/// long after everyone gave it up: the owner is paused, the platform is down for the others, and
/// then both return.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_lost_at_a_paused_owner_may_have_run() {
    // The pause is longer than the silence bound of links and the deadline, but shorter than
    // health.leave_bound (3 s): after that, the owner would not run the call when it resumes.
    let settings = "links: {silence: 0.6, keepalive: 0.2}";
    let fleet = Fleet::start_with(3, 0, 1, settings).await;
    let targets = Targets {
        first_token: 1.0,
        deadline: 1.5,
        repeat: sequoiaridge::core::Repeat::Never,
        ..Targets::default()
    };
    fleet.set_targets("booking", targets).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let other = (owner + 1) % 3;
    // Opens connections from the other router to the owner.
    assert!(
        history
            .book_until_done(&fleet, &[other], "before", 20)
            .await
    );
    fleet.routers[owner].signal("STOP");
    fleet.send_command(PlatformCommand::Outage).await;
    let outcome = history.book(&fleet, other, "lost").await;
    assert_eq!(
        outcome,
        Outcome::MayHaveRun,
        "the owner may still run the call"
    );
    fleet.send_command(PlatformCommand::Heal).await;
    fleet.routers[owner].signal("CONT");
    // The owner reads the lost call before it serves these.
    for after in ["after-0", "after-1", "after-2"] {
        let through = [owner];
        let done = history.book_until_done(&fleet, &through, after, 100);
        assert!(done.await, "{after} was never answered as done");
    }
    assert_eq!(fleet.runs_of("lost").await, 0, "the lost call ran");
    let through = [other];
    let done = history.book_until_done(&fleet, &through, "lost", 100);
    assert!(done.await, "the key never became free");
    history.check(&fleet).await;
}

/// Guards against incomplete streams that end like complete ones, and against lost or repeated
/// events: the engines cut one connection at every stage, and the stream is resumed, or sent again
/// if it had no token yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_once_becomes_whole() {
    let fleet = Fleet::start(2, 2, 0).await;
    for stage in STAGES {
        for router in [0, 1] {
            let id = format!("{stage:?}-{router}");
            let body = chat_body(&[&id], true);
            let (runs, resumes) = (engine_runs(&fleet).await, resumed_streams(&fleet).await);
            // Only one of the engines gets the chat, so the other one's fault remains until it is
            // healed.
            fleet.engine(0).cut(stage, 1).await.unwrap();
            fleet.engine(1).cut(stage, 1).await.unwrap();
            let address = fleet.caller_address(router);
            let reply = fleet
                .caller
                .send_chat(address, &id, body.clone())
                .await
                .unwrap();
            fleet.engine(0).heal().await.unwrap();
            fleet.engine(1).heal().await.unwrap();
            let text = reply.text();
            assert_eq!(
                (reply.status, reply.body_error.clone()),
                (200, None),
                "{id}: {text}"
            );
            check_stream(&reply, &body);
            let runs = engine_runs(&fleet).await - runs;
            let resumes = resumed_streams(&fleet).await - resumes;
            if stage == Stage::BeforeHead {
                assert!(runs > 1, "{id} was not retried");
            } else {
                assert_eq!((runs, resumes), (1, 1), "{id} was not resumed");
            }
        }
    }
}

/// Guards against streams that wait forever on a connection that fell silent, while new connections
/// to the engine work.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_silent_connection_is_resumed() {
    let fleet = Fleet::start(2, 1, 0).await;
    // An engine that has sent everything closes an idle connection after 5 s. A call that waits for
    // that misses its deadline.
    let targets = Targets {
        first_token: 2.0,
        deadline: 5.5,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    let engine = fleet.engine(0);
    for router in [0, 1] {
        let id = format!("silent-{router}");
        let body = long_chat_body(&[&id], true, 300);
        let tokens = engine.counters().await.unwrap().output_tokens;
        let (call, ()) = tokio::join!(
            fleet
                .caller
                .send_chat(fleet.caller_address(router), &id, body.clone()),
            async {
                eventually("tokens are generated", || async {
                    engine.counters().await.unwrap().output_tokens > tokens + 50
                })
                .await;
                engine.silent(Scope::Open).await.unwrap();
            }
        );
        let reply = call.expect("a head");
        check_stream(&reply, &body);
        assert_eq!(reply.body_error, None, "{}", reply.text());
        engine.heal().await.unwrap();
    }
    assert_eq!(
        (engine_runs(&fleet).await, resumed_streams(&fleet).await),
        (2, 2)
    );
}

/// Guards against retries after the first token, and against incomplete streams that look complete:
/// the engines cut every connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_ends_as_broken() {
    let fleet = Fleet::start(2, 2, 0).await;
    for stage in STAGES {
        for number in [0, 1] {
            fleet.engine(number).cut(stage, ALL_REQUESTS).await.unwrap();
        }
        for router in [0, 1] {
            let id = format!("{stage:?}-{router}");
            let body = chat_body(&[&id], true);
            let runs = engine_runs(&fleet).await;
            let address = fleet.caller_address(router);
            let reply = fleet
                .caller
                .send_chat(address, &id, body.clone())
                .await
                .unwrap();
            check_stream(&reply, &body);
            let runs = engine_runs(&fleet).await - runs;
            let text = reply.text();
            if matches!(stage, Stage::BeforeHead | Stage::AfterHead) {
                assert_eq!(reply.verdict(), "may-have-run", "{id}: {text}");
                assert!((2..=4).contains(&runs), "{id}: {runs} runs");
            } else {
                assert!(
                    reply.body_error.is_some(),
                    "{id} ended like a complete stream: {text}"
                );
                assert!(
                    text.contains("may-have-run"),
                    "{id}: no error event: {text}"
                );
                assert_eq!(runs, 1, "{id} ran again after its first token");
            }
        }
    }
}

/// Guards against "not run" for a chat whose first attempt broke and whose second one was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_a_run() {
    let fleet = Fleet::start(2, 2, 0).await;
    // Two attempts: 1 + ceil(log10(1 / (1 - 0.9))).
    let targets = Targets {
        answered: 0.9,
        first_token: 2.0,
        deadline: 20.0,
        ..Targets::default()
    };
    fleet.set_targets("chat", targets).await;
    for (number, stream) in [(0, true), (1, false), (2, true), (3, false)] {
        let id = format!("chat-{number}");
        let address = fleet.caller_address(number % 2);
        let first = fleet.caller.chat(address, &id, &["before"], stream).await;
        assert_eq!(first.verdict(), "done", "{}", first.text());
        let home = usize::from(first.header("x-engine-id") == "engine-1");
        fleet.engine(home).cut(Stage::BeforeHead, 1).await.unwrap();
        fleet.engine(1 - home).refuse(1).await.unwrap();
        let before = engine_runs(&fleet).await;
        let reply = fleet.caller.chat(address, &id, &["then"], stream).await;
        assert_eq!(engine_runs(&fleet).await - before, 1, "{}", reply.text());
        assert_eq!(reply.verdict(), "may-have-run", "{}", reply.text());
        fleet.engine(0).heal().await.unwrap();
        fleet.engine(1).heal().await.unwrap();
    }
}

/// Guards against incomplete streams that end like complete ones when a router on their path is
/// killed: the one that the caller asked, or the owner of the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_through_a_killed_router_ends_as_broken() {
    for kill_owner in [true, false] {
        let mut fleet = Fleet::start(3, 1, 0).await;
        let owner = fleet.owner_of("engine-0", 0).await;
        let asked = (owner + 1) % 3;
        let body = long_chat_body(&["A long answer."], true, 1000);
        let engine = fleet.engine(0);
        let victim = if kill_owner { owner } else { asked };
        let (call, ()) = tokio::join!(
            fleet
                .caller
                .send_chat(fleet.caller_address(asked), "long", body.clone()),
            async {
                eventually("tokens are generated", || async {
                    engine.counters().await.unwrap().output_tokens > 100
                })
                .await;
                fleet.routers[victim].signal("KILL");
            }
        );
        fleet.routers[victim].wait();
        let reply = call.expect("a head");
        check_stream(&reply, &body);
        assert!(
            reply.body_error.is_some(),
            "the stream ended like a complete one: {}",
            reply.text()
        );
        if kill_owner {
            assert!(reply.text().contains("may-have-run"), "{}", reply.text());
        }
        // The remaining routers serve the same chat.
        let other = (0..3).find(|router| *router != victim).unwrap();
        eventually("the chat is answered", || async {
            let sent = fleet
                .caller
                .chat(fleet.caller_address(other), "long", &["Again."], true);
            sent.await.status == 200
        })
        .await;
    }
}
