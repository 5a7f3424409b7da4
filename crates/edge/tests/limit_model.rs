//! Rule LIMIT in calm traffic, after half of the engines went away for 6 s under 1.8 times the load and came
//! back with empty caches.

mod engine_fleet;

use engine_fleet::{Counts, Fleet, Scenario, ms};

/// Share of requests beyond the bound in five seconds of calm. The rule allows 0.03; in 31 routers the fault made
/// 0.024 of it.
const ALLOWED: f64 = 0.02;

/// Plays the load. Returns the seconds of calm after the return, in which the callers of two fifths of the
/// requests leave early.
fn calm_after_return(scenario: &Scenario, seed: u64) -> Vec<Counts> {
    let half = 0..scenario.engines / 2;
    let mut fleet = Fleet::warm(scenario.clone(), seed);
    fleet.factor = 1.8;
    fleet.remove(half.clone());
    fleet.run(ms(6000));
    fleet.restore(half);
    fleet.factor = 1.0;
    fleet.leave_share = 0.4;
    (0..15).map(|_| fleet.run(ms(1000))).collect()
}

/// The share of requests in these seconds that `part` counts.
fn share(seconds: &[Counts], part: fn(&Counts) -> u32) -> f64 {
    let counted: u32 = seconds.iter().map(part).sum();
    let requests: u32 = seconds.iter().map(|counts| counts.requests).sum();
    f64::from(counted) / f64::from(requests)
}

fn check(scenario: &Scenario) {
    for seed in 0..2 {
        let seconds = calm_after_return(scenario, seed);
        let windows = seconds.windows(5);
        let shares = windows.map(|window| share(window, |counts| counts.over_bound));
        let worst = shares.fold(0.0, f64::max);
        let reused = share(&seconds[3..], |counts| counts.reused);
        println!("seed {seed}: worst {worst:.4}, reused {reused:.3}");
        assert!(worst < ALLOWED, "seed {seed}: {worst:.4}");
        assert!(reused > 0.85, "seed {seed}: {reused:.3}");
    }
}

/// Guards against routers that load the engines that stayed beyond twice the mean and 3: these have the subjects
/// cached, and while they get nothing their old reports raise the mean (213 of 2,781 requests in five
/// seconds of calm on the users' bench).
#[test]
fn engines_that_stayed_are_not_overloaded_in_a_fleet_of_84_routers() {
    let learns = false;
    check(&Scenario {
        learns,
        ..Scenario::default()
    });
}

/// Guards against the same fault in a fleet with fewer routers and smaller engines (506 of 3,186 requests).
#[test]
fn engines_that_stayed_are_not_overloaded_in_a_fleet_of_31_routers() {
    check(&Scenario {
        routers: 31,
        engines: 90,
        slots: 24,
        per_second: 600.0,
        learns: false,
        ..Scenario::default()
    });
}

/// Guards against learned speeds that move so much load that the bound breaks.
#[test]
fn learned_speed_keeps_the_bound() {
    check(&Scenario::default());
}
