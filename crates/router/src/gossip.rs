//! Datagrams between routers.

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

/// Time between two calls of the detector.
const TICK: Duration = Duration::from_millis(50);

/// Receives datagrams and runs the detector until the router stops.
///
/// A router without a configuration cannot serve calls, so it stays silent until it has one: peers
/// would otherwise give it endpoints to own.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut phase = shared.phase.subscribe();
    let _ = phase.wait_for(|phase| *phase >= Phase::Serving).await;
    let mut ticks = tokio::time::interval(TICK);
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
                // An error here is the report of an earlier datagram that found no receiver.
                if let Ok((size, from)) = received {
                    receive(&shared, &buffer[..size], from).await;
                }
            }
        }
        note_events(&shared);
    }
}

async fn receive(shared: &Shared, datagram: &[u8], from: SocketAddr) {
    let opened = lock(&shared.opener).open::<Message>(datagram);
    match opened {
        Ok((sender, incarnation, message)) => {
            shared.metrics.received(kind_of(&message), datagram.len());
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

/// Sends a notice to all routers at once; it also travels on the next probes.
pub(crate) async fn broadcast(shared: &Shared, message: Message) {
    let outgoing = lock(&shared.detector).broadcast(message, shared.now());
    send(shared, outgoing).await;
}

/// Sends messages that the detector returned.
pub(crate) async fn send(shared: &Shared, outgoing: Vec<Outgoing>) {
    for Outgoing { to, message } in outgoing {
        match shared.sealer.seal(&message) {
            Ok(datagram) => {
                shared.metrics.sent(kind_of(&message), datagram.len());
                let _ = shared.socket.send_to(&datagram, to).await;
            }
            Err(error) => event::log(Event::PeerRejected, &format!("datagram to {to}: {error}")),
        }
    }
}

fn kind_of(message: &Message) -> Traffic {
    match message {
        Message::Probe { .. } | Message::Ack { .. } | Message::ProbeFor { .. } => Traffic::Gossip,
        Message::Leaving { .. } | Message::ConfigNotice { .. } | Message::CrashNotice { .. } => {
            Traffic::Notice
        }
    }
}

/// Logs what the detector noticed and hands crash notices on.
fn note_events(shared: &Shared) {
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
