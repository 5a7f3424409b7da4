//! Tests in virtual time of which sums and counts are used and sent.

mod net;

use net::Net;
use sequoiaridge_membership::{
    CountScope, Digest, EndpointLoad, EndpointState, GroupSum, Message, OwnerSums, SentSum,
    SumDigest,
};
use std::collections::BTreeSet;
use std::time::Duration;

fn sum(outstanding: u32, capacity: u32) -> GroupSum {
    GroupSum {
        group: "m".to_string(),
        outstanding,
        capacity,
    }
}

/// Returns the work and capacity of the other owners that a router knows.
fn total(net: &Net, at: usize) -> (u32, u32) {
    let sums = net.nodes[at].detector.sums(net.now);
    let owners = sums.owners.iter().flat_map(|sum| &sum.groups);
    let domains = sums.domains.iter().flat_map(|sum| &sum.groups);
    owners.chain(domains).fold((0, 0), |(work, capacity), sum| {
        (work + sum.outstanding, capacity + sum.capacity)
    })
}

fn fleet(routers: usize, domains: usize) -> Net {
    let mut net = Net::new(routers, domains, 0.0, 29);
    for node in &mut net.nodes {
        node.detector.set_sums(&[sum(7, 32)], CountScope::All);
    }
    net.run(Duration::from_secs(6));
    net
}

/// Guards against the work of a dead owner that stays in the total, and against its capacity that
/// leaves the total before the next owners' sums contain it.
#[test]
fn a_dead_owner_leaves_its_capacity_for_some_time() {
    let mut net = fleet(4, 2);
    assert_eq!(total(&net, 1), (21, 96));
    net.nodes[0].alive = false;
    let dropped = |net: &Net| total(net, 1).0 == 14;
    let end = net.now + Duration::from_secs(20);
    assert!(net.run_until(end, dropped));
    assert_eq!(total(&net, 1), (14, 96));
    net.run(Duration::from_secs(6));
    assert_eq!(total(&net, 1), (14, 64));
}

/// Guards against owners that are counted twice or not at all where sums of domains replace those
/// of owners, also when a whole domain fails.
#[test]
fn domains_are_counted_once() {
    let mut net = fleet(70, 3);
    for at in [0, 1, 69] {
        assert_eq!(total(&net, at), (69 * 7, 69 * 32));
        assert_eq!(net.nodes[at].detector.sums(net.now).domains.len(), 2);
    }
    let in_domain = net.nodes.iter_mut().step_by(3);
    let lost = in_domain.map(|node| node.alive = false).count() as u32;
    net.run(Duration::from_secs(40));
    assert_eq!(total(&net, 1), ((69 - lost) * 7, (69 - lost) * 32));
}

/// Guards against an older sum that replaces a newer one.
#[test]
fn older_sums_never_replace_newer_ones() {
    let mut net = fleet(2, 1);
    let heard = |net: &mut Net, newest, outstanding| {
        let addr = net.nodes[1].info.addr;
        let id = net.nodes[1].info.id.clone();
        let owner = (sequoiaridge_core::hash64(id.as_bytes()) >> 32) as u32;
        let sums = vec![SentSum {
            group: 0,
            outstanding,
            capacity: 32,
        }];
        let sums = vec![OwnerSums {
            owner,
            seq_offset: 0,
            sums,
        }];
        let sums = Some(SumDigest {
            groups: vec!["m".to_string()],
            newest,
            sums,
        });
        let digest = Digest {
            sums,
            ..Digest::default()
        };
        let message = Message::Ack { seq: 0, digest };
        let now = net.now;
        net.nodes[0].detector.receive(&id, 1, addr, message, now);
        total(net, 0).0
    };
    assert_eq!(heard(&mut net, 1, 9), 7);
    assert_eq!(heard(&mut net, u64::MAX, 9), 9);
    assert_eq!(heard(&mut net, u64::MAX - 1, 8), 9);
}

/// Guards against a large fleet that does not send a change of state, the count of a service or the
/// counts of two owners of one endpoint.
#[test]
fn a_large_fleet_spreads_the_counts_that_are_needed() {
    let mut net = Net::new(8, 4, 0.0, 31);
    let services: BTreeSet<_> = ["service".to_string()].into();
    for node in &mut net.nodes {
        node.detector
            .set_sums(&[], CountScope::Only(services.clone()));
    }
    let set = |net: &mut Net, at: usize, loads: &[(&str, u32, EndpointState)]| {
        let loads = loads
            .iter()
            .map(|(endpoint, outstanding, state)| EndpointLoad {
                endpoint: endpoint.to_string(),
                outstanding: *outstanding,
                state: *state,
            });
        let now = net.now;
        net.nodes[at]
            .detector
            .set_loads(&loads.collect::<Vec<_>>(), now);
        net.run(Duration::from_secs(8));
    };
    let known = |net: &Net, owner: usize, endpoint: &str| {
        let owner = &net.nodes[owner].info.id;
        let loads = net.nodes[7].detector.loads();
        let load = loads
            .into_iter()
            .find(|l| l.owner == *owner && l.endpoint == endpoint);
        load.map(|load| (load.outstanding, load.state))
    };
    let up = EndpointState::Up;
    set(
        &mut net,
        0,
        &[("engine", 1, up), ("service", 1, up), ("other", 1, up)],
    );
    set(
        &mut net,
        0,
        &[
            ("engine", 2, up),
            ("service", 2, up),
            ("other", 2, EndpointState::Down),
        ],
    );
    assert_eq!(
        known(&net, 0, "engine"),
        Some((1, up)),
        "an undisputed count was spread"
    );
    assert_eq!(known(&net, 0, "service"), Some((2, up)));
    assert_eq!(known(&net, 0, "other"), Some((2, EndpointState::Down)));
    set(&mut net, 1, &[("engine", 5, up)]);
    set(&mut net, 0, &[("engine", 3, up), ("service", 2, up)]);
    assert_eq!(known(&net, 0, "engine"), Some((3, up)));
    set(&mut net, 1, &[("engine", 6, up)]);
    assert_eq!(known(&net, 1, "engine"), Some((6, up)));
}
