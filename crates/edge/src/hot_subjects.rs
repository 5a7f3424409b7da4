//! Hot subjects: how many endpoints each is spread over.
//!
//! A subject may get a tenth of the traffic of hundreds of routers. Each of them sends it one
//! request every few seconds, so none sees by itself that the subject is hot. But a router that
//! finds the subject's endpoints beyond the bound on load tells the others. All routers then use
//! the same endpoints, the first ones by rendezvous rank, and use fewer again as the subject cools.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a subject needs half as many endpoints, unless they are beyond the bound again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Subjects in one message, the hottest first.
const MAX_PER_MESSAGE: usize = 6;
/// Most subjects that are tracked.
const MAX_TRACKED: usize = 256;

/// A hot subject as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotSubject {
    /// Key of the subject.
    pub key: u64,
    /// Number of endpoints that it needs.
    pub spread: u16,
}

#[derive(Clone, Copy, Debug)]
struct Need {
    count: f64,
    at: Duration,
}

impl Need {
    fn decayed(&self, now: Duration) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(halves)
    }
}

/// Hot subjects, with the number of endpoints that each needs.
#[derive(Clone, Debug, Default)]
pub struct HotSubjects {
    subjects: BTreeMap<u64, Need>,
}

impl HotSubjects {
    /// Creates a table without hot subjects.
    pub fn new() -> HotSubjects {
        HotSubjects::default()
    }

    /// Number of endpoints over which a subject is spread; 1 unless it is hot.
    pub fn spread(&self, key: u64, now: Duration) -> usize {
        let count = self
            .subjects
            .get(&key)
            .map_or(1.0, |need| need.decayed(now));
        (count.round() as usize).max(1)
    }

    /// Records that a subject needs `count` endpoints, if that is more than it has now.
    pub fn raise(&mut self, key: u64, count: usize, now: Duration) {
        if count <= self.spread(key, now) {
            return;
        }
        if self.subjects.len() >= MAX_TRACKED && !self.subjects.contains_key(&key) {
            return;
        }
        let count = count as f64;
        self.subjects.insert(key, Need { count, at: now });
    }

    /// The hottest subjects, for a message.
    pub fn hottest(&self, now: Duration) -> Vec<HotSubject> {
        let keys = self.subjects.keys();
        let hottest = keys.map(|key| HotSubject {
            key: *key,
            spread: u16::try_from(self.spread(*key, now)).unwrap_or(u16::MAX),
        });
        let mut hottest: Vec<HotSubject> = hottest.filter(|subject| subject.spread > 1).collect();
        hottest.sort_by_key(|subject| std::cmp::Reverse(subject.spread));
        hottest.truncate(MAX_PER_MESSAGE);
        hottest
    }

    /// Merges the hot subjects of another router.
    pub fn merge(&mut self, subjects: &[HotSubject], now: Duration) {
        for subject in subjects {
            self.raise(subject.key, usize::from(subject.spread), now);
        }
    }

    /// Drops subjects that have cooled down to one endpoint.
    pub fn expire(&mut self, now: Duration) {
        self.subjects.retain(|_, need| need.decayed(now) > 1.0);
    }
}
