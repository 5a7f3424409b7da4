//! Bounds on what a row of the registry may say of an endpoint. Other writers may leave rows there.

use crate::manifest::EndpointEntry;
use http::HeaderValue;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Most slots of an endpoint: load reports count its requests with 16 bits.
const MAX_SLOTS: u32 = u16::MAX as u32;
/// Longest id or name in bytes: keys of the registry are no longer, and a change with the longest ones
/// fits in a datagram.
const MAX_NAME_BYTES: usize = 200;

/// Checks that the row of an endpoint names one that requests can be sent to.
///
/// # Errors
///
/// The reason why it does not.
pub(crate) fn check(entry: &EndpointEntry) -> Result<(), String> {
    if entry.slots > MAX_SLOTS {
        return Err(format!("{} slots; at most {MAX_SLOTS} count", entry.slots));
    }
    for name in [&entry.id, &entry.service, &entry.domain] {
        if name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "a name of {} bytes; at most {MAX_NAME_BYTES} fit",
                name.len()
            ));
        }
    }
    if !is_header_value(&entry.id) {
        return Err("the id cannot be sent in a header".to_string());
    }
    if !is_one_machine(entry.address) {
        let address = entry.address;
        return Err(format!("{address} is not the address of one machine"));
    }
    Ok(())
}

/// Whether an address may be that of one machine. Connections to the unspecified address would reach
/// the router's own.
fn is_one_machine(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Whether an id arrives unchanged in a header, where the recipient compares it with its own.
fn is_header_value(id: &str) -> bool {
    !id.is_empty() && id.trim() == id && HeaderValue::from_str(id).is_ok()
}
