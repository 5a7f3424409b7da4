//! The list of routers among which the budget of a cold endpoint is divided. The load: a third of the
//! routers start at once, each with a list that lacks some of the others.

use sequoiaridge_core::{RouterId, hash_parts};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Time after joining in which a router has no share. By then it has sent two messages to each router
/// on its list, so that those count it.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after joining in which the list may still lack routers that started at the same time. Routers
/// that joined earlier know each other, and the new ones that they lack do not send yet. 370 routers
/// that start at once have learned each other's names from third ones by then.
const START_TIME: Duration = Duration::from_secs(120);
/// A list is complete if no name that was heard within this time was new, and how many names say so. In
/// the model, with one new name in 32 allowed, so many of 370 routers that start at once had samples with few
/// new names by chance that they exceeded the budget. Growth of the list would not do: in a large fleet, a
/// list that lacks half grows slowly.
const NAMES_TIME: Duration = Duration::from_secs(4);
/// In a quiet fleet of two, a router hears only eight messages within [`NAMES_TIME`], so two names for each
/// other router suffice.
const MIN_NAMES: usize = 16;

/// All routers that this one knows, heard or not.
#[derive(Clone, Debug)]
pub struct KnownRouters {
    own: RouterId,
    /// When the registry's list of routers was read.
    joined: Option<Duration>,
    others: BTreeSet<RouterId>,
    /// Those of the others that said they are draining, and have not run without since.
    draining: BTreeSet<RouterId>,
    /// When the last names were heard since one of them was new.
    heard: VecDeque<Duration>,
    /// When the last new name was heard.
    learned_at: Duration,
    /// Number of changes of the list, for what is derived from it.
    revision: u64,
}

impl KnownRouters {
    /// Creates the list of router `own`, which knows no other one.
    pub fn new(own: &str) -> KnownRouters {
        KnownRouters {
            own: own.to_string(),
            joined: None,
            others: BTreeSet::new(),
            draining: BTreeSet::new(),
            heard: VecDeque::new(),
            learned_at: Duration::ZERO,
            revision: 0,
        }
    }

    /// Records that the registry's list of routers was read.
    pub fn join(&mut self, now: Duration) {
        self.joined.get_or_insert(now);
    }

    /// Adds another router, as the registry lists it. Returns whether it is new.
    pub fn learn(&mut self, id: &str) -> bool {
        let is_new = id != self.own && self.others.insert(id.to_string());
        self.revision += u64::from(is_new);
        is_new
    }

    /// Adds a router that sent a message, or that a message names.
    pub fn hear(&mut self, id: &str, now: Duration) {
        if id == self.own {
            return;
        }
        if self.learn(id) {
            self.learned_at = now;
            self.heard.clear();
        }
        self.heard.push_back(now);
        if self.heard.len() > MIN_NAMES {
            self.heard.pop_front();
        }
    }

    /// Forgets the routers that do not match.
    pub fn retain(&mut self, keep: impl Fn(&RouterId) -> bool) {
        let before = self.others.len();
        self.others.retain(keep);
        let others = &self.others;
        self.draining.retain(|id| others.contains(id));
        if self.others.len() != before {
            self.revision += 1;
        }
    }

    /// Records whether another router says that it is draining.
    pub fn note_draining(&mut self, id: &str, draining: bool) {
        let is_new = if draining {
            self.others.contains(id) && self.draining.insert(id.to_string())
        } else {
            self.draining.remove(id)
        };
        self.revision += u64::from(is_new);
    }

    /// Number of routers that are not known to drain, with this one.
    pub fn staying(&self) -> usize {
        self.others.len() - self.draining.len() + 1
    }

    /// Number of routers, with this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Number of changes of the list.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the list is complete enough that this router knows its share.
    pub fn is_settled(&self, now: Duration) -> bool {
        let Some(joined) = self.joined else {
            return false;
        };
        if now < joined + SETTLE_TIME {
            return false;
        }
        if now >= joined + START_TIME || self.others.is_empty() {
            return true;
        }
        let recent = self.heard.iter().filter(|at| now < **at + NAMES_TIME);
        now >= self.learned_at + NAMES_TIME
            && recent.count() >= MIN_NAMES.min(2 * self.others.len())
    }

    /// Whether this router is among the first `count` by rendezvous hash of a start of an endpoint.
    pub(crate) fn is_among_first(&self, count: usize, endpoint: &str, boot: &str) -> bool {
        let ahead = || self.ahead(self.others.iter(), endpoint, boot);
        count >= self.count() || ahead().take(count).count() < count
    }

    /// Rank of this router by rendezvous hash of a start of an endpoint, from 0, among those that are not known
    /// to drain.
    pub(crate) fn rank_of_staying(&self, endpoint: &str, boot: &str) -> usize {
        let staying = self.others.difference(&self.draining);
        self.ahead(staying, endpoint, boot).count()
    }

    /// Those of some other routers that rank ahead of this one by rendezvous hash of a start of an endpoint.
    fn ahead<'a>(
        &'a self,
        others: impl Iterator<Item = &'a RouterId>,
        endpoint: &'a str,
        boot: &'a str,
    ) -> impl Iterator<Item = &'a RouterId> {
        let rank = move |router: &str| {
            hash_parts(&[endpoint.as_bytes(), boot.as_bytes(), router.as_bytes()])
        };
        let own = (rank(&self.own), &self.own);
        others.filter(move |other| (rank(other), *other) > own)
    }
}
