//! One router has a bad link and sees everything slowly.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Guards against one router that convinces the fleet that engines are slow, when its link turns bad and while it
/// stays so.
#[test]
fn a_router_with_a_bad_link_does_not_convince_the_fleet() {
    for seed in 0..2 {
        let mut fleet = Fleet::warm(Scenario::default(), seed);
        fleet.scenario.bad_links = 1;
        fleet.scenario.bad_link_factor = 5.0;
        let turning = fleet.mean_effective(ms(3000));
        let bad = fleet.mean_effective(ms(10_000));
        println!("seed {seed}: turning {turning:.4}, bad {bad:.4}");
        assert!(turning < 0.02, "seed {seed}: {turning:.4}");
        assert!(bad < 0.01, "seed {seed}: {bad:.4}");
    }
}
