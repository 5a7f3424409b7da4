//! An engine that nobody has sampled joins while others are slow.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Guards against an engine that gets all the load because it looks fast, and against one that gets none because
/// nothing is known of it.
#[test]
fn a_new_engine_is_neither_flooded_nor_forgotten() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(Scenario::default(), seed);
        fleet.remove(59..60);
        fleet.run(ms(25_000));
        fleet.slow(0..24, 5.0);
        fleet.run(ms(3000));
        fleet.restore(59..60);
        let first = fleet.run(ms(1000)).share_of(59..60) * 60.0;
        let later = fleet.run(ms(4000)).share_of(59..60) * 60.0;
        println!("seed {seed}: {first:.2} and {later:.2} of an even share");
        assert!(
            first < 5.0 && later < 5.0,
            "seed {seed}: {first:.2}, {later:.2}"
        );
        assert!(first + later > 0.3, "seed {seed}: {first:.2}, {later:.2}");
    }
}
