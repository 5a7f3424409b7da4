//! What a router knows of a table, and how old that is.

use proptest::prelude::*;
use sequoiaridge_edge::{ChangedRow, Feed, Follower, TableDigest};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_millis(500);
const WAIT: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_millis(400);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn row(id: &str, position: u64) -> ChangedRow {
    (id.to_string(), position, None)
}

fn feed(from: u64, to: u64, changed: &[ChangedRow]) -> Feed {
    Feed {
        from,
        to,
        changed: changed.to_vec(),
    }
}

fn follower(mark: u64, fresh: Duration) -> Follower {
    named("own", mark, fresh)
}

fn named(id: &str, mark: u64, fresh: Duration) -> Follower {
    let mut follower = Follower::new(id);
    follower.replace(mark, fresh);
    follower
}

/// Guards against news that look younger than the read that showed them, because a message was delayed
/// or passed on by a router that had been cut off.
#[test]
fn a_message_is_as_old_as_the_read_behind_it() {
    let mut own = follower(10, SECOND);
    let old = TableDigest {
        floor: 10,
        last_change: 10,
        revision: 10,
        age_ms: 3000,
        reader: 1,
    };
    own.apply_digest(&old, ms(5000));
    assert!(own.age(ms(5000)) >= Some(ms(3000)));
    let late = TableDigest { age_ms: 100, ..old };
    own.apply_digest(&late, ms(6000));
    assert!(own.age(ms(6000)) >= Some(ms(100)));
    assert!(own.age(ms(6000)) < Some(ms(300)));
}

/// Guards against a feed that ends before the own mark and yet makes the news look fresh: a router that
/// was frozen sends what it read long ago.
#[test]
fn a_feed_from_the_past_makes_nothing_fresh() {
    let mut own = follower(100, SECOND);
    let ready = own.apply_feed(feed(10, 50, &[row("e1", 40)]), ms(9000));
    assert_eq!(
        ready.len(),
        1,
        "its rows are known to be old by their positions"
    );
    let behind = TableDigest {
        floor: 10,
        last_change: 40,
        revision: 50,
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&behind, ms(9000));
    assert_eq!(own.revision(), Some(100));
    assert_eq!(own.age(ms(9000)), Some(ms(8000)));
}

/// Guards against a router that goes on with a gap when the feed before was lost: it asks another one,
/// which gives the changes without a call to the registry.
#[test]
fn a_lost_feed_is_filled_by_a_neighbour() {
    let (mut reader, mut hearer) = (follower(10, SECOND), follower(10, SECOND));
    for (from, to, id) in [(10, 20, "e1"), (20, 30, "e2")] {
        reader.apply_changes(from, to, &[row(id, to - 5)]);
        reader.record_read(ms(to * 100), ms(to * 100));
    }
    let now = ms(3100);
    let ready = hearer.apply_feed(feed(20, 30, &[row("e2", 25)]), now);
    assert!(ready.is_empty(), "e1 is missing");
    hearer.apply_digest(&reader.digest(now).expect("known"), now);
    assert_eq!(
        hearer.repair_request(now),
        None,
        "parts of feeds overtake each other"
    );
    let mark = hearer.repair_request(now + ms(60)).expect("a question");
    let given = reader.changes_since(mark, now).expect("the changes");
    let ready = hearer.apply_feed(given, now + ms(61));
    let applied: Vec<&str> = ready
        .iter()
        .flat_map(|feed| feed.changed.iter().map(|(id, _, _)| id.as_str()))
        .collect();
    assert_eq!(&applied[..2], ["e1", "e2"]);
    assert_eq!(hearer.gap_since(), None);
    assert_eq!(hearer.revision(), Some(30));
}

/// Guards against routers that each read for themselves where one says that nothing changed.
#[test]
fn the_word_that_nothing_changed_makes_the_news_fresh() {
    let (mut reader, mut hearer) = (follower(10, SECOND), follower(12, SECOND));
    reader.apply_changes(10, 20, &[row("e1", 11)]);
    reader.record_read(ms(4000), ms(4000));
    hearer.apply_digest(&reader.digest(ms(4000)).expect("known"), ms(4005));
    assert_eq!(hearer.revision(), Some(20));
    assert!(hearer.age(ms(4005)) < Some(ms(100)));
}

/// Guards against a router that read the whole table and cannot tell which rows vanished before: its
/// word must not hide that from one that was behind.
#[test]
fn a_whole_read_says_nothing_of_what_changed_before() {
    let reader = follower(50, ms(2000));
    let mut hearer = follower(40, SECOND);
    hearer.apply_digest(&reader.digest(ms(2000)).expect("known"), ms(2005));
    assert_eq!(hearer.revision(), Some(40));
    assert!(hearer.age(ms(2005)) > Some(ms(900)));
    assert_eq!(hearer.gap_since(), None, "nor that something did");
}

/// Guards against a router that stays behind after a cold start, because it read the list a moment
/// before the one that reads for all: that one reads from its mark.
#[test]
fn the_reader_reads_again_for_a_router_that_lags() {
    let (mut reader, mut hearer) = (follower(50, SECOND), follower(40, SECOND));
    reader.apply_digest(&hearer.digest(ms(1100)).expect("known"), ms(1100));
    assert_eq!(reader.read_from(), Some(40));
    reader.apply_changes(40, 60, &[row("e1", 45), row("e2", 55)]);
    reader.record_read(ms(1500), ms(1500));
    let known = reader.digest(ms(1500)).expect("known");
    hearer.apply_digest(&known, ms(1505));
    let mark = hearer.repair_request(ms(1600)).expect("a question");
    let given = reader.changes_since(mark, ms(1600)).expect("the changes");
    assert_eq!(given.changed.len(), 2);
    assert_eq!(reader.read_from(), Some(60));
}

/// Guards against a neighbour whose slow link hundreds of changes fill.
#[test]
fn a_router_far_behind_is_not_given_hundreds_of_changes() {
    let mut reader = follower(10, SECOND);
    let rows: Vec<ChangedRow> = (11..400).map(|position| row("e", position)).collect();
    reader.apply_changes(10, 400, &rows);
    assert_eq!(reader.changes_since(10, SECOND), None);
    let given = (0..100).filter(|_| reader.changes_since(350, SECOND).is_some());
    assert_eq!(given.count(), 12, "600 in a second");
    assert!(reader.changes_since(350, ms(2100)).is_some());
}

/// Guards against two readers: the one whose read is older leaves the reading to the other.
#[test]
fn the_router_that_read_last_reads_for_all() {
    let (mut first, mut second) = (named("a", 10, SECOND), named("b", 10, SECOND));
    first.apply_changes(10, 20, &[]);
    first.record_read(ms(2000), ms(2000));
    second.apply_changes(10, 21, &[]);
    second.record_read(ms(2100), ms(2100));
    let now = ms(2110);
    let (told, heard) = (second.digest(now), first.digest(now));
    first.apply_digest(&told.expect("known"), now);
    second.apply_digest(&heard.expect("known"), now);
    assert!(!first.is_reader());
    assert!(second.is_reader());
    assert!(second.next_read(PERIOD, WAIT, PATIENCE) < first.next_read(PERIOD, WAIT, PATIENCE));
}

/// Guards against routers that all go on waiting for changes of the configuration: each hears of the
/// others' reads while its own call waits (851 calls in 48 s of a quiet day with 23 routers).
#[test]
fn a_call_that_others_overtook_does_not_make_a_reader() {
    let mut own = Follower::new("own");
    own.apply_version(1, SECOND);
    own.record_read(SECOND, SECOND);
    let known = TableDigest {
        floor: 0,
        last_change: 1,
        revision: 1,
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&known, ms(1500));
    own.apply_version(1, ms(2000));
    own.record_read(SECOND, ms(2000));
    assert!(!own.is_reader());
}

/// Guards against routers that start together and all read on for the others: 290 calls more at a power
/// cut of 352 routers.
#[test]
fn a_read_of_the_whole_table_makes_no_reader() {
    let mut own = follower(10, SECOND);
    own.record_success();
    assert!(!own.is_reader());
    own.apply_changes(10, 20, &[]);
    own.record_read(ms(2500), ms(2500));
    assert!(own.is_reader());
}

/// Guards against routers that read at the same moment, and each go on because the others' reads are not
/// clearly later: 50 to 75 calls in 25 s of 295 routers, in place of 25.
#[test]
fn of_routers_that_read_together_one_goes_on() {
    let mut routers: Vec<Follower> = (0..6)
        .map(|index| named(&format!("r{index}"), 10, SECOND))
        .collect();
    for (index, router) in routers.iter_mut().enumerate() {
        let sent = ms(2000 + 4 * index as u64);
        router.apply_changes(10, 20, &[]);
        router.record_read(sent, sent);
    }
    let now = ms(2040);
    let told: Vec<TableDigest> = routers.iter().filter_map(|r| r.digest(now)).collect();
    for router in &mut routers {
        told.iter()
            .for_each(|known| router.apply_digest(known, now));
    }
    assert_eq!(
        routers.iter().filter(|router| router.is_reader()).count(),
        1
    );
}

/// Guards against a registry that is asked again at once by a router that it refused.
#[test]
fn a_failed_read_waits() {
    let mut own = follower(10, SECOND);
    own.record_read(SECOND, SECOND);
    own.record_failure(ms(2000), ms(700));
    assert_eq!(own.next_read(PERIOD, WAIT, PATIENCE), ms(2700));
}

/// Guards against an older configuration that replaces a newer one.
#[test]
fn a_version_never_falls() {
    let mut own = Follower::new("own");
    own.apply_version(7, SECOND);
    own.apply_version(6, ms(2000));
    assert_eq!(own.revision(), Some(7));
    assert_eq!(own.age(ms(2000)), Some(SECOND));
    let newer = TableDigest {
        floor: 0,
        last_change: 9,
        revision: 9,
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&newer, ms(2500));
    assert_eq!(own.gap_since(), Some(ms(2500)));
    own.apply_version(9, ms(2600));
    assert_eq!(own.gap_since(), None);
}

proptest! {
    /// Guards against any order of messages in which a router believes to be complete although a change
    /// before its mark never reached it.
    #[test]
    fn no_order_of_messages_hides_a_change(
        steps in prop::collection::vec((0u8..5, any::<bool>()), 1..120),
    ) {
        let mut reader = follower(1, SECOND);
        let mut hearer = follower(1, SECOND);
        let mut got: Vec<u64> = Vec::new();
        let mut position = 1u64;
        let mut sent: Vec<Feed> = Vec::new();
        for (index, (step, lost)) in steps.into_iter().enumerate() {
            let now = SECOND + ms(20 * index as u64);
            match step {
                0 => {
                    let from = reader.read_from().expect("a mark");
                    let rows = [row("e", position + 1)];
                    reader.apply_changes(from, position + 2, &rows);
                    reader.record_read(now, now);
                    position += 2;
                    sent.push(feed(from, position, &rows));
                }
                1 if !sent.is_empty() && !lost => {
                    let next = sent.remove(index % sent.len());
                    for feed in hearer.apply_feed(next, now) {
                        got.extend(feed.changed.iter().map(|(_, position, _)| *position));
                    }
                }
                2 if !lost => hearer.apply_digest(&reader.digest(now).expect("known"), now),
                3 => {
                    if let Some(mark) = hearer.repair_request(now)
                        && let Some(given) = reader.changes_since(mark, now)
                        && !lost
                    {
                        for feed in hearer.apply_feed(given, now) {
                            got.extend(feed.changed.iter().map(|(_, position, _)| *position));
                        }
                    }
                }
                _ => {}
            }
            let mark = hearer.revision().expect("a mark");
            for change in (2..=mark).step_by(2) {
                prop_assert!(got.contains(&change), "change {change} is missing at {mark}");
            }
        }
    }
}
