//! When a stream tells the pace of its endpoint. A slow endpoint must be known before its streams end, and
//! one long prompt beside the stream must not count.

use std::time::Duration;

/// Event after which a stream is sampled for the first time, and then each time that their number doubles.
const FIRST_SAMPLE: usize = 4;
/// Multiple of the usual pause after which a stream without an event is sampled early.
const STALL_MULTIPLE: u32 = 3;
/// Events after an early sample until the next one.
const EVENTS_AFTER_STALL: usize = 3;

/// A pause that has become too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// The pause before it was not too long.
    Single,
    /// The pause before it was too long as well.
    Repeated,
}

/// Samples of one stream.
#[derive(Clone, Debug, Default)]
pub struct StreamSampler {
    events: usize,
    last: Option<Duration>,
    /// Pauses since the last sample.
    pauses: Vec<Duration>,
    next: usize,
    /// Whether this pause has counted as a sample, and whether the one before has.
    stalled: bool,
    stalled_before: bool,
}

impl StreamSampler {
    /// Creates the sampler of a stream of which nothing has arrived.
    pub fn new() -> StreamSampler {
        StreamSampler {
            next: FIRST_SAMPLE,
            ..StreamSampler::default()
        }
    }

    /// Records that `events` events have arrived since the start of the stream. Returns the median of the
    /// pauses since the last sample, if a sample is due.
    pub fn record(&mut self, events: usize, now: Duration) -> Option<Duration> {
        let new = events.saturating_sub(self.events);
        if new == 0 {
            return None;
        }
        self.events = events;
        let was_stalled = std::mem::take(&mut self.stalled);
        // A single long pause was a sample already. Of several in a row, those after the first one count, or a
        // router that sees only long pauses would never learn that they are usual there.
        let is_single = was_stalled && !self.stalled_before;
        self.stalled_before = was_stalled;
        if let Some(last) = self.last.replace(now) {
            // Events that arrive together were produced over the whole pause.
            let count = u32::try_from(new).unwrap_or(u32::MAX);
            let pause = now.saturating_sub(last) / count;
            let new = if is_single { new - 1 } else { new };
            self.pauses.extend(std::iter::repeat_n(pause, new.min(64)));
        }
        if events < self.next || self.pauses.is_empty() {
            return None;
        }
        self.next = events.saturating_mul(2).max(FIRST_SAMPLE);
        let mut pauses = std::mem::take(&mut self.pauses);
        pauses.sort();
        Some(pauses[(pauses.len() - 1) / 2])
    }

    /// When the pause since the last event becomes so long that it counts as a sample by itself, if it has
    /// not done so yet.
    pub fn stall_at(&self, usual: Duration) -> Option<Duration> {
        let last = self.last.filter(|_| !self.stalled)?;
        Some(last + usual * STALL_MULTIPLE)
    }

    /// Records that the pause counts as a sample. Returns it.
    pub fn stall(&mut self, now: Duration) -> (Duration, Stall) {
        let stall = if self.stalled_before {
            Stall::Repeated
        } else {
            self.pauses.clear();
            Stall::Single
        };
        self.stalled = true;
        self.next = self.next.min(self.events + EVENTS_AFTER_STALL);
        (now.saturating_sub(self.last.unwrap_or(now)), stall)
    }
}
