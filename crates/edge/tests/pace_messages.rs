//! Messages between routers that carry paces get lost or arrive twice, and must fit in a datagram.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};
use sequoiaridge_edge::{EndpointLoad, Loads, PeerMessage};

/// Guards against learned speeds that depend on single messages: a third is lost, and a third arrives again after
/// the engines have recovered.
#[test]
fn lost_and_repeated_messages_change_little() {
    let scenario = Scenario {
        loss: 0.33,
        repeats: 0.33,
        ..Scenario::default()
    };
    for seed in 0..2 {
        let mut fleet = Fleet::warm(scenario.clone(), seed);
        let noise = fleet.mean_effective(ms(3000));
        fleet.slow(0..24, 5.0);
        fleet.run(ms(1500));
        let known = fleet.effective(0..24);
        fleet.run(ms(3000));
        fleet.slow(0..24, 1.0);
        fleet.run(ms(3000));
        let left = fleet.effective(0..24);
        println!("seed {seed}: noise {noise:.4}, known {known:.3}, left {left:.3}");
        assert!(noise < 0.01, "seed {seed}: {noise:.4}");
        assert!(known > 0.8, "seed {seed}: {known:.3}");
        assert!(left < 0.05, "seed {seed}: {left:.3}");
    }
}

fn slow_report(requests: u32) -> EndpointLoad {
    EndpointLoad {
        running: requests,
        waiting: 0,
        slots: 24,
        pace_percent: Some(500),
    }
}

/// Guards against messages that fit in no datagram, and so are never sent, because entries carry a pace.
#[test]
fn load_reports_with_paces_fit_in_a_datagram() {
    let now = ms(5000);
    for (requests, entries) in [(9, 88), (1000, 78), (60_000, 70)] {
        let mut loads = Loads::new();
        for index in 0..300 {
            let id = format!("i-{index:08x}");
            let report = slow_report(requests);
            loads.record_report(&id, report, now);
            loads.paces_mut().record_load("s", &id, &report, now);
        }
        let reports = loads.newest_reports(now);
        assert_eq!(reports.len(), entries);
        let message = PeerMessage {
            load_reports: reports,
            ..PeerMessage::default()
        };
        let empty = postcard::to_stdvec(&PeerMessage::default()).expect("bytes");
        let bytes = postcard::to_stdvec(&message).expect("bytes").len() - empty.len();
        assert!(bytes <= 704, "{bytes}");
    }
}

/// Guards against small fleets, which exchange no load reports, in which no router learns what another one saw,
/// and against their messages becoming too long.
#[test]
fn a_small_fleet_shares_the_slow_endpoints() {
    let now = ms(5000);
    let (mut first, mut second) = (Loads::new(), Loads::new());
    for index in 0..100 {
        let id = format!("e{index}");
        first
            .paces_mut()
            .record_load("s", &id, &slow_report(1), now);
    }
    let entries = first.slowest(now);
    assert_eq!(entries.len(), 32);
    second.paces_mut().learn_all(true);
    second.merge_reports(&entries, now);
    let paces = second.paces();
    let known = (0..100).filter(|index| paces.pace("s", &format!("e{index}"), now) > 4.0);
    assert_eq!(known.count(), 32);
    let counted =
        (0..100).filter(|index| second.outstanding(&format!("e{index}"), now).requests > 0);
    assert_eq!(
        counted.count(),
        0,
        "an entry with a pace only is no load report"
    );
}
