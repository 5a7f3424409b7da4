//! A surge of calls of one customer neither starves other customers nor overloads an engine.

mod support;

use std::time::{Duration, Instant};
use support::Caller;
use support::fleet::{Fleet, OTHER_CALLER};

/// First-token target of the class `chat` in the tests.
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(2);
/// Slots of each engine.
const CAPACITY: u64 = 8;

/// Guards against a queue in which one customer's calls delay those of the others past their
/// target, against calls of the surge that wait instead of being refused with the time of the next
/// try, and against engines that get more calls than they have slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_surge_does_not_starve_other_customers() {
    let fleet = Fleet::start(2, 3, 0).await;
    for engine in 0..3 {
        fleet
            .engine(engine)
            .slow(Duration::from_millis(150))
            .await
            .unwrap();
    }
    let surge: Vec<_> = (0..300)
        .map(|number| {
            let (caller, address) = (fleet.caller.clone(), fleet.caller_address(number % 2));
            let id = format!("surge-{number}");
            tokio::spawn(async move {
                let start = Instant::now();
                let reply = caller.chat(address, &id, &["Scale it."], true).await;
                (reply, start.elapsed())
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let other = Caller::new(OTHER_CALLER);
    let mut answered = 0;
    for number in 0..10 {
        let start = Instant::now();
        let id = format!("other-{number}");
        let reply = other
            .chat(fleet.caller_address(number % 2), &id, &["Scale it."], true)
            .await;
        reply.assert_done();
        assert!(
            start.elapsed() < FIRST_TOKEN_TARGET,
            "call {number} took {:?}",
            start.elapsed()
        );
        answered += 1;
    }
    let mut refused = 0;
    for call in surge {
        let (reply, elapsed) = call.await.expect("the call ends");
        if reply.status == 200 {
            answered += 1;
            continue;
        }
        refused += 1;
        assert_eq!(reply.verdict(), "not-run", "{}", reply.text());
        assert!(!reply.header("retry-after").is_empty());
        assert!(elapsed < FIRST_TOKEN_TARGET, "a refusal took {elapsed:?}");
    }
    assert!(refused > 0, "none of 300 calls at once was refused");
    let mut runs = 0;
    for engine in 0..3 {
        let counters = fleet.engine(engine).counters().await.unwrap();
        assert!(counters.highest as u64 <= CAPACITY, "{counters:?}");
        runs += counters.runs;
    }
    assert_eq!(
        runs, answered,
        "each answered call ran once, no refused call ran"
    );
}
