//! When a router takes its links to the endpoints for lost.

use sequoiaridge_edge::Isolation;
use std::net::SocketAddr;
use std::time::Duration;

const ENDPOINTS: usize = 18;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a router that asks others whenever one or two endpoints crash, or when endpoints crash over a
/// long time.
#[test]
fn only_failures_of_several_endpoints_together_are_suspicious() {
    let mut links = Isolation::new();
    for _ in 0..10 {
        assert!(!links.record_failure(address(1), ENDPOINTS, secs(1.0)));
        assert!(!links.record_failure(address(2), ENDPOINTS, secs(1.0)));
    }
    assert!(!links.record_opened());
    assert!(!links.record_failure(address(3), ENDPOINTS, secs(1.5)));
    assert!(!links.record_failure(address(1), ENDPOINTS, secs(1.5)));
    assert!(links.record_failure(address(2), ENDPOINTS, secs(1.5)));
    assert!(!links.record_failure(address(4), ENDPOINTS, secs(9.0)));
    assert!(!links.is_isolated());
}

/// Guards against a small fleet of endpoints whose loss is never noticed.
#[test]
fn all_of_a_few_endpoints_suffice() {
    let mut links = Isolation::new();
    assert!(!links.record_failure(address(1), 2, secs(1.0)));
    assert!(links.record_failure(address(2), 2, secs(1.0)));
}

/// Guards against links that count as lost on the word of this router alone, and against a single connection
/// that opens by chance and ends the detour.
#[test]
fn links_are_lost_once_confirmed_and_back_after_two_connections() {
    let mut links = Isolation::new();
    for number in 0..9 {
        links.record_failure(address(number), ENDPOINTS, secs(1.0));
    }
    assert!(!links.is_isolated());
    assert!(links.confirm());
    assert!(!links.confirm());
    assert!(!links.record_opened());
    assert!(links.record_failure(address(1), ENDPOINTS, secs(2.0)));
    assert!(!links.record_opened());
    assert!(links.is_isolated());
    assert!(links.record_opened());
    assert!(!links.is_isolated());
    assert!(!links.record_opened());
}
