//! What a router knows of a table, and how old that is.

use proptest::prelude::*;
use sequoiaridge_edge::{ChangedRow, Feed, Follower, Known};
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
    follower.whole(mark, fresh);
    follower
}

/// Guards against news that look younger than the read that showed them, because a message was delayed
/// or passed on by a router that had been cut off.
#[test]
fn a_message_is_as_old_as_the_read_behind_it() {
    let mut own = follower(10, SECOND);
    let old = Known {
        floor: 10,
        changed: 10,
        mark: 10,
        age: 3000,
        reader: 1,
    };
    own.hear(&old, ms(5000));
    assert!(own.age(ms(5000)) >= Some(ms(3000)));
    let late = Known { age: 100, ..old };
    own.hear(&late, ms(6000));
    assert!(own.age(ms(6000)) >= Some(ms(100)));
    assert!(own.age(ms(6000)) < Some(ms(300)));
}

/// Guards against a feed that ends before the own mark and yet makes the news look fresh: a router that
/// was frozen sends what it read long ago.
#[test]
fn a_feed_from_the_past_makes_nothing_fresh() {
    let mut own = follower(100, SECOND);
    let ready = own.hear_feed(feed(10, 50, &[row("e1", 40)]), ms(9000));
    assert_eq!(
        ready.len(),
        1,
        "its rows are known to be old by their positions"
    );
    let behind = Known {
        floor: 10,
        changed: 40,
        mark: 50,
        age: 0,
        reader: 1,
    };
    own.hear(&behind, ms(9000));
    assert_eq!(own.mark(), Some(100));
    assert_eq!(own.age(ms(9000)), Some(ms(8000)));
}

/// Guards against a router that goes on with a gap when the feed before was lost: it asks another one,
/// which gives the changes without a call to the registry.
#[test]
fn a_lost_feed_is_filled_by_a_neighbour() {
    let (mut reader, mut hearer) = (follower(10, SECOND), follower(10, SECOND));
    for (from, to, id) in [(10, 20, "e1"), (20, 30, "e2")] {
        reader.changes(from, to, &[row(id, to - 5)]);
        reader.led(ms(to * 100), ms(to * 100));
    }
    let now = ms(3100);
    let ready = hearer.hear_feed(feed(20, 30, &[row("e2", 25)]), now);
    assert!(ready.is_empty(), "e1 is missing");
    hearer.hear(&reader.known(now).expect("known"), now);
    assert_eq!(hearer.ask(now), None, "parts of feeds overtake each other");
    let mark = hearer.ask(now + ms(60)).expect("a question");
    let given = reader.since(mark, now).expect("the changes");
    let ready = hearer.hear_feed(given, now + ms(61));
    let applied: Vec<&str> = ready
        .iter()
        .flat_map(|feed| feed.changed.iter().map(|(id, _, _)| id.as_str()))
        .collect();
    assert_eq!(&applied[..2], ["e1", "e2"]);
    assert_eq!(hearer.missing_since(), None);
    assert_eq!(hearer.mark(), Some(30));
}

/// Guards against routers that each read for themselves where one says that nothing changed.
#[test]
fn the_word_that_nothing_changed_makes_the_news_fresh() {
    let (mut reader, mut hearer) = (follower(10, SECOND), follower(12, SECOND));
    reader.changes(10, 20, &[row("e1", 11)]);
    reader.led(ms(4000), ms(4000));
    hearer.hear(&reader.known(ms(4000)).expect("known"), ms(4005));
    assert_eq!(hearer.mark(), Some(20));
    assert!(hearer.age(ms(4005)) < Some(ms(100)));
}

/// Guards against a router that read the whole table and cannot tell which rows vanished before: its
/// word must not hide that from one that was behind.
#[test]
fn a_whole_read_says_nothing_of_what_changed_before() {
    let reader = follower(50, ms(2000));
    let mut hearer = follower(40, SECOND);
    hearer.hear(&reader.known(ms(2000)).expect("known"), ms(2005));
    assert_eq!(hearer.mark(), Some(40));
    assert!(hearer.age(ms(2005)) > Some(ms(900)));
    assert_eq!(hearer.missing_since(), None, "nor that something did");
}

/// Guards against a router that stays behind after a cold start, because it read the list a moment
/// before the one that reads for all: that one reads from its mark.
#[test]
fn the_reader_reads_again_for_a_router_that_lags() {
    let (mut reader, mut hearer) = (follower(50, SECOND), follower(40, SECOND));
    reader.hear(&hearer.known(ms(1100)).expect("known"), ms(1100));
    assert_eq!(reader.read_from(), Some(40));
    reader.changes(40, 60, &[row("e1", 45), row("e2", 55)]);
    reader.led(ms(1500), ms(1500));
    let known = reader.known(ms(1500)).expect("known");
    hearer.hear(&known, ms(1505));
    let mark = hearer.ask(ms(1600)).expect("a question");
    let given = reader.since(mark, ms(1600)).expect("the changes");
    assert_eq!(given.changed.len(), 2);
    assert_eq!(reader.read_from(), Some(60));
}

/// Guards against a neighbour whose slow link hundreds of changes fill.
#[test]
fn a_router_far_behind_is_not_given_hundreds_of_changes() {
    let mut reader = follower(10, SECOND);
    let rows: Vec<ChangedRow> = (11..400).map(|position| row("e", position)).collect();
    reader.changes(10, 400, &rows);
    assert_eq!(reader.since(10, SECOND), None);
    let given = (0..100).filter(|_| reader.since(350, SECOND).is_some());
    assert_eq!(given.count(), 12, "600 in a second");
    assert!(reader.since(350, ms(2100)).is_some());
}

/// Guards against two readers: the one whose read is older leaves the reading to the other.
#[test]
fn the_router_that_read_last_reads_for_all() {
    let (mut first, mut second) = (named("a", 10, SECOND), named("b", 10, SECOND));
    first.changes(10, 20, &[]);
    first.led(ms(2000), ms(2000));
    second.changes(10, 21, &[]);
    second.led(ms(2100), ms(2100));
    let now = ms(2110);
    let (told, heard) = (second.known(now), first.known(now));
    first.hear(&told.expect("known"), now);
    second.hear(&heard.expect("known"), now);
    assert!(!first.leads());
    assert!(second.leads());
    assert!(second.due(PERIOD, WAIT, PATIENCE) < first.due(PERIOD, WAIT, PATIENCE));
}

/// Guards against routers that all go on waiting for changes of the configuration: each hears of the
/// others' reads while its own call waits (851 calls in 48 s of a quiet day with 23 routers).
#[test]
fn a_call_that_others_overtook_does_not_make_a_reader() {
    let mut own = Follower::new("own");
    own.version(1, SECOND);
    own.led(SECOND, SECOND);
    let known = Known {
        floor: 0,
        changed: 1,
        mark: 1,
        age: 0,
        reader: 1,
    };
    own.hear(&known, ms(1500));
    own.version(1, ms(2000));
    own.led(SECOND, ms(2000));
    assert!(!own.leads());
}

/// Guards against routers that start together and all read on for the others: 290 calls more at a power
/// cut of 352 routers.
#[test]
fn a_read_of_the_whole_table_makes_no_reader() {
    let mut own = follower(10, SECOND);
    own.answered();
    assert!(!own.leads());
    own.changes(10, 20, &[]);
    own.led(ms(2500), ms(2500));
    assert!(own.leads());
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
        router.changes(10, 20, &[]);
        router.led(sent, sent);
    }
    let now = ms(2040);
    let told: Vec<Known> = routers.iter().filter_map(|r| r.known(now)).collect();
    for router in &mut routers {
        told.iter().for_each(|known| router.hear(known, now));
    }
    assert_eq!(routers.iter().filter(|router| router.leads()).count(), 1);
}

/// Guards against a registry that is asked again at once by a router that it refused.
#[test]
fn a_failed_read_waits() {
    let mut own = follower(10, SECOND);
    own.led(SECOND, SECOND);
    own.failed(ms(2000), ms(700));
    assert_eq!(own.due(PERIOD, WAIT, PATIENCE), ms(2700));
}

/// Guards against an older configuration that replaces a newer one.
#[test]
fn a_version_never_falls() {
    let mut own = Follower::new("own");
    own.version(7, SECOND);
    own.version(6, ms(2000));
    assert_eq!(own.mark(), Some(7));
    assert_eq!(own.age(ms(2000)), Some(SECOND));
    let newer = Known {
        floor: 0,
        changed: 9,
        mark: 9,
        age: 0,
        reader: 1,
    };
    own.hear(&newer, ms(2500));
    assert_eq!(own.missing_since(), Some(ms(2500)));
    own.version(9, ms(2600));
    assert_eq!(own.missing_since(), None);
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
                    reader.changes(from, position + 2, &rows);
                    reader.led(now, now);
                    position += 2;
                    sent.push(feed(from, position, &rows));
                }
                1 if !sent.is_empty() && !lost => {
                    let next = sent.remove(index % sent.len());
                    for feed in hearer.hear_feed(next, now) {
                        got.extend(feed.changed.iter().map(|(_, position, _)| *position));
                    }
                }
                2 if !lost => hearer.hear(&reader.known(now).expect("known"), now),
                3 => {
                    if let Some(mark) = hearer.ask(now)
                        && let Some(given) = reader.since(mark, now)
                        && !lost
                    {
                        for feed in hearer.hear_feed(given, now) {
                            got.extend(feed.changed.iter().map(|(_, position, _)| *position));
                        }
                    }
                }
                _ => {}
            }
            let mark = hearer.mark().expect("a mark");
            for change in (2..=mark).step_by(2) {
                prop_assert!(got.contains(&change), "change {change} is missing at {mark}");
            }
        }
    }
}
