//! Tests of the endpoint health: probes, leaving, restarts and flap damping.

use proptest::prelude::*;
use sequoiaridge_membership::{
    EndpointHealth, EndpointReport, HealthConfig, HealthEvent, HealthState,
};
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(3);

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn report(boot: u64, leaving: bool) -> EndpointReport {
    EndpointReport {
        boot,
        leaving,
        running: 1,
        capacity: 8,
    }
}

fn probed(at: u64) -> EndpointHealth {
    let mut health = EndpointHealth::new(HealthConfig::default());
    assert_eq!(health.state(secs(at)), HealthState::Unknown);
    assert!(health.probe_due(secs(at)) && !health.admissible(secs(at), BOUND));
    health.probe_ok(report(1, false), secs(at));
    assert!(health.admissible(secs(at), BOUND));
    health
}

/// Guards against one lost answer that takes an endpoint down, and against a dead endpoint that
/// stays up.
#[test]
fn two_failures_or_a_failed_connect_mean_down() {
    let mut health = probed(1);
    health.probe_failed(secs(2), false);
    assert_eq!(health.state(secs(2)), HealthState::Up);
    health.probe_failed(secs(3), false);
    assert_eq!(health.state(secs(3)), HealthState::Down);
    health.probe_ok(report(1, false), secs(4));
    health.probe_failed(secs(5), true);
    assert_eq!(health.state(secs(5)), HealthState::Down);
    let expected = [
        HealthEvent::Up,
        HealthEvent::Down,
        HealthEvent::Up,
        HealthEvent::Down,
    ];
    assert_eq!(health.events(), expected);
}

/// Guards against new work for a leaving endpoint, whether it or the list reports the leaving.
#[test]
fn leaving_takes_effect_at_once() {
    let mut health = probed(1);
    health.set_listed_leaving(true, secs(1));
    assert_eq!(health.state(secs(1)), HealthState::Leaving);
    health.set_listed_leaving(false, secs(2));
    assert!(health.admissible(secs(2), BOUND));
    health.probe_ok(report(1, true), secs(2));
    assert_eq!(health.state(secs(2)), HealthState::Leaving);
    assert!(!health.admissible(secs(2), BOUND));
}

/// Guards against probes that pile up on a slow endpoint, and against probing that stops after a
/// lost probe.
#[test]
fn one_probe_at_a_time() {
    let mut health = probed(1);
    assert!(!health.probe_due(secs(1)));
    assert!(health.probe_due(secs(2)));
    assert!(
        !health.probe_due(secs(4)),
        "the last probe is not answered yet"
    );
    assert!(
        health.probe_due(secs(7)),
        "a lost probe must not stop the next ones"
    );
    health.probe_failed(secs(8), false);
    assert!(health.probe_due(secs(8)));
}

/// Guards against a fast restart that stays unnoticed because no probe fails.
#[test]
fn boot_change_is_reported_and_counts_as_a_flap() {
    let mut health = probed(1);
    for boot in 2..4 {
        health.probe_ok(report(boot, false), secs(boot));
    }
    let events = health.events();
    assert!(
        events.contains(&HealthEvent::Restarted { old: 1, new: 2 }),
        "{events:?}"
    );
    assert_eq!(
        health.state(secs(3)),
        HealthState::Damped { until: secs(13) }
    );
    assert_eq!(health.state(secs(13)), HealthState::Up);
}

/// Guards against a flapping endpoint that takes work between its failures, and against one that is
/// damped for longer than the limit.
#[test]
fn hold_time_doubles_up_to_its_limit() {
    let mut health = probed(1);
    let mut at = 1;
    let mut flap = |health: &mut EndpointHealth| {
        health.probe_failed(secs(at + 1), true);
        health.probe_ok(report(1, false), secs(at + 2));
        at += 2;
        (health.state(secs(at)), at)
    };
    assert_eq!(flap(&mut health).0, HealthState::Up);
    for hold in [10, 40, 120, 120] {
        let (state, at) = flap(&mut health);
        assert_eq!(
            state,
            HealthState::Damped {
                until: secs(at + hold)
            }
        );
        assert!(!health.admissible(secs(at), BOUND));
    }
    let events = health.events();
    let damped = events.iter().filter(|event| **event == HealthEvent::Damped);
    assert_eq!(damped.count(), 1, "{events:?}");
    let later = secs(at + 120);
    health.probe_ok(report(1, false), later);
    assert!(health.admissible(later, BOUND));
    health.probe_failed(later + secs(100), true);
    health.probe_ok(report(1, false), later + secs(101));
    assert!(
        health.admissible(later + secs(101), BOUND),
        "old flaps still count"
    );
}

proptest! {
    /// Guards against a violation of H5: new work for an endpoint without a successful probe, sent
    /// within the bound, that shows that it is not leaving, for any order of answers, failures and
    /// list entries.
    #[test]
    fn work_needs_a_recent_answer(steps in prop::collection::vec((0..6u8, 1..1500u64), 1..80)) {
        let mut health = EndpointHealth::new(HealthConfig::default());
        let (mut now, mut sent, mut good, mut listed) = (secs(1), None, None, false);
        for (step, millis) in steps {
            now += Duration::from_millis(millis);
            match step {
                0 | 1 => sent = health.probe_due(now).then_some(now).or(sent),
                2 | 3 if sent.is_some() => {
                    let leaving = step == 3 && millis % 4 == 0;
                    health.probe_ok(report(1, leaving), now);
                    good = sent.take().filter(|_| !leaving);
                }
                4 => {
                    health.probe_failed(now, millis % 4 == 0);
                    sent = None;
                }
                5 => {
                    listed = millis % 3 == 0;
                    health.set_listed_leaving(listed, now);
                }
                _ => {}
            }
            if health.admissible(now, BOUND) {
                prop_assert!(!listed);
                prop_assert!(good.is_some_and(|at| now - at <= BOUND));
            }
        }
    }
}
