//! Tests of the probe schedule and of the load reports that a detector keeps.

use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiaridge_membership::{
    Detector, DetectorConfig, Digest, EndpointLoad, EndpointState, MemberInfo, Message, OwnerLoads,
    ProbeSchedule, SentLoad,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn names(domain: &str, count: usize) -> BTreeSet<String> {
    (0..count).map(|n| format!("{domain}-{n}")).collect()
}

/// Guards against a member that is left out of a round, and against more than one probe of another
/// domain in four periods, at both fleet sizes.
#[test]
fn every_member_is_probed_once_per_round() {
    for (near, far) in [(1, 6), (30, 339)] {
        let (near, far) = (names("near", near), names("far", far));
        let mut rng = StdRng::seed_from_u64(1);
        let mut plan = ProbeSchedule::new(4, 1);
        let mut counts = BTreeMap::new();
        let periods = 4 * far.len() * near.len();
        for _ in 0..periods {
            for target in plan.next(&near, &far, &mut rng) {
                *counts.entry(target).or_insert(0) += 1;
            }
        }
        assert!(near.iter().all(|id| counts[id] == periods / near.len()));
        assert!(far.iter().all(|id| counts[id] == near.len()));
    }
}

/// Guards against a router alone in its domain that probes too rarely, and against a new member
/// that is not probed in the current round.
#[test]
fn lone_routers_and_new_members() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut plan = ProbeSchedule::new(4, 0);
    let (none, mut far) = (BTreeSet::new(), names("far", 300));
    for _ in 0..10 {
        assert_eq!(plan.next(&none, &far, &mut rng).len(), 1);
    }
    far.insert("new".to_string());
    let rest = (0..291).flat_map(|_| plan.next(&none, &far, &mut rng));
    assert!(rest.collect::<Vec<_>>().contains(&"new".to_string()));
    assert!(plan.next(&none, &none, &mut rng).is_empty());
}

fn member(id: &str, port: u16) -> MemberInfo {
    MemberInfo {
        id: id.to_string(),
        addr: ([127, 0, 0, 1], port).into(),
        domain: "domain".to_string(),
        region: "region".to_string(),
    }
}

fn load(endpoint: &str, outstanding: u32) -> EndpointLoad {
    let endpoint = endpoint.to_string();
    let state = EndpointState::Up;
    EndpointLoad {
        endpoint,
        outstanding,
        state,
    }
}

fn relayed(owner: &str, seq: u64, outstanding: u32) -> Message {
    let sent = SentLoad {
        endpoint: "engine-1".to_string(),
        outstanding,
        state: EndpointState::Up,
        seq_offset: 0,
    };
    let loads = OwnerLoads {
        owner: owner.to_string(),
        base: seq,
        loads: vec![sent],
    };
    let digest = Digest {
        knows: true,
        loads: vec![loads],
        ..Digest::default()
    };
    Message::Ack { seq: 0, digest }
}

/// Guards against relayed reports that replace newer ones or this router's own counts, against
/// reports that are attributed to the wrong owner, and against reports that are kept although their
/// owner no longer refreshes them.
#[test]
fn only_newer_reports_replace_older_ones() {
    let mut detector = Detector::new(DetectorConfig::new(member("router-1", 1), 100, 1));
    let list = [member("router-2", 2), member("router-3", 3)];
    detector.set_list(&list, Duration::ZERO);
    let counts = |detector: &Detector| {
        let reports = detector.loads().into_iter();
        reports
            .map(|r| (r.owner, r.outstanding))
            .collect::<Vec<_>>()
    };
    let own = |count| ("router-1".to_string(), count);
    let peer = |count| ("router-2".to_string(), count);
    detector.set_loads(&[load("engine-1", 3)], Duration::ZERO);
    let receive = |detector: &mut Detector, owner, seq, count| {
        let from = "router-3".to_string();
        let message = relayed(owner, seq, count);
        detector.receive(&from, 9, list[1].addr, message, Duration::from_secs(1));
    };
    receive(&mut detector, "router-2", 50, 7);
    receive(&mut detector, "router-2", 49, 1);
    receive(&mut detector, "router-1", u64::MAX, 9);
    receive(&mut detector, "router-unknown", 1, 9);
    assert_eq!(counts(&detector), [own(3), peer(7)]);
    receive(&mut detector, "router-2", 51, 8);
    assert_eq!(counts(&detector), [own(3), peer(8)]);
    detector.set_loads(&[], Duration::from_secs(2));
    assert_eq!(counts(&detector), [peer(8)]);
    detector.tick(Duration::from_secs(40));
    assert_eq!(counts(&detector), []);
}
