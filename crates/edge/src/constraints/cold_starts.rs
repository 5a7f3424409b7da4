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

/// Share of a cold endpoint that is kept for one request until it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdBooking {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the request may be sent.
    pub at: Duration,
    ticket: u64,
}

/// What this router sent to one endpoint, and its share there.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// Times of the requests within the window.
    sent: VecDeque<Duration>,
    /// Times of the bookings of requests that are not sent yet, by ticket. Each counts from its time on like
    /// a request within the window, so that later requests do not overtake it.
    booked: BTreeMap<u64, Duration>,
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
    /// Number of bookings so far.
    tickets: u64,
}

impl ColdStarts {
    /// Creates a limiter without any requests.
    pub fn new(limit: ColdLimit) -> ColdStarts {
        ColdStarts {
            limit,
            senders: BTreeMap::new(),
            tickets: 0,
        }
    }

    /// Whether a request may be sent to a cold endpoint now. If it has a booking there, what was sent decides,
    /// so a booking never adds to the share.
    pub fn may_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        booking: Option<&ColdBooking>,
        routers: &KnownRouters,
        now: Duration,
    ) -> bool {
        let Some((sender, share)) = self.sender(endpoint, routers, now) else {
            return false;
        };
        match booking.filter(|booking| booking.endpoint == endpoint.id) {
            Some(booking) => {
                sender.booked.contains_key(&booking.ticket) && sender.sent.len() < share
            }
            None => sender.next_send(share, now) == Some(now),
        }
    }

    /// When this router may next send a request to a cold endpoint; `None` if it has no share there, or does
    /// not know it yet.
    pub fn next_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> Option<Duration> {
        let (sender, share) = self.sender(endpoint, routers, now)?;
        sender.next_send(share, now)
    }

    /// The requests to an endpoint within the window, and the share there; `None` if the share is not known.
    fn sender(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> Option<(&mut Sender, usize)> {
        if !routers.is_settled(now) {
            return None;
        }
        let limit = self.limit;
        let sender = self.senders.entry(endpoint.id.to_string()).or_default();
        sender.asked_at = now;
        sender.drop_old(now);
        let share = sender.share(&limit, endpoint, routers);
        Some((sender, share))
    }

    /// Keeps the share that returns next for one request; `None` if none returns within the window.
    pub fn book(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> Option<ColdBooking> {
        let ticket = self.tickets + 1;
        let (sender, share) = self.sender(endpoint, routers, now)?;
        let at = sender.next_send(share, now)?;
        sender.booked.insert(ticket, at);
        self.tickets = ticket;
        Some(ColdBooking {
            endpoint: endpoint.id.to_string(),
            at,
            ticket,
        })
    }

    /// Gives the share back of a request that is not sent to the endpoint after all.
    pub fn cancel(&mut self, booking: &ColdBooking) {
        if let Some(sender) = self.senders.get_mut(&booking.endpoint) {
            sender.booked.remove(&booking.ticket);
        }
    }

    /// Records a request that is sent to a cold endpoint now, unless it may not be sent. Returns whether
    /// it may.
    pub fn try_send(
        &mut self,
        endpoint: &ColdEndpoint<'_>,
        booking: Option<&ColdBooking>,
        routers: &KnownRouters,
        now: Duration,
    ) -> bool {
        let may_send = self.may_send(endpoint, booking, routers, now);
        if may_send && let Some(sender) = self.senders.get_mut(endpoint.id) {
            if let Some(booking) = booking.filter(|booking| booking.endpoint == endpoint.id) {
                sender.booked.remove(&booking.ticket);
            }
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

    /// When a further request may be sent, with this many requests in a window, such that each booking can
    /// be sent at its time. `None` if all requests that will leave the window are waited for already.
    fn next_send(&self, share: usize, now: Duration) -> Option<Duration> {
        if self.booked.is_empty() {
            return match self.sent.len().checked_sub(share) {
                Some(excess) => Some(*self.sent.get(excess)? + WINDOW),
                None => Some(now),
            };
        }
        let ends = self.sent.iter().map(|at| *at + WINDOW);
        let taken = |time: Duration| {
            let sent = ends.clone().filter(|end| time < *end);
            sent.count() + self.booked.values().filter(|at| **at <= time).count()
        };
        let mut times = std::iter::once(now).chain(ends.clone());
        times.find(|from| {
            let later = self.booked.values().filter(|at| *at > from);
            later.chain([from]).all(|time| taken(*time) < share)
        })
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
