//! Gossip datagrams between routers.

use crate::crash;
use crate::metrics::Traffic;
use crate::shared::{Phase, Shared, lock};
use sequoiaridge_core::Event;
use sequoiaridge_log as event;
use sequoiaridge_membership::{MemberEvent, Message, Outgoing};
use sequoiaridge_wire::MAX_DATAGRAM;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two ticks of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Receives datagrams and runs the failure detector until the router stops.
///
/// A router sends and receives nothing until it has a configuration. Without one it cannot serve
/// calls, but peers that hear of it would count it as the owner of endpoints.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut phase = shared.phase.subscribe();
    let _ = phase.wait_for(|phase| *phase >= Phase::Serving).await;
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = ticks.tick() => {
                let outgoing = lock(&shared.detector).tick(shared.now());
                send(&shared, outgoing).await;
            }
            received = shared.socket.recv_from(&mut buffer) => {
                // An error reports that an earlier datagram could not be delivered.
                if let Ok((size, from)) = received {
                    receive(&shared, &buffer[..size], from).await;
                }
            }
        }
        handle_events(&shared);
    }
}

async fn receive(shared: &Shared, datagram: &[u8], from: SocketAddr) {
    let opened = lock(&shared.opener).open::<Message>(datagram);
    match opened {
        Ok((sender, incarnation, message)) => {
            shared
                .metrics
                .received(traffic_kind(&message), datagram.len());
            let now = shared.now();
            let outgoing = lock(&shared.detector).receive(&sender, incarnation, from, message, now);
            send(shared, outgoing).await;
        }
        Err(error) => {
            shared.metrics.rejected(error.as_str());
            event::log(
                Event::PeerRejected,
                &format!("datagram from {from}: {error}"),
            );
        }
    }
}

/// Sends a notice immediately to all routers that are not dead. The detector also piggybacks crash
/// notices and versions on its next probes.
pub(crate) async fn broadcast(shared: &Shared, message: Message) {
    let outgoing = lock(&shared.detector).broadcast(message, shared.now());
    send(shared, outgoing).await;
}

/// Seals and sends messages of the detector.
pub(crate) async fn send(shared: &Shared, outgoing: Vec<Outgoing>) {
    for Outgoing { to, message } in outgoing {
        match shared.sealer.seal(&message) {
            Ok(datagram) => {
                shared.metrics.sent(traffic_kind(&message), datagram.len());
                let _ = shared.socket.send_to(&datagram, to).await;
            }
            Err(error) => event::log(Event::PeerRejected, &format!("datagram to {to}: {error}")),
        }
    }
}

/// Returns the kind of control traffic under which a message is counted.
fn traffic_kind(message: &Message) -> Traffic {
    match message {
        Message::Probe { .. } | Message::Ack { .. } | Message::ProbeFor { .. } => Traffic::Gossip,
        Message::Leaving { .. } | Message::ConfigNotice { .. } | Message::CrashNotice { .. } => {
            Traffic::Notice
        }
    }
}

/// Logs the detector's events, acts on them, and passes on the crash notices that it received.
fn handle_events(shared: &Shared) {
    let (events, crashes) = {
        let mut detector = lock(&shared.detector);
        (detector.events(), detector.take_crashes())
    };
    for notice in &crashes {
        crash::receive_notice(shared, notice);
    }
    if !events.is_empty() {
        shared.view_stale.store(true, Ordering::Relaxed);
    }
    for change in events {
        match change {
            MemberEvent::Up { id }
            | MemberEvent::Refuted { id }
            | MemberEvent::Restarted { id } => {
                event::log(Event::PeerUp, &id);
            }
            MemberEvent::Suspect { id } => event::log(Event::PeerSuspect, &id),
            MemberEvent::Dead { id } => {
                lock(&shared.owner).forget_router(&id, shared.now());
                event::log(Event::PeerDead, &id);
            }
            MemberEvent::Leaving { id } => event::log(Event::PeerLeaving, &id),
            MemberEvent::Forgotten { .. } => {}
        }
    }
}
