//! A fleet of even engines, also with long prompts everywhere or in a busy hour.

mod engine_fleet;

use engine_fleet::{Fleet, Scenario, ms};

/// Highest share of the routers' views in which an endpoint is slow, in steps of 100 ms, and the mean.
fn effective(fleet: &mut Fleet, steps: u32) -> (f64, f64) {
    let engines = 0..fleet.scenario.engines;
    let shares = (0..steps).map(|_| {
        fleet.run(ms(100));
        fleet.effective(engines.clone())
    });
    let shares: Vec<f64> = shares.collect();
    let max = shares.iter().copied().fold(0.0, f64::max);
    (max, shares.iter().sum::<f64>() / shares.len() as f64)
}

/// Guards against endpoints that get less because of noise, or because all of them are busier or read longer
/// prompts than a moment ago.
#[test]
fn no_endpoint_of_an_even_fleet_counts_as_slow() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(Scenario::default(), seed);
        fleet.run(ms(25_000));
        println!("calm {:?}", effective(&mut fleet, 100));
        fleet.extra_tokens = 1500.0;
        println!("long {:?}", effective(&mut fleet, 100));
        fleet.extra_tokens = 0.0;
        fleet.factor = 2.5;
        println!("busy {:?}", effective(&mut fleet, 100));
    }
}
