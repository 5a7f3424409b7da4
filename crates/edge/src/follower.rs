//! State of one registry table at a router: what the router has, how stale it may be, and when it
//! reads the table itself.
//!
//! Routers gossip a digest of each table: the revision that they have, and when a read last showed
//! it to be the newest. So one read serves the whole fleet, a router with a gap is repaired by a
//! peer, and no message makes a table look fresher than the read behind it. docs/platform.md has
//! the rules and the bounds.

use crate::feed::{ChangedRow, Feed, MAX_FEED_CHANGES, RowChange};
use crate::registry::Position;
use sequoiaridge_core::{EndpointId, id_key};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Point in the history of a table: a position of the registry, or a version of the configuration.
/// The operators number the versions of the configuration, so those hold in all eras and have era 0.
pub type Revision = Position;

/// Identifies a router that reads: a hash of its id.
pub type ReaderKey = u32;

/// Transit time assumed for a message. Links between failure domains take some ms, and a full link
/// delays a datagram by several times that.
const TRANSIT: Duration = Duration::from_millis(50);
/// Interval within which two reads count as concurrent. Through a relay, each of them looks older
/// by about `TRANSIT`.
const CONCURRENT_READS: Duration = Duration::from_millis(250);
/// Changes that are kept to repair other routers; about 100 bytes each.
const MAX_KEPT_CHANGES: usize = 1024;
/// Changes that a router sends as repairs in one second: a tenth of what a link of 10 Mbit/s
/// carries.
const MAX_REPAIRS_PER_SECOND: usize = 600;
/// Feeds that are kept until the changes before them arrive.
const MAX_EARLY_FEEDS: usize = 32;
/// Shortest time between a read and the next one that is made because a later state is wanted.
const WANTED_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two repair requests: an answer takes a round trip.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// What one router tells others about its state of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// Revision after which the sender has every change.
    pub floor: Revision,
    /// Revision of the last change after `floor`; `floor` if there is none.
    pub last_change: Revision,
    /// Revision up to which the sender's table is complete.
    pub revision: Revision,
    /// Staleness bound in ms: the time since `revision` was known to be the newest.
    pub age_ms: u32,
    /// The router whose read showed `revision` to be the newest.
    pub reader: ReaderKey,
}

/// Tracks one table through this router's reads and the messages of other routers.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    own_key: ReaderKey,
    revision: Option<Revision>,
    floor: Revision,
    last_change: Revision,
    /// When `revision` was last known to be the newest.
    verified_at: Duration,
    /// Time of the state that this router's last read returned.
    read_at: Duration,
    /// Latest time of a state that another router read.
    peer_read_at: Duration,
    /// The router whose read set `verified_at`.
    reader: ReaderKey,
    /// Whether this router reads for the fleet, because no other one has read later.
    is_reader: bool,
    /// Revision that another router has and this one lacks, and since when it is missing.
    gap: Option<(Revision, Duration)>,
    requested_at: Option<Duration>,
    /// Lowest revision of a router that is behind `floor`, so that only a read closes its gap.
    lagging: Option<Revision>,
    /// Revision up to which the registry has dropped its history.
    lost_up_to: Revision,
    /// Changes after `floor`.
    recent: BTreeMap<(Revision, EndpointId), RowChange>,
    /// Feeds that arrived before the changes that they follow.
    early: VecDeque<Feed>,
    /// Start of the current one-second window, and the changes sent as repairs in it.
    repair_quota: (Duration, usize),
    failures: u32,
    not_before: Duration,
    /// Time as of which the state of the table is wanted.
    wanted: Option<Duration>,
    /// When this router's last read was sent.
    sent_at: Duration,
}

impl Follower {
    /// Creates the state of router `id`, without any revision of the table.
    pub fn new(id: &str) -> Follower {
        Follower {
            own_key: ReaderKey::from_le_bytes(id_key(id)),
            ..Follower::default()
        }
    }

    /// Revision up to which this router has the table; `None` if it does not have it.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Time since the table was known to be complete.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.revision.map(|_| now.saturating_sub(self.verified_at))
    }

    /// Whether the table is known as of `time` or later.
    pub fn is_known_as_of(&self, time: Duration) -> bool {
        self.revision.is_some() && self.verified_at >= time
    }

    /// Asks for the state of the table as of `time`, so that this router reads it soon.
    pub fn want(&mut self, time: Duration) {
        if !self.is_known_as_of(time) {
            self.wanted = self.wanted.max(Some(time));
        }
    }

    /// The digest for other routers; `None` without the table.
    pub fn digest(&self, now: Duration) -> Option<TableDigest> {
        let age = self.age(now)?.as_millis();
        Some(TableDigest {
            floor: self.floor,
            last_change: self.last_change.max(self.floor),
            revision: self.revision?,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            reader: self.reader,
        })
    }

    /// Whether this router reads for the fleet.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Whether another router has the table of a later era. Changes do not lead there, only a whole
    /// table does.
    pub fn is_era_behind(&self) -> bool {
        let missing = self.gap.map(|(missing, _)| missing.era);
        missing > self.revision.map(|revision| revision.era)
    }

    /// Since when this router lacks a change that another one has.
    pub fn gap_since(&self) -> Option<Duration> {
        self.gap.map(|(_, since)| since)
    }

    /// Revision after which the next read of changes starts: this router's own, or that of a router
    /// whose gap no other router can close. `None` if the next read is one of the whole table.
    pub fn read_from(&self) -> Option<Revision> {
        let revision = self.revision.filter(|_| !self.is_era_behind())?;
        Some(
            self.lagging
                .map_or(revision, |lagging| lagging.min(revision)),
        )
    }

    /// Records that the whole table was replaced by its state at `revision`, either read with a
    /// call sent at `verified_at` or received from a router that knew it to be the newest then.
    pub fn replace(&mut self, revision: Revision, verified_at: Duration) {
        if self.revision.is_some_and(|known| known >= revision) {
            return;
        }
        self.revision = Some(revision);
        self.floor = revision;
        self.last_change = revision;
        self.verified_at = self.verified_at.max(verified_at);
        self.recent.clear();
        self.early.retain(|feed| feed.from.era == revision.era);
        self.lagging = None;
        self.close_gap();
    }

    /// The changes that this router keeps, for one that gets the whole table from it.
    pub fn tail(&self) -> Option<Feed> {
        let revision = self.revision?;
        let mut floor = self.floor;
        let mut changed = self.kept_changes(floor);
        if changed.len() > MAX_FEED_CHANGES {
            changed.clear();
            floor = revision;
        }
        Some(Feed {
            from: floor,
            to: revision,
            changed,
        })
    }

    /// Records that the whole table was received from another router, with the latest changes that
    /// it keeps. Routers that got the table at different moments can then repair each other.
    pub fn replace_with_tail(&mut self, tail: &Feed, verified_at: Duration) {
        if self.revision.is_some_and(|known| known >= tail.to) {
            return;
        }
        self.replace(tail.to, verified_at);
        if tail.from.era == tail.to.era {
            self.floor = tail.from;
            self.last_change = tail.from;
            self.extend(tail.to, &tail.changed);
        }
    }

    /// Whether this router should get the whole table from another one: it lacks a later era, or
    /// no other router has sent it the missing changes for `repair_time`.
    pub fn needs_table(&self, repair_time: Duration, now: Duration) -> bool {
        let is_old = self
            .gap
            .is_some_and(|(_, since)| now >= since + repair_time);
        is_old || self.is_era_behind()
    }

    /// Records a version of the configuration. It needs no history, since each version is complete.
    pub fn apply_version(&mut self, version: Revision, verified_at: Duration) {
        if self.revision.is_none_or(|known| known <= version) {
            self.revision = Some(version);
            self.last_change = version;
            self.verified_at = self.verified_at.max(verified_at);
        }
        self.close_gap();
    }

    /// Records that the registry answered a read of this router.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.not_before = Duration::ZERO;
    }

    /// Records a read of changes by this router, sent at `sent`, that returned the state at
    /// `verified_at`. The router keeps reading for the fleet unless another one has read since
    /// `sent`. Reading the whole table does not make a router the reader, because hundreds of
    /// routers may start together.
    pub fn record_read(&mut self, sent: Duration, verified_at: Duration) {
        // A read for a wanted state does not take over from the router that reads for the fleet.
        let was_wanted = self.wanted.is_some() && !self.is_reader;
        self.is_reader = self.peer_read_at <= sent && !was_wanted;
        self.wanted = self.wanted.filter(|wanted| *wanted > verified_at);
        self.sent_at = self.sent_at.max(sent);
        self.read_at = self.read_at.max(verified_at);
        if verified_at > self.verified_at {
            self.verified_at = verified_at;
            self.reader = self.own_key;
        }
    }

    /// Applies the changes between two revisions that a read of this router returned.
    pub fn apply_changes(&mut self, from: Revision, to: Revision, changed: &[ChangedRow]) {
        let is_continuous = |revision: Revision| from <= revision && from.era == revision.era;
        if !self.revision.is_some_and(is_continuous) || to.era != from.era {
            return;
        }
        self.floor = self.floor.min(from);
        self.lagging = None;
        self.extend(to, changed);
    }

    /// Records a failed read of this router. The next one waits for at least `pause`.
    pub fn record_failure(&mut self, now: Duration, pause: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.is_reader = false;
        self.lagging = None;
        self.not_before = now + pause;
    }

    /// Records that the registry no longer has the history after a revision from which a read
    /// started. If that was this router's own revision, it must read the whole table.
    pub fn history_lost(&mut self, from: Revision) {
        self.lost_up_to = self.lost_up_to.max(from);
        self.lagging = None;
    }

    /// Number of consecutive failed reads of this router.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Time before which this router does not read again after a failed read.
    pub fn not_before(&self) -> Duration {
        self.not_before
    }

    /// When this router reads the table unless a newer state arrives first. `period` is the age at
    /// which the table is read again, `extra_wait` is added unless this router reads for the fleet,
    /// and `repair_wait` is the time that other routers have to close a gap.
    pub fn next_read(
        &self,
        period: Duration,
        extra_wait: Duration,
        repair_wait: Duration,
    ) -> Duration {
        if self.revision.is_none() {
            return self.not_before;
        }
        let extra_wait = if self.is_reader {
            Duration::ZERO
        } else {
            extra_wait
        };
        let mut due = self.verified_at + period + extra_wait;
        if let Some((_, since)) = self.gap {
            due = due.min(since + repair_wait);
        }
        if let Some(wanted) = self.wanted.filter(|wanted| *wanted > self.verified_at) {
            due = due.min(wanted.max(self.sent_at + WANTED_INTERVAL));
        }
        due.max(self.not_before)
    }

    /// Applies the digest of another router.
    pub fn apply_digest(&mut self, digest: &TableDigest, now: Duration) {
        let Some(revision) = self.revision else {
            return;
        };
        if digest.revision < revision {
            self.note_lagging(digest.revision);
            return;
        }
        if digest.revision.era > revision.era {
            self.note_gap(digest.revision, now);
            return;
        }
        if revision < digest.floor {
            return;
        }
        if digest.last_change > revision {
            self.note_gap(digest.last_change, now);
            return;
        }
        self.revision = Some(digest.revision);
        let age = Duration::from_millis(digest.age_ms.into()) + TRANSIT;
        let verified_at = now.saturating_sub(age);
        if verified_at > self.verified_at {
            self.verified_at = verified_at;
            self.reader = digest.reader;
        }
        if digest.reader != self.own_key {
            self.peer_read_at = self.peer_read_at.max(verified_at);
            // Of two routers that read concurrently, one goes on reading.
            let same =
                verified_at + CONCURRENT_READS > self.read_at && digest.reader < self.own_key;
            if verified_at > self.read_at || same {
                self.is_reader = false;
            }
        }
        self.close_gap();
    }

    /// Applies a feed. Returns the feeds to apply to the table now, in order: none if a change
    /// before the feed is missing or the feed is from an earlier era, and more than one if it closes
    /// a gap.
    pub fn apply_feed(&mut self, feed: Feed, now: Duration) -> Vec<Feed> {
        let Some(revision) = self.revision else {
            return Vec::new();
        };
        if feed.from.era != feed.to.era || feed.to.era < revision.era {
            return Vec::new();
        }
        if feed.from > revision {
            self.note_gap(feed.to, now);
            self.early.push_back(feed);
            if self.early.len() > MAX_EARLY_FEEDS {
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
        self.close_gap();
        ready
    }

    /// The revision after which to request changes from another router; `None` if there is no gap
    /// that changes close, or a request would be too early: feeds may arrive out of order, and an
    /// answer takes a round trip.
    pub fn repair_request(&mut self, now: Duration) -> Option<Revision> {
        let (_, since) = self.gap.filter(|_| !self.is_era_behind())?;
        let waited = now >= since + REPAIR_INTERVAL / 2;
        let again = self
            .requested_at
            .is_none_or(|at| now >= at + REPAIR_INTERVAL);
        if !waited || !again {
            return None;
        }
        self.requested_at = Some(now);
        self.revision
    }

    /// The changes after a revision, to repair another router. `None` if this router does not have
    /// them all, or if there are so many that they would fill a slow link; then another router or
    /// the registry provides them.
    pub fn changes_since(&mut self, from: Revision, now: Duration) -> Option<Feed> {
        let revision = self.revision?;
        if from < self.floor {
            self.note_lagging(from);
            return None;
        }
        if from >= revision {
            return None;
        }
        let changed = self.kept_changes(from);
        let (second, sent) = self.repair_quota;
        let (second, sent) = if now < second + Duration::from_secs(1) {
            (second, sent)
        } else {
            (now, 0)
        };
        if changed.len() > MAX_FEED_CHANGES || sent + changed.len() > MAX_REPAIRS_PER_SECOND {
            return None;
        }
        self.repair_quota = (second, sent + changed.len());
        Some(Feed {
            from,
            to: revision,
            changed,
        })
    }

    /// The changes after a revision that this router keeps.
    fn kept_changes(&self, from: Revision) -> Vec<ChangedRow> {
        let after = (from.next(), EndpointId::new());
        let changed = self.recent.range(after..);
        changed
            .map(|((position, id), entry)| (id.clone(), *position, entry.clone()))
            .collect()
    }

    /// Records a revision that another router has and this one lacks.
    fn note_gap(&mut self, revision: Revision, now: Duration) {
        let (missing, since) = self.gap.unwrap_or((revision, now));
        self.gap = Some((missing.max(revision), since));
    }

    fn note_lagging(&mut self, revision: Revision) {
        let is_reachable = revision.era == self.floor.era && revision > self.lost_up_to;
        if revision < self.floor && is_reachable {
            self.lagging = Some(self.lagging.unwrap_or(revision).min(revision));
        }
    }

    fn extend(&mut self, to: Revision, changed: &[ChangedRow]) {
        for (id, position, entry) in changed {
            if *position > self.floor {
                self.recent.insert((*position, id.clone()), entry.clone());
                self.last_change = self.last_change.max(*position);
            }
        }
        self.revision = self.revision.max(Some(to));
        while self.recent.len() > MAX_KEPT_CHANGES {
            if let Some(((position, _), _)) = self.recent.pop_first() {
                self.floor = self.floor.max(position);
            }
        }
        self.close_gap();
    }

    fn take_early(&mut self) -> Option<Feed> {
        let revision = self.revision?;
        let index = self.early.iter().position(|feed| feed.from <= revision)?;
        self.early.remove(index)
    }

    /// Clears the gap once this router has the missing revision.
    fn close_gap(&mut self) {
        if let (Some((missing, _)), Some(revision)) = (self.gap, self.revision)
            && missing <= revision
        {
            self.gap = None;
            self.requested_at = None;
        }
    }
}
