//! Bounded memory of the last success of each suspect.

use crate::crash::Suspect;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time within which a further success is not recorded, so that a few frequent suspects do not
/// displace the others.
pub(crate) const RESOLUTION: Duration = Duration::from_millis(250);

/// Times of the last successes, the oldest of which are forgotten first.
#[derive(Clone, Debug)]
pub(crate) struct Successes {
    ttl: Duration,
    limit: usize,
    last: BTreeMap<Suspect, Duration>,
    order: VecDeque<(Suspect, Duration)>,
}

impl Successes {
    /// Creates an empty memory for at most `limit` successes, each for `ttl`.
    pub(crate) fn new(ttl: Duration, limit: usize) -> Successes {
        Successes {
            ttl,
            limit,
            last: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records a success at the given time.
    pub(crate) fn record(&mut self, suspect: Suspect, at: Duration) {
        let known = self.last.get(&suspect);
        if self.ttl.is_zero() || known.is_some_and(|known| at < *known + RESOLUTION) {
            return;
        }
        self.last.insert(suspect, at);
        self.order.push_back((suspect, at));
        while self.order.len() > self.limit {
            self.forget_oldest();
        }
    }

    /// Time of the last success, if it is known.
    pub(crate) fn get(&self, suspect: Suspect) -> Option<Duration> {
        self.last.get(&suspect).copied()
    }

    /// Forgets successes that are older than the TTL.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((_, at)) = self.order.front()
            && now > *at + self.ttl
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((suspect, at)) = self.order.pop_front()
            && self.last.get(&suspect) == Some(&at)
        {
            self.last.remove(&suspect);
        }
    }
}
