//! Whether the limit that an endpoint named lets this router send a request there now.

use super::routing_state::RoutingState;
use crate::constraints::KnownRouters;
use crate::endpoint_limits::{LimitRoom, LimitSenders, LimitedEndpoint};
use crate::manifest::EndpointEntry;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

impl RoutingState {
    /// Whether an endpoint named a limit that is in force.
    pub(crate) fn is_limited(&self, entry: &EndpointEntry) -> bool {
        !self.limits.is_empty() && self.limits.per_second(&entry.id, &entry.boot()).is_some()
    }

    /// The limited endpoints of a service, with what a request may use at each.
    pub(crate) fn limited_endpoints(
        &mut self,
        service: &str,
        now: Duration,
    ) -> BTreeMap<EndpointId, LimitRoom> {
        if self.limits.is_empty() {
            return BTreeMap::new();
        }
        let entries = self.limits.in_force();
        let entries = entries.filter_map(|(id, _)| self.roster.get(id));
        let of_service = entries.filter(|entry| entry.service == service);
        let entries: Vec<EndpointEntry> = of_service.cloned().collect();
        let limited = entries.into_iter().filter_map(|entry| {
            let room = self.with_limit(&entry, now, LimitSenders::room)?;
            Some((entry.id, room))
        });
        limited.collect()
    }

    /// Counts a request that is to be sent to an endpoint, if that named a limit.
    pub(crate) fn record_limited_send(&mut self, entry: &EndpointEntry, now: Duration) {
        self.with_limit(entry, now, LimitSenders::record_send);
    }

    /// Asks about an endpoint; `None` if it named no limit.
    fn with_limit<T>(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
        ask: impl Fn(&mut LimitSenders, &LimitedEndpoint<'_>, &KnownRouters, Duration) -> T,
    ) -> Option<T> {
        let boot = entry.boot();
        let endpoint = LimitedEndpoint {
            id: &entry.id,
            boot: &boot,
            per_second: self.limits.per_second(&entry.id, &boot)?,
        };
        let senders = &mut self.limit_senders;
        Some(ask(senders, &endpoint, &self.known_routers, now))
    }
}
