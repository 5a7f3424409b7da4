//! What becomes of a request that only the limit on cold endpoints keeps from all endpoints. The load: most
//! endpoints of a service have just started, and so have many of the routers.

use crate::constraints::ColdBooking;
use crate::exchange::Exchange;
use crate::manifest::EndpointEntry;
use crate::retry_after::OTHER_ROUTER_RETRY_AFTER;
use crate::shared::RoutingState;
use crate::shared::Shared;
use rand::RngExt;
use sequoiaridge_core::EndpointId;
use std::sync::Arc;
use std::time::Duration;

/// Share of a route's target for which a request may be held: the time within which refusals are due.
const MAX_HOLD_SHARE: u32 = 8;
/// Time after the return of the share at which a held request goes on, so that a timer that ends a little
/// early does not miss it.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Share of a cold endpoint that is kept for a held request. It is given back when the value is dropped, which
/// must not happen while the state is locked.
pub(crate) struct HeldShare {
    shared: Arc<Shared>,
    booking: Option<ColdBooking>,
}

impl HeldShare {
    fn release(&mut self) {
        if let Some(booking) = self.booking.take()
            && let Some(starts) = &mut self.shared.lock_state().cold_starts
        {
            starts.cancel(&booking);
        }
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.release();
    }
}

impl Exchange {
    /// Waits until this router's own share of a cold endpoint returns, if that is within an eighth of the
    /// route's target since the request arrived, and returns whether to select again. The share is booked,
    /// so that held requests go on in the order in which they came, before later ones. A request is held
    /// once; there are at most as many as shares that return, and the bytes of their bodies stay reserved.
    /// The start of a drain ends the wait.
    pub(crate) async fn hold_for_share(&mut self) -> bool {
        if self.held_share.is_some() || self.shared.is_draining() {
            return false;
        }
        let now = self.shared.now();
        let last = (self.started + self.route.target / MAX_HOLD_SHARE).min(now + self.time_left());
        let Some(booking) = self.book_share(last, now) else {
            return false;
        };
        let wait = booking.at.saturating_sub(now) + TIMER_SLACK;
        self.held_share = Some(HeldShare {
            shared: self.shared.clone(),
            booking: Some(booking),
        });
        self.shared.metrics.cold_holds.inc();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = self.shared.drain_started() => {}
        }
        true
    }

    /// Books the first share that returns, unless that is after `last`.
    fn book_share(&self, last: Duration, now: Duration) -> Option<ColdBooking> {
        let mut state = self.shared.lock_state();
        let entries = self.cold_entries(&state, now);
        let sends = entries.iter().filter_map(|entry| {
            let at = state.next_cold_send(entry, now)?;
            (at < last).then_some((at, entry))
        });
        let (_, entry) = sends.min_by_key(|(at, _)| *at)?;
        state.book_cold(entry, now)
    }

    /// The booking of a request that was held.
    pub(crate) fn cold_booking(&self) -> Option<&ColdBooking> {
        self.held_share.as_ref()?.booking.as_ref()
    }

    /// Gives the booked share back, unless it is that of `endpoint`.
    pub(crate) fn keep_share_of(&mut self, endpoint: Option<&EndpointId>) {
        let booked = self.cold_booking().map(|booking| &booking.endpoint);
        if booked != endpoint
            && let Some(held) = &mut self.held_share
        {
            held.release();
        }
    }

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
                && !state.health.is_misdirected(entry)
                && self.is_version(entry)
                && !state.evacuations.contains(&entry.domain)
                && self.homes.allow(&entry.domain, regions)
        });
        cold.cloned().collect()
    }
}
