//! Streams that other routers are to be told of.

use crate::manifest::ServiceName;
use crate::stream_versions::{StreamId, StreamOrigin};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most streams of a service that wait; beyond that, the oldest are dropped. In a large fleet they
/// wait until the service has several versions.
const MAX_WAITING: usize = 4096;

/// Period in which a router of a large fleet tells a bounded number of streams, and that number. Each
/// stream is told at once: half of those that were refused after a kill, although a holder was left, had
/// at most three events when told every 250 ms. What waits when a service gets a second version is
/// spread over several periods.
const TELL_PERIOD: Duration = Duration::from_millis(100);
const MAX_TOLD_PER_PERIOD: usize = 24;

/// How many streams a router of a large fleet may tell the holders now.
#[derive(Clone, Debug, Default)]
pub struct TellPace {
    next_period: Duration,
    left: usize,
}

impl TellPace {
    /// Number of streams that may be told now.
    pub fn allowance(&mut self, now: Duration) -> usize {
        if now >= self.next_period {
            self.next_period = now + TELL_PERIOD;
            self.left = MAX_TOLD_PER_PERIOD;
        }
        self.left
    }

    /// Records that streams were told.
    pub fn note_told(&mut self, streams: usize) {
        self.left = self.left.saturating_sub(streams);
    }
}

/// Streams that this router recorded and has not told yet, by service.
#[derive(Debug, Default)]
pub struct StreamNews {
    /// Each stream with the number of messages that carried it.
    waiting: BTreeMap<ServiceName, VecDeque<(StreamId, u8)>>,
}

impl StreamNews {
    /// Queues a stream.
    pub fn add(&mut self, service: &str, stream: StreamId) {
        let waiting = match self.waiting.get_mut(service) {
            Some(waiting) => waiting,
            None => self.waiting.entry(service.to_string()).or_default(),
        };
        waiting.push_back((stream, 0));
        if waiting.len() > MAX_WAITING {
            waiting.pop_front();
        }
    }

    /// Takes up to `count` streams of the services that `is_told` selects, as `find` has them; those
    /// that it does not find are dropped. The newest go first, since older ones may have ended. Each
    /// one is taken `sends` times, since datagrams get lost.
    pub fn take(
        &mut self,
        count: usize,
        sends: u8,
        is_told: impl Fn(&str) -> bool,
        find: impl Fn(StreamId) -> Option<StreamOrigin>,
    ) -> Vec<StreamOrigin> {
        let mut taken = Vec::new();
        for (service, waiting) in &mut self.waiting {
            if !is_told(service) {
                continue;
            }
            for _ in 0..waiting.len() {
                if taken.len() >= count {
                    break;
                }
                let Some((stream, sent)) = waiting.pop_back() else {
                    break;
                };
                let Some(origin) = find(stream) else {
                    continue;
                };
                taken.push(origin);
                if sent + 1 < sends {
                    waiting.push_front((stream, sent + 1));
                }
            }
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
        taken
    }
}
