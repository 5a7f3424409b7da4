//! Engines that were slow recover.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Guards against engines that stay without work after a fault, so that the others carry their load.
#[test]
fn recovered_engines_are_used_again_within_three_seconds() {
    for seed in 0..3 {
        let mut fleet = Fleet::warm(Scenario::default(), seed);
        fleet.slow(0..24, 5.0);
        fleet.run(ms(9000));
        fleet.slow(0..24, 1.0);
        fleet.run(ms(2000));
        let third = fleet.run(ms(1000)).share_of(0..24);
        let known = fleet.effective(0..24);
        println!("seed {seed}: share {third:.3}, slow {known:.3}");
        assert!(third > 0.3, "seed {seed}: {third:.3}");
        assert!(known < 0.05, "seed {seed}: {known:.3}");
    }
}
