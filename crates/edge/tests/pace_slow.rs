//! Two fifths of the engines become five times slower under 1.8 times the load.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Guards against routers that send slow engines as much as others (a fifth of the requests was late in such a
/// fault), and against slow engines that get nothing, so that nobody sees their recovery.
#[test]
fn load_moves_away_from_slow_engines_within_a_second() {
    for seed in 0..3 {
        let mut fleet = Fleet::warm(Scenario::default(), seed);
        fleet.factor = 1.8;
        fleet.slow(0..24, 5.0);
        fleet.run(ms(1000));
        let known = fleet.effective(0..24);
        let turn = fleet.run(ms(1000));
        let after = fleet.run(ms(7000));
        let (share, in_time) = (after.share_of(0..24), after.in_time_share());
        println!("seed {seed}: known {known:.3}, share {share:.3}, in time {in_time:.3}");
        assert!(known > 0.8, "seed {seed}: {known:.3}");
        assert!(share < 0.2, "seed {seed}: {share:.3}");
        assert!(in_time > 0.9, "seed {seed}: {in_time:.3}");
        assert_eq!(turn.refused + after.refused, 0, "seed {seed}");
        let sampled = (0..24).filter(|engine| after.by_engine.contains_key(engine));
        assert_eq!(sampled.count(), 24, "seed {seed}: every engine is sampled");
    }
}

/// Guards against fast engines that pass for unusually fast when most are slow, while none counts as slow.
#[test]
fn the_few_fast_engines_are_what_is_usual() {
    let mut fleet = Fleet::warm(Scenario::default(), 0);
    fleet.slow(0..24, 5.0);
    fleet.run(ms(2000));
    fleet.slow(24..42, 8.0);
    fleet.run(ms(2500));
    let (slow, fast) = (fleet.effective(0..42), fleet.effective(42..60));
    println!("slow {slow:.3}, fast {fast:.3}");
    assert!(slow > 0.7, "{slow:.3}");
    assert!(fast < 0.1, "{fast:.3}");
}
