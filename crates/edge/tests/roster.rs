//! Endpoints that join, leave, lapse and return.

mod row_parts;

use row_parts::{NOW, accepting, entry, roster, row, row_at, rows, rows_at};
use sequoiaridge_edge::{EndpointEntry, Entry, Feed, Position, Roster, RosterChange, Row, Rows};
use std::time::{Duration, SystemTime};

/// A wall time in seconds since the epoch.
fn wall(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

/// Guards against requests to an endpoint that is listed as leaving.
#[test]
fn a_leaving_endpoint_is_closed_at_once() {
    let mut roster = roster();
    let leaving = row("e1", 6, Entry::Endpoint(entry("e1", true)));
    let changes = roster.apply(rows(6, vec![leaving]), false, NOW);
    assert_eq!(changes, [RosterChange::Leaving("e1".to_string())]);
    assert_eq!(accepting(&roster, NOW), 0);
    assert_eq!(roster.endpoints_of("model", NOW).count(), 1);
}

/// Guards against requests to a removed endpoint without an outage of the registry (found by the
/// hunt: DRAIN, hunt-f249-19).
#[test]
fn a_removed_row_ends_an_endpoint_while_the_registry_is_there() {
    let mut roster = roster();
    let removed = row("e1", 6, Entry::Removed);
    let changes = roster.apply(rows(6, vec![removed]), false, NOW);
    assert_eq!(changes, [RosterChange::Gone("e1".to_string())]);
    assert_eq!(accepting(&roster, NOW), 0);
}

/// Guards against live endpoints that are lost in an outage of the registry, and against a removed
/// one that is used for longer than the bound on leaving endpoints allows.
#[test]
fn a_lapsed_row_is_used_a_little_longer() {
    let mut roster = roster();
    let removed = row("e1", 6, Entry::Removed);
    let changes = roster.apply(rows(6, vec![removed]), true, NOW);
    assert_eq!(changes, [RosterChange::Lapsed("e1".to_string())]);
    assert_eq!(accepting(&roster, NOW + Duration::from_millis(1400)), 1);
    assert_eq!(accepting(&roster, NOW + Duration::from_millis(1600)), 0);
    let gone = roster.expire(NOW + Duration::from_millis(1600));
    assert_eq!(gone, [RosterChange::Gone("e1".to_string())]);
}

/// Guards against an endpoint that stays unused although its row is back.
#[test]
fn a_row_that_returns_ends_the_lapse() {
    let mut roster = roster();
    roster.apply(rows(6, vec![row("e1", 6, Entry::Removed)]), true, NOW);
    let back = row("e1", 7, Entry::Endpoint(entry("e1", false)));
    roster.apply(rows(7, vec![back]), true, NOW);
    assert_eq!(accepting(&roster, NOW + Duration::from_secs(10)), 1);
}

/// Guards against a stale read that brings a removed endpoint back.
#[test]
fn a_stale_read_changes_nothing() {
    let mut roster = roster();
    roster.apply(rows(9, vec![row("e1", 9, Entry::Removed)]), false, NOW);
    let stale = row("e1", 5, Entry::Endpoint(entry("e1", false)));
    let changes = roster.replace(rows(6, vec![stale]), false, NOW);
    assert_eq!(changes, []);
    assert_eq!(accepting(&roster, NOW), 0);
    let joined = row("e2", 10, Entry::Endpoint(entry("e2", false)));
    roster.apply(rows(10, vec![joined]), false, NOW);
    roster.replace(rows(7, Vec::new()), false, NOW);
    assert_eq!(
        accepting(&roster, NOW),
        1,
        "an older read must not remove a newer row"
    );
}

/// Guards against an endpoint that stays listed although a read of the whole table lacks it.
#[test]
fn a_read_of_the_whole_table_removes_other_rows() {
    let mut roster = roster();
    roster.replace(rows(8, Vec::new()), false, NOW);
    assert_eq!(roster.len(), 0);
}

/// Guards against state about an endpoint that is kept after its process restarted.
#[test]
fn a_restart_under_the_same_id_is_reported() {
    let mut roster = roster();
    let again = EndpointEntry {
        born: Some(2),
        ..entry("e1", false)
    };
    let changes = roster.apply(
        rows(6, vec![row("e1", 6, Entry::Endpoint(again))]),
        false,
        NOW,
    );
    assert_eq!(changes, [RosterChange::Restarted("e1".to_string())]);
}

/// Guards against a start that seems to leave only once its row, which is late, names it.
#[test]
fn a_restart_while_leaving_is_told_from_one_that_begins_to_leave() {
    let restarts = [false, true].map(|left_before| {
        let mut roster = roster();
        let before = row("e1", 6, Entry::Endpoint(entry("e1", left_before)));
        roster.apply(rows(6, vec![before]), false, NOW);
        let again = EndpointEntry {
            born: Some(2),
            ..entry("e1", true)
        };
        let row = row("e1", 7, Entry::Endpoint(again));
        roster.apply(rows(7, vec![row]), false, NOW)
    });
    let id = || "e1".to_string();
    assert_eq!(restarts[0], [RosterChange::Restarted(id())]);
    assert_eq!(restarts[1], [RosterChange::RestartedLeaving(id())]);
}

/// Guards against messages between routers for every heartbeat of an endpoint.
#[test]
fn a_heartbeat_is_not_a_change() {
    let mut roster = roster();
    let cold = |seconds| EndpointEntry {
        cold: Duration::from_secs(seconds),
        ..entry("e1", false)
    };
    let started = row("e1", 6, Entry::Endpoint(cold(2)));
    roster.apply(rows(6, vec![started]), false, NOW);
    let heartbeat = [row("e1", 7, Entry::Endpoint(cold(1)))];
    assert!(roster.new_changes(&heartbeat, NOW).is_empty());
    let leaving = [row("e1", 7, Entry::Endpoint(entry("e1", true)))];
    assert_eq!(roster.new_changes(&leaving, NOW).len(), 1);
    let removed = [row("e1", 7, Entry::Removed)];
    assert_eq!(roster.new_changes(&removed, NOW).len(), 1);
}

/// Guards against requests to an endpoint that announced itself that it leaves, while older or late
/// rows list it as ready.
#[test]
fn a_leaving_endpoint_gets_nothing_until_it_restarts() {
    let mut roster = roster();
    assert!(roster.mark_leaving("e1", "1", wall(0)));
    assert!(!roster.mark_leaving("e1", "1", wall(0)), "already known");
    assert_eq!(accepting(&roster, NOW), 0);
    let ready = |position: u64| row("e1", position, Entry::Endpoint(entry("e1", false)));
    roster.apply(rows(6, vec![ready(6)]), false, NOW);
    roster.replace(rows(7, vec![ready(7)]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 0);
    // Its row vanishes around an outage and returns.
    roster.apply(rows(8, vec![row("e1", 8, Entry::Removed)]), true, NOW);
    roster.apply(rows(9, vec![ready(9)]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 0);
    let mut next = entry("e1", false);
    next.born = Some(2);
    roster.apply(
        rows(10, vec![row("e1", 10, Entry::Endpoint(next))]),
        false,
        NOW,
    );
    assert_eq!(accepting(&roster, NOW), 1);
    assert!(
        !roster.mark_leaving("e1", "1", wall(0)),
        "an announcement of the previous start"
    );
    assert_eq!(accepting(&roster, NOW), 1);
    assert!(roster.announced_leaving().is_empty());
}

/// Guards against requests to an endpoint whose start is listed only after it announced that it
/// leaves, and against a start that gets no requests because the previous one left.
#[test]
fn an_announcement_applies_to_the_start_that_made_it() {
    for (left_at, is_leaving) in [(9, true), (1, false)] {
        let mut roster = roster();
        assert!(roster.mark_leaving("e1", "1", wall(left_at)));
        let mut next = entry("e1", false);
        next.born = Some(5_000);
        let next = row("e1", 10, Entry::Endpoint(next));
        roster.apply(rows(10, vec![next]), false, NOW);
        assert_eq!(
            accepting(&roster, NOW),
            usize::from(!is_leaving),
            "announced at {left_at} s"
        );
    }
}

/// Guards against requests to an endpoint that announced that it leaves right after it had crashed and
/// started again, before that start was listed.
#[test]
fn an_announcement_right_after_a_start_applies_to_it() {
    let mut roster = roster();
    assert!(roster.mark_leaving("e1", "1", wall(6)));
    let listed = |born: u64, position: u64| {
        let mut next = entry("e1", false);
        next.born = Some(born);
        rows(position, vec![row("e1", position, Entry::Endpoint(next))])
    };
    roster.apply(listed(5_700, 10), false, NOW);
    assert_eq!(accepting(&roster, NOW), 0, "it announced that it leaves");
    roster.apply(listed(9_000, 11), false, NOW);
    assert_eq!(accepting(&roster, NOW), 1, "the next start is another one");
}

/// Guards against an endpoint without a boot id that gets no requests forever because it left once.
#[test]
fn an_endpoint_without_a_boot_id_restarts_with_a_new_row() {
    let mut roster = Roster::new();
    let mut without_boot = entry("e1", false);
    without_boot.born = None;
    let ready = |position: u64| row("e1", position, Entry::Endpoint(without_boot.clone()));
    roster.apply(rows(5, vec![ready(5)]), false, NOW);
    assert!(roster.mark_leaving("e1", "", wall(0)));
    roster.apply(rows(6, vec![ready(6)]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 0);
    roster.apply(rows(7, vec![row("e1", 7, Entry::Removed)]), false, NOW);
    roster.apply(rows(8, vec![ready(8)]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 1);
}

/// Guards against routers that keep an endpoint that is gone, or lose one that is back, because two
/// of its rows were read at once and only the first was passed on.
#[test]
fn several_rows_of_an_endpoint_in_one_read_are_passed_on_as_the_last() {
    let reader = roster();
    let listed = |id: &str, position| row(id, position, Entry::Endpoint(entry(id, false)));
    let removed = |id: &str, position| row(id, position, Entry::Removed);
    let read = [
        listed("e2", 6),
        removed("e2", 7),
        removed("e1", 8),
        listed("e1", 9),
    ];
    let changes = reader.new_changes(&read, NOW);
    let mut other = roster();
    let passed_on = Feed {
        from: Position::new(1, 5),
        to: Position::new(1, 9),
        changed: changes,
    };
    other.apply(passed_on.into_rows(), false, NOW);
    assert!(other.get("e2").is_none(), "e2 is gone");
    assert!(other.get("e1").is_some(), "e1 is back");
}

/// A row of the second era.
fn copied(version: u64, entry: EndpointEntry) -> Row {
    row_at(Position::new(2, version), "e1", Entry::Endpoint(entry))
}

fn copy(version: u64, listed: Vec<Row>) -> Rows {
    rows_at(Position::new(2, version), listed)
}

/// Guards against changes that are ignored because the registry came back from a copy and gives
/// lower versions out again.
#[test]
fn what_is_written_after_a_return_is_news() {
    let mut roster = roster();
    roster.apply(
        rows(90, vec![row("e1", 90, Entry::Endpoint(entry("e1", false)))]),
        false,
        NOW,
    );
    roster.replace(copy(40, vec![copied(5, entry("e1", false))]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 1);
    let changes = roster.apply(copy(41, vec![copied(41, entry("e1", true))]), false, NOW);
    assert_eq!(changes, [RosterChange::Leaving("e1".to_string())]);
    assert_eq!(accepting(&roster, NOW), 0);
}

/// Guards against requests to an endpoint that had announced that it leaves, which the copy that the
/// registry came back from does not say, and against its next start that gets none.
#[test]
fn a_leaving_endpoint_does_not_come_back_with_a_copy() {
    let mut roster = roster();
    let leaving = row("e1", 90, Entry::Endpoint(entry("e1", true)));
    roster.apply(rows(90, vec![leaving]), false, NOW);
    for read in [40, 44] {
        roster.replace(copy(read, vec![copied(5, entry("e1", false))]), false, NOW);
        assert_eq!(accepting(&roster, NOW + Duration::from_secs(60)), 0);
    }
    let mut other = roster.clone();
    other.apply(copy(45, vec![copied(45, entry("e1", false))]), false, NOW);
    assert_eq!(accepting(&other, NOW), 1, "it was written after the return");
    let mut next = entry("e1", false);
    next.born = Some(2);
    roster.apply(copy(45, vec![copied(45, next)]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 1);
}

/// Guards against requests to an endpoint that was gone before the registry came back from a copy
/// that lists it; it is used again if its row stays for longer than that of a silent endpoint.
#[test]
fn an_endpoint_that_was_gone_does_not_come_back_with_a_copy() {
    let mut roster = roster();
    roster.apply(rows(90, vec![row("e1", 90, Entry::Removed)]), false, NOW);
    for read in [40, 44] {
        roster.replace(copy(read, vec![copied(5, entry("e1", false))]), false, NOW);
        assert_eq!(accepting(&roster, NOW + Duration::from_secs(5)), 0);
        assert_eq!(roster.doubted(NOW), ["e1"]);
    }
    assert_eq!(accepting(&roster, NOW + Duration::from_secs(7)), 1);
    let removed = row_at(Position::new(2, 45), "e1", Entry::Removed);
    let changes = roster.apply(copy(45, vec![removed]), true, NOW);
    assert_eq!(changes, [RosterChange::Gone("e1".to_string())]);
    // A row that was written after the return is no copy.
    roster.apply(copy(46, vec![copied(46, entry("e1", false))]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 1);
}

/// Guards against endpoints that are in use and get no requests for seconds: their rows lapsed while the
/// registry was away, and it came back from a copy that lists them before they had written them again.
#[test]
fn an_endpoint_whose_row_lapsed_is_used_when_a_copy_lists_it() {
    let mut roster = roster();
    roster.apply(rows(90, vec![row("e1", 90, Entry::Removed)]), true, NOW);
    let soon = NOW + Duration::from_millis(500);
    let mut late = roster.clone();
    roster.replace(copy(40, vec![copied(5, entry("e1", false))]), true, soon);
    assert_eq!(accepting(&roster, soon), 1);
    // A row that is still missing when it should be back is that of an endpoint that is gone.
    let lapsed = NOW + Duration::from_secs(3);
    late.replace(copy(40, vec![copied(5, entry("e1", false))]), true, lapsed);
    assert_eq!(accepting(&late, lapsed), 0);
}

/// Guards against a fleet without endpoints: their rows lapsed in an outage of the registry, and the next
/// outage began before they had written them again.
#[test]
fn an_endpoint_whose_row_lapsed_is_used_while_the_registry_is_away_again() {
    let after = |ms| NOW + Duration::from_millis(ms);
    let mut roster = roster();
    roster.apply(rows(90, vec![row("e1", 90, Entry::Removed)]), true, NOW);
    // The table was last read before the row's time was over.
    assert_eq!(accepting(&roster, after(1600)), 0);
    assert_eq!(roster.expire(after(1400)), []);
    roster.postpone_lapses(after(1400), after(2400));
    assert_eq!(accepting(&roster, after(3800)), 1);
    assert_eq!(accepting(&roster, after(4000)), 0);
    // A read after that shows that it is gone.
    roster.postpone_lapses(after(4000), after(5000));
    assert_eq!(accepting(&roster, after(5000)), 0);
    let gone = roster.expire(after(4000));
    assert_eq!(gone, [RosterChange::Gone("e1".to_string())]);
}

/// Guards against endpoints that are dropped right after a return: their rows lapsed before it, and the
/// time for writing them again starts anew.
#[test]
fn a_return_gives_lapsed_rows_time_to_come_back() {
    let mut roster = roster();
    roster.apply(rows(90, vec![row("e1", 90, Entry::Removed)]), true, NOW);
    let back = NOW + Duration::from_millis(1400);
    assert_eq!(roster.replace(copy(40, Vec::new()), true, back), []);
    let again = back + Duration::from_millis(500);
    assert_eq!(roster.replace(copy(44, Vec::new()), true, again), []);
    assert_eq!(accepting(&roster, back + Duration::from_millis(2400)), 1);
    assert_eq!(accepting(&roster, back + Duration::from_millis(2600)), 0);
}

/// Guards against a start that is replaced by the one before it, which the copy still lists.
#[test]
fn an_earlier_start_does_not_come_back_with_a_copy() {
    let mut roster = roster();
    let mut next = entry("e1", false);
    next.born = Some(2);
    roster.apply(
        rows(90, vec![row("e1", 90, Entry::Endpoint(next.clone()))]),
        false,
        NOW,
    );
    let changes = roster.replace(copy(40, vec![copied(5, entry("e1", false))]), false, NOW);
    assert_eq!(changes, []);
    assert_eq!(roster.get("e1"), Some(&next));
    roster.apply(copy(41, vec![copied(41, next.clone())]), false, NOW);
    assert_eq!(roster.get("e1"), Some(&next));
}

/// Guards against endpoints that are lost because the copy is from before they joined: they write
/// their rows again within two seconds.
#[test]
fn an_endpoint_that_the_copy_lacks_is_used_until_it_may_be_back() {
    let mut roster = roster();
    let changes = roster.replace(copy(40, Vec::new()), false, NOW);
    assert_eq!(changes, [RosterChange::Lapsed("e1".to_string())]);
    assert_eq!(accepting(&roster, NOW + Duration::from_millis(2400)), 1);
    let mut other = roster.clone();
    other.apply(copy(41, vec![copied(41, entry("e1", false))]), false, NOW);
    assert_eq!(accepting(&other, NOW + Duration::from_secs(60)), 1);
    assert_eq!(accepting(&roster, NOW + Duration::from_millis(2600)), 0);
}

/// Guards against rows of the era before that arrive late, for instance from a router that was cut
/// off, and against a second return that undoes what the first one kept.
#[test]
fn rows_of_an_earlier_era_change_nothing() {
    let mut roster = roster();
    let leaving = row("e1", 90, Entry::Endpoint(entry("e1", true)));
    roster.apply(rows(90, vec![leaving]), false, NOW);
    roster.replace(copy(40, vec![copied(5, entry("e1", false))]), false, NOW);
    let late = row("e2", 95, Entry::Endpoint(entry("e2", false)));
    assert_eq!(roster.apply(rows(95, vec![late.clone()]), false, NOW), []);
    assert_eq!(roster.replace(rows(95, vec![late]), false, NOW), []);
    assert_eq!(roster.len(), 1);
    let third = row_at(
        Position::new(3, 5),
        "e1",
        Entry::Endpoint(entry("e1", false)),
    );
    roster.replace(rows_at(Position::new(3, 30), vec![third]), false, NOW);
    assert_eq!(accepting(&roster, NOW), 0);
}

/// Guards against a stream that goes on at another version, because an endpoint whose software was
/// replaced under its id is still taken to have the old version.
#[test]
fn a_change_of_version_under_the_same_start_is_a_change() {
    let mut roster = roster();
    let replaced = EndpointEntry {
        version: "v2".to_string(),
        ..entry("e1", false)
    };
    let changed = [row("e1", 6, Entry::Endpoint(replaced))];
    assert_eq!(roster.new_changes(&changed, NOW).len(), 1);
    roster.apply(rows(6, changed.to_vec()), false, NOW);
    assert_eq!(roster.get("e1").expect("a listed endpoint").version, "v2");
}
