//! Selection of endpoints for prompts and for requests to plain services.

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
            eligible: true,
            leaving: false,
            same_domain: index % 4 == 0,
            avoid: false,
            resting: false,
            excluded: false,
            limit: None,
            pace: 1.0,
        })
        .collect()
}

fn select(candidates: &[Candidate<'_>]) -> String {
    let choice = Placement::default().for_prompt(&SUBJECT, candidates);
    choice.expect("an endpoint").id
}

/// Guards against routers that process a new subject on several endpoints: they must choose the
/// same one without communication.
#[test]
fn routers_agree_on_a_new_subject() {
    let first = candidates(18);
    let preferred = select(&first);
    let mut second = candidates(18);
    second.reverse();
    for candidate in &mut second {
        candidate.requests = 5;
    }
    assert_eq!(select(&second), preferred);
}

/// Guards against preferring an endpoint that has only the system prompt of a subject cached.
/// Before, 3,649 thousand tokens were processed again on one day, with many subjects behind one
/// system prompt.
#[test]
fn a_part_that_all_subjects_share_does_not_attract() {
    let mut all = candidates(18);
    let preferred = select(&all);
    for candidate in all.iter_mut().filter(|c| c.id != preferred) {
        candidate.cached = 512;
        candidate.requests = 3;
    }
    assert_eq!(select(&all), preferred);
}

/// Guards against processing a hot prefix again: beyond the load bound, the next endpoint takes the
/// prompt and copies the cached prefix from the first one. One subject may have a quarter of the
/// traffic.
#[test]
fn a_hot_subject_spreads_by_copies() {
    let mut all = candidates(18);
    let preferred = select(&all);
    for candidate in all.iter_mut().filter(|c| c.id == preferred) {
        candidate.cached = 10_000;
        candidate.requests = 12;
    }
    let choice = Placement::default().for_prompt(&SUBJECT, &all);
    let choice = choice.expect("an endpoint");
    assert_ne!(choice.id, preferred);
    assert_eq!(choice.fetch, Some((preferred, 10_000)));
}

/// Guards against an uneven load on endpoints that have the same hot subject cached: the one with
/// the fewest requests takes the next prompt.
#[test]
fn the_least_loaded_holder_takes_a_hot_subject() {
    let mut all = candidates(18);
    for (id, requests) in [("e3", 6), ("e9", 2)] {
        for candidate in all.iter_mut().filter(|c| c.id == id) {
            candidate.cached = 10_000;
            candidate.requests = requests;
        }
    }
    assert_eq!(select(&all), "e9");
}

/// Guards against a cache that is lost in a rolling release: the next endpoint copies from the
/// leaving one while that still runs.
#[test]
fn a_leaving_endpoint_is_a_source_but_takes_nothing() {
    let mut all = candidates(18);
    let preferred = select(&all);
    for candidate in all.iter_mut().filter(|c| c.id == preferred) {
        candidate.cached = 10_000;
        candidate.leaving = true;
        candidate.requests = 0;
    }
    let choice = Placement::default().for_prompt(&SUBJECT, &all);
    let choice = choice.expect("an endpoint");
    assert_ne!(choice.id, preferred);
    assert_eq!(choice.fetch, Some((preferred, 10_000)));
}

/// Guards against an endpoint with more work than the load bound (twice the mean and 3) under
/// evenly growing traffic.
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

/// Guards against requests to failed endpoints while others remain, such as when a quarter of the
/// endpoints is down. Failed ones are tried only when no other is left.
#[test]
fn failed_endpoints_are_avoided_while_others_remain() {
    let mut all = candidates(4);
    let preferred = select(&all);
    for candidate in all.iter_mut().filter(|c| c.id == preferred) {
        candidate.avoid = true;
    }
    assert_ne!(select(&all), preferred);
    for candidate in &mut all {
        candidate.avoid = true;
    }
    assert_eq!(select(&all), preferred);
}

/// Guards against long queues: when all slots are taken, a short queue is filled, and further
/// requests are refused at once.
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

/// Guards against a burst of requests that overloads the near endpoint of a plain service: requests
/// spread over all endpoints, and the near one is preferred only while its queue is not longer.
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

/// Guards against an overload that spreads when a third of a service rests: if the other endpoints
/// got all its requests, they would ask for a rest, too. Requests beyond the bound of the whole
/// service are refused.
#[test]
fn resting_endpoints_do_not_overload_the_others() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.requests = 40;
    }
    for candidate in &mut all[..6] {
        candidate.resting = true;
        candidate.requests = 0;
    }
    // Two thirds of the endpoints run 40 requests in 48 slots: the mean is 27, and the bound is
    // below the slots.
    let mut sent = 0;
    while let Some(choice) = Placement::default().for_prompt(&SUBJECT, &all) {
        let chosen = all.iter_mut().find(|c| c.id == choice.id);
        let chosen = chosen.expect("a candidate");
        assert!(!chosen.resting);
        chosen.requests += 1;
        sent += 1;
        assert!(chosen.requests <= 60, "more than the slots and a quarter");
        assert!(sent < 1_000);
    }
    let max_requests = all.iter().map(|c| c.requests).max();
    assert!(max_requests <= Some(60));

    let mut endpoints = candidates(4);
    for endpoint in &mut endpoints {
        (endpoint.slots, endpoint.requests) = (6, 6);
    }
    endpoints[0].resting = true;
    let work = Duration::from_millis(50);
    let mut sent = 0;
    while let Some(choice) = Placement::default().for_service(sent, work, &endpoints) {
        let chosen = endpoints.iter_mut().find(|c| c.id == choice.id);
        chosen.expect("a candidate").requests += 1;
        sent += 1;
        assert!(sent < 1_000);
    }
    // Each slot of the others has one request running and one waiting.
    assert_eq!(sent, 3 * 6);
    // If no endpoint rests, the service itself decides which requests it accepts.
    endpoints[0].resting = false;
    assert!(
        Placement::default()
            .for_service(0, work, &endpoints)
            .is_some()
    );
}

/// Guards against requests to an endpoint that asked for a rest, even if all others are avoided.
#[test]
fn a_resting_endpoint_is_not_a_last_resort() {
    let mut all = candidates(3);
    all[0].resting = true;
    all[1].avoid = true;
    all[2].leaving = true;
    assert_eq!(select(&all), "e1");
    all[1].resting = true;
    assert!(Placement::default().for_prompt(&SUBJECT, &all).is_none());
    let work = Duration::from_millis(50);
    assert!(Placement::default().for_service(0, work, &all).is_none());
}

/// Guards against a selection that ends with an overflow because one endpoint is said to have almost
/// 2^32 slots or requests.
#[test]
fn the_largest_numbers_do_not_overflow() {
    let mut all = candidates(3);
    for candidate in &mut all {
        candidate.slots = u32::MAX;
    }
    select(&all);
    for candidate in &mut all {
        candidate.requests = u32::MAX - 1;
    }
    let choice = Placement::default().for_prompt(&SUBJECT, &all);
    let mean = choice.expect("an endpoint").mean;
    assert!((mean - f64::from(u32::MAX - 1)).abs() < 1.0, "{mean}");
}

/// Guards against callers whose streams are refused although endpoints of their version have free slots:
/// in a release the last few endpoints of a version get the streams that many routers had begun.
#[test]
fn a_stream_that_few_endpoints_may_run_is_not_refused_for_the_mean() {
    let mut all = candidates(18);
    for candidate in all.iter_mut().skip(2) {
        candidate.eligible = false;
        candidate.requests = 2;
    }
    all[0].requests = 20;
    all[1].requests = 12;
    let resumed = |all: &[Candidate<'_>]| {
        let placement = Placement {
            resumes: true,
            ..Placement::default()
        };
        let choice = placement.for_prompt(&SUBJECT, all);
        choice.map(|choice| choice.id)
    };
    assert_eq!(resumed(&all).as_deref(), Some("e1"));
    let mut stale = Placement {
        resumes: true,
        ..Placement::default()
    };
    for request_hash in 0..20 {
        stale.request_hash = Some(request_hash);
        let choice = stale.for_prompt(&SUBJECT, &all).expect("an endpoint");
        assert_eq!((choice.id.as_str(), choice.needs), ("e1", None));
    }
    all[1].requests = 60;
    assert_eq!(resumed(&all).as_deref(), Some("e0"));
    all[0].requests = 60;
    assert_eq!(resumed(&all), None);
}

/// Guards against new requests beyond the bound on load, which is given up only for streams that began
/// before.
#[test]
fn a_request_that_all_endpoints_may_run_keeps_the_bound() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.requests = 9;
        candidate.avoid = true;
    }
    all[0].requests = 200;
    all[0].avoid = false;
    assert_eq!(Placement::default().for_prompt(&SUBJECT, &all), None);
    all[1].eligible = false;
    assert_eq!(Placement::default().for_prompt(&SUBJECT, &all), None);
}

/// Guards against a slow endpoint that gets as much as the others because it has the prompt cached: a fifth of the
/// speed means a fifth of the bound.
#[test]
fn a_slow_holder_is_used_within_its_smaller_bound() {
    let mut all = candidates(18);
    for candidate in all.iter_mut().filter(|c| c.id == "e3") {
        candidate.cached = 10_000;
        candidate.pace = 5.0;
        candidate.requests = 1;
    }
    assert_eq!(select(&all), "e3");
    for candidate in all.iter_mut().filter(|c| c.id == "e3") {
        candidate.requests = 2;
    }
    assert_ne!(select(&all), "e3");
}

/// Guards against refusals while endpoints have free slots, because all of them are slow.
#[test]
fn slow_endpoints_are_used_if_there_are_no_others() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.pace = 8.0;
    }
    all[3].requests = 2;
    assert_eq!(select(&all), "e3");
}

/// Guards against requests that run on a slow server of a plain service although another one, which has more to
/// do, would answer sooner.
#[test]
fn a_plain_request_counts_its_own_time_on_a_slow_server() {
    let mut all = candidates(3);
    for candidate in &mut all {
        candidate.slots = 6;
        candidate.same_domain = true;
    }
    all[0].pace = 2.5;
    all[0].requests = 0;
    (all[1].requests, all[2].requests) = (5, 6);
    let choose = |all: &[Candidate<'_>]| {
        let choice = Placement::default().for_service(1, Duration::from_millis(50), all);
        choice.expect("a server").id
    };
    assert_eq!(choose(&all), "e1");
    (all[1].requests, all[2].requests) = (12, 12);
    assert_eq!(choose(&all), "e0");
}

/// Guards against a crowd: if all routers of a large fleet sent to the endpoint with the shortest wait in the same
/// old reports, it would get the requests of all until newer ones arrive.
#[test]
fn requests_with_stale_counts_are_spread_by_expected_time() {
    let mut all = candidates(3);
    for (candidate, requests) in all.iter_mut().zip([6, 12, 18]) {
        (candidate.slots, candidate.requests) = (6, requests);
    }
    let placement = Placement {
        draws: true,
        ..Placement::default()
    };
    let share = |all: &[Candidate<'_>], index: usize| {
        let work = Duration::from_millis(50);
        let drawn = (0..6000).filter_map(|hash| placement.for_service(hash, work, all));
        drawn.filter(|choice| choice.id == all[index].id).count() as f64 / 6000.0
    };
    let (shortest, longest) = (share(&all, 0), share(&all, 2));
    assert!((0.36..0.5).contains(&shortest), "{shortest}");
    assert!((0.18..0.3).contains(&longest), "{longest}");
    // An endpoint beyond the load bound gets nothing, and a slow one little.
    all[2].requests = 100;
    assert_eq!(share(&all, 2), 0.0);
    all[2].requests = 6;
    all[2].pace = 5.0;
    assert!(share(&all, 2) < 0.15);
}
