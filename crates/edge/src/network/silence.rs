//! Whether an endpoint that sends nothing for a while has ended, has stopped for a moment, or is only slow.

use super::open::reach;
use crate::departures::start_of_run;
use crate::shared::Shared;
use crate::upstream::{MAX_PAUSE, SILENCE};
use sequoiaridge_core::{EndpointId, Event};
use sequoiaridge_log::log;
use sequoiaridge_wire::Reach;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Pause between two connections to an endpoint that is silent.
const RECHECK_PAUSE: Duration = Duration::from_millis(20);

/// The start of an endpoint from which an answer is awaited.
#[derive(Clone, Debug)]
pub(crate) struct AwaitedStart {
    pub(crate) endpoint: EndpointId,
    /// Boot id in the row by which the request was sent; empty if it is not known.
    pub(crate) boot: String,
    pub(crate) address: SocketAddr,
    /// Whether the connection does not pass through another router.
    pub(crate) direct: bool,
    /// Whether connections failed to open for a while since the request was sent.
    pub(crate) paused: bool,
}

impl AwaitedStart {
    /// Waits until the endpoint, which has been silent for [`SILENCE`], can be reached again; `None` once it is
    /// taken for gone. One that refuses connections has ended. One to which connections do not open may only have
    /// stopped for a moment, so it has until [`MAX_PAUSE`], without new requests meanwhile. See "Silence" in
    /// docs/platform.md.
    pub(crate) async fn outlive_silence(mut self, shared: Arc<Shared>) -> Option<AwaitedStart> {
        let wait = async {
            loop {
                match reach(&shared, self.address).await.0 {
                    Reach::Refused => return false,
                    Reach::Opened => return !self.is_lost(&shared),
                    Reach::Silent => self.paused = true,
                }
                avoid(&shared, &self.endpoint);
                tokio::time::sleep(RECHECK_PAUSE).await;
            }
        };
        let is_alive = timeout(MAX_PAUSE - SILENCE, wait).await.unwrap_or(false);
        is_alive.then_some(self)
    }

    /// Whether the answer is lost although the endpoint can be reached: a direct connection is lost with the links,
    /// and one to an endpoint that crashed and is back with its start.
    fn is_lost(&self, shared: &Shared) -> bool {
        let state = shared.lock_state();
        let listed = state.roster.last_boot(&self.endpoint);
        let is_known = !self.boot.is_empty();
        let is_replaced = self.paused && is_known && start_of_run(&self.boot, &listed) != self.boot;
        is_replaced || self.direct && state.isolation.is_isolated()
    }
}

/// Keeps new requests from an endpoint that is out of reach, until shortly after the next check.
fn avoid(shared: &Shared, endpoint: &EndpointId) {
    let now = shared.now();
    let mut state = shared.lock_state();
    let is_new = !state.health.is_paused(endpoint, now);
    state.health.suspect(endpoint, now);
    drop(state);
    if is_new {
        log(Event::EndpointSilent, &format!("endpoint={endpoint}"));
    }
}
