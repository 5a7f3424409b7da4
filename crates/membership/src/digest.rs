//! Digests, which are piggybacked on each message: rumors, load reports, sums and the configuration
//! version.

use crate::{Detector, Digest, PeerState};
use rand::RngExt;
use sequoiaridge_core::RouterId;
use serde::Serialize;

/// Maximum bytes of a digest. With tag, header and the message's own fields, a datagram then stays
/// within 1,200 bytes for router names of up to 64 bytes.
const DIGEST_BYTES: usize = 1_000;

/// Bytes of the version, the flag and the lengths of the lists.
const FIXED_BYTES: usize = 24;

/// Least budget for load reports and sums, in bytes. In a fleet of 8 routers it keeps the control
/// traffic of a router below 4 KB/s even while all counts change continuously.
const MIN_LOAD_BYTES: usize = 170;

/// Budget for load reports and sums per router of the fleet, in bytes.
const LOAD_BYTES_PER_ROUTER: usize = 27;

/// Divisor of the load budget that gives the part reserved from sums for reports of single
/// endpoints.
const REPORT_DIVISOR: usize = 4;

/// Number of members sent to a joining router in each answer.
const JOIN_MEMBERS: usize = 12;

/// Bytes that are left in a digest.
struct ByteBudget(usize);

impl ByteBudget {
    /// Subtracts the encoded size of `item` if it fits. Returns whether it does.
    fn reserve(&mut self, item: &impl Serialize) -> bool {
        let size = postcard::experimental::serialized_size(item).unwrap_or(usize::MAX);
        let fits = size <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}

impl Detector {
    /// Builds a digest without rumors and load reports, for messages that go to many routers at
    /// once.
    pub(crate) fn brief_digest(&self, to: Option<&RouterId>) -> Digest {
        self.base_digest(to).0
    }

    /// Builds a digest for a probe or its answer. `random` is the number of members whose state is
    /// added although it is not new. This anti-entropy reconciles views that still differ after all
    /// rumors were sent.
    pub(crate) fn full_digest(&mut self, to: Option<&RouterId>, random: usize) -> Digest {
        let (mut digest, mut budget) = self.base_digest(to);
        let members = self.fleet_size();
        let load_budget = (LOAD_BYTES_PER_ROUTER * members).max(MIN_LOAD_BYTES);
        // When hundreds of routers start together, rumors fill the digests for more than a minute.
        // Load reports must not wait for that long.
        let reserved = match self.loads.is_queue_empty() && self.sum_queues_empty() {
            true => 0,
            false => load_budget.min(DIGEST_BYTES * 2 / 3),
        };
        budget.0 = budget.0.saturating_sub(reserved);
        let (updates, crashes) = (&mut digest.updates, &mut digest.crashes);
        self.rumors.offer(members, |rumor| match rumor {
            Ok(update) if updates.contains(update) => true,
            Ok(update) => {
                let fits = budget.reserve(update);
                updates.extend(fits.then(|| update.clone()));
                fits
            }
            Err(notice) => {
                let fits = budget.reserve(notice);
                crashes.extend(fits.then(|| notice.clone()));
                fits
            }
        });
        self.add_random(&mut digest, &mut budget, to, random);
        let sends = (members as f64 + 1.0).log2().ceil() as u32;
        // Receivers relay reports as well, so half of log2 sends are enough if the next refresh
        // reaches the remaining routers. Reports that are not refreshed get all sends.
        let load_sends = match self.loads.refreshes_all() {
            true => sends.div_ceil(2),
            false => sends,
        };
        let budget = load_budget.min(budget.0 + reserved);
        // Reserve a part for reports, so that neither sums nor reports take the whole budget.
        let for_reports = match self.loads.is_queue_empty() {
            true => 0,
            false => budget / REPORT_DIVISOR,
        };
        let left = self.add_sums(&mut digest, budget - for_reports, sends, to);
        digest.loads = self.loads.select(left + for_reports, load_sends, to);
        digest
    }

    /// Builds the fixed part of a digest with the updates that the receiver needs about itself and
    /// the sender. Returns it with the remaining budget.
    fn base_digest(&self, to: Option<&RouterId>) -> (Digest, ByteBudget) {
        let peer = to.and_then(|id| self.roster.get(id));
        let mut digest = Digest {
            version: self.version,
            knows: peer.is_some_and(|peer| peer.incarnation > 0),
            ..Digest::default()
        };
        let mut budget = ByteBudget(DIGEST_BYTES - FIXED_BYTES);
        // A router that is considered suspect or dead must learn of it to refute.
        let suspected =
            peer.filter(|peer| matches!(peer.state, PeerState::Suspect | PeerState::Dead));
        digest.updates.extend(suspected.map(|peer| peer.update()));
        if !peer.is_some_and(|peer| peer.knows_local) {
            digest.updates.push(self.own_update());
        }
        for update in &digest.updates {
            budget.reserve(update);
        }
        (digest, budget)
    }

    fn add_random(
        &mut self,
        digest: &mut Digest,
        budget: &mut ByteBudget,
        to: Option<&RouterId>,
        random: usize,
    ) {
        let heard = self.roster.values().filter(|peer| peer.incarnation > 0);
        let others: Vec<_> = heard.filter(|peer| Some(&peer.info.id) != to).collect();
        if others.is_empty() {
            return;
        }
        let from = self.rng.random_range(0..others.len());
        let chosen = others
            .iter()
            .cycle()
            .skip(from)
            .take(random.min(others.len()));
        for update in chosen.map(|peer| peer.update()) {
            if !digest.updates.contains(&update) && budget.reserve(&update) {
                digest.updates.push(update);
            }
        }
    }

    /// Number of random members for an answer: more than none only if the prober does not know this
    /// router yet.
    pub(crate) fn join_members(&self, knows: bool) -> usize {
        if knows { 0 } else { JOIN_MEMBERS }
    }
}
