//! Which request of the fleet probes a held part of prompts.

use sequoiaridge_edge::{QuarantineProbes, is_designated};
use sequoiaridge_policy::{Block, Suspect};
use std::time::Duration;

const PART: Suspect = Suspect::Part(7);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn block(may_probe: bool) -> Block {
    Block {
        suspect: PART,
        strikes: 3,
        retry_after: seconds(1),
        may_probe,
    }
}

/// Guards against a part that stays held because its probe found no endpoint, and against probes
/// that crash one endpoint after another while their outcome stays unknown.
#[test]
fn a_probe_is_repeated_if_no_endpoint_ran_it_and_hardly_otherwise() {
    let mut probes = QuarantineProbes::new();
    assert!(!probes.start(&block(false), "early", seconds(1)));
    assert!(probes.start(&block(true), "a", seconds(6)));
    assert!(probes.is_probe(&block(true), "a"));
    assert!(!probes.start(&block(true), "b", seconds(7)));
    probes.cancel("a");
    assert!(probes.start(&block(true), "b", seconds(8)));
    let later = (9..10_000).step_by(10);
    let started = later.filter(|at| probes.start(&block(true), &format!("c{at}"), seconds(*at)));
    assert_eq!(started.count(), 1);
}

/// Guards against routers that all probe a part, each of which may crash an endpoint, and against
/// none that does.
#[test]
fn one_router_probes_a_part() {
    let routers: Vec<String> = (0..295).map(|router| format!("r{router}")).collect();
    for part in 0..50 {
        let designated = routers.iter().filter(|own| {
            let others = routers.iter().filter(|other| other != own);
            is_designated(own, others, Suspect::Part(part))
        });
        assert_eq!(designated.count(), 1, "part {part}");
    }
}
