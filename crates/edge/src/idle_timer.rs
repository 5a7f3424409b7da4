//! Idle time of callers' connections, which follows the configuration while they are open.

use crate::shared::Shared;
use hyper::rt::{Sleep, Timer};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an idle connection of a caller is kept, and within which the head of a request must
/// arrive, before the first configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Time for which an idle connection of a caller is kept. The HTTP library has one time for this and
/// for the arrival of a head. A caller may know a longer time before this router does, by at most the
/// time within which a version must be in force.
pub(crate) fn idle_limit(shared: &Shared) -> Duration {
    let state = shared.lock_state();
    let limits = state
        .routes
        .as_ref()
        .map(|routes| &routes.manifest().limits);
    let limit = limits.map_or(DEFAULT_IDLE, |limits| limits.idle.max(limits.arrival));
    limit + shared.settings.apply_bound
}

/// Timer of a caller's connection. Waits for a head are extended if the configuration allows a longer
/// idle time by their end: callers that know it may still send on the connection.
pub(crate) struct IdleTimer {
    shared: Arc<Shared>,
}

impl IdleTimer {
    /// Creates the timer of a connection.
    pub(crate) fn new(shared: Arc<Shared>) -> IdleTimer {
        IdleTimer { shared }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until((Instant::now() + duration).into())
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep {
            shared: self.shared.clone(),
            since: Instant::now(),
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }

    fn now(&self) -> std::time::Instant {
        Instant::now().into()
    }
}

/// One wait for the head of a request.
struct IdleSleep {
    shared: Arc<Shared>,
    since: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let until = self.since + idle_limit(&self.shared);
            if until <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(until);
        }
    }
}
