//! Where paces are learned, and what endpoints report themselves.

use sequoiaridge_edge::{EndpointLoad, Paces};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn load(pace_percent: Option<u32>) -> EndpointLoad {
    EndpointLoad {
        running: 1,
        waiting: 0,
        slots: 6,
        pace_percent,
    }
}

fn record_slow_answers(paces: &mut Paces, now: Duration) {
    for round in 0..200 {
        for (id, time) in [("a", 10), ("b", 10), ("c", 10), ("slow", 40)] {
            let at = now + Duration::from_millis(round);
            let time = Duration::from_millis(time);
            paces.record_answer("s", id, time, Some(&load(None)), at);
        }
    }
}

/// Guards against changes in deployments that do not call for learned speed, and against a service that goes on
/// learning a minute after its endpoints stopped reporting paces.
#[test]
fn paces_are_learned_only_where_that_is_on() {
    let mut paces = Paces::new();
    record_slow_answers(&mut paces, NOW);
    let later = NOW + Duration::from_millis(200);
    assert_eq!(paces.pace("s", "slow", later), 1.0);
    paces.record_load("s", "a", &load(Some(100)), later);
    record_slow_answers(&mut paces, later);
    let later = later + Duration::from_millis(200);
    assert!(paces.pace("s", "slow", later) > 2.0);
    assert_eq!(paces.pace("s", "b", later), 1.0);
    assert!(!paces.is_on("other", later));
    assert!(!paces.is_on("s", later + Duration::from_secs(60)));
}

/// Guards against samples of times that outweigh what the endpoint reports of its machine, and against a report
/// that counts for longer than the machine is slow, some 600 ms.
#[test]
fn a_reported_pace_counts_at_once_and_briefly() {
    let mut paces = Paces::new();
    paces.record_load("s", "a", &load(Some(250)), NOW);
    assert_eq!(paces.pace("s", "a", NOW), 2.5);
    let usual = Duration::from_millis(10);
    paces.record_answer("s", "a", usual, Some(&load(None)), NOW);
    assert_eq!(paces.pace("s", "a", NOW), 2.5);
    assert_eq!(paces.pace("s", "a", NOW + Duration::from_millis(600)), 1.0);
    paces.record_load("s", "a", &load(Some(100)), NOW + Duration::from_millis(100));
    assert_eq!(paces.pace("s", "a", NOW + Duration::from_millis(100)), 1.0);
}

/// Guards against a queue that passes for a slow machine: a request that waits for others takes longer.
#[test]
fn the_wait_in_a_queue_is_no_pace() {
    let mut paces = Paces::new();
    paces.learn_all(true);
    let waits = EndpointLoad {
        waiting: 12,
        ..load(None)
    };
    for round in 0..200 {
        let at = NOW + Duration::from_millis(round);
        for (id, time, load) in [
            ("a", 10, load(None)),
            ("b", 10, load(None)),
            ("c", 30, waits),
        ] {
            let time = Duration::from_millis(time);
            paces.record_answer("s", id, time, Some(&load), at);
        }
    }
    let later = NOW + Duration::from_millis(200);
    assert_eq!(paces.pace("s", "c", later), 1.0);
}
