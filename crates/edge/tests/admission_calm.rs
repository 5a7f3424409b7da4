//! Admission without a surge, and at the edges of what it knows.
//!
//! Guards against refusals that nobody needs: in calm, of take-ups, and where nothing is known.

mod admission_fleet;

use admission_fleet::{endpoint, model, plain, play, room};
use sequoiaridge_edge::{Admission, Admitted, Arrival, DemandReport};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn arrival(attempt: &str) -> Arrival<'_> {
    admission_fleet::arrival(attempt, MS(200), MS(2000))
}

/// 1,000 requests a second for 3 s at an endpoint of six slots that holds `requests`; the number refused,
/// and the last refusal.
fn overload(
    admission: &mut Admission,
    requests: u32,
    changed: impl Fn(&mut Arrival<'_>),
) -> (u32, Option<Admitted>) {
    let room = room(vec![endpoint(6, requests)], MS(200));
    let (mut refused, mut last) = (0, None);
    for ms in 0..3000 {
        if ms % 100 == 0 {
            admission.refresh(&room, MS(ms));
        }
        let attempt = format!("a-{ms}");
        let mut arrival = arrival(&attempt);
        changed(&mut arrival);
        if let refusal @ Admitted::No(_) = admission.decide(&arrival, MS(ms)) {
            refused += 1;
            last = Some(refusal);
        }
    }
    (refused, last)
}

#[test]
fn calm_traffic_is_never_refused() {
    for routers in [1, 7, 31, 84, 300] {
        for setup in [plain(routers, 1.0), model(routers, 1.0)] {
            let figures = play(setup);
            let summary = figures.summary();
            assert_eq!(figures.refusals(), 0, "{routers} routers: {summary}");
        }
    }
}

/// Demand may look large, since a route has no samples yet. As long as slots are empty, nothing is refused.
#[test]
fn nothing_is_refused_while_slots_are_empty() {
    let mut admission = Admission::new(true);
    assert_eq!(overload(&mut admission, 3, |_| ()).0, 0);
}

#[test]
fn refusals_say_when_to_come_back_within_a_third_of_the_time_left() {
    let mut admission = Admission::new(true);
    let (refused, last) = overload(&mut admission, 20, |_| ());
    assert!(refused > 1000, "{refused} refused");
    let Some(Admitted::No(refusal)) = last else {
        panic!("a refusal");
    };
    let thirds = MS(2000) / 9..=MS(2000) / 3;
    assert!(thirds.contains(&refusal.retry_after), "{refusal:?}");
}

#[test]
fn take_ups_are_admitted_but_count_as_demand() {
    let mut admission = Admission::new(true);
    let (refused, _) = overload(&mut admission, 20, |arrival| arrival.resumed = true);
    assert_eq!(refused, 0);
    let figures = admission.figures("s").expect("the service is known");
    assert!(figures.demand > 6.0, "{figures:?}");
}

/// Placement refuses then, with the reason that applies.
#[test]
fn all_is_admitted_without_endpoints() {
    let mut admission = Admission::new(true);
    for ms in 0..2000 {
        if ms % 100 == 0 {
            admission.refresh(&room(Vec::new(), MS(200)), MS(ms));
        }
        let attempt = format!("a-{ms}");
        assert_eq!(admission.decide(&arrival(&attempt), MS(ms)), Admitted::Yes);
    }
}

/// Other deployments must be served as before.
#[test]
fn it_applies_for_a_minute_after_the_last_report_of_a_pace() {
    let mut admission = Admission::new(false);
    assert_eq!(overload(&mut admission, 20, |_| ()).0, 0);
    assert!(admission.report(MS(3000)).is_empty());
    admission.note_pace_report("s", MS(3000));
    assert!(admission.is_on("s", MS(62_999)));
    assert!(!admission.is_on("s", MS(63_000)));
}

/// Reports come from other processes; figures that are no numbers must not turn into refusals.
#[test]
fn invalid_figures_in_reports_have_no_effect() {
    let mut admission = Admission::new(true);
    let (_, _) = overload(&mut admission, 20, |_| ());
    let mut report = admission.report(MS(3000)).pop().expect("a report");
    let before = admission.figures("s").expect("figures").demand;
    report.total = f32::NAN;
    report.late = f32::NEG_INFINITY;
    report.customers = vec![(1, f32::INFINITY); 1000];
    report.others = (f32::NAN, u16::MAX);
    let reports: Vec<DemandReport> = vec![report];
    admission.merge(&"other".to_string(), reports, MS(3000));
    admission.refresh(&room(vec![endpoint(6, 20)], MS(200)), MS(3000));
    let after = admission.figures("s").expect("figures").demand;
    assert!(
        after.is_finite() && after <= before * 1.1,
        "{before} to {after}"
    );
}

/// Routers run for months in 160 MB.
#[test]
fn what_is_not_seen_any_more_is_dropped() {
    let mut admission = Admission::new(true);
    overload(&mut admission, 20, |_| ());
    assert!(admission.figures("s").is_some());
    admission.expire(MS(3000) + Duration::from_secs(120));
    assert!(admission.figures("s").is_none());
}
