//! Opens a connection to an endpoint, directly or through another router.

use super::link::Link;
use super::tunnel::open_tunnel;
use crate::shared::Shared;
use crate::upstream::set_tcp_timeouts;
use rand::seq::IteratorRandom;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_wire::Reach;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Connect timeouts, one for each try. Round trips take some ms, and TCP retransmits a lost SYN only after
/// a second, so a second connection opens sooner.
const CONNECT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(250)];
/// Interval between direct connections by which a router that has lost its links finds out that they are back.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a connection to an endpoint. While the links are lost, it goes through another router.
pub(crate) async fn open(shared: &Arc<Shared>, address: SocketAddr) -> Option<Link> {
    reach(shared, address).await.1
}

/// Whether an endpoint accepts connections. This distinguishes an endpoint that is down from one that is
/// only slow.
pub(crate) async fn is_reachable(shared: Arc<Shared>, address: SocketAddr) -> bool {
    reach(&shared, address).await.0 == Reach::Opened
}

/// Whether an endpoint refuses connections, because its process has ended.
pub(crate) async fn is_refusing(shared: &Arc<Shared>, address: SocketAddr) -> bool {
    reach(shared, address).await.0 == Reach::Refused
}

pub(super) async fn reach(shared: &Arc<Shared>, address: SocketAddr) -> (Reach, Option<Link>) {
    let is_isolated = shared.lock_state().isolation.is_isolated();
    if is_isolated && let Some((reach, tunnel)) = open_tunnel(shared, address).await {
        return (reach, tunnel.map(Link::Tunnel));
    }
    let (reach, stream) = dial(shared, address).await;
    if let Some(stream) = stream {
        record_opened(shared);
        return (reach, Some(Link::Direct(stream)));
    }
    let may_be_isolated = {
        let now = shared.now();
        let mut state = shared.lock_state();
        let endpoints = state.roster.len();
        state.isolation.record_failure(address, endpoints, now)
    };
    if !is_isolated
        && may_be_isolated
        && let Some((reach, tunnel)) = open_tunnel(shared, address).await
    {
        if reach == Reach::Opened {
            confirm(shared);
        }
        return (reach, tunnel.map(Link::Tunnel));
    }
    (reach, None)
}

/// Opens a direct connection. A try that times out is repeated, one that is refused is not.
pub(super) async fn dial(shared: &Shared, address: SocketAddr) -> (Reach, Option<TcpStream>) {
    for time in CONNECT_TIMEOUTS {
        match timeout(time, shared.dialer.dial(address)).await {
            Ok(Ok(stream)) if set_tcp_timeouts(&stream).is_ok() => {
                return (Reach::Opened, Some(stream));
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return (Reach::Refused, None);
            }
            Ok(_) => return (Reach::Silent, None),
            Err(_) => {}
        }
    }
    (Reach::Silent, None)
}

/// Records that the links are lost, as another router reaches an endpoint that this one does not.
fn confirm(shared: &Arc<Shared>) {
    if !shared.lock_state().isolation.confirm() {
        return;
    }
    log(Event::LinksLost, "");
    shared.metrics.links_lost.set(1);
    // Idle connections may be as dead as the links.
    shared.pool.clear();
    tokio::spawn(watch_return(shared.clone()));
}

fn record_opened(shared: &Shared) {
    let is_back = shared.lock_state().isolation.record_opened();
    if is_back {
        log(Event::LinksBack, "");
        shared.metrics.links_lost.set(0);
    }
}

/// Opens direct connections to endpoints until the links are back.
async fn watch_return(shared: Arc<Shared>) {
    while shared.lock_state().isolation.is_isolated() {
        tokio::time::sleep(RETURN_INTERVAL).await;
        let now = shared.now();
        let address = {
            let state = shared.lock_state();
            let listed = state.roster.listed(|_| true, now);
            let staying = listed.filter(|listed| !listed.leaving);
            staying
                .map(|listed| listed.entry.address)
                .choose(&mut rand::rng())
        };
        let Some(address) = address else {
            continue;
        };
        match timeout(CONNECT_TIMEOUTS[0], shared.dialer.dial(address)).await {
            Ok(Ok(_)) => record_opened(&shared),
            _ => {
                let mut state = shared.lock_state();
                let endpoints = state.roster.len();
                state.isolation.record_failure(address, endpoints, now);
            }
        }
    }
}
