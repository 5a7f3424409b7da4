//! An endpoint that leaves gets no new work after the bound of 3 s.

mod support;

use sequoiaridge::fakes::platform::PlatformCommand;
use std::time::{Duration, Instant};
use support::fleet::Fleet;

/// The documented bound, `health.leave_bound`.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Sends chats through both routers for two seconds and returns how many calls engine 0 ran
/// meanwhile.
async fn runs_at_first(fleet: &Fleet) -> u64 {
    let before = fleet.engine(0).counters().await.unwrap().runs;
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(2) {
        let id = format!("chat-{number}");
        let reply = fleet
            .caller
            .chat(fleet.caller_address(number % 2), &id, &["Scale it."], false)
            .await;
        reply.assert_done();
        number += 1;
    }
    fleet.engine(0).counters().await.unwrap().runs - before
}

/// Guards against work for an engine that reports that it leaves while the membership list is not
/// up to date.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_leaving_gets_no_new_work() {
    let fleet = Fleet::start(2, 3, 0).await;
    assert!(runs_at_first(&fleet).await > 0);
    fleet.engine(0).leave().await.unwrap();
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(runs_at_first(&fleet).await, 0);
}

/// Guards against work for an engine whose departure only the membership list shows, while the
/// routers cannot read the list: the platform is down, and the engine does not answer probes.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_cannot_be_probed_gets_no_new_work() {
    let fleet = Fleet::start(2, 3, 0).await;
    fleet.send_command(PlatformCommand::Outage).await;
    fleet
        .engine(0)
        .silent(sequoiaridge::fakes::control::Scope::All)
        .await
        .unwrap();
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(runs_at_first(&fleet).await, 0);
}

/// Guards against work for an engine that was removed from the membership list.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_left_the_list_gets_no_new_work() {
    let mut fleet = Fleet::start(2, 3, 0).await;
    fleet.remove_member("engine-0");
    fleet.publish().await;
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(runs_at_first(&fleet).await, 0);
}

/// Guards against removed engines that still count as idle capacity: the load bound of the
/// remaining engine would be too low, and calls would wait although it has free slots.
#[tokio::test(flavor = "multi_thread")]
async fn removed_engines_do_not_lower_the_bound_of_the_others() {
    let mut fleet = Fleet::start(2, 3, 0).await;
    fleet.remove_member("engine-1");
    fleet.remove_member("engine-2");
    fleet.publish().await;
    tokio::time::sleep(LEAVE_BOUND).await;
    fleet
        .engine(0)
        .slow(Duration::from_millis(700))
        .await
        .unwrap();
    let start = Instant::now();
    let calls: Vec<_> = (0..8)
        .map(|number| fleet.spawn_chat(number % 2, &format!("chat-{number}"), false))
        .collect();
    for call in calls {
        let reply = call.await.expect("the call ends");
        reply.assert_done();
    }
    assert!(
        start.elapsed() < Duration::from_millis(1400),
        "{:?}",
        start.elapsed()
    );
}
