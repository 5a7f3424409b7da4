//! Every caller gets the complete answer to its own request, and no part of another answer.

mod support;

use futures_util::future::join_all;
use sequoiaridge::fakes::engine::{expected_events, expected_text};
use sequoiaridge::fakes::service::expected_answer;
use std::time::Duration;
use support::fleet::Fleet;
use support::{Reply, chat_body};

const ROUTERS: usize = 3;
const CALLERS: usize = 24;
const ROUNDS: usize = 4;

/// Numbers of calls by how they ended; a broken answer counts as refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Ends {
    done: usize,
    refused: usize,
}

impl Ends {
    /// Adds up the numbers.
    fn sum(all: impl IntoIterator<Item = Ends>) -> Ends {
        all.into_iter().fold(Ends::default(), |sum, ends| Ends {
            done: sum.done + ends.done,
            refused: sum.refused + ends.refused,
        })
    }
}

/// Repeats a call while it is refused as not run, as happens when endpoints are at their load
/// bounds, at most 50 times.
async fn call_until_run<Fut: Future<Output = Reply>>(call: impl Fn() -> Fut) -> Reply {
    let mut reply = call().await;
    for _ in 0..50 {
        if reply.verdict() != "not-run" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        reply = call().await;
    }
    reply
}

/// Sends the turns of one caller's chat, each with all turns before it, and checks every answer
/// byte by byte.
async fn chat(fleet: &Fleet, run: &str, caller: usize) -> Ends {
    let mut ends = Ends::default();
    let texts: Vec<String> = (0..ROUNDS)
        .map(|round| format!("{run}: caller {caller} asks for dish {round}."))
        .collect();
    for round in 0..ROUNDS {
        let turns: Vec<&str> = texts[..=round].iter().map(String::as_str).collect();
        let stream = (caller + round).is_multiple_of(2);
        let address = fleet.caller_address((caller + round) % ROUTERS);
        let id = format!("{run}-{caller}");
        let call = || fleet.caller.chat(address, &id, &turns, stream);
        let reply = call_until_run(call).await;
        let body = chat_body(&turns, stream);
        let text = reply.text();
        if reply.verdict() != "done" {
            assert!(reply.status >= 400, "{text}");
            ends.refused += 1;
        } else if reply.body_error.is_some() {
            assert!(stream && !text.contains("[DONE]"), "{text}");
            ends.refused += 1;
        } else if stream {
            let expected = expected_events(body.as_bytes()).expect("a chat");
            assert_eq!(
                text,
                String::from_utf8(expected).unwrap(),
                "not the answer to {id}"
            );
            ends.done += 1;
        } else {
            let expected = expected_text(body.as_bytes()).expect("a chat");
            let answer = reply.json();
            assert_eq!(
                answer["choices"][0]["message"]["content"], expected,
                "{id}: {text}"
            );
            ends.done += 1;
        }
    }
    ends
}

/// Sends one caller's bookings and checks every answer byte by byte.
async fn book(fleet: &Fleet, run: &str, caller: usize) -> Ends {
    let mut ends = Ends::default();
    for round in 0..ROUNDS {
        let key = format!("{run}-{caller}-{round}");
        let order = format!(r#"{{"for":"{key}"}}"#);
        let address = fleet.caller_address((caller + round) % ROUTERS);
        let call = || async { fleet.caller.book(address, &key, &order).await.unwrap() };
        let reply = call_until_run(call).await;
        if reply.verdict() != "done" {
            assert!(reply.status >= 400, "{}", reply.text());
            ends.refused += 1;
            continue;
        }
        let expected = expected_answer("booking", "POST", "/orders", order.as_bytes());
        assert_eq!(
            reply.text(),
            String::from_utf8(expected).unwrap(),
            "not the answer to {key}"
        );
        ends.done += 1;
    }
    ends
}

/// Runs all callers at the same time and returns how their chats and their bookings ended.
async fn run_callers(fleet: &Fleet, name: &str) -> (Ends, Ends) {
    let chats = join_all((0..CALLERS).map(|caller| chat(fleet, name, caller)));
    let bookings = join_all((0..CALLERS / 3).map(|caller| book(fleet, name, caller)));
    let (chats, bookings) = tokio::join!(chats, bookings);
    (Ends::sum(chats), Ends::sum(bookings))
}

/// Guards against answers that reach the wrong caller, and against answers that mix parts of two,
/// when many callers share the routers and the connections between them.
#[tokio::test(flavor = "multi_thread")]
async fn many_callers_get_their_own_answers() {
    let fleet = Fleet::start(ROUTERS, 3, 2).await;
    let (chats, bookings) = run_callers(&fleet, "calm").await;
    let all = |calls| Ends {
        done: calls,
        refused: 0,
    };
    assert_eq!(chats, all(CALLERS * ROUNDS));
    assert_eq!(bookings, all(CALLERS / 3 * ROUNDS));
}

/// Guards against wrong answers of endpoints that are passed on to the caller: answers to other
/// requests, duplicates and late answers.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_answers_of_endpoints_are_not_passed_on() {
    let fleet = Fleet::start(ROUTERS, 3, 2).await;
    for number in 0..3 {
        let engine = fleet.engine(number);
        engine.crossed(3).await.unwrap();
        engine.duplicate(6).await.unwrap();
        engine.late(Duration::from_millis(300), 8).await.unwrap();
    }
    for number in 0..2 {
        let service = fleet.service(number);
        service.crossed(2).await.unwrap();
        service.duplicate(5).await.unwrap();
        service.late(Duration::from_millis(300), 4).await.unwrap();
    }
    let (chats, bookings) = run_callers(&fleet, "faulty").await;
    // Each engine sends at most 6 wrong answers and each service 5, and only a call that meets one
    // is refused. Chats are retried within the retry budget and the load bounds; bookings are not.
    assert!(chats.refused <= 18, "{chats:?}");
    let wrong = 1..=10;
    assert!(wrong.contains(&bookings.refused), "{bookings:?}");

    let (chats, bookings) = run_callers(&fleet, "healed").await;
    assert_eq!((chats.refused, bookings.refused), (0, 0));
}
