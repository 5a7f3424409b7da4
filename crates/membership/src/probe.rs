//! Probing on the detector's own time: direct and indirect probes, suspicion, death.

use crate::roster::{Listing, Peer, Suspicion};
use crate::{Detector, MemberEvent, Message, Outgoing, PeerState};
use rand::RngExt;
use rand::seq::SliceRandom;
use sequoiaridge_core::{RouterId, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Dead members and seeds are tried in every period of this number.
const RETRY_EVERY: u64 = 4;

/// Addresses that are tried in each period while no other router is known to be alive.
const LONELY_TRIES: usize = 3;

/// Up to this size of the fleet, each router that hears of a suspicion checks it itself. In larger
/// fleets only routers of the suspect's domain do, or the suspect would be flooded.
const SMALL_FLEET: usize = 16;

/// A probe whose answer is awaited.
#[derive(Debug)]
pub(crate) struct Pending {
    target: RouterId,
    sent: Duration,
    indirect: bool,
}

/// A probe on behalf of another router.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) origin: RouterId,
    pub(crate) addr: SocketAddr,
    pub(crate) seq: u64,
    pub(crate) until: Duration,
}

/// Times that a configuration notice is repeated to routers that did not confirm it, and the time
/// between two of them. At 5 % loss, 1 in 10 confirmations is missing after the first time.
const NOTICE_REPEATS: u32 = 3;
const NOTICE_PAUSE: Duration = Duration::from_millis(800);

/// A configuration notice that routers are to confirm.
#[derive(Debug)]
pub(crate) struct Announced {
    version: Version,
    next: Duration,
    repeats: u32,
}

impl Announced {
    pub(crate) fn new(version: Version, now: Duration) -> Announced {
        Announced {
            version,
            next: now + NOTICE_PAUSE,
            repeats: NOTICE_REPEATS,
        }
    }
}

impl Detector {
    /// Does what is due and returns the messages to send.
    ///
    /// If more than the answer timeout passed since the last call, this process was paused. Answers
    /// may then be waiting unread, so no peer is accused for that time.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut sent = std::mem::take(&mut self.outbox);
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap > self.config.ack_timeout {
            self.forgive(gap);
        }
        self.relays.retain(|_, relay| relay.until > now);
        self.check_pending(now, &mut sent);
        self.check_suspects(now, &mut sent);
        self.repeat_notice(now, &mut sent);
        let due = *self.next_period.get_or_insert(now);
        if now >= due {
            let next = due + self.config.period;
            self.next_period = Some(if next > now {
                next
            } else {
                now + self.config.period
            });
            self.run_period(now, &mut sent);
        }
        sent
    }

    /// Repeats the last configuration notice to the routers that did not confirm it.
    fn repeat_notice(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        let Some(announced) = self.announced.as_mut().filter(|a| now >= a.next) else {
            return;
        };
        announced.next = now + NOTICE_PAUSE;
        announced.repeats -= 1;
        let (version, last) = (announced.version, announced.repeats == 0);
        if last {
            self.announced = None;
        }
        let message = Message::config_notice(version);
        sent.extend(self.send_to_live(&message, |peer| peer.version < version));
    }

    /// Drops probes in flight and moves the end of suspicions by the time of a pause.
    fn forgive(&mut self, gap: Duration) {
        self.pending.clear();
        for suspicion in self
            .roster
            .values_mut()
            .filter_map(|p| p.suspicion.as_mut())
        {
            suspicion.deadline += gap;
        }
    }

    fn run_period(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        self.forget(now);
        self.crashes.expire(now);
        let (refresh, expiry) = (self.config.load_refresh, self.config.load_expiry);
        self.loads.refresh(now, refresh, expiry);
        let live = |peer: &&Peer| peer.state != PeerState::Dead;
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self
            .roster
            .values()
            .filter(live)
            .partition(|peer| peer.info.domain == self.config.local.domain);
        let lonely = near.is_empty() && far.is_empty();
        let ids = |peers: Vec<&Peer>| -> BTreeSet<RouterId> {
            peers.iter().map(|peer| peer.info.id.clone()).collect()
        };
        let (near, far) = (ids(near), ids(far));
        self.refresh_sums(&near, now);
        for target in self.plan.next(&near, &far, &mut self.rng) {
            let message = self.probe(&target, sent);
            let indirect = false;
            let pending = Pending {
                target,
                sent: now,
                indirect,
            };
            self.pending.insert(message, pending);
        }
        self.periods += 1;
        if lonely {
            let lost = self.lost();
            self.retry(lost, LONELY_TRIES, sent);
        } else if self.periods.is_multiple_of(RETRY_EVERY) {
            self.retry_one(sent);
        }
    }

    /// Sends a probe to a known member; returns its number.
    fn probe(&mut self, target: &RouterId, sent: &mut Vec<Outgoing>) -> u64 {
        let digest = self.full_digest(Some(target), 1);
        let seq = self.next_seq();
        if let Some(peer) = self.roster.get(target) {
            let to = peer.info.addr;
            let message = Message::Probe { seq, digest };
            sent.push(Outgoing { to, message });
        }
        seq
    }

    /// Tries one lost member. In a large fleet with few lost ones only some routers do so each time: a
    /// member that is taken for dead by mistake would otherwise be probed by all of them.
    fn retry_one(&mut self, sent: &mut Vec<Outgoing>) {
        let lost = self.lost();
        let (fleet, share) = (self.fleet_size(), lost.len() * SMALL_FLEET);
        if share >= fleet || share > 0 && self.rng.random_range(0..fleet) < share {
            self.retry(lost, 1, sent);
        }
    }

    /// Dead members, and seeds at which no live member is known. They are tried so that a fleet that
    /// was split or whose list is not available finds together.
    fn lost(&self) -> Vec<(Option<RouterId>, SocketAddr)> {
        let known: BTreeSet<SocketAddr> = self.roster.values().map(|p| p.info.addr).collect();
        let dead = self.roster.values().filter(|p| p.state == PeerState::Dead);
        let dead = dead.map(|peer| (Some(peer.info.id.clone()), peer.info.addr));
        let seeds = self.seeds.iter().filter(|addr| !known.contains(addr));
        dead.chain(seeds.map(|addr| (None, *addr))).collect()
    }

    fn retry(
        &mut self,
        mut lost: Vec<(Option<RouterId>, SocketAddr)>,
        tries: usize,
        sent: &mut Vec<Outgoing>,
    ) {
        lost.shuffle(&mut self.rng);
        for (id, to) in lost.into_iter().take(tries) {
            let digest = self.full_digest(id.as_ref(), 1);
            let seq = self.next_seq();
            let message = Message::Probe { seq, digest };
            sent.push(Outgoing { to, message });
        }
    }

    fn check_pending(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        let (timeout, period) = (self.config.ack_timeout, self.config.period);
        let waited = |pending: &Pending| now.saturating_sub(pending.sent);
        let seqs: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| waited(p) >= period || !p.indirect && waited(p) >= timeout)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in seqs {
            let pending = self.pending.get_mut(&seq).expect("number was just listed");
            let target = pending.target.clone();
            if waited(pending) >= period {
                self.pending.remove(&seq);
                self.accuse(&target, now);
            } else {
                pending.indirect = true;
                self.ask_helpers(seq, &target, sent);
            }
        }
    }

    /// Asks one router of the target's domain and others elsewhere, so that a broken link between
    /// two domains alone makes no suspect.
    fn ask_helpers(&mut self, seq: u64, target: &RouterId, sent: &mut Vec<Outgoing>) {
        let Some(peer) = self.roster.get(target) else {
            return;
        };
        let (domain, addr) = (peer.info.domain.clone(), peer.info.addr);
        let fit = |p: &&Peer| matches!(p.state, PeerState::Alive | PeerState::Leaving);
        let others = self.roster.values().filter(fit);
        let mut others: Vec<(bool, RouterId)> = others
            .filter(|p| p.info.id != *target)
            .map(|p| (p.info.domain == domain, p.info.id.clone()))
            .collect();
        others.shuffle(&mut self.rng);
        if let Some(at) = others.iter().position(|(near, _)| *near) {
            others.swap(0, at);
        }
        for (_, helper) in others.into_iter().take(self.config.helpers) {
            let digest = self.brief_digest(Some(&helper));
            let target = target.clone();
            let message = Message::ProbeFor {
                seq,
                target,
                addr,
                digest,
            };
            let to = self.roster[&helper].info.addr;
            sent.push(Outgoing { to, message });
        }
    }

    /// Makes a member that did not answer a suspect. One that announced its leaving is dead at once:
    /// it owns nothing any more and its process is expected to end.
    fn accuse(&mut self, target: &RouterId, now: Duration) {
        let Some(peer) = self.roster.get_mut(target) else {
            return;
        };
        let old = peer.state;
        let new = match old {
            PeerState::Alive => PeerState::Suspect,
            PeerState::Leaving => PeerState::Dead,
            PeerState::Suspect | PeerState::Dead => return,
        };
        peer.enter(new, now);
        let update = peer.update();
        self.rumors.tell(update);
        self.note(target, old, new);
        if new == PeerState::Suspect {
            self.suspect(target, true, now);
        }
    }

    /// Starts the time of suspicion, during which the suspect is told so that it can refute.
    pub(crate) fn suspect(&mut self, target: &RouterId, first_hand: bool, now: Duration) {
        let small = self.fleet_size() <= SMALL_FLEET;
        let Some(peer) = self.roster.get_mut(target) else {
            return;
        };
        let near = small || peer.info.domain == self.config.local.domain;
        let probe_at = match first_hand {
            true => Some(now),
            false => near.then_some(now + self.config.suspicion / 2),
        };
        peer.suspicion = Some(Suspicion {
            deadline: now + self.config.suspicion,
            probe_at,
            first_hand,
        });
    }

    fn check_suspects(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        let suspects = self.roster.iter().filter(|(_, p)| p.suspicion.is_some());
        let suspects: Vec<RouterId> = suspects.map(|(id, _)| id.clone()).collect();
        for id in suspects {
            let peer = self.roster.get_mut(&id).expect("member was just listed");
            let Some(suspicion) = &mut peer.suspicion else {
                continue;
            };
            if now >= suspicion.deadline {
                let old = peer.state;
                peer.enter(PeerState::Dead, now);
                let update = peer.update();
                self.rumors.tell(update);
                self.note(&id, old, PeerState::Dead);
            } else if suspicion.probe_at.is_some_and(|at| now >= at) {
                let again = now + self.config.period;
                suspicion.probe_at = suspicion.first_hand.then_some(again);
                self.probe(&id, sent);
            }
        }
    }

    fn forget(&mut self, now: Duration) {
        let (removed, unlisted) = (self.config.forget_removed, self.config.forget_unlisted);
        let gone = |peer: &Peer| {
            let dead = now.saturating_sub(peer.since);
            peer.state == PeerState::Dead
                && match peer.listing {
                    Listing::Listed => false,
                    Listing::Removed => dead >= removed,
                    Listing::Never => dead >= unlisted,
                }
        };
        let gone = self.roster.iter().filter(|(_, peer)| gone(peer));
        for id in gone.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.roster.remove(&id);
            self.events.push(MemberEvent::Forgotten { id });
        }
    }
}
