//! What a router sends to the others, to which of them, and when.

use super::{Peer, PeerExchange, ROUND_INTERVAL, SUCCESS_WINDOW};
use crate::feed::Feed;
use crate::follower::{Revision, TableDigest};
use crate::load::Work;
use crate::peer_message::PeerMessage;
use crate::registry::Table;
use crate::relays::{pick_relays, scaled_period};
use crate::shared::SMALL_FLEET;
use crate::sync::update_lapses;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{DomainId, EndpointId, Event, RouterId};
use sequoiaridge_log::log;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Interval between messages in a large fleet, where each message goes to a few routers drawn anew,
/// and how many of them are in this router's failure domain and in others. What a router sends does
/// not grow with the fleet, and what one router knows reaches hundreds within four rounds.
const LARGE_ROUND_INTERVAL: Duration = Duration::from_millis(250);
const NEAR_PEERS: usize = 3;
const FAR_PEERS: usize = 1;
/// Longest pause between messages while nothing has changed.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Intervals between messages to a router that is not heard: until `RECENTLY_ALIVE` after it was
/// last heard, and later.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const SLOW_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const RECENTLY_ALIVE: Duration = Duration::from_secs(10);
/// Time after which a silent router is forgotten: it was replaced, and its row stays in the
/// registry. Partitions between failure domains last minutes.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Interval between messages with queued events in a large fleet.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time after which a silent router counts as gone, and the same as a number of missed
/// rounds.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
const MISSED_ROUNDS: u32 = 4;
/// Routers of each other failure domain, those heard last, among which relays are drawn.
const RELAY_CANDIDATES: usize = 12;
/// Most successes of parts in a round.
const MAX_PART_SUCCESSES: usize = 8;
/// Interval between observations of the age of the endpoint table.
const AGE_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

impl PeerExchange {
    /// Drops what is too old, and sends everything that is due: the message of a round to live
    /// routers, repairs, events, crashes, and keepalives to silent routers.
    pub(super) fn send_due(&mut self) {
        let now = self.shared.now();
        let interval = self.interval();
        let timeout = self.peer_timeout();
        let count = self
            .peers
            .values()
            .filter(|peer| peer.is_alive(now, timeout))
            .count();
        let routers = i64::try_from(count + 1).unwrap_or(i64::MAX);
        self.shared.metrics.routers.set(routers);
        let known = i64::try_from(self.peers.len() + 1).unwrap_or(i64::MAX);
        self.shared.metrics.known_routers.set(known);
        let mut state = self.shared.lock_state();
        state.loads.expire(now, timeout);
        state.hot_subjects.expire(now);
        if let Some(cold) = &mut state.cold_starts {
            cold.expire(now);
        }
        state.loads.rely_on_reports(self.peers.len() >= SMALL_FLEET);
        update_lapses(&mut state, &self.shared, now);
        drop(state);
        if let Some(message) = self.next_round(now, interval) {
            let targets = self.round_targets(now, timeout);
            self.send_round(message, &targets, now);
        }
        self.tell_streams(now);
        self.request_repair(now);
        self.observe_age(now);
        self.send_events(now);
        self.sync_crashes(now);
        self.send_keepalives(now, timeout);
    }

    /// The routers that a round goes to: all live ones in a small fleet, some of them in a large
    /// one.
    fn round_targets(&self, now: Duration, timeout: Duration) -> Vec<SocketAddr> {
        let own = &self.shared.settings.domain;
        let heard = || {
            self.peers
                .values()
                .filter(|peer| peer.is_alive(now, timeout))
        };
        if !self.is_large() {
            return heard().map(|peer| peer.address).collect();
        }
        let (mut rng, address) = (rand::rng(), |peer: &Peer| peer.address);
        let near = heard().filter(|peer| peer.domain == *own);
        let mut targets = near.map(address).sample(&mut rng, NEAR_PEERS);
        let far = heard().filter(|peer| peer.domain != *own);
        targets.extend(far.map(address).sample(&mut rng, FAR_PEERS));
        targets
    }

    /// Requests the missing changes of endpoints from a router that has them.
    fn request_repair(&self, now: Duration) {
        let mut state = self.shared.lock_state();
        let Some(revision) = state.endpoints.repair_request(now) else {
            return;
        };
        let own = &self.shared.settings.domain;
        let ahead = || {
            let contacts = state.contacts.values();
            contacts.filter(|contact| contact.endpoints.is_some_and(|known| known > revision))
        };
        let near = ahead().filter(|contact| contact.domain == *own);
        let near = near.choose(&mut rand::rng());
        let drawn = near.or_else(|| ahead().choose(&mut rand::rng()));
        let Some(address) = drawn.map(|contact| contact.address) else {
            return;
        };
        drop(state);
        let message = PeerMessage {
            repair_after: Some(revision),
            ..self.base_message()
        };
        self.send_all(&message, &[address]);
    }

    /// Sends a router the changes of endpoints that it lacks.
    pub(super) fn send_repair(&self, revision: Revision, to: SocketAddr) {
        let now = self.shared.now();
        let feed = self
            .shared
            .lock_state()
            .endpoints
            .changes_since(revision, now);
        let Some(feed) = feed else {
            return;
        };
        self.shared.metrics.repairs.inc();
        for part in feed.into_parts() {
            let message = PeerMessage {
                feed: Some(part),
                ..self.base_message()
            };
            self.send_all(&message, &[to]);
        }
    }

    /// Observes the age of the endpoint table, and logs when it becomes too old or fresh again.
    fn observe_age(&mut self, now: Duration) {
        if now < self.observed_at + AGE_SAMPLE_INTERVAL {
            return;
        }
        self.observed_at = now;
        let Some(age) = self.shared.lock_state().endpoints.age(now) else {
            return;
        };
        self.shared.metrics.news_age.observe(age.as_secs_f64());
        let is_stale = age > self.shared.settings.leave_bound;
        if is_stale != self.is_stale {
            self.is_stale = is_stale;
            let event = if is_stale {
                Event::NewsOld
            } else {
                Event::NewsFresh
            };
            let detail = format!(
                "table={} age_ms={}",
                Table::Endpoints.as_str(),
                age.as_millis()
            );
            log(event, &detail);
        }
    }

    /// Sends keepalives to silent routers, and forgets those that were silent for too long.
    fn send_keepalives(&mut self, now: Duration, timeout: Duration) {
        let peers = &mut self.peers;
        peers.retain(|_, peer| now < peer.since + FORGET_AFTER);
        let mut state = self.shared.lock_state();
        if state.contacts.len() > peers.len() {
            state.contacts.retain(|id, _| peers.contains_key(id));
            state.known_routers.retain(|id| peers.contains_key(id));
            self.crash_sync.retain(|id| peers.contains_key(id));
        }
        drop(state);
        let due = |peer: &Peer| {
            let recent = now < peer.since + RECENTLY_ALIVE;
            let period = if recent {
                KEEPALIVE_INTERVAL
            } else {
                SLOW_KEEPALIVE_INTERVAL
            };
            peer.sent.is_none_or(|sent| now >= sent + period)
        };
        if self
            .peers
            .values()
            .any(|peer| !peer.is_alive(now, timeout) && due(peer))
        {
            let Some(datagram) = self.seal(&self.base_message()) else {
                return;
            };
            for peer in self.peers.values_mut() {
                if !peer.is_alive(now, timeout) && due(peer) {
                    peer.sent = Some(now);
                    send(&self.socket, &datagram, peer.address);
                }
            }
        }
    }

    /// Sends queued events to the whole fleet if they are due or urgent; only in a large fleet,
    /// since rounds carry them in a small one.
    fn send_events(&mut self, now: Duration) {
        let due = now >= self.events_sent_at + scaled_period(EVENT_INTERVAL, self.peers.len());
        let urgent = self.shared.lock_state().outbox.is_urgent();
        if !self.is_large() || !due && !urgent {
            return;
        }
        self.events_sent_at = now;
        let mut message = self.base_message();
        self.shared.lock_state().outbox.fill(&mut message, now);
        if message.has_events() {
            self.broadcast(message);
        }
    }

    /// Sends known crashes to a router whose digest differs.
    fn sync_crashes(&mut self, now: Duration) {
        let Some(id) = self.crash_sync.next_peer(now, &mut rand::rng()) else {
            return;
        };
        let crashes = {
            let state = self.shared.lock_state();
            self.crash_sync.next_page(&state.quarantine, now)
        };
        if crashes.is_empty() {
            return;
        }
        let Some(address) = self.peers.get(&id).map(|peer| peer.address) else {
            return;
        };
        let message = PeerMessage {
            crashes,
            ..self.base_message()
        };
        self.send_all(&message, &[address]);
    }

    /// Interval between rounds of messages.
    fn interval(&self) -> Duration {
        if self.is_large() {
            LARGE_ROUND_INTERVAL
        } else {
            ROUND_INTERVAL
        }
    }

    /// Whether the fleet is so large that messages go to some routers only.
    pub(super) fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Time after which a silent router counts as gone.
    pub(super) fn peer_timeout(&self) -> Duration {
        let rounds = if self.is_large() {
            self.peers.len() / FAR_PEERS
        } else {
            1
        };
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        MIN_PEER_TIMEOUT.max(self.interval() * rounds * MISSED_ROUNDS)
    }

    /// The message of a round, if one is due and it carries a change or serves as a keepalive.
    fn next_round(&mut self, now: Duration, interval: Duration) -> Option<PeerMessage> {
        let last = self.last_round.as_ref().map(|(at, _)| *at);
        // Ticks may come a little early or late.
        if last.is_some_and(|last| now + ROUND_INTERVAL / 4 < last + interval) {
            return None;
        }
        let mut message = self.round_message();
        // Neither the age of a table nor the revision of the endpoints is a change by itself.
        let mut comparable = message.clone();
        comparable.endpoints = None;
        comparable.configuration = comparable.configuration.map(|digest| TableDigest {
            age_ms: 0,
            ..digest
        });
        if let Some((at, sent)) = &self.last_round
            && *sent == comparable
            && now < *at + MAX_SILENCE
        {
            return None;
        }
        self.last_round = Some((now, comparable));
        message.known_peer = self.random_peer(now);
        Some(message)
    }

    /// One of the live routers, drawn anew for each message.
    fn random_peer(&self, now: Duration) -> Option<(RouterId, SocketAddr, DomainId)> {
        let timeout = self.peer_timeout();
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_alive(now, timeout));
        let drawn = heard.choose(&mut rand::rng());
        drawn.map(|(id, peer)| (id.clone(), peer.address, peer.domain.clone()))
    }

    fn seal(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        match self.sealer.seal(message) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                log(Event::PeerRejected, &format!("own message: {error}"));
                None
            }
        }
    }

    /// Sends the other routers what this one read from the registry, or that nothing changed.
    pub(super) fn publish(&self, feed: Option<Feed>) {
        let parts = feed.map_or(vec![None], |feed| {
            feed.into_parts().into_iter().map(Some).collect()
        });
        for feed in parts {
            self.broadcast(PeerMessage {
                feed,
                ..self.base_message()
            });
        }
    }

    /// Sends a message to every router. In a large fleet, it goes directly to the routers of this
    /// failure domain, and to relays in each other one, drawn anew each time, which forward it:
    /// two, or one for events.
    fn broadcast(&self, message: PeerMessage) {
        let own = &self.shared.settings.domain;
        let mut far: BTreeMap<&DomainId, Vec<&Peer>> = BTreeMap::new();
        let mut direct = Vec::new();
        for peer in self.peers.values().filter(|peer| self.may_be_alive(peer)) {
            if self.is_large() && peer.domain != *own {
                far.entry(&peer.domain).or_default().push(peer);
            } else {
                direct.push(peer.address);
            }
        }
        self.send_all(&message, &direct);
        let relays = far.into_values().flat_map(|mut peers| {
            peers.sort_by_key(|peer| Reverse(peer.heard));
            let latest = peers.iter().take(RELAY_CANDIDATES);
            let latest: Vec<(SocketAddr, u32)> =
                latest.map(|peer| (peer.address, peer.link_mbps)).collect();
            let mut relays = pick_relays(&latest, self.peers.len());
            if message.has_events() {
                // Events with cached prefixes are frequent and may be lost.
                relays.truncate(1);
            }
            relays
        });
        let relays: Vec<SocketAddr> = relays.collect();
        let relayed = PeerMessage {
            relay: true,
            ..message
        };
        self.send_all(&relayed, &relays);
    }

    /// Forwards a message to the routers of this failure domain.
    pub(super) fn relay(&self, message: &PeerMessage, delay: Duration) {
        let own = &self.shared.settings.domain;
        let near = self.peers.values().filter(|peer| peer.domain == *own);
        let near = near.filter(|peer| self.may_be_alive(peer));
        let near: Vec<SocketAddr> = near.map(|peer| peer.address).collect();
        self.send_all(&message.forwarded(delay, self.base_message()), &near);
    }

    /// Whether a router is live, or has not been heard yet.
    pub(super) fn may_be_alive(&self, peer: &Peer) -> bool {
        let now = self.shared.now();
        peer.heard.is_none() || peer.is_alive(now, self.peer_timeout())
    }

    pub(super) fn send_all(&self, message: &PeerMessage, to: &[SocketAddr]) {
        if to.is_empty() {
            return;
        }
        if let Some(datagram) = self.seal(message) {
            self.send_datagram(&datagram, to);
        }
    }

    pub(super) fn send_datagram(&self, datagram: &[u8], to: &[SocketAddr]) {
        to.iter()
            .for_each(|address| send(&self.socket, datagram, *address));
    }

    /// The fields that every message carries.
    pub(super) fn base_message(&self) -> PeerMessage {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        PeerMessage {
            address: Some(self.shared.settings.peers),
            domain: self.shared.settings.domain.clone(),
            link_mbps: self.shared.settings.link,
            configuration: state.configuration.digest(now),
            endpoints: state.endpoints.digest(now),
            draining: self.shared.is_draining(),
            isolated: state.isolation.is_isolated(),
            crash_digest: state.quarantine.digest(),
            evacuations: state.evacuations.known().cloned(),
            ..PeerMessage::default()
        }
    }

    fn round_message(&self) -> PeerMessage {
        let base = self.base_message();
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let successes = state
            .quarantine
            .part_successes(SUCCESS_WINDOW, MAX_PART_SUCCESSES, now);
        if self.is_large() {
            let message = PeerMessage {
                work: Some(Vec::new()),
                load_reports: state.loads.newest_reports(now),
                hot_subjects: state.hot_subjects.hottest(now),
                ..base
            };
            let message = message.with_room_for_evacuations();
            return message.with_part_successes(successes);
        }
        let work = state.loads.own_work().iter();
        let work: Vec<(EndpointId, Work)> = work.map(|(id, work)| (id.clone(), *work)).collect();
        let mut message = base.with_work(work).with_part_successes(successes);
        message.load_reports = state.loads.slowest(now);
        state.outbox.fill(&mut message, now);
        message
    }
}

/// Sends a datagram. If the socket does not accept it, it is lost as if on the way; the next one
/// follows within a second.
fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(datagram, to);
}
