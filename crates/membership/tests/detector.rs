//! Tests of the detector in virtual time: deaths, false deaths, pauses, restarts and partitions.

mod net;

use net::{Net, info};
use sequoiaridge_membership::{CrashKind, CrashNotice, MemberEvent, Message, PeerState, PeerView};
use std::time::Duration;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the state of router `of` in the view of `viewer`.
fn state(net: &Net, viewer: usize, of: usize) -> Option<PeerState> {
    let view = net.nodes[viewer].detector.view();
    let peer = view
        .into_iter()
        .find(|peer| peer.id == net.nodes[of].info.id);
    peer.map(|peer| peer.state)
}

/// Returns whether all running routers have `of` in state `expected`.
fn all_see(net: &Net, of: usize, expected: PeerState) -> bool {
    let mut viewers = (0..net.nodes.len()).filter(|&v| v != of && net.nodes[v].alive);
    viewers.all(|viewer| state(net, viewer, of) == Some(expected))
}

/// Returns whether all running routers see all others alive.
fn all_alive(net: &Net) -> bool {
    (0..net.nodes.len()).all(|of| all_see(net, of, PeerState::Alive))
}

/// Counts the events of all routers for which `is` holds.
fn count(net: &Net, is: impl Fn(&MemberEvent) -> bool) -> usize {
    let events = net.nodes.iter().flat_map(|node| &node.events);
    events.filter(|(_, event)| is(event)).count()
}

/// Guards against late detection of a death, during which the router's endpoints have no owner.
#[test]
fn dead_router_is_found() {
    let mut times = Vec::new();
    for dead in 0..8 {
        let mut net = Net::new(8, 4, 0.0, dead as u64);
        net.run(secs(5));
        net.nodes[dead].alive = false;
        let killed = net.now;
        let found = net.run_until(killed + secs(10), |net| all_see(net, dead, PeerState::Dead));
        assert!(found, "router {dead} was not found dead");
        times.push((net.now - killed).as_secs_f64());
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    println!("all 7 know of a death after {mean:.2} s on average: {times:.2?}");
    assert!(times.iter().all(|time| *time <= 4.5), "{times:?}");
}

/// Guards against an undetected death of a router that is alone in its domain, so that no router of
/// its domain probes it.
#[test]
fn dead_router_alone_in_its_domain_is_found() {
    let mut times = Vec::new();
    for seed in 0..8 {
        let mut net = Net::new(7, 4, 0.0, seed);
        net.run(secs(5));
        net.nodes[3].alive = false;
        let killed = net.now;
        let found = net.run_until(killed + secs(20), |net| all_see(net, 3, PeerState::Dead));
        assert!(found, "the router was not found dead");
        times.push((net.now - killed).as_secs_f64());
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    println!("alone in its domain: {mean:.2} s on average: {times:.2?}");
    assert!(times.iter().all(|time| *time <= 8.0), "{times:?}");
}

/// Guards against endpoints that change owner because of lost datagrams.
#[test]
fn loss_causes_no_deaths() {
    for seed in 0..3 {
        let mut net = Net::new(8, 4, 0.05, seed);
        net.run(secs(600));
        let suspicions = count(&net, |event| matches!(event, MemberEvent::Suspect { .. }));
        let deaths = count(&net, |event| matches!(event, MemberEvent::Dead { .. }));
        println!("10 min at 5 % loss, seed {seed}: {suspicions} suspicions, {deaths} deaths");
        assert_eq!(deaths, 0, "seed {seed}");
        assert!(suspicions > 0, "the run caused no suspicion, seed {seed}");
    }
}

/// Guards against a short pause that counts as a death, against a death after a long pause that is
/// never refuted, and against a resumed router that suspects others whose answers it has not read.
#[test]
fn paused_router_refutes() {
    for (pause, dies) in [(2, false), (10, true)] {
        let mut net = Net::new(8, 4, 0.0, pause);
        net.run(secs(5));
        net.nodes[2].paused = true;
        net.run(secs(pause));
        assert_eq!(
            all_see(&net, 2, PeerState::Dead),
            dies,
            "pause of {pause} s"
        );
        let suspicions = count(&net, |event| matches!(event, MemberEvent::Suspect { .. }));
        assert!(suspicions > 0, "pause of {pause} s was not noticed");
        net.nodes[2].paused = false;
        let resumed = net.now;
        assert!(
            net.run_until(resumed + secs(5), all_alive),
            "pause of {pause} s"
        );
        println!("pause of {pause} s: refuted after {:?}", net.now - resumed);
        net.run(secs(5));
        assert!(all_alive(&net));
        let suspected = net.nodes[2].events.iter();
        let suspected =
            suspected.filter(|(at, e)| *at >= resumed && !matches!(e, MemberEvent::Up { .. }));
        assert_eq!(suspected.count(), 0, "the resumed router suspected others");
    }
}

/// Guards against a new process that is mistaken for its predecessor, and against one that stays
/// unknown because it only knows one address.
#[test]
fn restarted_router_is_a_new_member() {
    let mut net = Net::new(8, 4, 0.05, 1);
    net.run(secs(5));
    let incarnation = 1_700_000_100_000;
    let (seed, mut node) = (net.nodes[1].info.addr, net.start(info(6, 4), incarnation));
    node.detector.add_seed(seed);
    net.nodes[6] = node;
    net.run(secs(10));
    assert!(all_alive(&net));
    let id = net.nodes[6].info.id.clone();
    for node in net.nodes.iter().filter(|node| node.info.id != id) {
        let restarts = node.events.iter();
        let restarts = restarts.filter(|(_, e)| *e == MemberEvent::Restarted { id: id.clone() });
        assert_eq!(restarts.count(), 1, "at {}", node.info.id);
    }
}

/// Guards against routers that find each other only if the platform's list is available.
#[test]
fn seeds_are_enough_to_join() {
    let mut net = Net::unlisted(8, 4, 0.05, 3);
    let seed = net.nodes[0].info.addr;
    net.nodes
        .iter_mut()
        .for_each(|node| node.detector.add_seed(seed));
    assert!(net.run_until(secs(20), all_alive));
    println!(
        "8 routers with one seed know each other after {:?}",
        net.now
    );
}

/// Guards against sides of a partition that do not reconnect when it ends.
#[test]
fn split_views_merge() {
    let mut net = Net::new(8, 4, 0.02, 5);
    net.run(secs(5));
    net.nodes[4..].iter_mut().for_each(|node| node.side = 1);
    net.run(secs(60));
    for (viewer, of) in [(0, 4), (0, 7), (5, 1), (6, 3)] {
        assert_eq!(state(&net, viewer, of), Some(PeerState::Dead));
    }
    assert_eq!(state(&net, 0, 3), Some(PeerState::Alive));
    assert_eq!(state(&net, 7, 4), Some(PeerState::Alive));
    net.nodes.iter_mut().for_each(|node| node.side = 0);
    let healed = net.now;
    assert!(net.run_until(healed + secs(30), all_alive));
    println!(
        "partition of 60 s: all routers see each other {:?} after its end",
        net.now - healed
    );
}

/// Guards against a leaving router that keeps its endpoints, and against one that is never
/// forgotten.
#[test]
fn leaving_router_is_known_at_once_and_forgotten_later() {
    let mut net = Net::new(8, 4, 0.0, 6);
    net.run(secs(5));
    let sent = net.nodes[1].detector.leave(net.now);
    assert_eq!(sent.len(), 7);
    net.send(1, sent);
    net.run(Duration::from_millis(20));
    assert!(all_see(&net, 1, PeerState::Leaving));
    net.run(secs(10));
    assert!(
        all_see(&net, 1, PeerState::Leaving),
        "a leaving router that answers is not dead"
    );
    net.nodes[1].alive = false;
    net.run(secs(20));
    assert!(all_see(&net, 1, PeerState::Dead));
    let list: Vec<_> = (0..8).filter(|i| *i != 1).map(|i| info(i, 4)).collect();
    let now = net.now;
    net.nodes
        .iter_mut()
        .for_each(|node| node.detector.set_list(&list, now));
    net.run(secs(35));
    let known = |view: Vec<PeerView>| view.iter().any(|peer| peer.id == info(1, 4).id);
    assert!(
        (0..8)
            .filter(|i| *i != 1)
            .all(|i| !known(net.nodes[i].detector.view()))
    );
}

/// Guards against crash notices that are delivered twice, get lost or return to the router that
/// reported them.
#[test]
fn crash_notices_arrive_once() {
    let mut net = Net::new(8, 4, 0.2, 7);
    net.run(secs(5));
    let endpoint = "engine-1".to_string();
    let notice = CrashNotice {
        fingerprint: 9,
        endpoint,
        boot: 3,
        kind: CrashKind::Strike,
    };
    for reporter in [0, 1, 0] {
        let message = Message::crash_notice(notice.clone());
        let now = net.now;
        let sent = net.nodes[reporter].detector.broadcast(message, now);
        net.send(reporter, sent);
    }
    net.run(secs(10));
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let expected = if index < 2 {
            vec![]
        } else {
            vec![notice.clone()]
        };
        assert_eq!(node.detector.take_crashes(), expected, "at router {index}");
    }
    net.run(secs(5));
    assert!(
        net.nodes
            .iter_mut()
            .all(|node| node.detector.take_crashes().is_empty())
    );
}
