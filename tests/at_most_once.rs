//! A booking runs at most once, whatever fails while it is booked and repeated.

mod support;

use futures_util::future::join_all;
use sequoiaridge::core::{Repeat, Targets};
use sequoiaridge::fakes::platform::Order;
use std::time::Duration;
use support::eventually;
use support::fleet::Fleet;
use support::history::{History, Outcome};

fn numbered(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

/// Makes one attempt on each key through each of the routers, all at once.
async fn book_all(history: &History, fleet: &Fleet, routers: &[usize], keys: &[String]) {
    let attempts = keys
        .iter()
        .flat_map(|key| routers.iter().map(move |router| (key, *router)));
    join_all(attempts.map(|(key, router)| history.book(fleet, router, key))).await;
}

/// Repeats keys until each is done, and says which are not.
async fn finish(
    history: &History,
    fleet: &Fleet,
    routers: &[usize],
    keys: &[String],
    times: usize,
) -> Vec<String> {
    let done = keys
        .iter()
        .map(|key| history.book_until_done(fleet, routers, key, times));
    let done = join_all(done).await;
    let open = keys.iter().zip(done).filter(|(_, done)| !done);
    open.map(|(key, _)| format!("{key}: {}", history.describe(key)))
        .collect()
}

/// Seconds-long targets, so that a test can outlast the deadline of the class.
async fn short_deadline(fleet: &Fleet, seconds: f64) {
    let targets = Targets {
        first_token: seconds / 2.0,
        deadline: seconds,
        repeat: Repeat::Never,
        ..Targets::default()
    };
    fleet.set_targets("booking", targets).await;
}

/// Guards against two claims on one key: several callers book the same order at the same moment
/// through different routers.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_duplicates_run_once() {
    let fleet = Fleet::start(3, 0, 2).await;
    let history = History::new();
    let keys = numbered("order", 16);
    for number in 0..2 {
        let slow = Duration::from_millis(200);
        fleet.service(number).slow(slow).await.unwrap();
    }
    book_all(&history, &fleet, &[0, 1, 2, 0, 1, 2], &keys).await;
    let open = finish(&history, &fleet, &[0, 1, 2], &keys, 50).await;
    assert_eq!(open, Vec::<String>::new(), "keys that never became done");
    history.check(&fleet).await;
}

/// Guards against a second run after the router that holds the claim is killed while the service
/// runs the call: no other router may take the claim over.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_leaves_its_claims_alone() {
    let mut fleet = Fleet::start(3, 0, 1).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered("killed", 4);
    let slow = Duration::from_secs(3);
    fleet.service(0).slow(slow).await.unwrap();
    {
        let (fleet, history) = (&fleet, &history);
        let kill = async {
            eventually("the service runs every call", || async {
                fleet.journal().await.len() == keys.len()
            })
            .await;
            fleet.routers[owner].signal("KILL");
        };
        tokio::join!(book_all(history, fleet, &others[..1], &keys), kill);
    }
    fleet.routers[owner].wait();
    fleet.service(0).heal().await.unwrap();
    book_all(&history, &fleet, &others, &keys).await;
    history.check(&fleet).await;
    history.assert_none(Outcome::NotRun);

    // The routers that are left take over the endpoint and serve new keys.
    let new = numbered("after", 4);
    let open = finish(&history, &fleet, &others, &new, 100).await;
    assert_eq!(
        open,
        Vec::<String>::new(),
        "new keys that never became done"
    );
    history.check(&fleet).await;
}

/// Guards against a holder that wakes after a pause beyond every timeout and still believes that it
/// may run its calls: one is paused between its claim and the dispatch, while callers go on through
/// the other routers.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_holder_does_no_harm() {
    let fleet = Fleet::start(3, 0, 1).await;
    short_deadline(&fleet, 4.0).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered("paused", 4);
    // Opens connections from the other routers to the holder, on which it finds calls when it wakes
    // that have long been given up.
    let before = numbered("before", 8);
    book_all(&history, &fleet, &others, &before).await;
    // The claims wait at the platform while the holder is stopped, and take effect meanwhile.
    fleet.order(Order::Slow { ms: 2000 }).await;
    let holder = [owner];
    let pause = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.routers[owner].signal("STOP");
        fleet.order(Order::Heal).await;
        // Longer than links.silence (3 s), health.leave_bound (3 s) and the deadline (4 s).
        let outlast = tokio::time::sleep(Duration::from_secs(5));
        tokio::join!(book_all(&history, &fleet, &others, &keys), outlast);
        let journal = fleet.journal().await;
        fleet.routers[owner].signal("CONT");
        journal
    };
    let ((), (), paused) = tokio::join!(
        book_all(&history, &fleet, &others[..1], &keys),
        book_all(&history, &fleet, &holder, &keys),
        pause,
    );
    let later = numbered("later", 2);
    let open = finish(&history, &fleet, &holder, &later, 100).await;
    assert_eq!(
        open,
        Vec::<String>::new(),
        "later keys that never became done"
    );
    history.check(&fleet).await;
    let mut journal = fleet.journal().await;
    journal.retain(|entry| !later.contains(&entry.key));
    assert_eq!(journal, paused, "calls that ran after they were given up");
    // The claims were given up, so that the keys are free.
    let open = finish(&history, &fleet, &[0, 1, 2], &keys, 50).await;
    assert_eq!(open, Vec::<String>::new(), "keys that never became done");
    history.check(&fleet).await;
}

/// Guards against a second run when a holder is paused while the service runs its call, and wakes
/// after the others have given it up.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_in_a_run_does_no_harm() {
    let fleet = Fleet::start(3, 0, 1).await;
    short_deadline(&fleet, 4.0).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered("running", 4);
    let slow = Duration::from_millis(1500);
    fleet.service(0).slow(slow).await.unwrap();
    let pause = async {
        eventually("the service runs every call", || async {
            fleet.journal().await.len() == keys.len()
        })
        .await;
        fleet.routers[owner].signal("STOP");
        book_all(&history, &fleet, &others, &keys).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.routers[owner].signal("CONT");
    };
    tokio::join!(book_all(&history, &fleet, &others[..1], &keys), pause);
    history.assert_none(Outcome::NotRun);
    // Until it has heard a peer, a router that woke refuses new attempts as not run, whatever their
    // keys.
    let awake = history
        .book_until_done(&fleet, &[owner], "awake", 100)
        .await;
    let told = history.describe("awake");
    assert!(awake, "the router that woke never served: {told}");
    book_all(&history, &fleet, &[0, 1, 2], &keys).await;
    history.check(&fleet).await;
}

/// Guards against claims that are believed, or given up, wrongly when the platform fails: an outage,
/// slowness, and writes whose answers are lost, which are dropped, or which take effect late.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_platform_causes_no_second_run() {
    let fleet = Fleet::start(3, 0, 2).await;
    short_deadline(&fleet, 1.5).await;
    let history = History::new();
    let failures = [
        ("outage", Order::Outage),
        ("slow", Order::Slow { ms: 300 }),
        ("lost", Order::LoseAnswers { count: 12 }),
        ("dropped", Order::DropWrites { count: 6 }),
        ("delayed", Order::DelayWrites { ms: 400, count: 8 }),
        (
            "late",
            Order::DelayWrites {
                ms: 2000,
                count: 30,
            },
        ),
    ];
    let mut all = Vec::new();
    for (name, failure) in failures {
        let keys = numbered(name, 6);
        fleet.order(failure).await;
        book_all(&history, &fleet, &[0, 1, 2], &keys).await;
        if name == "outage" {
            history.assert_none(Outcome::MayHaveRun);
        }
        fleet.order(Order::Heal).await;
        history.check(&fleet).await;
        all.extend(keys);
    }
    // A write that takes effect after its claim was given up leaves the key claimed for good; keys
    // of the other failures become done.
    let certain: Vec<String> = all
        .iter()
        .filter(|key| !key.starts_with("late") && !key.starts_with("delayed"))
        .cloned()
        .collect();
    let open = finish(&history, &fleet, &[0, 1, 2], &certain, 60).await;
    assert_eq!(open, Vec::<String>::new(), "keys that never became done");
    book_all(&history, &fleet, &[0, 1, 2], &all).await;
    history.check(&fleet).await;
}
