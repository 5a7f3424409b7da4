//! Who passes messages on in a large fleet, and how often messages are sent.
//!
//! Pattern: hundreds of routers and thousands of endpoints, where most routers have links of 10 Mbit/s. A
//! message to all routers of a domain fills such a link for longer than the message may take, and what
//! each router sends must not grow with the fleet.

use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Size of a fleet beyond which the pauses between messages grow in proportion.
const PACED_FLEET: u32 = 80;

/// Draws a relay among the routers of one domain, given with the bandwidth of their links in Mbit/s: in a
/// fleet of more than 80 routers one of those with the fastest links. A bandwidth of 0 is not known yet.
///
/// In smaller fleets messages are short, and a router that is slow for a while is not drawn each time.
pub fn draw_relay(routers: &[(SocketAddr, u32)], fleet: usize) -> Option<SocketAddr> {
    let fastest = routers.iter().map(|(_, link)| *link).max()?;
    let least = if fleet > PACED_FLEET as usize {
        fastest
    } else {
        0
    };
    let drawn = routers.iter().filter(|(_, link)| *link >= least);
    drawn.choose(&mut rand::rng()).map(|(address, _)| *address)
}

/// Draws two relays apart, so that one router that is gone does not leave its domain without news.
pub fn draw_relays(routers: &[(SocketAddr, u32)], fleet: usize) -> Vec<SocketAddr> {
    let Some(first) = draw_relay(routers, fleet) else {
        return Vec::new();
    };
    let others = routers.iter().filter(|(address, _)| *address != first);
    let others: Vec<(SocketAddr, u32)> = others.copied().collect();
    let second = draw_relay(&others, fleet);
    [Some(first), second].into_iter().flatten().collect()
}

/// The pause between messages in a fleet of the given size, from the pause in a fleet that is not slowed
/// down.
pub fn paced(period: Duration, routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    period.max(period * routers / PACED_FLEET)
}
