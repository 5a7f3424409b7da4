//! A fleet of even engines: in calm, with longer prompts everywhere, and in a busy hour.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Share of the routers' views in which an endpoint may count as slow for a moment, while it reads prompts.
const NOISE: f64 = 0.01;

fn check(fleet: &mut Fleet, what: &str) {
    fleet.changes = 0;
    let mean = fleet.mean_effective(ms(10_000));
    println!("{what}: {mean:.4}, logged {}", fleet.changes);
    assert!(mean < NOISE, "{what}: {mean:.4}");
    assert_eq!(
        fleet.changes, 0,
        "{what}: an endpoint was slow for a second"
    );
}

/// Guards against endpoints that get less because of noise, or because all of them are busier or read longer
/// prompts than a moment ago.
#[test]
fn no_endpoint_of_an_even_fleet_counts_as_slow() {
    for seed in 0..2 {
        let mut fleet = Fleet::warm(Scenario::default(), seed);
        check(&mut fleet, "calm");
        fleet.extra_tokens = 1500.0;
        check(&mut fleet, "longer prompts");
        fleet.extra_tokens = 0.0;
        fleet.factor = 2.5;
        check(&mut fleet, "busy hour");
    }
}
