//! Whether this router may send a request to a cold endpoint now. The load: an endpoint that has just
//! started or whose domain was evacuated, while all routers have requests for it.

use super::{ColdShare, KnownRouters};
use crate::settings::ColdLimit;
use sequoiaridge_core::EndpointId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time in which a router sends at most its share: the second that is counted, and the 100 ms by which
/// delivery times differ.
const WINDOW: Duration = Duration::from_millis(1100);
/// Time after which the share at an endpoint that no request asked for is derived anew.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// A start of an endpoint that is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdEndpoint<'a> {
    /// The endpoint.
    pub id: &'a str,
    /// Its boot id.
    pub boot: &'a str,
    /// Requests per second that it tolerates.
    pub per_second: f64,
}

/// What this router sent to one endpoint, and its share there.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// Times of the requests within the window.
    sent: VecDeque<Duration>,
    share: Option<Share>,
    /// When a request last asked for the endpoint.
    asked_at: Duration,
}

/// The share with what it was derived from.
#[derive(Clone, Debug, PartialEq)]
struct Share {
    boot: String,
    per_second: f64,
    revision: u64,
    /// Requests that this router may send in a window.
    requests: usize,
}

/// Limits the requests of one router to cold endpoints.
#[derive(Clone, Debug)]
pub struct ColdStarts {
    limit: ColdLimit,
    senders: BTreeMap<EndpointId, Sender>,
}

impl ColdStarts {
    /// Creates a limiter without any requests.
    pub fn new(limit: ColdLimit) -> ColdStarts {
        ColdStarts {
            limit,
            senders: BTreeMap::new(),
        }
    }

    /// Whether a request may be sent to a cold endpoint now.
    pub fn may_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> bool {
        self.next_send(endpoint, routers, now) == Some(now)
    }

    /// When this router may next send a request to a cold endpoint; `None` if it has no share there, or does
    /// not know it yet.
    pub fn next_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> Option<Duration> {
        if !routers.is_settled(now) {
            return None;
        }
        let limit = self.limit;
        let sender = self.senders.entry(endpoint.id.to_string()).or_default();
        sender.asked_at = now;
        sender.drop_old(now);
        let share = sender.share(&limit, endpoint, routers);
        sender.next_send(share, now)
    }

    /// Records a request that is sent to a cold endpoint now, unless it may not be sent. Returns whether
    /// it may.
    pub fn try_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> bool {
        let may_send = self.may_send(endpoint, routers, now);
        if may_send && let Some(sender) = self.senders.get_mut(endpoint.id) {
            sender.sent.push_back(now);
        }
        may_send
    }

    /// Drops what no longer limits anything.
    pub fn expire(&mut self, now: Duration) {
        self.senders
            .retain(|_, sender| now < sender.asked_at + IDLE_TIME);
    }
}

impl Sender {
    fn drop_old(&mut self, now: Duration) {
        while self.sent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.sent.pop_front();
        }
    }

    /// When a further request may be sent, with this many requests in a window.
    fn next_send(&self, share: usize, now: Duration) -> Option<Duration> {
        let Some(excess) = self.sent.len().checked_sub(share) else {
            return Some(now);
        };
        Some(*self.sent.get(excess)? + WINDOW)
    }

    /// Requests that this router may send in a window. They are derived again only when the list of
    /// routers, the start of the endpoint or its rate changed: ranking 370 routers takes several
    /// microseconds.
    fn share(
        &mut self,
        limit: &ColdLimit,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
    ) -> usize {
        let revision = routers.revision();
        let known = self.share.as_ref().filter(|share| {
            share.boot == endpoint.boot
                && share.per_second == endpoint.per_second
                && share.revision == revision
        });
        if let Some(share) = known {
            return share.requests;
        }
        let division = ColdShare::new(limit, endpoint.per_second, routers.count());
        let sends = routers.is_among_first(division.senders, endpoint.id, endpoint.boot);
        let requests = if sends { division.each } else { 0 };
        self.share = Some(Share {
            boot: endpoint.boot.to_string(),
            per_second: endpoint.per_second,
            revision,
            requests,
        });
        requests
    }
}
