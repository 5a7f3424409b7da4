//! What becomes of a request that only the limit on cold endpoints keeps from all endpoints. The load: most
//! endpoints of a service have just started, and so have many of the routers.

use crate::exchange::Exchange;
use crate::ingress::OTHER_ROUTER_RETRY_AFTER;
use crate::manifest::EndpointEntry;
use crate::shared::RoutingState;
use rand::RngExt;
use std::time::Duration;

impl Exchange {
    /// `Retry-After` of a refusal. A router that has no share of any cold endpoint, as after its start, asks
    /// the caller to try another one at once. Otherwise the shares of the other routers may be used up,
    /// too, so the pause is drawn up to the time at which this router's own share returns: if all callers
    /// came back at once, each would be refused many times before any router may send again.
    pub(crate) fn cold_retry_after(&self) -> Duration {
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let entries = self.cold_entries(&state, now);
        let sends = entries.iter().filter_map(|e| state.next_cold_send(e, now));
        let returns = sends
            .min()
            .map_or(Duration::ZERO, |at| at.saturating_sub(now));
        drop(state);
        let spread = returns.saturating_sub(OTHER_ROUTER_RETRY_AFTER);
        OTHER_ROUTER_RETRY_AFTER + spread.mul_f64(rand::rng().random_range(0.0..1.0))
    }

    /// The endpoints that only the limit on cold ones can keep from the request.
    fn cold_entries(&self, state: &RoutingState, now: Duration) -> Vec<EndpointEntry> {
        let regions = &self.shared.settings.regions;
        let accepting = state.roster.accepting(&self.service, now);
        let cold = accepting.filter(|entry| {
            state.is_cold(entry, now)
                && !self.tried.contains(&entry.id)
                && self.is_version(entry)
                && !state.evacuations.contains(&entry.domain)
                && self.homes.allow(&entry.domain, regions)
        });
        cold.cloned().collect()
    }
}
