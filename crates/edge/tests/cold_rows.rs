//! What rows and answers say of endpoints that are cold.

mod row_parts;

use row_parts::NOW;
use sequoiaridge_edge::{EndpointEntry, Entry, Roster, Row, RowChange};
use std::time::Duration;

fn row(version: u64, cold_ms: u64) -> Row {
    let entry = EndpointEntry {
        cold: Duration::from_millis(cold_ms),
        ..row_parts::entry("e1", false)
    };
    row_parts::row("e1", version, Entry::Endpoint(entry))
}

fn apply(roster: &mut Roster, row: Row, now: Duration) {
    let rows = row_parts::rows_at(row.position, vec![row]);
    roster.apply(rows, false, now);
}

/// Guards against routers that do not learn that an endpoint became cold again, and against a message
/// to all of them for each row of an endpoint that warms up.
#[test]
fn only_a_rise_is_passed_on() {
    let mut roster = Roster::new();
    apply(&mut roster, row(5, 10_000), NOW);
    let later = NOW + Duration::from_secs(4);
    let is_passed_on = |cold_ms| !roster.new_changes(&[row(6, cold_ms)], later).is_empty();
    assert!(!is_passed_on(5_900), "what is left of the known time");
    assert!(!is_passed_on(6_400), "a read with less delay");
    assert!(!is_passed_on(0), "an endpoint that is warm early");
    assert!(is_passed_on(6_600), "an endpoint that became cold again");
    apply(&mut roster, row(6, 6_600), later);
    assert_eq!(
        roster.cold_until("e1"),
        later + Duration::from_millis(6_600)
    );
}

/// Guards against an endpoint that counts as cold again each time its row is read again, or when another
/// router gives the table to one that starts.
#[test]
fn time_passes_for_rows_that_are_read_again() {
    let mut roster = Roster::new();
    apply(&mut roster, row(5, 10_000), NOW);
    let later = NOW + Duration::from_secs(4);
    apply(&mut roster, row(5, 10_000), later);
    assert_eq!(roster.cold_until("e1"), NOW + Duration::from_secs(10));
    let Some((_, _, RowChange::Listed(given))) = roster.rows(later).pop() else {
        panic!("not listed");
    };
    assert_eq!(given.cold, Duration::from_secs(6));
}

/// Guards against an answer of an earlier start that makes the present one warm.
#[test]
fn an_answer_counts_for_its_own_start() {
    let mut roster = Roster::new();
    apply(&mut roster, row(5, 10_000), NOW);
    roster.note_cold("e1", "0", Duration::ZERO, NOW);
    assert_eq!(roster.cold_until("e1"), NOW + Duration::from_secs(10));
    roster.note_cold("e1", "1", Duration::from_secs(20), NOW);
    assert_eq!(roster.cold_until("e1"), NOW + Duration::from_secs(20));
}
