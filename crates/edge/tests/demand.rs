//! The demand that routers report to each other, within the bytes of a datagram.

use sequoiaridge_core::RouterId;
use sequoiaridge_edge::{
    DemandReport, MAX_DEMAND_BYTES, PeerMessage, Position, TableDigest, demand_bytes, fit_demand,
};
use sequoiaridge_wire::{PeerKeys, Sealer};

/// A report whose numbers take as many bytes as any, with customers of demand `least`, `least` + 1, ...
fn report(service: u32, customers: u32, least: f32) -> DemandReport {
    let customers = (0..customers).map(|index| (u32::MAX - index, least + index as f32));
    DemandReport {
        service: u32::MAX - service,
        total: 1000.5 + service as f32,
        ranks: (0..4).map(|rank| (rank, 200.5)).collect(),
        late: 3.5,
        customers: customers.collect(),
        others: (7.5, u16::MAX - 200),
    }
}

fn by_customers(report: &DemandReport) -> f32 {
    let customers = report.customers.iter().map(|(_, demand)| demand);
    customers.sum::<f32>() + report.others.0
}

/// Guards against a datagram that cannot be sent because many services are short of room at once: then no
/// other router hears of the demand just when it matters.
#[test]
fn the_demand_on_many_services_fits_in_a_datagram() {
    let reports: Vec<DemandReport> = (0..60).map(|service| report(service, 12, 0.5)).collect();
    let fitting = fit_demand(reports, MAX_DEMAND_BYTES);
    assert!(demand_bytes(&fitting) <= MAX_DEMAND_BYTES);
    let encoded = postcard::to_allocvec(&fitting).expect("bytes");
    assert!(encoded.len() <= MAX_DEMAND_BYTES + 1, "{}", encoded.len());
    let keys = PeerKeys::from_bytes([7; 32], None);
    let id: RouterId = "edge-with-a-long-name-1".to_string();
    let position = Position::new(u32::MAX, u64::MAX);
    let digest = TableDigest {
        floor: position,
        last_change: position,
        revision: position,
        age_ms: u32::MAX,
        reader: u32::MAX,
    };
    let message = PeerMessage {
        address: Some("10.0.0.1:7340".parse().expect("an address")),
        domain: "a-domain-with-a-long-name".to_string(),
        link_mbps: u32::MAX,
        configuration: Some(digest),
        endpoints: Some(digest),
        crash_digest: u32::MAX,
        demand: fitting.clone(),
        ..PeerMessage::default()
    };
    let sealer = Sealer::new(&keys, id, u64::MAX);
    sealer.seal(&message).expect("a datagram");
    // Those with the most demand are kept.
    assert!(fitting.len() >= 15, "{}", fitting.len());
    let kept = fitting.iter().all(|kept| kept.total > 1040.0);
    assert!(kept, "{fitting:?}");
}

/// Guards against demand that is lost when a message is too short for all customers: the level up to which
/// each is admitted would be too high, and the service overloaded.
#[test]
fn small_customers_that_do_not_fit_are_counted_with_the_others() {
    let reports = vec![report(0, 12, 0.5), report(1, 12, 100.5)];
    let before: Vec<f32> = reports.iter().map(by_customers).collect();
    let limit = demand_bytes(&reports) - 5 * 9;
    let fitting = fit_demand(reports, limit);
    assert_eq!(
        (fitting[0].customers.len(), fitting[1].customers.len()),
        (7, 12)
    );
    assert_eq!(fitting[0].others.1, u16::MAX - 195);
    assert_eq!(
        fitting.iter().map(by_customers).collect::<Vec<f32>>(),
        before
    );
    let least = fitting[0].customers.iter().map(|(_, demand)| *demand);
    assert_eq!(least.fold(f32::MAX, f32::min), 5.5);
}

/// Guards against a change of reports that fit as they are.
#[test]
fn reports_that_fit_stay_as_they_are() {
    let reports = vec![report(0, 12, 0.5), report(1, 3, 0.5)];
    assert_eq!(fit_demand(reports.clone(), MAX_DEMAND_BYTES), reports);
}
