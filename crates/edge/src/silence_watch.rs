//! Detection of endpoints that fall silent while they send an answer.

use crate::network::is_alive;
use crate::shared::Shared;
use crate::upstream::SILENCE;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep};

/// Detects an endpoint that stops sending and can no longer be reached.
pub(crate) struct SilenceWatch {
    timer: Pin<Box<Sleep>>,
    last: Instant,
    check: Option<Pin<Box<dyn Future<Output = bool> + Send>>>,
}

impl SilenceWatch {
    /// Starts to watch an endpoint that has just sent something.
    pub(crate) fn new() -> SilenceWatch {
        SilenceWatch {
            timer: Box::pin(tokio::time::sleep(SILENCE)),
            last: Instant::now(),
            check: None,
        }
    }

    /// Restarts the timer because the endpoint sent something.
    pub(crate) fn restart(&mut self) {
        self.last = Instant::now();
        self.check = None;
    }

    /// Ready once the endpoint is silent and cannot be reached.
    pub(crate) fn poll_unreachable(
        &mut self,
        shared: &Arc<Shared>,
        address: SocketAddr,
        direct: bool,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        loop {
            if let Some(check) = &mut self.check {
                let reachable = ready!(check.as_mut().poll(cx));
                self.check = None;
                if !reachable {
                    return Poll::Ready(());
                }
                self.timer.as_mut().reset(Instant::now() + SILENCE);
            }
            ready!(self.timer.as_mut().poll(cx));
            let due = self.last + SILENCE;
            if due > Instant::now() {
                self.timer.as_mut().reset(due);
            } else {
                self.check = Some(Box::pin(is_alive(shared.clone(), address, direct)));
            }
        }
    }
}
