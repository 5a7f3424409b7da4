//! Tells other routers the demand on services, beside the message of a round.

use super::PeerExchange;
use crate::demand_budget::{LARGE_FLEET_DEMAND_BYTES, MAX_DEMAND_BYTES, fit_demand};
use crate::peer_message::PeerMessage;
use std::net::SocketAddr;
use std::time::Duration;

impl PeerExchange {
    /// Sends the message of a round with the demand, in a message of its own if both do not fit in a
    /// datagram. Demand changes all the time, so it does not make a round due by itself: a router whose
    /// requests change nothing else sends one every half a second, and reports count for longer.
    pub(super) fn send_round(&self, message: PeerMessage, to: &[SocketAddr], now: Duration) {
        let demand = self.shared.lock_state().admission.report(now);
        if demand.is_empty() || to.is_empty() {
            return self.send_all(&message, to);
        }
        let limit = if self.is_large() {
            LARGE_FLEET_DEMAND_BYTES
        } else {
            MAX_DEMAND_BYTES
        };
        let demand = fit_demand(demand, limit);
        let messages = u64::try_from(to.len()).unwrap_or_default();
        self.shared.metrics.demand_messages.inc_by(messages);
        // The reports of endpoints fill the rounds of a large fleet.
        if !self.is_large() {
            let whole = PeerMessage {
                demand: demand.clone(),
                ..message.clone()
            };
            if let Ok(datagram) = self.sealer.seal(&whole) {
                return self.send_datagram(&datagram, to);
            }
        }
        self.send_all(&message, to);
        let alone = PeerMessage {
            demand,
            ..self.base_message()
        };
        self.send_all(&alone, to);
    }
}
