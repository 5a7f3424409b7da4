//! Prints the figures of `docs/measurements.md`.
//!
//! `measure placement [SEED]`, `measure control [SEED]` or `measure config`.

use sequoiaridge_measure::placement::{Baseline, Fleet, Placer, Scenario, Workload, run};
use sequoiaridge_measure::{config_bytes, control as traffic};
use std::time::Duration;

/// New chats per second.
const RATE: f64 = 6.0;
/// Length of one run in virtual time.
const LENGTH: Duration = Duration::from_secs(1500);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seed = arguments.get(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    match arguments.first().map(String::as_str) {
        Some("placement") => {
            let scenarios = [Scenario::Calm, Scenario::Churn, Scenario::Disagreement];
            let wanted = arguments.get(2).map(String::as_str);
            let wanted = |s: &&Scenario| wanted.is_none_or(|name| s.name() == name);
            scenarios
                .iter()
                .filter(wanted)
                .for_each(|s| placement(*s, seed));
        }
        Some("control") => control(seed),
        Some("config") => config(),
        _ => eprintln!("usage: measure placement|control|config [SEED]"),
    }
}

fn placement(scenario: Scenario, seed: u64) {
    println!(
        "{} (seed {seed}, {LENGTH:?}, 8 routers, 20 engines)",
        scenario.name()
    );
    let measure = |name: &str, placer: &mut dyn Placer| {
        let workload = Workload::new(RATE, seed);
        let figures = run(placer, workload, scenario.changes(LENGTH), LENGTH, seed);
        println!("  {name:18} {figures}");
    };
    for millis in [0, 300, 1000, 3000] {
        let mut fleet = Fleet::new(8, Duration::from_millis(millis));
        measure(&format!("owners, lag {millis} ms"), &mut fleet);
    }
    for mut baseline in [
        Baseline::Random,
        Baseline::RoundRobin(0),
        Baseline::Rendezvous,
        Baseline::Bounded,
        Baseline::Oracle,
    ] {
        measure(baseline.name(), &mut baseline);
    }
}

fn control(seed: u64) {
    let sizes = [
        (8, 4, 20, 60),
        (32, 4, 400, 30),
        (128, 12, 2000, 20),
        (370, 12, 7500, 12),
    ];
    for (routers, domains, engines, seconds) in sizes {
        let size = traffic::Size {
            routers,
            domains,
            engines,
        };
        let figures = traffic::measure(size, Duration::from_secs(seconds), seed);
        println!("{routers} routers, {engines} engines (seed {seed}): {figures}");
    }
}

fn config() {
    for customers in [10, 2100] {
        let bytes = config_bytes::measure(customers);
        println!(
            "{customers} customers: document {} B, class change {} B, customer change {} B; at 6,700 \
             changes a day {:.0} B/s as documents, {:.1} B/s as changes; equal at {} changes",
            bytes.document,
            bytes.class_change,
            bytes.customer_change,
            bytes.full_rate(),
            bytes.change_rate(),
            bytes.break_even()
        );
    }
}
