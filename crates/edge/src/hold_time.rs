//! For how long a request holds a slot of its endpoint, without the time that it waits for one.

use crate::call::EndpointLoad;
use std::time::Duration;

/// Measures how long one attempt holds a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldTime {
    since: Duration,
    /// Requests that waited at the endpoint, as a share of its slots. A request takes about this much
    /// longer than its own run.
    waiting: f64,
    /// Whether the attempt runs the whole request, and not only the rest of a stream.
    is_whole: bool,
}

impl HoldTime {
    /// Starts when an attempt is sent.
    pub(crate) fn sent(is_whole: bool, now: Duration) -> HoldTime {
        HoldTime {
            since: now,
            waiting: 0.0,
            is_whole,
        }
    }

    /// Records the load in the head of the answer.
    pub(crate) fn answered(&mut self, load: EndpointLoad) {
        self.waiting = f64::from(load.waiting) / f64::from(load.slots.max(1));
    }

    /// Records the first event of a stream, before which the request may have waited.
    pub(crate) fn first_event(&mut self, now: Duration) {
        self.since = now;
        self.waiting = 0.0;
    }

    /// The time until the end of the answer; `None` if it was not the whole answer.
    pub(crate) fn held(&self, now: Duration) -> Option<Duration> {
        let time = now.saturating_sub(self.since);
        self.is_whole.then(|| time.div_f64(1.0 + self.waiting))
    }
}
