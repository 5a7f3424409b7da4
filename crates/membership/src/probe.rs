//! Periodic work of the detector: direct and indirect probes, suspicion, death and reconnection.

use crate::roster::{Listing, Peer, Suspicion};
use crate::{Detector, MemberEvent, Message, Outgoing, PeerState};
use rand::RngExt;
use rand::seq::SliceRandom;
use sequoiaridge_core::{RouterId, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of periods between two probes of dead members or seeds.
const RECONNECT_PERIODS: u64 = 4;

/// Number of addresses that are probed in each period while no other live router is known.
const ISOLATED_TRIES: usize = 3;

/// Largest number of routers at which each router that learns of a suspicion probes the suspect
/// itself. In larger fleets only routers of the suspect's domain do, so that the suspect is not
/// flooded.
const SMALL_FLEET_ROUTERS: usize = 16;

/// A probe whose answer is awaited.
#[derive(Debug)]
pub(crate) struct PendingProbe {
    target: RouterId,
    sent: Duration,
    indirect: bool,
}

/// A probe sent on behalf of another router.
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    pub(crate) origin: RouterId,
    pub(crate) addr: SocketAddr,
    pub(crate) seq: u64,
    pub(crate) until: Duration,
}

/// Number of times that a configuration notice is repeated to routers that did not confirm it, and
/// the time between two of them. At 5 % loss, 1 in 10 confirmations is missing after the first
/// notice.
const NOTICE_REPEATS: u32 = 3;
const NOTICE_REPEAT_INTERVAL: Duration = Duration::from_millis(800);

/// A configuration notice that is repeated until all routers confirm it or no repeats are left.
#[derive(Debug)]
pub(crate) struct PendingNotice {
    version: Version,
    next: Duration,
    repeats: u32,
}

impl PendingNotice {
    pub(crate) fn new(version: Version, now: Duration) -> PendingNotice {
        PendingNotice {
            version,
            next: now + NOTICE_REPEAT_INTERVAL,
            repeats: NOTICE_REPEATS,
        }
    }
}

impl Detector {
    /// Performs the work that is due and returns the messages to send.
    ///
    /// If more than the answer timeout passed since the last call, this process was paused. Unread
    /// answers may then be waiting, so no peer becomes suspect because of that time.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut sent = std::mem::take(&mut self.outbox);
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap > self.config.ack_timeout {
            self.compensate_pause(gap);
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
        let Some(notice) = self.pending_notice.as_mut().filter(|a| now >= a.next) else {
            return;
        };
        notice.next = now + NOTICE_REPEAT_INTERVAL;
        notice.repeats -= 1;
        let (version, last) = (notice.version, notice.repeats == 0);
        if last {
            self.pending_notice = None;
        }
        let message = Message::config_notice(version);
        sent.extend(self.send_to_live(&message, |peer| peer.version < version));
    }

    /// Drops probes in flight and extends the suspicion deadlines by the duration of a pause.
    fn compensate_pause(&mut self, gap: Duration) {
        self.pending_probes.clear();
        for suspicion in self
            .roster
            .values_mut()
            .filter_map(|p| p.suspicion.as_mut())
        {
            suspicion.deadline += gap;
        }
    }

    fn run_period(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        self.forget_dead(now);
        self.crashes.expire(now);
        let (refresh, expiry) = (self.config.load_refresh, self.config.load_expiry);
        self.loads.refresh(now, refresh, expiry);
        let live = |peer: &&Peer| peer.state != PeerState::Dead;
        let (same_domain, other_domains): (Vec<&Peer>, Vec<&Peer>) = self
            .roster
            .values()
            .filter(live)
            .partition(|peer| peer.info.domain == self.config.local.domain);
        let isolated = same_domain.is_empty() && other_domains.is_empty();
        let ids = |peers: Vec<&Peer>| -> BTreeSet<RouterId> {
            peers.iter().map(|peer| peer.info.id.clone()).collect()
        };
        let (same_domain, other_domains) = (ids(same_domain), ids(other_domains));
        self.refresh_sums(&same_domain, now);
        for target in self
            .schedule
            .next(&same_domain, &other_domains, &mut self.rng)
        {
            let message = self.probe(&target, sent);
            let indirect = false;
            let pending = PendingProbe {
                target,
                sent: now,
                indirect,
            };
            self.pending_probes.insert(message, pending);
        }
        self.periods += 1;
        if isolated {
            let targets = self.reconnect_targets();
            self.reconnect(targets, ISOLATED_TRIES, sent);
        } else if self.periods.is_multiple_of(RECONNECT_PERIODS) {
            self.reconnect_one(sent);
        }
    }

    /// Sends a probe to a known member and returns the probe's number.
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

    /// Probes one dead member or seed. In a large fleet with few of them, only a random part of the
    /// routers does so each time. Otherwise all of them would probe a member that is wrongly
    /// considered dead.
    fn reconnect_one(&mut self, sent: &mut Vec<Outgoing>) {
        let targets = self.reconnect_targets();
        let (fleet, share) = (self.fleet_size(), targets.len() * SMALL_FLEET_ROUTERS);
        if share >= fleet || share > 0 && self.rng.random_range(0..fleet) < share {
            self.reconnect(targets, 1, sent);
        }
    }

    /// Returns the dead members, and the seeds at which no member is known. They are probed so that
    /// a fleet reconnects after a partition or without the list.
    fn reconnect_targets(&self) -> Vec<(Option<RouterId>, SocketAddr)> {
        let known: BTreeSet<SocketAddr> = self.roster.values().map(|p| p.info.addr).collect();
        let dead = self.roster.values().filter(|p| p.state == PeerState::Dead);
        let dead = dead.map(|peer| (Some(peer.info.id.clone()), peer.info.addr));
        let seeds = self.seeds.iter().filter(|addr| !known.contains(addr));
        dead.chain(seeds.map(|addr| (None, *addr))).collect()
    }

    fn reconnect(
        &mut self,
        mut targets: Vec<(Option<RouterId>, SocketAddr)>,
        tries: usize,
        sent: &mut Vec<Outgoing>,
    ) {
        targets.shuffle(&mut self.rng);
        for (id, to) in targets.into_iter().take(tries) {
            let digest = self.full_digest(id.as_ref(), 1);
            let seq = self.next_seq();
            let message = Message::Probe { seq, digest };
            sent.push(Outgoing { to, message });
        }
    }

    fn check_pending(&mut self, now: Duration, sent: &mut Vec<Outgoing>) {
        let (timeout, period) = (self.config.ack_timeout, self.config.period);
        let waited = |pending: &PendingProbe| now.saturating_sub(pending.sent);
        let seqs: Vec<u64> = self
            .pending_probes
            .iter()
            .filter(|(_, p)| waited(p) >= period || !p.indirect && waited(p) >= timeout)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in seqs {
            let pending = self
                .pending_probes
                .get_mut(&seq)
                .expect("number was just listed");
            let target = pending.target.clone();
            if waited(pending) >= period {
                self.pending_probes.remove(&seq);
                self.mark_unresponsive(&target, now);
            } else {
                pending.indirect = true;
                self.request_indirect_probes(seq, &target, sent);
            }
        }
    }

    /// Asks other routers to probe the target, one of them in the target's domain if possible, so
    /// that a broken link between two domains alone does not make the target a suspect.
    fn request_indirect_probes(&mut self, seq: u64, target: &RouterId, sent: &mut Vec<Outgoing>) {
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
        if let Some(at) = others.iter().position(|(same_domain, _)| *same_domain) {
            others.swap(0, at);
        }
        for (_, helper) in others.into_iter().take(self.config.indirect_probes) {
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

    /// Marks a member that did not answer as suspect. A leaving member is marked as dead at once:
    /// it no longer owns endpoints, and its process is expected to end.
    fn mark_unresponsive(&mut self, target: &RouterId, now: Duration) {
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
        self.rumors.push(update);
        self.push_event(target, old, new);
        if new == PeerState::Suspect {
            self.start_suspicion(target, true, now);
        }
    }

    /// Starts the suspicion timeout and schedules the probes that inform the suspect, so that it
    /// can refute. `direct` is whether this router's own probe failed; if not, the suspect is
    /// probed at most once.
    pub(crate) fn start_suspicion(&mut self, target: &RouterId, direct: bool, now: Duration) {
        let small = self.fleet_size() <= SMALL_FLEET_ROUTERS;
        let Some(peer) = self.roster.get_mut(target) else {
            return;
        };
        let checks = small || peer.info.domain == self.config.local.domain;
        let probe_at = match direct {
            true => Some(now),
            false => checks.then_some(now + self.config.suspicion_timeout / 2),
        };
        peer.suspicion = Some(Suspicion {
            deadline: now + self.config.suspicion_timeout,
            probe_at,
            direct,
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
                self.rumors.push(update);
                self.push_event(&id, old, PeerState::Dead);
            } else if suspicion.probe_at.is_some_and(|at| now >= at) {
                let again = now + self.config.period;
                suspicion.probe_at = suspicion.direct.then_some(again);
                self.probe(&id, sent);
            }
        }
    }

    fn forget_dead(&mut self, now: Duration) {
        let (removed, unlisted) = (self.config.removed_ttl, self.config.unlisted_ttl);
        let gone = |peer: &Peer| {
            let dead = now.saturating_sub(peer.state_since);
            peer.state == PeerState::Dead
                && match peer.listing {
                    Listing::Listed => false,
                    Listing::Removed => dead >= removed,
                    Listing::Unlisted => dead >= unlisted,
                }
        };
        let gone = self.roster.iter().filter(|(_, peer)| gone(peer));
        for id in gone.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.roster.remove(&id);
            self.events.push(MemberEvent::Forgotten { id });
        }
    }
}
