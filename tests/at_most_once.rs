//! A booking runs at most once, whatever fails while callers send and repeat it.

mod support;

use futures_util::future::join_all;
use sequoiaridge::core::{Repeat, Targets};
use sequoiaridge::fakes::platform::PlatformCommand;
use std::time::Duration;
use support::eventually;
use support::fleet::Fleet;
use support::history::{History, Outcome};

/// Returns keys with this name and a number each.
fn numbered_keys(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

/// Makes one attempt with each key through each of the routers, all at the same time.
async fn book_all(history: &History, fleet: &Fleet, routers: &[usize], keys: &[String]) {
    let attempts = keys
        .iter()
        .flat_map(|key| routers.iter().map(move |router| (key, *router)));
    join_all(attempts.map(|(key, router)| history.book(fleet, router, key))).await;
}

/// Repeats keys until each is done, at most `times` times each, and returns those that are not,
/// with their outcomes.
async fn unfinished_keys(
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
    let unfinished = keys.iter().zip(done).filter(|(_, done)| !done);
    unfinished
        .map(|(key, _)| format!("{key}: {}", history.describe(key)))
        .collect()
}

/// Sets a deadline of a few seconds for the class `booking`, so that a test can wait until it has
/// passed.
async fn set_deadline(fleet: &Fleet, seconds: f64) {
    let targets = Targets {
        first_token: seconds / 2.0,
        deadline: seconds,
        repeat: Repeat::Never,
        ..Targets::default()
    };
    fleet.set_targets("booking", targets).await;
}

/// Guards against two claims on one key: several callers book the same order at the same time
/// through different routers.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_duplicates_run_once() {
    let fleet = Fleet::start(3, 0, 2).await;
    let history = History::new();
    let keys = numbered_keys("order", 16);
    for number in 0..2 {
        let slow = Duration::from_millis(200);
        fleet.service(number).slow(slow).await.unwrap();
    }
    book_all(&history, &fleet, &[0, 1, 2, 0, 1, 2], &keys).await;
    let unfinished = unfinished_keys(&history, &fleet, &[0, 1, 2], &keys, 50).await;
    assert_eq!(
        unfinished,
        Vec::<String>::new(),
        "keys that never became done"
    );
    history.check(&fleet).await;
}

/// Guards against a second run after the router that holds the claim is killed while the service
/// runs the call: no other router may take over the claim.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_leaves_its_claims_alone() {
    let mut fleet = Fleet::start(3, 0, 1).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered_keys("killed", 4);
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

    // The remaining routers take over the endpoint and serve new keys.
    let new = numbered_keys("after", 4);
    let unfinished = unfinished_keys(&history, &fleet, &others, &new, 100).await;
    assert_eq!(
        unfinished,
        Vec::<String>::new(),
        "new keys that never became done"
    );
    history.check(&fleet).await;
}

/// Guards against a holder that runs its calls although it was paused past every timeout: one is
/// paused between its claim and the dispatch, while callers go on through the other routers.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_holder_does_no_harm() {
    let fleet = Fleet::start(3, 0, 1).await;
    set_deadline(&fleet, 4.0).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered_keys("paused", 4);
    // Opens connections from the other routers to the holder. When it resumes, it finds calls on
    // them that were given up long ago.
    let before = numbered_keys("before", 8);
    book_all(&history, &fleet, &others, &before).await;
    // The claims wait at the platform and take effect while the holder is paused.
    fleet.send_command(PlatformCommand::Slow { ms: 2000 }).await;
    let holder = [owner];
    let pause = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.routers[owner].signal("STOP");
        fleet.send_command(PlatformCommand::Heal).await;
        // Longer than links.silence (3 s), health.leave_bound (3 s) and the deadline (4 s).
        let pause_end = tokio::time::sleep(Duration::from_secs(5));
        tokio::join!(book_all(&history, &fleet, &others, &keys), pause_end);
        let journal = fleet.journal().await;
        fleet.routers[owner].signal("CONT");
        journal
    };
    let ((), (), paused) = tokio::join!(
        book_all(&history, &fleet, &others[..1], &keys),
        book_all(&history, &fleet, &holder, &keys),
        pause,
    );
    let later = numbered_keys("later", 2);
    let unfinished = unfinished_keys(&history, &fleet, &holder, &later, 100).await;
    assert_eq!(
        unfinished,
        Vec::<String>::new(),
        "later keys that never became done"
    );
    history.check(&fleet).await;
    let mut journal = fleet.journal().await;
    journal.retain(|entry| !later.contains(&entry.key));
    assert_eq!(journal, paused, "calls ran after they were given up");
    // The claims were given up, so the keys are free.
    let unfinished = unfinished_keys(&history, &fleet, &[0, 1, 2], &keys, 50).await;
    assert_eq!(
        unfinished,
        Vec::<String>::new(),
        "keys that never became done"
    );
    history.check(&fleet).await;
}

/// Guards against a second run when a holder is paused while the service runs its call, and resumes
/// after the others have given it up.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_in_a_run_does_no_harm() {
    let fleet = Fleet::start(3, 0, 1).await;
    set_deadline(&fleet, 4.0).await;
    let history = History::new();
    let owner = fleet.owner_of("booking-0", 0).await;
    let others: Vec<usize> = (0..3).filter(|router| *router != owner).collect();
    let keys = numbered_keys("running", 4);
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
    // A router that resumes refuses all new attempts as not run until it has heard from a peer.
    let served = history
        .book_until_done(&fleet, &[owner], "awake", 100)
        .await;
    let outcomes = history.describe("awake");
    assert!(served, "the resumed router never served: {outcomes}");
    book_all(&history, &fleet, &[0, 1, 2], &keys).await;
    history.check(&fleet).await;
}

/// Guards against claims that are wrongly taken as held, or wrongly given up, when the platform
/// fails: it has an outage, is slow, loses the answers to writes, drops writes, or applies them
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_platform_causes_no_second_run() {
    let fleet = Fleet::start(3, 0, 2).await;
    set_deadline(&fleet, 1.5).await;
    let history = History::new();
    let failures = [
        ("outage", PlatformCommand::Outage),
        ("slow", PlatformCommand::Slow { ms: 300 }),
        ("lost", PlatformCommand::LoseAnswers { count: 12 }),
        ("dropped", PlatformCommand::DropWrites { count: 6 }),
        (
            "delayed",
            PlatformCommand::DelayWrites { ms: 400, count: 8 },
        ),
        (
            "late",
            PlatformCommand::DelayWrites {
                ms: 2000,
                count: 30,
            },
        ),
    ];
    let mut all = Vec::new();
    for (name, failure) in failures {
        let keys = numbered_keys(name, 6);
        fleet.send_command(failure).await;
        book_all(&history, &fleet, &[0, 1, 2], &keys).await;
        if name == "outage" {
            history.assert_none(Outcome::MayHaveRun);
        }
        fleet.send_command(PlatformCommand::Heal).await;
        history.check(&fleet).await;
        all.extend(keys);
    }
    // A write that takes effect after its claim was given up leaves the key claimed for good. The
    // keys of the other failures become done.
    let recoverable: Vec<String> = all
        .iter()
        .filter(|key| !key.starts_with("late") && !key.starts_with("delayed"))
        .cloned()
        .collect();
    let unfinished = unfinished_keys(&history, &fleet, &[0, 1, 2], &recoverable, 60).await;
    assert_eq!(
        unfinished,
        Vec::<String>::new(),
        "keys that never became done"
    );
    book_all(&history, &fleet, &[0, 1, 2], &all).await;
    history.check(&fleet).await;
}
