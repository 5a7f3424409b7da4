//! Selection of relays, and message intervals in large fleets.

use sequoiaridge_edge::{pick_relay, scaled_period};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Guards against a slow link that is busy for seconds with forwarding feeds of thousands of
/// endpoints, so that its router gets a configuration late, and against a single router that
/// forwards everything. The failure domain has 75 routers, two of them with a fast link.
#[test]
fn feeds_pass_through_the_fastest_links() {
    let mut routers: Vec<(SocketAddr, u32)> = (0..73).map(|n| (address(n), 10)).collect();
    routers.extend([(address(100), 200), (address(101), 200)]);
    let picked: BTreeSet<SocketAddr> = (0..200).filter_map(|_| pick_relay(&routers, 300)).collect();
    assert_eq!(picked, BTreeSet::from([address(100), address(101)]));
}

/// Guards against a failure domain that receives nothing for some seconds because the router with
/// its fastest link is slow, in a fleet of 74 routers.
#[test]
fn every_router_may_be_a_relay_in_a_smaller_fleet() {
    let routers = [(address(1), 10), (address(2), 200)];
    let picked: BTreeSet<SocketAddr> = (0..200).filter_map(|_| pick_relay(&routers, 74)).collect();
    assert_eq!(picked, BTreeSet::from([address(1), address(2)]));
}

/// Guards against a failure domain without a relay while no link bandwidth is known yet.
#[test]
fn routers_with_unknown_links_are_relays_if_there_are_no_others() {
    assert_eq!(pick_relay(&[(address(1), 0)], 300), Some(address(1)));
    assert_eq!(pick_relay(&[], 300), None);
}

/// Guards against message traffic that grows with the fleet: with 300 routers, each receives about
/// as many messages per second as with 80.
#[test]
fn rounds_slow_down_in_proportion_beyond_80_routers() {
    let period = Duration::from_millis(400);
    assert_eq!(scaled_period(period, 24), period);
    assert_eq!(scaled_period(period, 80), period);
    assert_eq!(scaled_period(period, 300), Duration::from_millis(1500));
}
