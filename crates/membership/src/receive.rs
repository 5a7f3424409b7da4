//! Processing of received messages, and the answers to them.

use crate::probe::RelayedProbe;
use crate::roster::{Listing, Peer};
use crate::{Detector, Digest, MemberEvent, Message, Outgoing, PeerState, Update};
use rand::seq::SliceRandom;
use sequoiaridge_core::{RouterId, Version};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of routers that are notified at once when this one refutes a suspicion; gossip reaches
/// the others.
const REFUTATION_FANOUT: usize = 8;

/// Maximum number of concurrent probes on behalf of others.
const MAX_RELAYS: usize = 1024;

/// Maximum number of routers that wait for the confirmation of a version.
const MAX_VERSION_WAITERS: usize = 64;

/// Sender of a message.
struct Sender<'a> {
    id: &'a RouterId,
    addr: SocketAddr,
}

impl Detector {
    /// Processes a message and returns the answers to send.
    ///
    /// `from` and `incarnation` are those of the datagram's authenticated header, and `addr` is the
    /// address from which it came.
    pub fn receive(
        &mut self,
        from: &RouterId,
        incarnation: u64,
        addr: SocketAddr,
        message: Message,
        now: Duration,
    ) -> Vec<Outgoing> {
        if *from == self.config.local.id {
            return Vec::new();
        }
        self.last_heard = Some(now);
        let mut sent = Vec::new();
        self.apply_digest(from, incarnation, message.digest(), now, &mut sent);
        self.answer(&Sender { id: from, addr }, message, now, &mut sent);
        sent
    }

    fn answer(&mut self, from: &Sender, message: Message, now: Duration, sent: &mut Vec<Outgoing>) {
        match message {
            Message::Probe { seq, digest } => {
                let random = self.join_members(digest.knows);
                let digest = self.full_digest(Some(from.id), random);
                let message = Message::Ack { seq, digest };
                let to = from.addr;
                sent.push(Outgoing { to, message });
            }
            Message::Ack { seq, .. } => {
                self.pending_probes.remove(&seq);
                if let Some(relay) = self.relays.remove(&seq) {
                    let digest = self.brief_digest(Some(&relay.origin));
                    let message = Message::Ack {
                        seq: relay.seq,
                        digest,
                    };
                    let to = relay.addr;
                    sent.push(Outgoing { to, message });
                }
            }
            Message::ProbeFor {
                seq, target, addr, ..
            } if self.relays.len() < MAX_RELAYS => {
                let own = self.next_seq();
                let relay = RelayedProbe {
                    origin: from.id.clone(),
                    addr: from.addr,
                    seq,
                    until: now + self.config.period,
                };
                self.relays.insert(own, relay);
                let digest = self.brief_digest(Some(&target));
                let message = Message::Probe { seq: own, digest };
                sent.push(Outgoing { to: addr, message });
            }
            Message::ConfigNotice { version, .. } => self.add_version_waiter(from, version),
            Message::CrashNotice { notice, .. } => {
                if self.crashes.receive(&notice, now) {
                    self.rumors.push_crash(notice);
                }
            }
            Message::ProbeFor { .. } | Message::Leaving { .. } => {}
        }
    }

    /// Records that a router waits for the confirmation that `version` is in force here, and
    /// confirms it at once if it is.
    fn add_version_waiter(&mut self, from: &Sender, version: Version) {
        if let Some(peer) = self.roster.get_mut(from.id) {
            peer.version = peer.version.max(version);
        }
        if self.version_waiters.len() < MAX_VERSION_WAITERS {
            self.version_waiters
                .push((from.id.clone(), from.addr, version));
        }
        self.set_version(self.version);
    }

    fn apply_digest(
        &mut self,
        from: &RouterId,
        incarnation: u64,
        digest: &Digest,
        now: Duration,
        sent: &mut Vec<Outgoing>,
    ) {
        // The sender's update about itself comes first, so that the sender is known to the steps
        // below.
        let own = digest.updates.iter().filter(|update| update.id() == from);
        let others = digest.updates.iter().filter(|update| update.id() != from);
        for update in own.chain(others) {
            self.apply_update(update, now, sent);
        }
        self.record_contact(from, incarnation, digest, now);
        for notice in &digest.crashes {
            if self.crashes.receive(notice, now) {
                self.rumors.push_crash(notice.clone());
            }
        }
        self.loads.receive(from, &digest.loads, now);
        if let Some(sums) = &digest.sums {
            self.sums.receive(from, sums, now);
        }
        if let Some(sums) = &digest.domains {
            self.domain_sums.receive(from, sums, now);
        }
    }

    /// Records that a message of a member was received directly.
    fn record_contact(
        &mut self,
        from: &RouterId,
        incarnation: u64,
        digest: &Digest,
        now: Duration,
    ) {
        let Some(peer) = self.roster.get_mut(from) else {
            return;
        };
        peer.last_heard = Some(now);
        peer.knows_local = digest.knows;
        peer.version = peer.version.max(digest.version);
        let restarted = peer.process_incarnation > 0 && incarnation > peer.process_incarnation;
        peer.process_incarnation = peer.process_incarnation.max(incarnation);
        let old = peer.state;
        if incarnation > peer.incarnation {
            peer.incarnation = incarnation;
            peer.enter(PeerState::Alive, now);
            let update = peer.update();
            self.rumors.push(update);
            self.push_event(from, old, PeerState::Alive);
        }
        if restarted {
            let id = from.clone();
            self.events.push(MemberEvent::Restarted { id });
        }
    }

    fn apply_update(&mut self, update: &Update, now: Duration, sent: &mut Vec<Outgoing>) {
        if *update.id() == self.config.local.id {
            self.refute(update, sent);
            return;
        }
        let id = update.id().clone();
        let Some(peer) = self.roster.get_mut(&id) else {
            if let Update::Present { info, .. } = update {
                let mut peer = Peer::new(info.clone(), Listing::Unlisted, now);
                peer.apply(update, now);
                let state = peer.state;
                self.roster.insert(id.clone(), peer);
                self.rumors.push(update.clone());
                self.push_event(&id, PeerState::Dead, state);
            }
            return;
        };
        let old = peer.state;
        if !peer.apply(update, now) {
            return;
        }
        let new = peer.state;
        self.rumors.push(update.clone());
        self.push_event(&id, old, new);
        if new == PeerState::Suspect {
            self.start_suspicion(&id, false, now);
        }
    }

    /// Refutes an update that would override this router's own update about itself.
    fn refute(&mut self, update: &Update, sent: &mut Vec<Outgoing>) {
        let claimed = update.incarnation();
        let wrong = match update {
            Update::Present { .. } => claimed > self.incarnation,
            Update::Suspect { .. } | Update::Dead { .. } => claimed >= self.incarnation,
        };
        if !wrong {
            return;
        }
        self.incarnation = claimed + 1;
        self.rumors.push(self.own_update());
        let live = self.roster.values();
        let live = live.filter(|peer| peer.state != PeerState::Dead);
        let mut receivers: Vec<RouterId> = live.map(|peer| peer.info.id.clone()).collect();
        receivers.shuffle(&mut self.rng);
        for id in receivers.into_iter().take(REFUTATION_FANOUT) {
            let mut digest = self.brief_digest(Some(&id));
            digest.updates = vec![self.own_update()];
            let message = Message::Ack { seq: 0, digest };
            let to = self.roster[&id].info.addr;
            sent.push(Outgoing { to, message });
        }
    }
}
