//! News about endpoints in fleets of up to hundreds of routers, over a virtual clock.

mod model;

use model::{Fleet, Harm, Kind, Outcome, Site};
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn site(routers: usize, domains: usize, leave: f64) -> Site {
    Site {
        routers,
        domains,
        leave: seconds(leave),
        loss: 0.0015,
        fast: 0.06,
        registering: 0,
    }
}

fn harm(kind: Kind, from: f64, until: f64, share: f64) -> Harm {
    Harm {
        kind,
        from: seconds(from),
        until: seconds(until),
        share,
    }
}

fn play(site: &Site, harms: &[Harm], seed: u64) -> Outcome {
    Fleet::new(site.clone(), harms, seed).play(seconds(30.0), seconds(0.7))
}

/// Pattern: 9 routers to 370, one of which reads for all. Guards against news that come late, and calls
/// to the registry that grow with the fleet.
#[test]
fn one_router_reads_for_a_fleet_of_any_size() {
    for (routers, domains, leave) in [(9, 4, 2.0), (86, 4, 3.0), (295, 6, 4.0), (370, 12, 4.0)] {
        let outcome = play(&site(routers, domains, leave), &[], 1);
        assert!(
            outcome.worst() < seconds(leave / 2.0),
            "{routers} routers: {:?}",
            outcome.worst()
        );
        let calls = outcome.calls_between(5, 30);
        let most = 25.0 / (leave * 0.25) * 1.5;
        assert!((calls as f64) < most, "{routers} routers: {calls} calls");
    }
}

/// Pattern: a third of 295 routers is cut off, among them relays and the router that reads, while
/// endpoints leave. Guards against requests to an endpoint that left more than the bound ago (DRAIN on
/// medida-gdl-large trouble-1: 4.10 s of 4).
#[test]
fn news_arrive_in_time_while_a_third_is_cut_off() {
    for seed in 0..4 {
        let site = site(295, 6, 4.0);
        let outcome = play(&site, &[harm(Kind::Cut, 8.0, 17.0, 0.33)], seed);
        let worst = outcome.worst();
        assert!(worst < site.leave, "seed {seed}: {worst:?}");
    }
}

/// Pattern: routers freeze, among them relays and the router that reads, and wake with datagrams that
/// waited for seconds. Guards against old datagrams that make news look fresh.
#[test]
fn news_arrive_in_time_while_routers_freeze_and_wake() {
    for seed in 0..4 {
        let site = site(86, 4, 3.0);
        let harms = [
            harm(Kind::Frozen, 6.0, 10.0, 0.3),
            harm(Kind::Frozen, 12.0, 19.0, 0.3),
        ];
        let worst = play(&site, &harms, seed).worst();
        assert!(worst < site.leave, "seed {seed}: {worst:?}");
    }
}

/// Pattern: the registry refuses a third of the routers for seconds. Guards against routers that are
/// refused and have no news, though others have them.
#[test]
fn refused_routers_hear_from_the_others() {
    for seed in 0..4 {
        let site = site(295, 6, 4.0);
        let harms = [
            harm(Kind::Refused, 6.0, 15.0, 0.35),
            harm(Kind::Silent, 10.0, 18.0, 0.2),
        ];
        let outcome = play(&site, &harms, seed);
        let worst = outcome.worst();
        assert!(worst < site.leave, "seed {seed}: {worst:?}");
    }
}

/// Pattern: the registry is down for all for 8 s. Guards against hundreds of routers that ask a failing
/// registry again and again, and against a return that is noticed late.
#[test]
fn a_failing_registry_is_asked_no_more_by_hundreds_than_by_ten() {
    let few = play(&site(9, 4, 2.0), &[harm(Kind::Refused, 8.0, 16.0, 1.0)], 3);
    let many = play(
        &site(295, 6, 4.0),
        &[harm(Kind::Refused, 8.0, 16.0, 1.0)],
        3,
    );
    let (few, calls) = (few.calls_between(8, 16), many.calls_between(8, 16));
    assert!(calls < few * 2, "{calls} calls, {few} of 9 routers");
    // The bound counts from the registry's return, for changes that it made known only then.
    assert!(
        many.worst() < seconds(8.0) + seconds(4.0),
        "{:?}",
        many.worst()
    );
}

/// Pattern: 100 routers before 1,000 endpoints start together, and each reads the list while endpoints still
/// register. Guards against a reader that sends all of that to everyone: a link of 10 Mbit/s takes some 1,000
/// datagrams a second, and what is in force then is late (sweep at 100 routers: CONFIG).
#[test]
fn a_start_of_all_fills_no_link() {
    let mut site = site(101, 4, 3.0);
    site.registering = 1000;
    let outcome = play(&site, &[], 7);
    assert!(outcome.busiest < 500, "{} datagrams", outcome.busiest);
    assert!(outcome.worst() < site.leave, "{:?}", outcome.worst());
    let calls = outcome.calls_between(0, 30);
    assert!(calls < 4 * 101, "{calls} calls");
}

/// Pattern: links that lose one datagram in 20. Guards against a gap that only the registry fills.
#[test]
fn lost_datagrams_cost_no_calls() {
    let mut site = site(86, 4, 3.0);
    site.loss = 0.05;
    let outcome = play(&site, &[], 5);
    assert!(outcome.worst() < site.leave, "{:?}", outcome.worst());
    let calls = outcome.calls_between(5, 30);
    assert!(calls < 60, "{calls} calls");
}
