//! Callers that repeat at once and often, beside patient ones.
//!
//! Guards the patient against customers that would gain from ignoring `Retry-After`.

mod admission_fleet;

use admission_fleet::{Callers, Figures, Setup, model, plain, play};

fn impatient(setup: Setup) -> Figures {
    play(Setup {
        callers: Callers::SomeImpatient,
        ..setup
    })
}

/// Calls served for customers of similar size: the impatient ones are 1, 5, 9 and so on.
fn check(name: &str, figures: &Figures) {
    println!("{name}: {}", figures.summary());
    let served = |offset: usize| -> f64 {
        let customers = (0..9).map(|n| figures.customers[4 * n + offset].served);
        customers.sum()
    };
    let (before, impatient, after) = (served(0), served(1), served(2));
    println!("{name}: {before} {impatient} {after}");
    // A customer's neighbours differ in size by a few percent only, in both directions.
    assert!(
        impatient <= 1.1 * (before + after) / 2.0,
        "impatient callers gain: {impatient} of {before} and {after}"
    );
    assert!(figures.rejected < 0.05 * figures.server_arrivals);
    assert!(figures.worst_of_best() >= 0.9, "{}", figures.summary());
}

#[test]
fn impatient_callers_gain_nothing_at_plain_services() {
    for routers in [7, 84] {
        check("plain", &impatient(plain(routers, 8.0)));
    }
}

#[test]
fn impatient_callers_gain_nothing_at_model_services() {
    for routers in [31, 84] {
        check("model", &impatient(model(routers, 10.0)));
    }
}
