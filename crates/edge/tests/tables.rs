//! Cached prefixes, load, health, feeds, message sizes and the retry budget.

use proptest::prelude::*;
use sequoiaridge_edge::{
    CacheMap, EndpointLoad, Feed, Health, Loads, Part, PeerMessage, PeerRouter, Position, Prompt,
    RetryWindow, RowChange, Work, prefixes,
};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn at(version: u64) -> Position {
    Position::new(1, version)
}

fn sender(id: &String) -> PeerRouter<'_> {
    PeerRouter {
        id,
        domain: id,
        link_mbps: 1000,
    }
}

fn prompt(parts: &[(u64, u64)]) -> Prompt {
    Prompt {
        model: "m".to_string(),
        input: parts.iter().map(|(_, tokens)| tokens).sum(),
        output: 80,
        parts: parts
            .iter()
            .map(|(id, tokens)| Part {
                id: *id,
                tokens: *tokens,
            })
            .collect(),
    }
}

/// Guards against a part that counts as cached behind a different system prompt.
#[test]
fn a_prefix_is_cached_with_all_parts_before_it() {
    let mut map = CacheMap::new();
    map.record(
        &prefixes(&prompt(&[(1, 500), (2, 10_000), (3, 40)])),
        "e1",
        NOW,
    );
    let same = prefixes(&prompt(&[(1, 500), (2, 10_000), (4, 90)]));
    assert_eq!(map.cached(&same, NOW).get("e1"), Some(&10_500));
    let other = prefixes(&prompt(&[(9, 500), (2, 10_000), (3, 40)]));
    assert_eq!(map.cached(&other, NOW).get("e1"), None);
}

/// Guards against routers that start without knowing where prompts are cached (2,052 thousand
/// tokens processed again on one day), and against parts of a single request in the snapshot.
#[test]
fn a_snapshot_restores_the_shared_prefixes() {
    let mut map = CacheMap::new();
    let parts = prefixes(&prompt(&[(1, 500), (2, 10_000), (3, 40)]));
    assert_eq!(map.record(&parts, "e1", NOW).len(), 2);
    let snapshot = map.snapshot().expect("a snapshot");
    let mut restored = CacheMap::new();
    assert_eq!(restored.restore(&snapshot, NOW), Ok(2));
    assert_eq!(restored.cached(&parts, NOW).get("e1"), Some(&10_500));
    assert!(restored.restore(b"\xff\xff\xff", NOW).is_err());
}

/// Guards against prefixes that count as cached although their endpoint crashed or they were long
/// unused.
#[test]
fn forgotten_and_old_prefixes_do_not_count() {
    let mut map = CacheMap::new();
    let parts = prefixes(&prompt(&[(1, 500), (2, 10_000), (3, 40)]));
    map.record(&parts, "e1", NOW);
    map.record(&parts, "e2", NOW);
    map.forget("e1");
    assert_eq!(
        map.cached(&parts, NOW).keys().copied().collect::<Vec<_>>(),
        ["e2"]
    );
    let later = NOW + Duration::from_secs(60);
    assert!(map.cached(&parts, later).is_empty());
    map.expire(later);
    assert!(map.is_empty());
}

/// Guards against messages for every use of a hot subject.
#[test]
fn a_use_is_reported_only_now_and_then() {
    let mut map = CacheMap::new();
    let parts = prefixes(&prompt(&[(1, 500), (2, 10_000), (3, 40)]));
    assert_eq!(map.record(&parts, "e1", NOW).len(), 2);
    assert!(
        map.record(&parts, "e1", NOW + Duration::from_secs(1))
            .is_empty()
    );
    assert_eq!(
        map.record(&parts, "e1", NOW + Duration::from_secs(5)).len(),
        2
    );
}

/// Guards against load of routers that are gone, and against load that is counted twice.
#[test]
fn load_is_the_sum_of_the_work_of_live_routers() {
    let mut loads = Loads::new();
    loads.begin("e1", 100, Duration::ZERO);
    loads.begin("e1", 50, Duration::ZERO);
    loads.first_event("e1", 100);
    let r2 = "r2".to_string();
    let work = |requests| Work {
        requests,
        unread: 0,
    };
    let work_of = |requests| BTreeMap::from([("e1".to_string(), work(requests))]);
    loads.set_peer_work(sender(&r2), work_of(5), false, NOW);
    loads.set_peer_work(sender(&r2), work_of(3), false, NOW);
    assert_eq!(
        loads.outstanding("e1", NOW),
        Work {
            requests: 5,
            unread: 50
        }
    );
    loads.expire(NOW + Duration::from_secs(2), Duration::from_millis(1500));
    assert_eq!(loads.outstanding("e1", NOW).requests, 2);
    loads.end("e1", 50);
    loads.end("e1", 0);
    assert_eq!(loads.outstanding("e1", NOW), Work::default());
}

/// Guards against an endpoint that is overloaded by a hot subject in a large fleet, where each
/// router sends it few requests and hears few other routers in time: the load that the endpoint
/// reports with an answer covers all routers.
#[test]
fn a_load_report_counts_for_a_short_time() {
    let mut loads = Loads::new();
    loads.begin("e1", 0, Duration::ZERO);
    let reported = EndpointLoad {
        running: 9,
        waiting: 2,
        slots: 12,
        pace_percent: None,
    };
    loads.record_report("e1", reported, NOW);
    assert_eq!(loads.outstanding("e1", NOW).requests, 11);
    loads.begin("e1", 0, NOW + Duration::from_millis(1));
    assert_eq!(loads.outstanding("e1", NOW).requests, 12);
    assert_eq!(
        loads
            .outstanding("e1", NOW + Duration::from_secs(1))
            .requests,
        2
    );
}

/// Guards against a draining router that keeps the first rank among the readers.
#[test]
fn a_draining_router_does_not_read() {
    let mut loads = Loads::new();
    let (r1, r2) = ("r1".to_string(), "r2".to_string());
    loads.set_peer_work(sender(&r1), BTreeMap::new(), true, NOW);
    loads.set_peer_work(sender(&r2), BTreeMap::new(), false, NOW);
    let peers: Vec<&str> = loads.peers().map(|peer| peer.id.as_str()).collect();
    assert_eq!(peers, ["r2"]);
    assert_eq!(loads.router_count(), 3);
}

/// Guards against a dead endpoint that every request tries, and against one that stays paused after
/// it has recovered.
#[test]
fn a_failed_endpoint_is_paused_for_longer_each_time() {
    let mut health = Health::new();
    let first = health.record_failure("e1", NOW) - NOW;
    assert!(health.is_paused("e1", NOW));
    let later = NOW + first;
    assert!(!health.is_paused("e1", later));
    assert!(health.record_failure("e1", later) - later > first);
    health.record_answer("e1", false);
    assert!(!health.is_paused("e1", later));
}

/// Guards against an endpoint that fails half of its requests although it passes its health check.
#[test]
fn an_endpoint_with_more_errors_than_others_is_avoided() {
    let mut health = Health::new();
    for index in 0..40 {
        health.record_answer("failing", index % 2 == 0);
        health.record_answer("healthy", index % 8 == 0);
    }
    let mean = (health.errors("failing") + health.errors("healthy")) / 4.0;
    assert!(health.is_failing("failing", mean));
    assert!(!health.is_failing("healthy", mean));
    assert!(
        !health.is_failing("failing", 0.5),
        "all endpoints fail equally often"
    );
}

/// Guards against a feed that does not fit a datagram, so that every router reads the registry
/// itself (1,644 calls in a minute by 68 routers while 55 endpoints were replaced).
#[test]
fn a_large_feed_is_split_into_consecutive_parts() {
    let feed = Feed {
        from: at(1),
        to: at(2),
        changed: (0..20)
            .rev()
            .map(|index| (format!("e{index}"), at(100 + index), RowChange::Removed))
            .collect(),
    };
    let parts = Feed {
        to: at(200),
        ..feed
    }
    .into_parts();
    assert!(parts.len() > 1);
    assert_eq!((parts[0].from, parts[parts.len() - 1].to), (at(1), at(200)));
    assert!(parts.windows(2).all(|pair| pair[0].to == pair[1].from));
    let changed: usize = parts.iter().map(|part| part.changed.len()).sum();
    assert_eq!(changed, 20);
}

/// Guards against a feed that covers changes which it does not contain: two routers read in turn,
/// and the feed of one of them was lost (found by the hunt on medida-gdl-grown: DRAIN, mix seed
/// 123490881470).
#[test]
fn a_feed_includes_only_the_feed_that_it_follows() {
    let feed = |from, to, id: &str| Feed {
        from: at(from),
        to: at(to),
        changed: vec![(id.to_string(), at(to), RowChange::Removed)],
    };
    let joined = feed(10, 20, "e2").preceded_by(&feed(1, 10, "e1"));
    assert_eq!(
        (joined.from, joined.to, joined.changed.len()),
        (at(1), at(20), 2)
    );
    let alone = feed(10, 20, "e2").preceded_by(&feed(1, 5, "e1"));
    assert_eq!(alone, feed(10, 20, "e2"));
}

/// Guards against messages that do not fit a datagram, and so are never sent, when a router has
/// work at many endpoints or their ids are long.
#[test]
fn the_work_in_a_message_fits_a_datagram() {
    for length in [4, 12, 60] {
        let work = (0..300u32).map(|index| {
            let requests = if index == 200 { 900 } else { index % 7 };
            let work = Work {
                requests,
                unread: 100_000,
            };
            (format!("{index:0length$}"), work)
        });
        let message = PeerMessage::default().with_work(work.collect());
        assert!(postcard::to_stdvec(&message).expect("bytes").len() < 900);
        let reported = message.work.expect("work");
        assert_eq!(
            reported[0].1.requests, 900,
            "the busiest endpoint comes first"
        );
    }
}

/// Guards against retries beyond the fleet's budget (a share of the requests and a fixed number) in
/// any window, when eight routers each see an eighth of the traffic.
#[test]
fn retries_of_all_routers_stay_within_the_budget() {
    let (share, extra, routers) = (0.2, 56.0, 8);
    let window = Duration::from_secs(10);
    let mut all = vec![RetryWindow::new(share, window, extra); routers];
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for tick in 0..4_000u32 {
        let now = Duration::from_millis(10) * tick;
        let router = &mut all[tick as usize % routers];
        router.record_request("s", now);
        sent.push((now, false));
        if router.try_take("s", routers, now) {
            sent.push((now, true));
        }
    }
    for start in (0..30_000).step_by(250).map(Duration::from_millis) {
        let within = sent
            .iter()
            .filter(|(at, _)| *at >= start && *at < start + window);
        let (requests, retries) = within.fold((0, 0), |(requests, retries), (_, is_retry)| {
            if *is_retry {
                (requests, retries + 1)
            } else {
                (requests + 1, retries)
            }
        });
        assert!(f64::from(retries) <= share * f64::from(requests) + extra);
    }
}

/// Guards against retries outside the budget that later ones do not wait for.
#[test]
fn a_retry_beyond_the_budget_is_a_debt() {
    let mut budget = RetryWindow::new(0.0, Duration::from_secs(10), 4.0);
    (0..3).for_each(|_| budget.record_retry("s", Duration::ZERO));
    assert!(!budget.try_take("s", 1, Duration::from_secs(9)));
    assert!(budget.try_take("s", 1, Duration::from_secs(11)));
}

proptest! {
    /// Guards against a sequence of requests that exceeds the budget: one router alone never
    /// retries more than the share of a window and the fixed number.
    #[test]
    fn any_sequence_of_requests_keeps_the_budget(
        gaps in prop::collection::vec((0u64..400, prop::bool::ANY), 1..400),
    ) {
        let window = Duration::from_secs(10);
        let mut budget = RetryWindow::new(0.2, window, 5.0);
        let mut now = Duration::ZERO;
        let mut events = Vec::new();
        for (gap, request) in gaps {
            now += Duration::from_millis(gap);
            if request {
                budget.record_request("s", now);
                events.push((now, false));
            } else if budget.try_take("s", 1, now) {
                events.push((now, true));
            }
        }
        for (end, _) in &events {
            let from = end.saturating_sub(window);
            let retries = events
                .iter()
                .filter(|(at, is_retry)| *is_retry && *at > from && at <= end);
            // A bucket longer than the window may count requests up to one bucket older.
            let counted = from.saturating_sub(window / 5);
            let requests = events
                .iter()
                .filter(|(at, is_retry)| !is_retry && *at > counted && at <= end);
            prop_assert!(retries.count() as f64 <= 0.2 * requests.count() as f64 + 5.0);
        }
    }
}
