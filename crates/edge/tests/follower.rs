//! A router's state of a table, its staleness, and the repair of gaps.

use proptest::prelude::*;
use sequoiaridge_edge::{ChangedRow, Feed, Follower, Position, RowChange, TableDigest};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_millis(500);
const EXTRA_WAIT: Duration = Duration::from_millis(150);
const REPAIR_WAIT: Duration = Duration::from_millis(400);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A position in the first era.
fn at(version: u64) -> Position {
    Position::new(1, version)
}

fn row(id: &str, version: u64) -> ChangedRow {
    (id.to_string(), at(version), RowChange::Removed)
}

fn feed(from: u64, to: u64, changed: &[ChangedRow]) -> Feed {
    Feed {
        from: at(from),
        to: at(to),
        changed: changed.to_vec(),
    }
}

fn follower(revision: u64, verified_at: Duration) -> Follower {
    named("own", revision, verified_at)
}

fn named(id: &str, revision: u64, verified_at: Duration) -> Follower {
    let mut follower = Follower::new(id);
    follower.replace(at(revision), verified_at);
    follower
}

/// Guards against a table that looks fresher than the read behind it, because a message was delayed
/// or came from a router that had been partitioned.
#[test]
fn a_message_is_as_old_as_the_read_behind_it() {
    let mut own = follower(10, SECOND);
    let old = TableDigest {
        floor: at(10),
        last_change: at(10),
        revision: at(10),
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

/// Guards against a feed up to an older revision that makes the table look fresh: a router that was
/// frozen sends what it read long ago.
#[test]
fn an_old_feed_does_not_make_the_table_fresh() {
    let mut own = follower(100, SECOND);
    let ready = own.apply_feed(feed(10, 50, &[row("e1", 40)]), ms(9000));
    assert_eq!(
        ready.len(),
        1,
        "the positions of its rows show that they are old"
    );
    let behind = TableDigest {
        floor: at(10),
        last_change: at(40),
        revision: at(50),
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&behind, ms(9000));
    assert_eq!(own.revision(), Some(at(100)));
    assert_eq!(own.age(ms(9000)), Some(ms(8000)));
}

/// Guards against a gap that stays after a feed was lost: the router requests the missing changes
/// from another one, without a call to the registry.
#[test]
fn a_lost_feed_is_filled_by_a_neighbour() {
    let (mut reader, mut peer) = (follower(10, SECOND), follower(10, SECOND));
    for (from, to, id) in [(10, 20, "e1"), (20, 30, "e2")] {
        reader.apply_changes(at(from), at(to), &[row(id, to - 5)]);
        reader.record_read(ms(to * 100), ms(to * 100));
    }
    let now = ms(3100);
    let ready = peer.apply_feed(feed(20, 30, &[row("e2", 25)]), now);
    assert!(ready.is_empty(), "e1 is missing");
    peer.apply_digest(&reader.digest(now).expect("a digest"), now);
    assert_eq!(
        peer.repair_request(now),
        None,
        "parts of feeds may arrive out of order"
    );
    let revision = peer.repair_request(now + ms(60)).expect("a request");
    let repair = reader.changes_since(revision, now).expect("the changes");
    let ready = peer.apply_feed(repair, now + ms(61));
    let applied: Vec<&str> = ready
        .iter()
        .flat_map(|feed| feed.changed.iter().map(|(id, _, _)| id.as_str()))
        .collect();
    assert_eq!(&applied[..2], ["e1", "e2"]);
    assert_eq!(peer.gap_since(), None);
    assert_eq!(peer.revision(), Some(at(30)));
}

/// Guards against routers that each read the registry although one reports that nothing changed.
#[test]
fn a_digest_without_a_change_makes_the_table_fresh() {
    let (mut reader, mut peer) = (follower(10, SECOND), follower(12, SECOND));
    reader.apply_changes(at(10), at(20), &[row("e1", 11)]);
    reader.record_read(ms(4000), ms(4000));
    peer.apply_digest(&reader.digest(ms(4000)).expect("a digest"), ms(4005));
    assert_eq!(peer.revision(), Some(at(20)));
    assert!(peer.age(ms(4005)) < Some(ms(100)));
}

/// Guards against a missed removal: a router that read the whole table does not know which rows
/// were removed before, so its digest must not make a router that is behind look complete.
#[test]
fn a_whole_read_says_nothing_of_what_changed_before() {
    let reader = follower(50, ms(2000));
    let mut peer = follower(40, SECOND);
    peer.apply_digest(&reader.digest(ms(2000)).expect("a digest"), ms(2005));
    assert_eq!(peer.revision(), Some(at(40)));
    assert!(peer.age(ms(2005)) > Some(ms(900)));
    assert_eq!(peer.gap_since(), None, "nor does it show a change");
}

/// Guards against a router that stays behind after a cold start, because it read the list shortly
/// before the router that reads for the fleet: that one reads again from the lower revision.
#[test]
fn the_reader_reads_again_for_a_router_that_lags() {
    let (mut reader, mut peer) = (follower(50, SECOND), follower(40, SECOND));
    reader.apply_digest(&peer.digest(ms(1100)).expect("a digest"), ms(1100));
    assert_eq!(reader.read_from(), Some(at(40)));
    reader.apply_changes(at(40), at(60), &[row("e1", 45), row("e2", 55)]);
    reader.record_read(ms(1500), ms(1500));
    let digest = reader.digest(ms(1500)).expect("a digest");
    peer.apply_digest(&digest, ms(1505));
    let revision = peer.repair_request(ms(1600)).expect("a request");
    let repair = reader
        .changes_since(revision, ms(1600))
        .expect("the changes");
    assert_eq!(repair.changed.len(), 2);
    assert_eq!(reader.read_from(), Some(at(60)));
}

/// Guards against a repair of hundreds of changes that fills the slow link of a router.
#[test]
fn a_router_far_behind_is_not_given_hundreds_of_changes() {
    let mut reader = follower(10, SECOND);
    let rows: Vec<ChangedRow> = (11..400).map(|position| row("e", position)).collect();
    reader.apply_changes(at(10), at(400), &rows);
    assert_eq!(reader.changes_since(at(10), SECOND), None);
    let repair = (0..100).filter(|_| reader.changes_since(at(350), SECOND).is_some());
    assert_eq!(repair.count(), 12, "600 changes per second");
    assert!(reader.changes_since(at(350), ms(2100)).is_some());
}

/// Guards against two routers that both go on reading: the one with the older read stops.
#[test]
fn the_router_that_read_last_reads_for_all() {
    let (mut first, mut second) = (named("a", 10, SECOND), named("b", 10, SECOND));
    first.apply_changes(at(10), at(20), &[]);
    first.record_read(ms(2000), ms(2000));
    second.apply_changes(at(10), at(21), &[]);
    second.record_read(ms(2100), ms(2100));
    let now = ms(2110);
    let (from_second, from_first) = (second.digest(now), first.digest(now));
    first.apply_digest(&from_second.expect("a digest"), now);
    second.apply_digest(&from_first.expect("a digest"), now);
    assert!(!first.is_reader());
    assert!(second.is_reader());
    assert!(
        second.next_read(PERIOD, EXTRA_WAIT, REPAIR_WAIT)
            < first.next_read(PERIOD, EXTRA_WAIT, REPAIR_WAIT)
    );
}

/// Guards against routers that all go on with long polls for the configuration, although each gets
/// digests of the others' reads during its own call: 851 calls in 48 s of a quiet day, with 23
/// routers.
#[test]
fn a_call_that_others_overtook_does_not_make_a_reader() {
    let mut own = Follower::new("own");
    own.apply_version(at(1), SECOND);
    own.record_read(SECOND, SECOND);
    let digest = TableDigest {
        floor: at(0),
        last_change: at(1),
        revision: at(1),
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&digest, ms(1500));
    own.apply_version(at(1), ms(2000));
    own.record_read(SECOND, ms(2000));
    assert!(!own.is_reader());
}

/// Guards against routers that start together and all go on reading for the fleet: 290 more calls
/// after a power cut of 352 routers.
#[test]
fn a_read_of_the_whole_table_does_not_make_a_reader() {
    let mut own = follower(10, SECOND);
    own.record_success();
    assert!(!own.is_reader());
    own.apply_changes(at(10), at(20), &[]);
    own.record_read(ms(2500), ms(2500));
    assert!(own.is_reader());
}

/// Guards against routers that read at the same time and all go on reading, because no read is
/// clearly later than the others: 50 to 75 calls in 25 s by 295 routers, instead of 25.
#[test]
fn one_of_several_concurrent_readers_goes_on() {
    let mut routers: Vec<Follower> = (0..6)
        .map(|index| named(&format!("r{index}"), 10, SECOND))
        .collect();
    for (index, router) in routers.iter_mut().enumerate() {
        let sent = ms(2000 + 4 * index as u64);
        router.apply_changes(at(10), at(20), &[]);
        router.record_read(sent, sent);
    }
    let now = ms(2040);
    let digests: Vec<TableDigest> = routers.iter().filter_map(|r| r.digest(now)).collect();
    for router in &mut routers {
        digests
            .iter()
            .for_each(|digest| router.apply_digest(digest, now));
    }
    assert_eq!(
        routers.iter().filter(|router| router.is_reader()).count(),
        1
    );
}

/// Guards against a router that calls the registry again at once after it was refused.
#[test]
fn a_failed_read_is_retried_after_the_delay() {
    let mut own = follower(10, SECOND);
    own.record_read(SECOND, SECOND);
    own.record_failure(ms(2000), ms(700));
    assert_eq!(own.next_read(PERIOD, EXTRA_WAIT, REPAIR_WAIT), ms(2700));
}

/// Guards against a newer configuration that is replaced by an older one.
#[test]
fn the_version_never_decreases() {
    let mut own = Follower::new("own");
    own.apply_version(at(7), SECOND);
    own.apply_version(at(6), ms(2000));
    assert_eq!(own.revision(), Some(at(7)));
    assert_eq!(own.age(ms(2000)), Some(SECOND));
    let newer = TableDigest {
        floor: at(0),
        last_change: at(9),
        revision: at(9),
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&newer, ms(2500));
    assert_eq!(own.gap_since(), Some(ms(2500)));
    own.apply_version(at(9), ms(2600));
    assert_eq!(own.gap_since(), None);
}

/// Guards against changes that count as old because the registry came back from a copy: a later era
/// orders after every version of an earlier one, and only a whole table leads there.
#[test]
fn a_later_era_is_news_although_its_versions_are_lower() {
    let mut reader = follower(100, SECOND);
    reader.replace(Position::new(2, 60), ms(2000));
    assert_eq!(reader.revision(), Some(Position::new(2, 60)));
    let mut peer = follower(103, SECOND);
    peer.apply_digest(&reader.digest(ms(2000)).expect("a digest"), ms(2005));
    assert!(peer.is_era_behind());
    assert_eq!(peer.read_from(), None, "the whole table");
    assert_eq!(peer.repair_request(ms(2300)), None, "not the changes");
    assert_eq!(reader.changes_since(at(103), ms(2005)), None);
    assert_eq!(reader.read_from(), Some(Position::new(2, 60)));
    peer.replace(Position::new(2, 60), ms(2000));
    assert_eq!((peer.gap_since(), peer.is_era_behind()), (None, false));
}

/// Guards against feeds, digests and reads of the era before that arrive late, for instance from a
/// router that was cut off.
#[test]
fn facts_of_an_earlier_era_change_nothing() {
    let mut own = follower(100, SECOND);
    assert!(
        own.apply_feed(feed(105, 110, &[row("e1", 107)]), SECOND)
            .is_empty()
    );
    own.replace(Position::new(2, 60), ms(2000));
    assert_eq!(
        own.apply_feed(feed(100, 120, &[row("e2", 115)]), ms(2100)),
        []
    );
    let old = TableDigest {
        floor: at(100),
        last_change: at(200),
        revision: at(200),
        age_ms: 0,
        reader: 1,
    };
    own.apply_digest(&old, ms(2200));
    own.apply_changes(at(100), at(130), &[row("e3", 125)]);
    own.replace(at(300), ms(2300));
    assert_eq!(own.revision(), Some(Position::new(2, 60)));
    assert_eq!(own.read_from(), Some(Position::new(2, 60)));
    assert_eq!(own.age(ms(2300)), Some(ms(300)));
    let news = Feed {
        from: Position::new(2, 60),
        to: Position::new(2, 61),
        changed: Vec::new(),
    };
    assert_eq!(own.apply_feed(news.clone(), ms(2400)), [news]);
}

proptest! {
    /// Guards against a sequence of messages after which a router takes its table for complete
    /// although a change before its revision never reached it.
    #[test]
    fn no_order_of_messages_hides_a_change(
        steps in prop::collection::vec((0u8..5, any::<bool>()), 1..120),
    ) {
        let mut reader = follower(1, SECOND);
        let mut peer = follower(1, SECOND);
        let mut got: Vec<u64> = Vec::new();
        let mut position = 1u64;
        let mut sent: Vec<Feed> = Vec::new();
        for (index, (step, lost)) in steps.into_iter().enumerate() {
            let now = SECOND + ms(20 * index as u64);
            match step {
                0 => {
                    let from = reader.read_from().expect("a revision");
                    let rows = [row("e", position + 1)];
                    reader.apply_changes(from, at(position + 2), &rows);
                    reader.record_read(now, now);
                    position += 2;
                    sent.push(feed(from.version, position, &rows));
                }
                1 if !sent.is_empty() && !lost => {
                    let next = sent.remove(index % sent.len());
                    for feed in peer.apply_feed(next, now) {
                        got.extend(feed.changed.iter().map(|(_, position, _)| position.version));
                    }
                }
                2 if !lost => peer.apply_digest(&reader.digest(now).expect("a digest"), now),
                3 => {
                    if let Some(revision) = peer.repair_request(now)
                        && let Some(repair) = reader.changes_since(revision, now)
                        && !lost
                    {
                        for feed in peer.apply_feed(repair, now) {
                            got.extend(feed.changed.iter().map(|(_, position, _)| position.version));
                        }
                    }
                }
                _ => {}
            }
            let revision = peer.revision().expect("a revision");
            for change in (2..=revision.version).step_by(2) {
                prop_assert!(got.contains(&change), "change {change} is missing at {revision}");
            }
        }
    }
}

proptest! {
    /// Guards against the same when the registry comes back from copies in between, and the table
    /// comes from another router with its latest changes.
    #[test]
    fn no_order_of_messages_hides_a_change_of_a_later_era(
        steps in prop::collection::vec((0u8..6, any::<bool>(), 0u64..8), 1..120),
    ) {
        let mut reader = follower(1, SECOND);
        let mut peer = follower(1, SECOND);
        let mut position = at(1);
        let (mut changes, mut got, mut whole) = (Vec::new(), Vec::new(), position);
        let mut sent: Vec<Feed> = Vec::new();
        for (index, (step, lost, back)) in steps.into_iter().enumerate() {
            let now = SECOND + ms(20 * index as u64);
            let mut feeds = Vec::new();
            match step {
                0 => {
                    let from = reader.read_from().expect("a revision");
                    let change = Position::new(position.era, position.version + 1);
                    position.version += 2;
                    changes.push(change);
                    let rows = [("e".to_string(), change, RowChange::Removed)];
                    reader.apply_changes(from, position, &rows);
                    reader.record_read(now, now);
                    sent.push(Feed { from, to: position, changed: rows.to_vec() });
                }
                1 if !sent.is_empty() && !lost => {
                    let next = sent.remove(index % sent.len());
                    feeds = peer.apply_feed(next, now);
                }
                2 if !lost => peer.apply_digest(&reader.digest(now).expect("a digest"), now),
                3 => {
                    if let Some(revision) = peer.repair_request(now)
                        && let Some(repair) = reader.changes_since(revision, now)
                        && !lost
                    {
                        feeds = peer.apply_feed(repair, now);
                    }
                }
                4 if lost => {
                    let version = position.version.saturating_sub(back);
                    position = Position::new(position.era + 1, version);
                    reader.replace(position, now);
                }
                5 if peer.needs_table(REPAIR_WAIT, now) && !lost => {
                    let tail = reader.tail().expect("a revision");
                    peer.replace_with_tail(&tail, now);
                    whole = tail.to;
                }
                _ => {}
            }
            let applied = feeds.iter().flat_map(|feed| &feed.changed);
            got.extend(applied.map(|(_, position, _)| *position));
            let revision = peer.revision().expect("a revision");
            let reached = |change: &&Position| change.era == revision.era && **change <= revision;
            for change in changes.iter().filter(reached).filter(|change| **change > whole) {
                prop_assert!(got.contains(change), "change {change} is missing at {revision}");
            }
        }
    }
}
