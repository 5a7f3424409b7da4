//! Whether the operators' limit on cold endpoints applies to an endpoint, and whether it lets this router
//! send a request there now.

use super::routing_state::RoutingState;
use crate::constraints::{ColdBooking, ColdEndpoint, ColdStarts, KnownRouters};
use crate::manifest::{ColdStart, EndpointEntry};
use std::time::Duration;

impl RoutingState {
    /// What an endpoint tolerates now because it is cold; `None` if it is not, or if its service sets no
    /// limit.
    fn cold_start(&self, entry: &EndpointEntry, now: Duration) -> Option<ColdStart> {
        let routes = self.routes.as_ref()?;
        let cold = routes.manifest().services.get(&entry.service)?.cold?;
        let until = self.roster.cold_until(&entry.id);
        self.is_cold_until(entry, cold, until, now).then_some(cold)
    }

    /// What cold endpoints of a service tolerate; `None` if no limit applies to them.
    pub(crate) fn cold_limit(&self, service: &str) -> Option<ColdStart> {
        self.cold_starts.as_ref()?;
        self.routes.as_ref()?.manifest().services.get(service)?.cold
    }

    /// Whether an endpoint is cold of which the roster says until when it is, or because the evacuation of its
    /// domain ended.
    pub(crate) fn is_cold_until(
        &self,
        entry: &EndpointEntry,
        limit: ColdStart,
        until: Duration,
        now: Duration,
    ) -> bool {
        let ended = self.evacuations.ended_at(&entry.domain);
        now < until || ended.is_some_and(|ended| now < ended + limit.time)
    }

    /// Whether the limit on cold endpoints applies to an endpoint.
    pub(crate) fn is_cold(&self, entry: &EndpointEntry, now: Duration) -> bool {
        self.cold_starts.is_some() && self.cold_start(entry, now).is_some()
    }

    /// Whether the limit on cold endpoints lets this router send a request to an endpoint now. The request
    /// may have a booking.
    pub(crate) fn may_send_cold(
        &mut self,
        entry: &EndpointEntry,
        booking: Option<&ColdBooking>,
        now: Duration,
    ) -> bool {
        let may_send = self.with_cold(entry, now, |starts, endpoint, routers, now| {
            starts.may_send(endpoint, booking, routers, now)
        });
        may_send.unwrap_or(true)
    }

    /// The same at the moment of sending: a request that may be sent is counted.
    pub(crate) fn try_send_cold(
        &mut self,
        entry: &EndpointEntry,
        booking: Option<&ColdBooking>,
        now: Duration,
    ) -> bool {
        let may_send = self.with_cold(entry, now, |starts, endpoint, routers, now| {
            starts.try_send(endpoint, booking, routers, now)
        });
        may_send.unwrap_or(true)
    }

    /// Keeps the share of a cold endpoint that returns next for a request.
    pub(crate) fn book_cold(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
    ) -> Option<ColdBooking> {
        self.with_cold(entry, now, ColdStarts::book).flatten()
    }

    /// When this router may next send a request to a cold endpoint. `None` if it has no share there, or if
    /// the limit does not apply.
    pub(crate) fn next_cold_send(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
    ) -> Option<Duration> {
        self.with_cold(entry, now, ColdStarts::next_send).flatten()
    }

    /// Asks the limiter about an endpoint; `None` if the limit does not apply to it.
    fn with_cold<T>(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
        ask: impl Fn(&mut ColdStarts, &ColdEndpoint<'_>, &KnownRouters, Duration) -> T,
    ) -> Option<T> {
        let cold = self.cold_start(entry, now)?;
        let endpoint = ColdEndpoint {
            id: &entry.id,
            boot: &entry.boot(),
            per_second: cold.per_second,
        };
        let starts = self.cold_starts.as_mut()?;
        Some(ask(starts, &endpoint, &self.known_routers, now))
    }
}
