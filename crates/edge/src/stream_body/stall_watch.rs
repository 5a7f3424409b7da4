//! Decides when a stream is a sample of its endpoint's pace, and wakes it when a pause becomes too long.

use crate::pace::{Stall, StreamSampler};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Samples of one endpoint's part of a stream, and the timer for a pause that is too long.
pub(super) struct StallWatch {
    sampler: StreamSampler,
    /// Usual pause between events of the service, as of the last sample.
    usual_pause: Option<Duration>,
    /// Wakes the stream when its pause becomes longer than usual.
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallWatch {
    /// Starts to watch a stream of which nothing has arrived.
    pub(super) fn new() -> StallWatch {
        StallWatch {
            sampler: StreamSampler::new(),
            usual_pause: None,
            timer: None,
        }
    }

    /// Records that `events` events have arrived, and sets when the next pause is too long. If a sample is
    /// due or the usual pause is not known yet, `record_pause` records the sample, if any, and returns the
    /// usual pause.
    pub(super) fn record(
        &mut self,
        events: usize,
        now: Duration,
        record_pause: impl FnOnce(Option<Duration>) -> Option<Duration>,
    ) {
        let sample = self.sampler.record(events, now);
        if sample.is_some() || self.usual_pause.is_none() && events == 1 {
            self.usual_pause = record_pause(sample);
        }
        let stall_at = self
            .usual_pause
            .and_then(|usual| self.sampler.stall_at(usual));
        let Some(stall_at) = stall_at else {
            self.timer = None;
            return;
        };
        let at = Instant::now() + stall_at.saturating_sub(now);
        match &mut self.timer {
            Some(timer) => timer.as_mut().reset(at),
            None => self.timer = Some(Box::pin(tokio::time::sleep_until(at))),
        }
    }

    /// Ready once for each pause that becomes too long.
    pub(super) fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        Poll::Ready(())
    }

    /// The pause that has become too long, as a sample.
    pub(super) fn sample(&mut self, now: Duration) -> (Duration, Stall) {
        self.sampler.stall(now)
    }
}
