//! Messages in a large fleet.

use sequoiaridge_edge::{pick_relay, scaled_period};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Pattern: a domain of 75 routers, of which two have a fast link, gets feeds of thousands of servers.
/// Guards against a slow link that is busy with passing a feed on for seconds, so that its router has a
/// configuration late, and against one router that passes everything on.
#[test]
fn feeds_pass_through_the_fastest_links() {
    let mut routers: Vec<(SocketAddr, u32)> = (0..73).map(|n| (address(n), 10)).collect();
    routers.extend([(address(100), 200), (address(101), 200)]);
    let drawn: BTreeSet<SocketAddr> = (0..200).filter_map(|_| pick_relay(&routers, 300)).collect();
    assert_eq!(drawn, BTreeSet::from([address(100), address(101)]));
}

/// Pattern: a fleet of 74 routers, of which the one with the fastest link of its domain is slow for some
/// seconds. Guards against a domain that hears nothing for that time.
#[test]
fn a_smaller_fleet_draws_every_router_as_relay() {
    let routers = [(address(1), 10), (address(2), 200)];
    let drawn: BTreeSet<SocketAddr> = (0..200).filter_map(|_| pick_relay(&routers, 74)).collect();
    assert_eq!(drawn, BTreeSet::from([address(1), address(2)]));
}

/// Guards against a domain without a relay while no link is known yet.
#[test]
fn routers_that_were_not_heard_yet_are_relays_if_there_are_no_others() {
    assert_eq!(pick_relay(&[(address(1), 0)], 300), Some(address(1)));
    assert_eq!(pick_relay(&[], 300), None);
}

/// Pattern: 300 routers. Guards against messages that grow with the fleet: each router hears about as
/// many a second as in a fleet of 80.
#[test]
fn rounds_slow_down_in_proportion_beyond_80_routers() {
    let period = Duration::from_millis(400);
    assert_eq!(scaled_period(period, 24), period);
    assert_eq!(scaled_period(period, 80), period);
    assert_eq!(scaled_period(period, 300), Duration::from_millis(1500));
}
