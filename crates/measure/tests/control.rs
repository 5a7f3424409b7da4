//! Bounds on control traffic and on the size of configuration changes, for the fleet sizes in
//! `docs/design.md`.

use sequoiaridge_measure::config_bytes;
use sequoiaridge_measure::control::{Size, measure};
use std::time::Duration;

const SEED: u64 = 7;

/// Guards against control traffic above 4 KB/s at today's fleet size, load counts that are older
/// than the lag in the placement tests, and cross-domain traffic above that of a full mesh.
#[test]
fn control_traffic_of_8_routers() {
    let size = Size {
        routers: 8,
        domains: 4,
        engines: 20,
    };
    let traffic = measure(size, Duration::from_secs(60), SEED);
    println!("{traffic}");
    assert!(traffic.busiest <= 4_000.0);
    assert!(traffic.age <= Duration::from_millis(300));
    let cross_domain: f64 = traffic.kinds.values().map(|(_, far)| far).sum();
    assert!(cross_domain < traffic.full_mesh * 6.0 / 7.0);
}

/// Guards against control traffic above 23 KB/s at the target size, and against traffic that grows
/// with the fleet: from 128 to 370 routers it must not rise by more than a tenth.
#[test]
fn control_traffic_of_370_routers() {
    let rate = |routers, engines| {
        let size = Size {
            routers,
            domains: 12,
            engines,
        };
        let traffic = measure(size, Duration::from_secs(4), SEED);
        println!("{routers} routers: {traffic}");
        assert!(traffic.busiest <= 23_000.0);
        traffic.mean()
    };
    assert!(rate(370, 7500) <= 1.1 * rate(128, 2000));
}

/// Guards against changes that cost as much as the whole document: changes and gossip together must
/// stay within 23 KB/s.
#[test]
fn changes_are_small() {
    let bytes = config_bytes::measure(2100);
    println!("{bytes:?}");
    assert!(bytes.change_rate() < 100.0 && bytes.full_rate() > 10_000.0);
    assert!(bytes.break_even() as u64 > config_bytes::SNAPSHOT_EVERY);
}
