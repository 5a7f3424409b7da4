//! Whether this router has lost its links to the endpoints, as far as its own connections show it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which failed connections to different endpoints count together.
const WINDOW: Duration = Duration::from_secs(2);
/// Endpoints to which connections must fail, without one that opens, before another router is asked.
const MIN_FAILED: usize = 3;
/// Direct connections that must open one after the other before the links count as back.
const MIN_OPENED: u32 = 2;

/// The state of the links. Without I/O. Failed connections alone do not say whether the links or the endpoints
/// are gone, so a suspicion has to be confirmed by a router that reaches one of these endpoints.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// When the connection to each endpoint last failed, since one last opened.
    failed: BTreeMap<SocketAddr, Duration>,
    isolated: bool,
    /// Direct connections that opened in a row while isolated.
    opened: u32,
}

impl Isolation {
    /// Creates the state of a router whose links work.
    pub fn new() -> Isolation {
        Isolation::default()
    }

    /// Whether the links are lost.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Records a direct connection that failed; `endpoints` is the number of endpoints. Returns whether the
    /// links may be lost.
    pub fn record_failure(&mut self, address: SocketAddr, endpoints: usize, now: Duration) -> bool {
        self.opened = 0;
        self.failed.retain(|_, at| now < *at + WINDOW);
        self.failed.insert(address, now);
        self.isolated || self.failed.len() >= MIN_FAILED.min(endpoints)
    }

    /// Records a direct connection that opened. Returns whether the links are back.
    pub fn record_opened(&mut self) -> bool {
        self.failed.clear();
        self.opened = self.opened.saturating_add(1);
        let is_back = self.isolated && self.opened >= MIN_OPENED;
        self.isolated &= !is_back;
        is_back
    }

    /// Records that another router reaches an endpoint that this one does not reach. Returns whether that is
    /// new.
    pub fn confirm(&mut self) -> bool {
        self.opened = 0;
        !std::mem::replace(&mut self.isolated, true)
    }
}
