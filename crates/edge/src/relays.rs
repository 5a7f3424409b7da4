//! Selection of gossip relays, and message intervals that grow with the fleet.
//!
//! These rules are for fleets of hundreds of routers and thousands of endpoints, where most routers have
//! links of 10 Mbit/s. Sending a message to all routers of a failure domain over such a link would take
//! longer than the message may take, and the traffic that each router sends must not grow with the fleet.

use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of routers above which the intervals between messages grow in proportion to the fleet.
const UNSCALED_FLEET: u32 = 80;

/// Picks a random relay among the routers of one failure domain, given with the bandwidth of their links in
/// Mbit/s (0 if it is not known yet). In a fleet of more than 80 routers only those with the fastest links
/// are eligible.
///
/// In smaller fleets messages are short, and choosing among all routers avoids using one that is slow for a
/// while every time.
pub fn pick_relay(routers: &[(SocketAddr, u32)], fleet: usize) -> Option<SocketAddr> {
    let fastest = routers.iter().map(|(_, link)| *link).max()?;
    let least = if fleet > UNSCALED_FLEET as usize {
        fastest
    } else {
        0
    };
    let eligible = routers.iter().filter(|(_, link)| *link >= least);
    eligible
        .choose(&mut rand::rng())
        .map(|(address, _)| *address)
}

/// Picks two different relays, so that one failed router does not cut its failure domain off from updates.
pub fn pick_relays(routers: &[(SocketAddr, u32)], fleet: usize) -> Vec<SocketAddr> {
    let Some(first) = pick_relay(routers, fleet) else {
        return Vec::new();
    };
    let others = routers.iter().filter(|(address, _)| *address != first);
    let others: Vec<(SocketAddr, u32)> = others.copied().collect();
    let second = pick_relay(&others, fleet);
    [Some(first), second].into_iter().flatten().collect()
}

/// Interval between messages in a fleet of `routers`, where `period` is the interval in a fleet of at most
/// 80.
pub fn scaled_period(period: Duration, routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    period.max(period * routers / UNSCALED_FLEET)
}
