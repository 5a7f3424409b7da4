//! Rows that name no endpoint, also in place of one that did.

mod row_parts;

use row_parts::{NOW, accepting, entry, roster, row, rows};
use sequoiaridge_edge::{
    EndpointEntry, Entry, Feed, Position, Roster, RosterChange, Row, RowChange,
};
use std::time::{Duration, SystemTime};

/// Before and after the time in which a live endpoint writes its row again.
const HELD: Duration = Duration::from_millis(103_500);
const LAPSED: Duration = Duration::from_millis(103_700);

fn listed(id: &str, version: u64, leaving: bool) -> Row {
    row(id, version, Entry::Endpoint(entry(id, leaving)))
}

fn odd(id: &str, version: u64) -> Row {
    row(id, version, Entry::malformed("no version"))
}

/// A roster after the changes that another one passes on when it reads these rows.
fn told(read: &[Row], to: u64) -> Roster {
    let feed = Feed {
        from: Position::new(1, 5),
        to: Position::new(1, to),
        changed: roster().new_changes(read, NOW),
    };
    let mut other = roster();
    other.apply(feed.into_rows(), false, NOW);
    other
}

/// A roster after an odd row for e1, by each way on which it may learn of it.
fn overwritten() -> [(&'static str, Roster); 5] {
    let [mut read, mut whole, mut diff] = [roster(), roster(), roster()];
    read.apply(rows(8, vec![odd("e1", 8)]), false, NOW);
    whole.replace(rows(8, vec![odd("e1", 8)]), false, NOW);
    let changed = diff.diff(rows(8, vec![odd("e1", 8)]), Position::new(1, 5));
    diff.apply(changed, false, NOW);
    let table = Feed {
        from: Position::default(),
        to: Position::new(1, 8),
        changed: read.rows(NOW),
    };
    let mut table_of_router = roster();
    table_of_router.replace(table.into_rows(), false, NOW);
    [
        ("feed", told(&[odd("e1", 8)], 8)),
        ("table of another router", table_of_router),
        ("changes", read),
        ("whole table", whole),
        ("changes by the whole table", diff),
    ]
}

/// Guards against an endpoint that another writer ends, or keeps in use for good when the endpoint itself is
/// silent or was removed unseen just before.
#[test]
fn an_overwritten_endpoint_is_held_until_it_lapses() {
    for (way, mut roster) in overwritten() {
        assert_eq!(accepting(&roster, HELD), 1, "{way}");
        roster.apply(rows(9, vec![odd("e1", 9)]), false, HELD);
        assert_eq!(roster.expire(HELD), [], "{way}");
        assert_eq!(accepting(&roster, LAPSED), 0, "{way}");
        let mut back = roster.clone();
        back.apply(rows(10, vec![listed("e1", 10, false)]), false, HELD);
        assert_eq!(accepting(&back, LAPSED), 1, "{way}: it wrote again");
        let gone = [RosterChange::Gone("e1".to_string())];
        assert_eq!(roster.expire(LAPSED), gone, "{way}");
        roster.apply(rows(10, vec![listed("e1", 5, false)]), false, LAPSED);
        assert_eq!(accepting(&roster, LAPSED), 0, "{way}: an old row");
        roster.apply(rows(11, vec![listed("e1", 11, false)]), false, LAPSED);
        assert_eq!(accepting(&roster, LAPSED), 1, "{way}: a new row");
    }
}

/// Guards against the time of a silent endpoint that starts again with each row that is read again, and
/// against endpoints that lapse while the registry is away and they cannot write.
#[test]
fn only_an_outage_lengthens_the_time() {
    let mut roster = roster();
    roster.apply(rows(8, vec![odd("e1", 8)]), false, NOW);
    let again = vec![listed("e1", 5, false), odd("e1", 8)];
    roster.apply(rows(8, again), false, HELD);
    assert_eq!(accepting(&roster, LAPSED), 0);
    roster.postpone_lapses(NOW, HELD);
    assert_eq!(accepting(&roster, LAPSED), 1);
}

/// Guards against a removal that is not followed, or an announcement that is forgotten, because of an odd
/// row before or after it.
#[test]
fn an_odd_row_hides_neither_a_removal_nor_a_leaving() {
    for (way, mut roster) in overwritten() {
        assert!(roster.mark_leaving("e1", "1", SystemTime::UNIX_EPOCH));
        roster.apply(rows(9, vec![odd("e1", 9)]), false, NOW);
        roster.apply(rows(10, vec![listed("e1", 10, false)]), false, NOW);
        assert_eq!(accepting(&roster, NOW), 0, "{way}");
        let removed = roster.diff(rows(11, Vec::new()), Position::new(1, 10));
        roster.apply(removed, false, NOW);
        assert!(roster.is_empty(), "{way}");
        roster.apply(rows(12, vec![odd("e1", 12)]), false, NOW);
        assert!(roster.is_empty(), "{way}");
    }
    let mut other = roster();
    let changes = other.apply(rows(6, vec![odd("e2", 6)]), false, NOW);
    let reported = RosterChange::Malformed("e2".to_string(), "no version".to_string());
    assert_eq!((changes, accepting(&other, LAPSED)), (vec![reported], 1));
    let removed = row("e1", 6, Entry::Removed);
    assert!(told(&[removed, odd("e1", 7)], 7).is_empty());
    let both = told(&[listed("e1", 6, true), odd("e1", 7)], 7);
    assert_eq!((both.len(), accepting(&both, NOW)), (1, 0));
    assert_eq!(accepting(&both, LAPSED), 0);
    let after = told(&[odd("e1", 6), listed("e1", 7, false)], 7);
    assert_eq!(accepting(&after, LAPSED), 1);
}

/// Guards against an endpoint that an older table of another router brings into use for good, after the
/// registry's table showed a row that names no endpoint in its place.
#[test]
fn an_older_table_brings_no_overwritten_endpoint_back_for_good() {
    for (mut roster, read) in [
        (Roster::new(), vec![odd("e1", 8)]),
        (Roster::new(), vec![odd("e1", 6), odd("e1", 8)]),
        (roster(), vec![odd("e1", 6), odd("e1", 8)]),
    ] {
        roster.replace(rows(8, read), false, NOW);
        roster.replace(rows(7, vec![listed("e1", 7, false)]), false, NOW);
        assert_eq!(accepting(&roster, HELD), 1);
        assert_eq!(accepting(&roster, LAPSED), 0);
        let gone = [RosterChange::Gone("e1".to_string())];
        assert_eq!(roster.expire(LAPSED), gone);
        roster.apply(rows(9, vec![listed("e1", 9, false)]), false, LAPSED);
        assert_eq!(accepting(&roster, LAPSED), 1, "it wrote again");
    }
}

/// Guards against feeds that routers of the version before this one cannot read, because changes that it
/// knows are encoded in another way.
#[test]
fn changes_are_encoded_as_optional_entries() {
    let Entry::Endpoint(entry) = listed("e1", 5, false).entry else {
        panic!("not an endpoint");
    };
    let bytes = |change: &RowChange| postcard::to_allocvec(change).expect("a change");
    let before = |entry: Option<EndpointEntry>| postcard::to_allocvec(&entry).expect("an entry");
    assert_eq!(bytes(&RowChange::Removed), before(None));
    assert_eq!(
        bytes(&RowChange::Listed(entry.clone())),
        before(Some(entry))
    );
}
