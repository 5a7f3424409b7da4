//! Tests of the chat index, the class policy, the retry budget, backoff and quarantine.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiaridge_core::{Repeat, Targets, Verdict};
use sequoiaridge_policy::{
    Backoff, ChatIndex, ClassPolicy, Crash, Quarantine, QuarantineState, RetryBudget, Suspect,
    SuspectSlots,
};
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(600);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn crash(fingerprint: u64, endpoint: &str, boot: &str) -> Crash {
    Crash {
        suspect: Suspect::Request(fingerprint),
        endpoint: endpoint.to_string(),
        boot: boot.to_string(),
        earlier: 0,
    }
}

/// Guards against an index that grows without bound or drops chats in use.
#[test]
fn index_drops_the_least_recent_chat() {
    let mut index = ChatIndex::new(2);
    index.record(1, "a", secs(1));
    index.record(2, "b", secs(2));
    index.record(1, "c", secs(3));
    index.record(3, "d", secs(4));
    assert_eq!(index.len(), 2);
    assert_eq!(index.get(1).map(String::as_str), Some("c"));
    assert_eq!(index.get(2), None);
}

/// Guards against a handover that loses chats or overwrites newer entries with older ones, also if
/// the clocks of the two routers have different origins.
#[test]
fn merge_keeps_the_newer_place() {
    let mut old = ChatIndex::new(9);
    old.record(1, "old", secs(1_000));
    old.record(2, "kept", secs(1_090));
    let mut new = ChatIndex::new(9);
    new.record(1, "new", secs(45));
    new.merge(&old.entries(secs(1_100)), secs(50));
    assert_eq!(new.get(1).map(String::as_str), Some("new"));
    assert_eq!(new.get(2).map(String::as_str), Some("kept"));
    assert_eq!(new.entries(secs(50))[1].age, secs(10));
}

/// Guards against deviations from the table of section 4.7, in particular at values where floating
/// point is just above or below a whole number.
#[test]
fn policy_follows_the_table() {
    let policy = |first_token, answered| {
        ClassPolicy::from_targets(&Targets {
            first_token,
            answered,
            ..Targets::default()
        })
    };
    for (answered, attempts) in [(0.5, 2), (0.9, 2), (0.99, 3), (0.999, 4), (0.9999, 4)] {
        assert_eq!(
            policy(1.0, answered).attempts,
            attempts,
            "answered {answered}"
        );
    }
    for (first_token, priority) in [
        (0.01, 0),
        (0.1, 0),
        (0.64, 3),
        (1.0, 4),
        (10.0, 8),
        (600.0, 9),
    ] {
        assert_eq!(
            policy(first_token, 0.9).engine_priority,
            priority,
            "{first_token} s"
        );
    }
    assert_eq!(policy(0.64, 0.9).allowed_wait, Duration::from_millis(320));
    assert!(policy(1.0, 0.9).shed_before(&policy(1.0, 0.99)));
}

/// Guards against a second run of a call that must not be repeated.
#[test]
fn repeat_never_only_retries_what_did_not_run() {
    let targets = Targets {
        repeat: Repeat::Never,
        ..Targets::default()
    };
    let policy = ClassPolicy::from_targets(&targets);
    assert!(policy.may_retry(Verdict::NotRun, 1));
    assert!(!policy.may_retry(Verdict::MayHaveRun, 1));
    assert!(!policy.may_retry(Verdict::NotRun, policy.attempts));
    assert!(!ClassPolicy::from_targets(&Targets::default()).may_retry(Verdict::Done, 1));
}

proptest! {
    /// Guards against a retry storm: the retries of each customer stay within a tenth of its calls
    /// plus the burst, also if the table is full.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((0usize..6, any::<bool>()), 0..600),
    ) {
        let mut budget = RetryBudget::new(0.1, 10, 4);
        let mut counts = [(0u32, 0u32); 6];
        for (customer, is_call) in steps {
            let name = format!("c{customer}");
            if is_call {
                budget.deposit("chat", &name);
                counts[customer].0 += 1;
            } else if budget.take("chat", &name) {
                counts[customer].1 += 1;
            }
            prop_assert!(budget.len() <= 4);
        }
        for (calls, retries) in counts {
            prop_assert!(f64::from(retries) <= 0.1 * f64::from(calls) + 10.0 + 1e-9);
        }
    }

    /// Guards against retry delays that exceed the ceiling.
    #[test]
    fn backoff_stays_in_range(seed in any::<u64>(), retry in 0u32..80) {
        let mut rng = StdRng::seed_from_u64(seed);
        let delay = Backoff::default().delay(retry, &mut rng);
        let ceiling = (0.02 * 2f64.powi(retry as i32)).min(1.0);
        prop_assert!(delay.as_secs_f64() <= ceiling + 1e-9);
    }
}

/// Guards against a customer that is denied retries permanently: deposits restore the budget.
#[test]
fn deposits_restore_the_budget() {
    let mut budget = RetryBudget::new(0.1, 10, 4);
    assert_eq!((0..20).filter(|_| budget.take("chat", "c")).count(), 10);
    (0..10).for_each(|_| budget.deposit("chat", "c"));
    assert_eq!((0..20).filter(|_| budget.take("chat", "c")).count(), 1);
    (0..100).for_each(|_| budget.deposit("chat", "c"));
    assert!(budget.is_empty());
}

/// Guards against counting a crash several times because several routers report it, and against a
/// request that is never held or never released.
#[test]
fn three_crashes_hold_a_request() {
    let mut table = Quarantine::new(3, HOLD, 9);
    assert_eq!(
        table.state(Suspect::Request(1), secs(0)),
        QuarantineState::Clear
    );
    assert_eq!(
        table.strike(&crash(1, "a", "x"), secs(0)),
        QuarantineState::Suspect
    );
    table.merge(&[crash(1, "a", "x"), crash(1, "a", "x")], secs(1));
    assert_eq!(
        table.strike(&crash(1, "a", "y"), secs(2)),
        QuarantineState::Suspect
    );
    let held = table.strike(&crash(1, "b", "x"), secs(3));
    assert_eq!(held, QuarantineState::Held { retry_after: HOLD });
    assert_eq!(
        table.state(Suspect::Request(2), secs(3)),
        QuarantineState::Clear
    );
    assert_eq!(
        table.state(Suspect::Request(1), secs(3) + HOLD),
        QuarantineState::Clear
    );
}

/// Guards against a late copy of a crash that makes a request suspect again after it completed.
#[test]
fn a_completed_run_clears_the_request() {
    let mut table = Quarantine::new(3, HOLD, 9);
    table.strike(&crash(1, "a", "x"), secs(0));
    table.clear(Suspect::Request(1), secs(0));
    assert_eq!(
        table.strike(&crash(1, "a", "x"), secs(1)),
        QuarantineState::Clear
    );
    assert_eq!(
        table.strike(&crash(1, "b", "x"), secs(1)),
        QuarantineState::Suspect
    );
}

/// Guards against a table that grows without bound, and against evicting requests with many strikes
/// in favor of others with one.
#[test]
fn the_table_is_bounded() {
    let mut table = Quarantine::new(3, HOLD, 10);
    for boot in ["x", "y", "z"] {
        table.strike(&crash(0, "a", boot), secs(0));
    }
    for fingerprint in 1..1_000 {
        table.strike(&crash(fingerprint, "a", "x"), secs(1));
        assert!(table.len() <= 10);
    }
    assert!(matches!(
        table.state(Suspect::Request(0), secs(1)),
        QuarantineState::Held { .. }
    ));
}

/// Guards against two suspects that run on one endpoint, and against a slot released by another
/// call.
#[test]
fn one_suspect_per_endpoint() {
    let mut slots = SuspectSlots::default();
    assert!(slots.take("a", 1) && !slots.take("a", 2) && slots.take("b", 2));
    slots.release("a", 2);
    assert!(!slots.is_free("a"));
    slots.release("a", 1);
    assert!(slots.is_free("a"));
}
