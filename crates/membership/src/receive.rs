//! What a received message changes, and the answers.

use crate::probe::Relay;
use crate::roster::{Listing, Peer};
use crate::{Detector, Digest, MemberEvent, Message, Outgoing, PeerState, Update};
use rand::seq::SliceRandom;
use sequoiaridge_core::{RouterId, Version};
use std::net::SocketAddr;
use std::time::Duration;

/// Routers that are told at once when this one refutes a suspicion; gossip tells the rest.
const REFUTE_TO: usize = 8;

/// Probes on behalf of others that are in flight at the same time.
const MAX_RELAYS: usize = 1024;

/// Routers that wait for word of a version at the same time.
const MAX_OWED: usize = 64;

/// Sender of a message.
struct Sender<'a> {
    id: &'a RouterId,
    addr: SocketAddr,
}

impl Detector {
    /// Takes in a message and returns the answers to send.
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
        self.take_in(from, incarnation, message.digest(), now, &mut sent);
        self.answer(&Sender { id: from, addr }, message, now, &mut sent);
        sent
    }

    fn answer(&mut self, from: &Sender, message: Message, now: Duration, sent: &mut Vec<Outgoing>) {
        match message {
            Message::Probe { seq, digest } => {
                let random = self.welcome(digest.knows);
                let digest = self.full_digest(Some(from.id), random);
                let message = Message::Ack { seq, digest };
                let to = from.addr;
                sent.push(Outgoing { to, message });
            }
            Message::Ack { seq, .. } => {
                self.pending.remove(&seq);
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
                let relay = Relay {
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
            Message::ConfigNotice { version, .. } => self.owe(from, version),
            Message::CrashNotice { notice, .. } => {
                if self.crashes.receive(&notice, now) {
                    self.rumors.tell_crash(notice);
                }
            }
            Message::ProbeFor { .. } | Message::Leaving { .. } => {}
        }
    }

    /// Remembers that a router waits for word that `version` is in force here.
    fn owe(&mut self, from: &Sender, version: Version) {
        if let Some(peer) = self.roster.get_mut(from.id) {
            peer.version = peer.version.max(version);
        }
        if self.owed.len() < MAX_OWED {
            self.owed.push((from.id.clone(), from.addr, version));
        }
        self.set_version(self.version);
    }

    fn take_in(
        &mut self,
        from: &RouterId,
        incarnation: u64,
        digest: &Digest,
        now: Duration,
        sent: &mut Vec<Outgoing>,
    ) {
        // The sender's statement about itself comes first, so that it is known from here on.
        let own = digest.updates.iter().filter(|update| update.id() == from);
        let others = digest.updates.iter().filter(|update| update.id() != from);
        for update in own.chain(others) {
            self.learn(update, now, sent);
        }
        self.hear(from, incarnation, digest, now);
        for notice in &digest.crashes {
            if self.crashes.receive(notice, now) {
                self.rumors.tell_crash(notice.clone());
            }
        }
        self.loads.receive(from, &digest.loads, now);
        if let Some(sums) = &digest.sums {
            self.sums.receive(from, sums, now);
        }
        if let Some(sums) = &digest.domains {
            self.domains.receive(from, sums, now);
        }
    }

    /// Notes that a member was heard directly.
    fn hear(&mut self, from: &RouterId, incarnation: u64, digest: &Digest, now: Duration) {
        let Some(peer) = self.roster.get_mut(from) else {
            return;
        };
        peer.last_heard = Some(now);
        peer.introduced = digest.knows;
        peer.version = peer.version.max(digest.version);
        let restarted = peer.started > 0 && incarnation > peer.started;
        peer.started = peer.started.max(incarnation);
        let old = peer.state;
        if incarnation > peer.incarnation {
            peer.incarnation = incarnation;
            peer.enter(PeerState::Alive, now);
            let update = peer.update();
            self.rumors.tell(update);
            self.note(from, old, PeerState::Alive);
        }
        if restarted {
            let id = from.clone();
            self.events.push(MemberEvent::Restarted { id });
        }
    }

    fn learn(&mut self, update: &Update, now: Duration, sent: &mut Vec<Outgoing>) {
        if *update.id() == self.config.local.id {
            self.check_own(update, sent);
            return;
        }
        let id = update.id().clone();
        let Some(peer) = self.roster.get_mut(&id) else {
            if let Update::Present { info, .. } = update {
                let mut peer = Peer::new(info.clone(), Listing::Never, now);
                peer.apply(update, now);
                let state = peer.state;
                self.roster.insert(id.clone(), peer);
                self.rumors.tell(update.clone());
                self.note(&id, PeerState::Dead, state);
            }
            return;
        };
        let old = peer.state;
        if !peer.apply(update, now) {
            return;
        }
        let new = peer.state;
        self.rumors.tell(update.clone());
        self.note(&id, old, new);
        if new == PeerState::Suspect {
            self.suspect(&id, false, now);
        }
    }

    /// Refutes a statement that would prevail over what this router says of itself.
    fn check_own(&mut self, update: &Update, sent: &mut Vec<Outgoing>) {
        let claimed = update.incarnation();
        let wrong = match update {
            Update::Present { .. } => claimed > self.incarnation,
            Update::Suspect { .. } | Update::Dead { .. } => claimed >= self.incarnation,
        };
        if !wrong {
            return;
        }
        self.incarnation = claimed + 1;
        self.rumors.tell(self.own_update());
        let live = self.roster.values();
        let live = live.filter(|peer| peer.state != PeerState::Dead);
        let mut told: Vec<RouterId> = live.map(|peer| peer.info.id.clone()).collect();
        told.shuffle(&mut self.rng);
        for id in told.into_iter().take(REFUTE_TO) {
            let mut digest = self.brief_digest(Some(&id));
            digest.updates = vec![self.own_update()];
            let message = Message::Ack { seq: 0, digest };
            let to = self.roster[&id].info.addr;
            sent.push(Outgoing { to, message });
        }
    }
}
