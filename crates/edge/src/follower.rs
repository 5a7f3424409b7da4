//! What a router knows of one table, how old that is, and when it reads the table itself.
//!
//! Routers tell each other how far they know a table and when that was known to be the newest. So one
//! read serves the whole fleet, a router with a gap is repaired by a neighbour, and no message makes
//! news look younger than the read that showed them. docs/platform.md has the rules and the bounds.

use crate::feed::{ChangedRow, Feed, MAX_TOLD};
use crate::manifest::EndpointEntry;
use sequoiaridge_core::{EndpointId, hash_parts};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Point in the history of a table: the registry's position, or the version of the configuration.
pub type Mark = u64;

/// Names a router that reads: a hash of its id.
pub type ReaderKey = u32;

/// Time that a message may have been on its way. Links between domains take some ms, and a full link
/// delays a datagram by several times that.
const TRANSIT: Duration = Duration::from_millis(50);
/// Time within which two reads count as made together: through a relay each seems some `TRANSIT` older.
const TOGETHER: Duration = Duration::from_millis(250);
/// Changes that are kept for routers with a gap; a hundred bytes each.
const MAX_TAIL: usize = 1024;
/// Changes that a router gives others in a second: a tenth of what a link of 10 Mbit/s carries.
const GIVEN_A_SECOND: usize = 600;
/// Feeds that wait for what comes before them.
const MAX_EARLY: usize = 32;
/// Least time between two questions for what is missing: an answer takes a round trip.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// How far a router knows a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Mark after which the sender knows every change.
    pub floor: Mark,
    /// Mark of the last change after the floor; the floor if there is none.
    pub changed: Mark,
    /// Mark up to which the sender is complete.
    pub mark: Mark,
    /// Time since the mark was known to be the newest, in ms.
    pub age: u32,
    /// The router whose read showed that.
    pub reader: ReaderKey,
}

/// Follows one table by own reads and by what other routers tell.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    own: ReaderKey,
    mark: Option<Mark>,
    floor: Mark,
    changed: Mark,
    /// When the mark was known to be the newest.
    fresh: Duration,
    /// Time whose state the last own read showed.
    read_at: Duration,
    /// The latest time whose state another router read.
    others_at: Duration,
    /// The router whose read made the news fresh.
    reader: ReaderKey,
    /// Whether no other router has read later than this one.
    leads: bool,
    /// Mark of a change that another router knows and this one does not, and since when.
    missing: Option<(Mark, Duration)>,
    asked: Option<Duration>,
    /// Lowest mark of a router that is behind the floor, so that its gap can only be read.
    lagging: Option<Mark>,
    /// Mark up to which the registry's history is gone.
    gone: Mark,
    /// Changes after the floor.
    tail: BTreeMap<(Mark, EndpointId), Option<EndpointEntry>>,
    /// Feeds that came before those that they follow on.
    early: VecDeque<Feed>,
    /// Start of a second, and the changes that were given to others in it.
    given: (Duration, usize),
    failures: u32,
    not_before: Duration,
}

impl Follower {
    /// Creates the follower of router `id`, which knows nothing.
    pub fn new(id: &str) -> Follower {
        let [a, b, c, d, ..] = hash_parts(&[id.as_bytes()]).to_le_bytes();
        Follower {
            own: ReaderKey::from_le_bytes([a, b, c, d]),
            ..Follower::default()
        }
    }

    /// Mark up to which the table is known; `None` if it is not known.
    pub fn mark(&self) -> Option<Mark> {
        self.mark
    }

    /// Time since the table was known to be complete.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.mark.map(|_| now.saturating_sub(self.fresh))
    }

    /// What other routers are told.
    pub fn known(&self, now: Duration) -> Option<Known> {
        let age = self.age(now)?.as_millis();
        Some(Known {
            floor: self.floor,
            changed: self.changed.max(self.floor),
            mark: self.mark?,
            age: u32::try_from(age).unwrap_or(u32::MAX),
            reader: self.reader,
        })
    }

    /// Whether this router reads for the fleet.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Since when a change is missing that another router knows.
    pub fn missing_since(&self) -> Option<Duration> {
        self.missing.map(|(_, since)| since)
    }

    /// Mark after which the next read of changes starts: the own one, or that of a router with a gap
    /// that nobody else can fill.
    pub fn read_from(&self) -> Option<Mark> {
        let mark = self.mark?;
        Some(self.lagging.map_or(mark, |lagging| lagging.min(mark)))
    }

    /// Takes over the whole table: a read that was sent at `fresh`, or what another router knew then.
    pub fn whole(&mut self, mark: Mark, fresh: Duration) {
        if self.mark.is_some_and(|known| known >= mark) {
            return;
        }
        self.mark = Some(mark);
        self.floor = mark;
        self.changed = mark;
        self.fresh = self.fresh.max(fresh);
        self.tail.clear();
        self.settle();
    }

    /// Takes over a version of the configuration. It needs no history: each version is whole.
    pub fn version(&mut self, version: Mark, fresh: Duration) {
        if self.mark.is_none_or(|known| known <= version) {
            self.mark = Some(version);
            self.changed = version;
            self.fresh = self.fresh.max(fresh);
        }
        self.settle();
    }

    /// Notes that the registry answered an own read.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.not_before = Duration::ZERO;
    }

    /// Notes an own read of changes, sent at `sent`, that brought the state at `fresh`. The router goes on
    /// reading for all unless another one has read since then. A read of the whole table makes no reader:
    /// hundreds of routers may start together.
    pub fn led(&mut self, sent: Duration, fresh: Duration) {
        self.leads = self.others_at <= sent;
        self.read_at = self.read_at.max(fresh);
        if fresh > self.fresh {
            self.fresh = fresh;
            self.reader = self.own;
        }
    }

    /// Takes over the changes between two marks, which an own read showed.
    pub fn changes(&mut self, from: Mark, to: Mark, changed: &[ChangedRow]) {
        if self.mark.is_none_or(|mark| from > mark) {
            return;
        }
        self.floor = self.floor.min(from);
        self.lagging = None;
        self.extend(to, changed);
    }

    /// Notes an own read that failed. The next one waits at least `pause`.
    pub fn failed(&mut self, now: Duration, pause: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.leads = false;
        self.lagging = None;
        self.not_before = now + pause;
    }

    /// Notes that the registry has no history from a mark that a read started at. Returns whether it was
    /// the own one, so that the whole table has to be read.
    pub fn history_lost(&mut self, from: Mark) -> bool {
        self.gone = self.gone.max(from);
        self.lagging = None;
        self.mark.is_none_or(|mark| from >= mark)
    }

    /// Own reads that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Time before which this router does not read, because a read failed.
    pub fn not_before(&self) -> Duration {
        self.not_before
    }

    /// When this router reads the table, if nothing newer comes by then. `period` is the age at which
    /// the table is read again, `wait` what this router adds unless it reads for the fleet, and
    /// `patience` the time for which it waits for what is missing.
    pub fn due(&self, period: Duration, wait: Duration, patience: Duration) -> Duration {
        if self.mark.is_none() {
            return self.not_before;
        }
        let wait = if self.leads { Duration::ZERO } else { wait };
        let mut due = self.fresh + period + wait;
        if let Some((_, since)) = self.missing {
            due = due.min(since + patience);
        }
        due.max(self.not_before)
    }

    /// Takes over how far another router knows the table.
    pub fn hear(&mut self, known: &Known, now: Duration) {
        let Some(mark) = self.mark else {
            return;
        };
        if known.mark < mark {
            self.note_lagging(known.mark);
            return;
        }
        if mark < known.floor {
            return;
        }
        if known.changed > mark {
            let (missing, since) = self.missing.unwrap_or((0, now));
            self.missing = Some((missing.max(known.changed), since));
            return;
        }
        self.mark = Some(known.mark);
        let age = Duration::from_millis(known.age.into()) + TRANSIT;
        let fresh = now.saturating_sub(age);
        if fresh > self.fresh {
            self.fresh = fresh;
            self.reader = known.reader;
        }
        if known.reader != self.own {
            self.others_at = self.others_at.max(fresh);
            // Of two routers that read at about the same time, one goes on.
            let same = fresh + TOGETHER > self.read_at && known.reader < self.own;
            if fresh > self.read_at || same {
                self.leads = false;
            }
        }
        self.settle();
    }

    /// Takes over a feed. Returns the feeds to apply now, in order: none if something before it is
    /// missing, and more than one if it fills a gap.
    pub fn hear_feed(&mut self, feed: Feed, now: Duration) -> Vec<Feed> {
        let Some(mark) = self.mark else {
            return Vec::new();
        };
        if feed.from > mark {
            let (missing, since) = self.missing.unwrap_or((0, now));
            self.missing = Some((missing.max(feed.to), since));
            self.early.push_back(feed);
            if self.early.len() > MAX_EARLY {
                self.early.pop_front();
            }
            return Vec::new();
        }
        let mut ready = vec![feed];
        self.extend(ready[0].to, &ready[0].changed);
        while let Some(next) = self.take_early() {
            self.extend(next.to, &next.changed);
            ready.push(next);
        }
        self.settle();
        ready
    }

    /// The mark after which another router is asked for changes, if some are missing for longer than
    /// feeds take that overtake each other.
    pub fn ask(&mut self, now: Duration) -> Option<Mark> {
        let (_, since) = self.missing?;
        let waited = now >= since + ASK_PAUSE / 2;
        let again = self.asked.is_none_or(|asked| now >= asked + ASK_PAUSE);
        if !waited || !again {
            return None;
        }
        self.asked = Some(now);
        self.mark
    }

    /// The changes after a mark, for a router that lacks them; `None` if they are not known here, or are
    /// so many that they fill a slow link: then another router gives them, or the registry.
    pub fn since(&mut self, from: Mark, now: Duration) -> Option<Feed> {
        let mark = self.mark?;
        if from < self.floor {
            self.note_lagging(from);
            return None;
        }
        if from >= mark {
            return None;
        }
        let after = (from + 1, EndpointId::new());
        let changed = self.tail.range(after..);
        let changed = changed.map(|((position, id), entry)| (id.clone(), *position, entry.clone()));
        let changed: Vec<ChangedRow> = changed.collect();
        let (second, given) = self.given;
        let (second, given) = if now < second + Duration::from_secs(1) {
            (second, given)
        } else {
            (now, 0)
        };
        if changed.len() > MAX_TOLD || given + changed.len() > GIVEN_A_SECOND {
            return None;
        }
        self.given = (second, given + changed.len());
        Some(Feed {
            from,
            to: mark,
            changed,
        })
    }

    fn note_lagging(&mut self, mark: Mark) {
        if mark < self.floor && mark > self.gone {
            self.lagging = Some(self.lagging.unwrap_or(mark).min(mark));
        }
    }

    fn extend(&mut self, to: Mark, changed: &[ChangedRow]) {
        for (id, position, entry) in changed {
            if *position > self.floor {
                self.tail.insert((*position, id.clone()), entry.clone());
                self.changed = self.changed.max(*position);
            }
        }
        self.mark = self.mark.max(Some(to));
        while self.tail.len() > MAX_TAIL {
            if let Some(((position, _), _)) = self.tail.pop_first() {
                self.floor = self.floor.max(position);
            }
        }
        self.settle();
    }

    fn take_early(&mut self) -> Option<Feed> {
        let mark = self.mark?;
        let index = self.early.iter().position(|feed| feed.from <= mark)?;
        self.early.remove(index)
    }

    /// Forgets what was missing once it is known.
    fn settle(&mut self) {
        if let (Some((missing, _)), Some(mark)) = (self.missing, self.mark)
            && missing <= mark
        {
            self.missing = None;
            self.asked = None;
        }
    }
}
