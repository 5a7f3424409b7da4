//! Tests of the quarantine's records, as several routers keep and exchange them.

use proptest::prelude::*;
use sequoiaridge_policy::{Crash, Quarantine, QuarantineState, Suspect};
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(24 * 3600);
const TRUST: Duration = Duration::from_secs(60);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn table() -> Quarantine {
    Quarantine::new(3, HOLD, 64)
        .with_trust_window(TRUST)
        .with_part_trust_window(secs(2))
}

fn crash(fingerprint: u64, endpoint: u32) -> Crash {
    Crash {
        suspect: Suspect::Request(fingerprint),
        endpoint: format!("e{endpoint}"),
        boot: "x".to_string(),
        earlier: 0,
    }
}

fn is_held(table: &Quarantine, fingerprint: u64, now: Duration) -> bool {
    matches!(
        table.state(Suspect::Request(fingerprint), now),
        QuarantineState::Held { .. }
    )
}

/// Guards against a request that is no longer held because a late or repeated report of an old
/// successful run clears newer crashes.
#[test]
fn a_late_success_report_clears_no_newer_crash() {
    let mut table = table();
    for endpoint in 0..3 {
        table.strike(&crash(1, endpoint), secs(100));
    }
    table.record_success(Suspect::Request(1), secs(90), secs(105));
    assert!(is_held(&table, 1, secs(105)));
    // A successful run after the crashes clears the request.
    table.record_success(Suspect::Request(1), secs(0), secs(106));
    assert_eq!(
        table.state(Suspect::Request(1), secs(106)),
        QuarantineState::Clear
    );
}

/// Guards against holding a request that has just succeeded because several endpoints that ran it
/// for many callers ended at once.
#[test]
fn a_request_that_has_just_succeeded_is_not_held_back() {
    let mut table = table();
    table.record_success(Suspect::Request(1), secs(0), secs(100));
    for endpoint in 0..4 {
        table.strike(&crash(1, endpoint), secs(101));
        table.strike(&crash(2, endpoint), secs(101));
    }
    assert_eq!(
        table.state(Suspect::Request(1), secs(101)),
        QuarantineState::Clear
    );
    assert!(is_held(&table, 2, secs(101)));
    assert_eq!(
        table.recent_success(Suspect::Request(1), secs(101)),
        Some(secs(1))
    );
    // A request that succeeded long ago may crash endpoints now.
    for endpoint in 4..7 {
        table.strike(&crash(1, endpoint), secs(200));
    }
    assert!(is_held(&table, 1, secs(200)));
}

/// Guards against counting several crashes of one endpoint under one request only once, because the
/// list reports the endpoint's restart late or never.
#[test]
fn each_known_crash_of_an_endpoint_counts() {
    let mut table = table();
    for earlier in 0..3 {
        let crash = Crash {
            earlier,
            ..crash(1, 0)
        };
        for _ in 0..2 {
            table.strike(&crash, secs(u64::from(earlier)));
        }
        assert_eq!(
            table.strikes(Suspect::Request(1), secs(3)),
            earlier as usize + 1
        );
    }
}

/// Guards against crashes that change their age or extend a hold when other routers report them
/// again: a request whose hold ended could otherwise crash three more servers, again and again.
#[test]
fn a_hold_lasts_from_the_crash_itself() {
    let mut table = table();
    for endpoint in 0..3 {
        table.strike_aged(&crash(1, endpoint), secs(3600), secs(10));
    }
    let left = HOLD - secs(3600);
    assert_eq!(
        table.state(Suspect::Request(1), secs(10)),
        QuarantineState::Held { retry_after: left }
    );
    table.strike_aged(&crash(1, 0), secs(0), secs(20));
    assert_eq!(
        table.state(Suspect::Request(1), secs(10)),
        QuarantineState::Held { retry_after: left }
    );
    assert_eq!(table.expire(secs(10) + left), [Suspect::Request(1)]);
    assert_eq!(table.digest(), Quarantine::new(3, HOLD, 1).digest());
    // Older than the hold.
    table.strike_aged(&crash(1, 0), HOLD, secs(20));
    assert!(table.is_empty());
}

/// Guards against evicting the record of a request with several crashes in favor of many requests
/// that ran beside one crash, and against newer crashes that do not count because older ones fill
/// the record.
#[test]
fn many_single_crashes_do_not_evict_a_suspect() {
    let mut table = table();
    table.strike(&crash(1, 0), secs(1));
    table.strike(&crash(1, 1), secs(2));
    for fingerprint in 100..1_000 {
        table.strike(&crash(fingerprint, 0), secs(3));
        assert!(table.len() <= 64);
    }
    table.strike(&crash(1, 2), secs(4));
    assert!(is_held(&table, 1, secs(4)));

    let mut table = self::table();
    table.record_success(Suspect::Request(5), secs(0), secs(10));
    for endpoint in 0..20 {
        table.strike(&crash(5, endpoint), secs(20));
    }
    for endpoint in 20..23 {
        table.strike(&crash(5, endpoint), secs(100));
    }
    assert!(is_held(&table, 5, secs(100)));
}

/// Something that routers report to each other.
#[derive(Clone, Copy, Debug)]
enum Report {
    Crash(Suspect, u32, u64),
    Success(Suspect, u64),
}

/// The suspects of the reports: three requests and three parts.
fn suspects() -> impl Iterator<Item = Suspect> {
    (0..3).flat_map(|id| [Suspect::Request(id), Suspect::Part(id)])
}

fn report() -> impl Strategy<Value = Report> {
    let suspect = || proptest::sample::select(suspects().collect::<Vec<_>>());
    prop_oneof![
        4 => (suspect(), 0..6u32, 0..400u64).prop_map(|(s, e, at)| Report::Crash(s, e, at)),
        1 => (suspect(), 0..400u64).prop_map(|(s, at)| Report::Success(s, at)),
    ]
}

fn apply(table: &mut Quarantine, report: Report, now: Duration) {
    let age = |at: u64| now - secs(at);
    match report {
        Report::Crash(suspect, endpoint, at) => {
            // One crash has one time.
            let at = at / 7 * 7 + u64::from(endpoint);
            let crash = Crash {
                suspect,
                boot: at.to_string(),
                ..crash(0, endpoint)
            };
            table.strike_aged(&crash, age(at), now);
        }
        Report::Success(suspect, at) => table.record_success(suspect, age(at), now),
    }
}

proptest! {
    /// Guards against routers that disagree permanently about which requests are held: reports that
    /// arrive in another order, late or twice lead to the same table, and equal tables have equal
    /// digests.
    #[test]
    fn reports_in_any_order_lead_to_the_same_table(
        reports in proptest::collection::vec(report(), 0..24),
        again in proptest::collection::vec(0..24usize, 0..8),
        shift in 0..24usize,
    ) {
        // A router may drop a successful run of a request without a record, so a crash comes first.
        let first: Vec<Report> = suspects().map(|s| Report::Crash(s, 9, 0)).collect();
        let (mut one, mut other) = (table(), table());
        for report in first.iter().chain(&reports) {
            apply(&mut one, *report, secs(500));
        }
        let mut mixed = reports.clone();
        mixed.extend(again.iter().filter_map(|index| reports.get(*index)));
        let length = mixed.len().max(1);
        mixed.rotate_left(shift % length);
        for report in first.iter().chain(&mixed) {
            apply(&mut other, *report, secs(600));
        }
        prop_assert_eq!(one.digest(), other.digest());
        for suspect in suspects() {
            let strikes = one.strikes(suspect, secs(600));
            prop_assert_eq!(strikes, other.strikes(suspect, secs(600)));
        }
    }
}
