//! A pass over the endpoints, compared with lookups one by one, and paces compared with a plain computation.

use proptest::prelude::*;
use sequoiaridge_edge::{
    EndpointEntry, EndpointLoad, EndpointTables, Entry, Era, Health, Loads, Paces, PeerRouter,
    Position, RestRequest, Rests, Roster, Row, Rows, Work,
};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

const NOW: Duration = Duration::from_secs(50);
const ENDPOINTS: usize = 40;

fn id(at: usize) -> String {
    format!("e{at}")
}

fn roster() -> Roster {
    let position = Position::new(Era::default(), 3);
    let rows = (0..ENDPOINTS).map(|at| Row {
        key: id(at),
        position,
        entry: Entry::Endpoint(EndpointEntry {
            id: id(at),
            service: if at % 5 == 0 { "other" } else { "s" }.to_string(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: "d".to_string(),
            slots: 8,
            leaving: at % 7 == 3,
            cold: Duration::ZERO,
            born: Some(5),
            version: String::new(),
        }),
    });
    let mut roster = Roster::new();
    let rows = Rows {
        rows: rows.collect(),
        position,
        next: None,
    };
    roster.replace(rows, false, NOW);
    roster
}

/// Median of paces, or their lower quartile if that is less than half of it; at least 1.
fn usual(mut paces: Vec<f64>) -> f64 {
    paces.sort_by(f64::total_cmp);
    let (median, quartile) = (paces[(paces.len() - 1) / 2], paces[(paces.len() - 1) / 4]);
    let usual = if quartile * 2.0 < median {
        quartile
    } else {
        median
    };
    usual.max(1.0)
}

proptest! {
    /// Guards against a pass that misses or mixes up what is known of an endpoint, as when its tables hold ids
    /// that are not listed or are not in the same order.
    #[test]
    fn a_pass_sees_what_lookups_see(facts in prop::collection::vec((0..ENDPOINTS + 8, 0..6u8, 1..60u32), 0..80)) {
        let mut roster = roster();
        let (mut loads, mut health, mut rests) = (Loads::new(), Health::new(), Rests::new());
        let mut peer_work = BTreeMap::new();
        for (at, kind, amount) in facts {
            let time = NOW - Duration::from_millis(u64::from(amount) * 50);
            match kind {
                0 => loads.begin(&id(at), amount, time),
                1 => drop(peer_work.insert(id(at), Work { requests: amount, unread: 1 })),
                2 => {
                    let load = EndpointLoad { running: amount, ..EndpointLoad::default() };
                    loads.record_report(&id(at), load, time);
                }
                3 => drop(health.record_failure(&id(at), time)),
                4 => {
                    let rest = RestRequest::For(Duration::from_millis(u64::from(amount) * 60));
                    rests.request(&id(at), rest, time, &mut rand::rng());
                }
                _ => {
                    roster.mark_leaving(&id(at), "5", SystemTime::UNIX_EPOCH + NOW);
                    health.record_answer(&id(at), amount > 30);
                }
            }
        }
        let peer = PeerRouter { id: &"r".to_string(), domain: &"d".to_string(), link_mbps: 1 };
        loads.set_peer_work(peer, peer_work, false, NOW);
        let tables = EndpointTables { roster: &roster, loads: &loads, health: &health, rests: &rests };
        let scanned: Vec<_> = tables.scan(|entry| entry.service == "s", NOW).collect();
        let listed: Vec<_> = roster.endpoints_of("s", NOW).collect();
        prop_assert_eq!(scanned.iter().map(|e| e.entry).collect::<Vec<_>>(), listed);
        for endpoint in scanned {
            let id = endpoint.entry.id.as_str();
            prop_assert_eq!(endpoint.leaving, roster.is_leaving(endpoint.entry));
            prop_assert_eq!(endpoint.work, loads.outstanding(id, NOW));
            prop_assert_eq!(endpoint.health.is_paused(NOW), health.is_paused(id, NOW));
            prop_assert_eq!(endpoint.health.errors(), health.errors(id));
            prop_assert_eq!(endpoint.resting, rests.until(id, NOW).is_some());
        }
    }

    /// Guards against a usual pace that leaves endpoints out wrongly: if most endpoints report that they are slow,
    /// or if some are much faster than the others.
    #[test]
    fn reported_paces_make_the_usual_one(percents in prop::collection::vec((any::<bool>(), 25..400u32), 3..40)) {
        let mut paces = Paces::new();
        paces.learn_all(true);
        let mut expected = Vec::new();
        for (at, (is_known, percent)) in percents.iter().enumerate() {
            let load = EndpointLoad { pace_percent: Some(*percent), ..EndpointLoad::default() };
            if *is_known {
                paces.record_load("s", &id(at), &load, NOW);
            }
            let pace = f64::from(*percent) / 100.0;
            expected.push(if *is_known { pace.clamp(0.5, 16.0) } else { 1.0 });
        }
        let ids: Vec<String> = (0..percents.len()).map(id).collect();
        paces.refresh("s", ids.iter().map(String::as_str), NOW);
        prop_assert_eq!(paces.usual_pace("s"), usual(expected.clone()));
        for (id, pace) in ids.iter().zip(expected) {
            let effective = if pace >= 1.5 { pace } else { 1.0 };
            prop_assert_eq!(paces.pace("s", id, NOW), effective);
        }
        let later = NOW + Duration::from_secs(20);
        paces.expire(later);
        paces.refresh("s", ids.iter().map(String::as_str), later);
        prop_assert_eq!(paces.usual_pace("s"), 1.0);
        prop_assert_eq!(paces.slow_count(), 0);
    }
}
