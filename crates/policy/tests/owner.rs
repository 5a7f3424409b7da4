//! Tests of the single placement rules of an owner.

mod common;

use common::{admit, call, endpoint, forward, ids, ms, owner};
use sequoiaridge_core::RefusalReason;
use sequoiaridge_policy::{
    Call, ClassPolicy, EndpointInfo, EndpointState, LoadBound, OwnerConfig, Placement,
};
use std::time::Duration;

const QUEUED: Placement = Placement::Queued { shed: None };

fn reason(placement: Placement) -> Option<RefusalReason> {
    match placement {
        Placement::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

/// A configuration whose bound never applies, so that only the capacity limits an endpoint.
fn unbounded() -> OwnerConfig {
    let bound = LoadBound { multiple: 100.0 };
    OwnerConfig::builder().bound(bound).build()
}

/// Guards against new work for an endpoint that is leaving or down, or whose last probe is too old
/// (H5).
#[test]
fn only_open_endpoints_admit() {
    let (mut owner, now) = owner(unbounded(), &["a"], &[], 4);
    let list = ids(&["a"]);
    assert_eq!(owner.place(&call(1, "c", now), &list, 0, now), admit("a"));
    let late = now + ms(3_001);
    let placed = owner.place(&call(2, "c", late), &list, 0, late);
    assert_eq!(reason(placed), Some(RefusalReason::NoEndpoint));
    owner.record_probe("a", 1, late);
    for state in [EndpointState::Leaving, EndpointState::Down] {
        owner.set_state("a", state, late);
        let placed = owner.place(&call(2, "c", late), &list, 0, late);
        assert_eq!(reason(placed), Some(RefusalReason::NoEndpoint));
    }
    owner.set_state("a", EndpointState::Up, late);
    assert_eq!(owner.place(&call(2, "c", late), &list, 0, late), admit("a"));
}

/// Guards against a chat that is placed without regard to the chat index, and against asking more
/// owners than allowed.
#[test]
fn displaced_calls_go_to_the_index_then_by_rank() {
    let (mut owner, now) = owner(unbounded(), &["a", "d"], &["b", "c", "x"], 1);
    let list = ids(&["a", "b", "c"]);
    assert_eq!(owner.place(&call(1, "c", now), &list, 0, now), admit("a"));
    let next = call(2, "c", now);
    assert_eq!(
        owner.place(&next, &list, 0, now),
        forward("b", &["c", "a"], false)
    );
    owner.record_chat(2, "x", now);
    assert_eq!(
        owner.place(&next, &list, 0, now),
        forward("x", &["b", "c", "a"], false)
    );
    // The third owner does not ask a fourth one.
    let placed = owner.place(&next, &ids(&["a", "b"]), 2, now);
    assert_eq!(reason(placed), Some(RefusalReason::Overload));
    // All have refused: the first owner uses what it has, then lets calls wait.
    assert_eq!(owner.place(&next, &list, 3, now), admit("d"));
    assert_eq!(owner.place(&call(3, "c", now), &list, 3, now), QUEUED);
    let started = owner.finish(1, now + ms(10));
    assert_eq!(started[0].ticket, 3);
    // The endpoint in the index is asked although the first-ranked endpoint has room, because the
    // first-ranked endpoint does not cache the chat's context.
    owner.finish(3, now + ms(20));
    owner.record_chat(2, "x", now + ms(20));
    let back = Call { ticket: 4, ..next };
    assert_eq!(
        owner.place(&back, &list, 0, now + ms(20)),
        forward("x", &["a", "b", "c"], false)
    );
    // After the others have refused, the chat moves to the first-ranked endpoint and stays there.
    assert_eq!(owner.place(&back, &list, 3, now + ms(20)), admit("a"));
    owner.finish(4, now + ms(30));
    let next = Call { ticket: 5, ..back };
    assert_eq!(owner.place(&next, &list, 0, now + ms(30)), admit("a"));
}

/// Guards against calls that a draining router refuses as overload: it gave up its endpoints while
/// the call came back from other owners that had no room, and the new owner has a queue.
#[test]
fn a_router_that_gave_up_its_endpoints_refuses_no_call() {
    let (mut owner, now) = owner(unbounded(), &["a"], &["b"], 1);
    assert_eq!(
        owner.place(&call(1, "c", now), &ids(&["b", "a"]), 3, now),
        admit("a")
    );
    assert_eq!(
        owner.place(&call(2, "c", now), &ids(&["b", "a"]), 3, now),
        QUEUED
    );
    owner.set_endpoint(endpoint("a", 1, false), now);
    assert_eq!(owner.take_waiting().len(), 1);
    for ticket in [2, 3] {
        let placed = owner.place(&call(ticket, "c", now), &ids(&["b", "a"]), 3, now);
        assert_eq!(placed, Placement::NotOwner);
    }
}

/// Guards against a join that makes a chat lose its cached context: the owner of the endpoint that
/// ranked first before is asked, and it only admits a chat that it knows.
#[test]
fn lookback_finds_the_chat_after_a_join() {
    let (mut new, now) = owner(unbounded(), &["a"], &["b"], 9);
    let joined = Some(now - ms(60_000));
    new.set_endpoint(
        EndpointInfo {
            joined,
            ..endpoint("a", 9, true)
        },
        now,
    );
    let list = ids(&["a", "b"]);
    assert_eq!(
        new.place(&call(1, "c", now), &list, 0, now),
        forward("b", &[], true)
    );

    let (mut old, _) = owner(unbounded(), &["b"], &["a"], 9);
    let asked = Call {
        cached_only: true,
        ..call(1, "c", now)
    };
    assert!(reason(old.place(&asked, &ids(&["b"]), 1, now)).is_some());
    old.record_chat(1, "b", now);
    assert_eq!(old.place(&asked, &ids(&["b"]), 1, now), admit("b"));

    // An unknown chat runs on the first-ranked endpoint; a known one stays where it is.
    assert_eq!(new.place(&call(1, "c", now), &list, 1, now), admit("a"));
    new.record_chat(2, "b", now);
    assert_eq!(
        new.place(&call(2, "c", now), &list, 0, now),
        forward("b", &["a"], false)
    );
    // After the lookback time, an unknown chat is no longer looked up; a known one still stays.
    let later = now + Duration::from_secs(1_800);
    new.record_probe("a", 0, later);
    new.finish(1, later);
    assert_eq!(new.place(&call(3, "c", later), &list, 0, later), admit("a"));
    assert_eq!(
        new.place(&call(2, "c", later), &list, 0, later),
        forward("b", &["a"], false)
    );
}

/// Guards against a new chat that starts on a busy endpoint although another candidate is idle. It
/// would not find room there when it returns.
#[test]
fn new_chats_start_on_the_least_used() {
    let (mut owner, now) = owner(unbounded(), &["a"], &["b", "c"], 9);
    owner.record_probe("a", 0, now);
    owner.record_report("r2", "a", 2, now);
    owner.record_report("r2", "b", 1, now);
    let list = ids(&["a", "b", "c"]);
    assert_eq!(
        owner.place(&call(1, "c", now), &list, 0, now),
        forward("c", &["b", "a"], false)
    );
    // A chat that is known stays where it is cached.
    owner.record_chat(2, "a", now);
    assert_eq!(owner.place(&call(2, "c", now), &list, 0, now), admit("a"));
}

/// Guards against choosing a service instance although another one has less outstanding work, also
/// if another router admitted that work.
#[test]
fn services_take_the_least_outstanding() {
    let (mut owner, now) = owner(unbounded(), &["a", "b"], &["c"], 9);
    let list = ids(&["a", "b", "c"]);
    let service = |ticket| Call {
        chat: None,
        ..call(ticket, "c", now)
    };
    owner.record_report("r2", "c", 1, now);
    assert_eq!(owner.place(&service(1), &list, 0, now), admit("a"));
    assert_eq!(owner.place(&service(2), &list, 0, now), admit("b"));
    assert_eq!(owner.place(&service(3), &list, 0, now), admit("a"));
    assert_eq!(owner.place(&service(4), &list, 0, now), admit("b"));
    assert_eq!(
        owner.place(&service(5), &list, 0, now),
        forward("c", &["a", "b"], false)
    );
}

/// Guards against a second or a new owner that admits as if the endpoint were idle.
#[test]
fn counts_of_others_are_added() {
    let (mut owner, now) = owner(OwnerConfig::default(), &["a"], &["b"], 8);
    owner.record_report("r2", "a", 3, now);
    owner.record_report("r3", "a", 2, now);
    owner.record_report("r2", "b", 1, now);
    assert_eq!(owner.load("a", now), 5);
    // Seven requests in the group make a mean of 3.5 and a bound of 4.
    let placed = owner.place(&call(1, "c", now), &ids(&["a", "b"]), 0, now);
    assert_eq!(placed, forward("b", &["a"], false));
    owner.forget_router("r2", now);
    assert_eq!(owner.load("a", now), 2);

    owner.set_endpoint(endpoint("b", 8, true), now);
    owner.record_probe("b", 6, now);
    assert_eq!(owner.load("b", now), 6);
    // After the settling time, load that only the engine reports counts only if it is more than a
    // lagging report explains.
    let settled = now + ms(3_000);
    assert_eq!(owner.load("b", settled), 6);
    owner.record_report("r3", "b", 4, settled);
    owner.record_probe("b", 5, settled);
    assert_eq!(owner.load("b", settled), 4);
    owner.record_probe("b", 6, settled);
    assert_eq!(owner.load("b", settled), 6);
    owner.record_probe("b", 4, settled);
    assert_eq!(owner.load("b", settled), 4);
}

/// Guards against a former owner's count that is kept forever and raises the mean: a router with
/// nothing outstanding at an endpoint that it no longer owns stops reporting the endpoint.
#[test]
fn counts_that_are_no_longer_reported_are_dropped() {
    let (mut owner, now) = owner(OwnerConfig::default(), &["a"], &["b"], 8);
    let (r2, r3) = ("r2".to_string(), "r3".to_string());
    let list = ids(&["a", "b"]);
    let reports = [(&r2, &list[0], 3), (&r3, &list[0], 2), (&r2, &list[1], 1)];
    owner.set_reports(reports.into_iter(), now);
    assert_eq!((owner.load("a", now), owner.load("b", now)), (5, 1));
    owner.set_reports(reports[1..2].iter().copied(), now);
    assert_eq!((owner.load("a", now), owner.load("b", now)), (2, 0));
}

/// Guards against an endpoint with stale probes whose load still raises the bound of the others.
/// The model test found this when sums were only updated by probes and reports of an endpoint.
#[test]
fn a_silent_endpoint_does_not_raise_the_mean() {
    let (mut owner, now) = owner(OwnerConfig::default(), &["a", "b"], &["x"], 9);
    owner.record_report("r2", "a", 4, now);
    let late = now + ms(3_001);
    owner.record_probe("b", 0, late);
    let list = ids(&["b", "x"]);
    assert_eq!(owner.place(&call(1, "c", late), &list, 0, late), admit("b"));
    assert_eq!(
        owner.place(&call(2, "c", late), &list, 0, late),
        forward("x", &["b"], false)
    );
}

/// Guards against calls that wait longer than their class allows or past the deadline, and against
/// a refusal with a verdict other than not run.
#[test]
fn waits_are_bounded() {
    let (mut owner, now) = owner(unbounded(), &["a"], &[], 1);
    let list = ids(&["a"]);
    owner.place(&call(1, "c", now), &list, 0, now);
    assert_eq!(owner.place(&call(2, "c", now), &list, 0, now), QUEUED);
    assert!(owner.expire(now + ms(999)).is_empty());
    let ended = owner.expire(now + ms(1_000));
    assert_eq!((ended.len(), ended[0].ticket), (1, 2));
    assert_eq!(ended[0].refusal.reason, RefusalReason::Overload);
    assert_eq!(ended[0].refusal.verdict, sequoiaridge_core::Verdict::NotRun);
    // After a run of 2 s, the estimated wait of a second call exceeds its limit of 1 s.
    owner.record_probe("a", 1, now + ms(2_000));
    owner.finish(1, now + ms(2_000));
    let later = now + ms(2_000);
    owner.place(&call(3, "c", later), &list, 0, later);
    let Placement::Refused(refusal) = owner.place(&call(4, "c", later), &list, 0, later) else {
        panic!("the estimated wait is longer than allowed");
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (RefusalReason::Overload, ms(2_000))
    );
    let dead = Call {
        deadline: later,
        ..call(5, "c", now)
    };
    let placed = owner.place(&dead, &list, 0, later);
    assert_eq!(reason(placed), Some(RefusalReason::Deadline));
}

/// Guards against a customer whose burst of calls keeps all slots: freed slots go to the customers
/// that wait until each holds its share.
#[test]
fn a_burst_yields_its_slots() {
    let (mut owner, now) = owner(unbounded(), &["a"], &[], 8);
    let list = ids(&["a"]);
    for t in 0..12 {
        owner.place(&call(t, "surge", now), &list, 0, now);
    }
    (20..26).for_each(|t| assert_eq!(owner.place(&call(t, "b", now), &list, 0, now), QUEUED));
    let mut started = Vec::new();
    for t in 0..4 {
        started.extend(owner.finish(t, now + ms(1)).into_iter().map(|s| s.ticket));
    }
    assert_eq!(started, [20, 21, 22, 23]);
    // Both customers now hold their share, so the rest is served in turn.
    assert_eq!((owner.running(), owner.waiting()), (8, 6));
}

/// Guards against a full queue that drops a waiting call without reporting it.
#[test]
fn a_shed_call_is_reported() {
    let config = OwnerConfig::builder().queue_limit(1).build();
    let (mut owner, now) = owner(config, &["a"], &[], 1);
    let list = ids(&["a"]);
    owner.place(&call(1, "c", now), &list, 0, now);
    assert_eq!(owner.place(&call(2, "c", now), &list, 0, now), QUEUED);
    let mut high = call(3, "c", now);
    high.class = "high".to_string();
    high.policy = ClassPolicy {
        answered: 0.9999,
        ..high.policy
    };
    match owner.place(&high, &list, 0, now) {
        Placement::Queued { shed: Some(ended) } => assert_eq!(ended.ticket, 2),
        other => panic!("expected a shed call, got {other:?}"),
    }
    assert_eq!((owner.waiting(), owner.take_waiting().len()), (1, 1));
    assert_eq!(owner.waiting(), 0);
}

/// Guards against two suspects that run on one endpoint, also if they start from the queue.
#[test]
fn suspects_run_alone() {
    let (mut owner, now) = owner(unbounded(), &["a"], &[], 4);
    let list = ids(&["a"]);
    let suspect = |ticket| Call {
        suspect: true,
        ..call(ticket, "c", now)
    };
    assert_eq!(owner.place(&suspect(1), &list, 0, now), admit("a"));
    assert_eq!(owner.place(&suspect(2), &list, 0, now), QUEUED);
    assert_eq!(owner.place(&call(3, "c", now), &list, 0, now), admit("a"));
    assert!(owner.finish(3, now).is_empty());
    assert_eq!(owner.in_flight("a"), [(1, 1)]);
    assert_eq!(owner.finish(1, now)[0].ticket, 2);
}

/// Guards against copies of one request that spread to owned endpoints beyond its candidates. If
/// the request crashes endpoints, each such copy crashes one more before the first crash is known.
#[test]
fn copies_of_a_running_request_stay_on_the_ranked_endpoints() {
    let (mut owner, now) = owner(unbounded(), &["a", "d", "e"], &["b", "c"], 1);
    let list = ids(&["a", "b", "c"]);
    let copy = |ticket| Call {
        fingerprint: 1,
        ..call(ticket, "c", now)
    };
    assert_eq!(owner.place(&copy(1), &list, 0, now), admit("a"));
    assert_eq!(owner.place(&copy(2), &list, 3, now), QUEUED);
    // Other requests use any free endpoint.
    assert_eq!(owner.place(&call(3, "c", now), &list, 3, now), admit("d"));
    // A free slot elsewhere does not start the copy; the end of the running one does.
    assert!(owner.finish(3, now + ms(10)).is_empty());
    let started = owner.finish(1, now + ms(20));
    assert_eq!((started[0].ticket, started[0].endpoint.as_str()), (2, "a"));
}
