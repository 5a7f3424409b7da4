//! Where prompts and requests of plain services go. Each test names the pattern of load it answers.

use sequoiaridge_edge::{Candidate, Placement, Subject};
use std::collections::BTreeMap;
use std::time::Duration;

const SUBJECT: Subject = Subject {
    key: 7,
    tokens: 10_000,
};

const IDS: [&str; 18] = [
    "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12", "e13", "e14",
    "e15", "e16", "e17",
];

fn candidates(count: usize) -> Vec<Candidate<'static>> {
    (0..count)
        .map(|index| Candidate {
            id: IDS[index],
            slots: 48,
            requests: 4,
            unread: 0,
            cached: 0,
            leaving: false,
            same_domain: index % 4 == 0,
            avoid: false,
            resting: false,
        })
        .collect()
}

fn placed(candidates: &[Candidate<'_>]) -> String {
    let choice = Placement::default().for_prompt(&SUBJECT, candidates);
    choice.expect("an endpoint").id
}

/// New subjects asked at several routers at once: all must choose the same endpoint without a word.
#[test]
fn routers_agree_on_a_new_subject() {
    let first = candidates(18);
    let home = placed(&first);
    let mut second = candidates(18);
    second.reverse();
    for candidate in &mut second {
        candidate.requests = 5;
    }
    assert_eq!(placed(&second), home);
}

/// Many subjects behind one system prompt: an endpoint that has only the system prompt is no home of
/// the subject. Before, 3,649 thousand tokens were read again on one day.
#[test]
fn a_part_that_all_subjects_share_does_not_attract() {
    let mut all = candidates(18);
    let home = placed(&all);
    for candidate in all.iter_mut().filter(|c| c.id != home) {
        candidate.cached = 512;
        candidate.requests = 3;
    }
    assert_eq!(placed(&all), home);
}

/// One subject with a quarter of the traffic: beyond the bound the next endpoint takes it, and copies
/// what the first one has in place of reading it.
#[test]
fn a_hot_subject_spreads_by_copies() {
    let mut all = candidates(18);
    let home = placed(&all);
    for candidate in all.iter_mut().filter(|c| c.id == home) {
        candidate.cached = 10_000;
        candidate.requests = 12;
    }
    let choice = Placement::default().for_prompt(&SUBJECT, &all);
    let choice = choice.expect("an endpoint");
    assert_ne!(choice.id, home);
    assert_eq!(choice.fetch, Some((home, 10_000)));
}

/// A hot subject with several homes: the one with the least work takes the next prompt.
#[test]
fn holders_share_a_hot_subject() {
    let mut all = candidates(18);
    for (id, requests) in [("e3", 6), ("e9", 2)] {
        for candidate in all.iter_mut().filter(|c| c.id == id) {
            candidate.cached = 10_000;
            candidate.requests = requests;
        }
    }
    assert_eq!(placed(&all), "e9");
}

/// A release that replaces one endpoint after the other: the next home copies from the leaving one
/// while it is still there.
#[test]
fn a_leaving_endpoint_is_a_source_but_takes_nothing() {
    let mut all = candidates(18);
    let home = placed(&all);
    for candidate in all.iter_mut().filter(|c| c.id == home) {
        candidate.cached = 10_000;
        candidate.leaving = true;
        candidate.requests = 0;
    }
    let choice = Placement::default().for_prompt(&SUBJECT, &all);
    let choice = choice.expect("an endpoint");
    assert_ne!(choice.id, home);
    assert_eq!(choice.fetch, Some((home, 10_000)));
}

/// Traffic that grows evenly: no endpoint gets work beyond the bound on load (twice the mean and 3).
#[test]
fn no_endpoint_is_loaded_beyond_the_multiple_of_the_mean() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.requests = 0;
    }
    for key in 0..2_000 {
        let subject = Subject {
            key: key % 40,
            tokens: 10_000,
        };
        let Some(choice) = Placement::default().for_prompt(&subject, &all) else {
            break;
        };
        let total: u32 = all.iter().map(|candidate| candidate.requests).sum();
        let mean = f64::from(total) / all.len() as f64;
        for candidate in all.iter_mut().filter(|c| c.id == choice.id) {
            candidate.requests += 1;
            assert!(f64::from(candidate.requests) <= 2.0 * mean + 3.0);
        }
    }
}

/// A quarter of the servers down: those that failed are left out while others remain, and tried when
/// none does.
#[test]
fn failed_endpoints_are_avoided_while_others_remain() {
    let mut all = candidates(4);
    let home = placed(&all);
    for candidate in all.iter_mut().filter(|c| c.id == home) {
        candidate.avoid = true;
    }
    assert_ne!(placed(&all), home);
    for candidate in &mut all {
        candidate.avoid = true;
    }
    assert_eq!(placed(&all), home);
}

/// All places taken: a short queue is filled, and beyond it the request is not placed, so that it is
/// refused at once.
#[test]
fn a_full_group_takes_no_more_than_a_short_queue() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.requests = candidate.slots;
    }
    assert!(Placement::default().for_prompt(&SUBJECT, &all).is_some());
    for candidate in &mut all {
        candidate.requests = candidate.slots + candidate.slots / 4;
    }
    assert_eq!(Placement::default().for_prompt(&SUBJECT, &all), None);
}

/// A burst of orders: requests of a plain service spread over its endpoints, and the near one only
/// wins while its queue is not longer.
#[test]
fn plain_requests_go_where_the_wait_is_shortest() {
    let mut all = candidates(4);
    for candidate in &mut all {
        candidate.slots = 6;
        candidate.requests = 0;
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for draw in 0..24 {
        let work = Duration::from_millis(60);
        let choice = Placement::default().for_service(draw, work, &all);
        let choice = choice.expect("an endpoint");
        for candidate in all.iter_mut().filter(|c| c.id == choice.id) {
            candidate.requests += 1;
        }
        *counts.entry(choice.id).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (5..=7).contains(count)),
        "{counts:?}"
    );
}

/// Pattern: a third of a service rests under load. Their share must not fill the others, which would then
/// ask for a rest, too: what is beyond the bound of the whole service is refused.
#[test]
fn endpoints_that_rest_do_not_tip_the_others_over() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.requests = 40;
    }
    for candidate in &mut all[..6] {
        candidate.resting = true;
        candidate.requests = 0;
    }
    // 40 of 48 slots at two thirds: a mean of 27, and a bound that is below their slots.
    let mut sent = 0;
    while let Some(choice) = Placement::default().for_prompt(&SUBJECT, &all) {
        let chosen = all.iter_mut().find(|c| c.id == choice.id);
        let chosen = chosen.expect("a candidate");
        assert!(!chosen.resting);
        chosen.requests += 1;
        sent += 1;
        assert!(chosen.requests <= 60, "more than slots and a quarter");
        assert!(sent < 1_000);
    }
    let fullest = all.iter().map(|c| c.requests).max();
    assert!(fullest <= Some(60));

    let mut apps = candidates(4);
    for app in &mut apps {
        (app.slots, app.requests) = (6, 6);
    }
    apps[0].resting = true;
    let work = Duration::from_millis(50);
    let mut sent = 0;
    while let Some(choice) = Placement::default().for_service(sent, work, &apps) {
        let chosen = apps.iter_mut().find(|c| c.id == choice.id);
        chosen.expect("a candidate").requests += 1;
        sent += 1;
        assert!(sent < 1_000);
    }
    // Each of the others has one turn in its slots and one that waits.
    assert_eq!(sent, 3 * 6);
    // Without a rest the service decides itself what it takes.
    apps[0].resting = false;
    assert!(Placement::default().for_service(0, work, &apps).is_some());
}

/// Guards against requests to an endpoint that asked for a rest because all others are avoided.
#[test]
fn an_endpoint_that_rests_is_no_last_resort() {
    let mut all = candidates(3);
    all[0].resting = true;
    all[1].avoid = true;
    all[2].leaving = true;
    assert_eq!(placed(&all), "e1");
    all[1].resting = true;
    assert!(Placement::default().for_prompt(&SUBJECT, &all).is_none());
    let work = Duration::from_millis(50);
    assert!(Placement::default().for_service(0, work, &all).is_none());
}
