//! Detection of endpoints that fall silent while they send an answer.

use crate::network::AwaitedStart;
use crate::shared::Shared;
use crate::upstream::SILENCE;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep};

/// A check that is under way.
type Check = Pin<Box<dyn Future<Output = Option<AwaitedStart>> + Send>>;

/// Detects an endpoint that stops sending and is taken for gone.
pub(crate) struct SilenceWatch {
    awaited: AwaitedStart,
    timer: Pin<Box<Sleep>>,
    last: Instant,
    check: Option<Check>,
}

impl SilenceWatch {
    /// Starts to watch an endpoint that has just sent something.
    pub(crate) fn new(awaited: AwaitedStart) -> SilenceWatch {
        SilenceWatch {
            awaited,
            timer: Box::pin(tokio::time::sleep(SILENCE)),
            last: Instant::now(),
            check: None,
        }
    }

    /// Restarts the timer because the endpoint sent something.
    pub(crate) fn restart(&mut self) {
        self.last = Instant::now();
        self.check = None;
        self.awaited.paused = false;
    }

    /// Ready once the endpoint is silent and taken for gone.
    pub(crate) fn poll_gone(&mut self, shared: &Arc<Shared>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(check) = &mut self.check {
                let awaited = ready!(check.as_mut().poll(cx));
                self.check = None;
                match awaited {
                    Some(awaited) => self.awaited = awaited,
                    None => return Poll::Ready(()),
                }
                self.timer.as_mut().reset(Instant::now() + SILENCE);
            }
            ready!(self.timer.as_mut().poll(cx));
            let due = self.last + SILENCE;
            if due > Instant::now() {
                self.timer.as_mut().reset(due);
            } else {
                let check = self.awaited.clone().outlive_silence(shared.clone());
                self.check = Some(Box::pin(check));
            }
        }
    }
}
