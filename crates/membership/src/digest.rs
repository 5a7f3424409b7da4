//! What travels on each message: rumors, load reports and the configuration version.

use crate::{Detector, Digest, PeerState};
use rand::RngExt;
use sequoiaridge_core::RouterId;
use serde::Serialize;

/// Bytes of a digest. With tag, header and the message's own fields, a datagram then stays within
/// 1,200 bytes for router names of up to 64 bytes.
const DIGEST_BYTES: usize = 1_000;

/// Bytes of the version, the flag and the lengths of the lists.
const FIXED_BYTES: usize = 24;

/// Least room for load reports and sums, in bytes. In a fleet of 8 routers it keeps the control traffic of a
/// router below 4 KB/s even while all counts change all the time.
const MIN_LOAD_BYTES: usize = 170;

/// Room for load reports and sums per router of the fleet, in bytes.
const LOAD_BYTES_PER_ROUTER: usize = 27;

/// Part of the room for loads that sums leave to reports of single endpoints, as a divisor.
const REPORT_SHARE: usize = 4;

/// Members that are told to a router that joins, in each answer.
const WELCOME_MEMBERS: usize = 12;

/// Room that is left in a digest.
struct Room(usize);

impl Room {
    /// Takes the room for `item` if there is enough.
    fn take(&mut self, item: &impl Serialize) -> bool {
        let size = postcard::experimental::serialized_size(item).unwrap_or(usize::MAX);
        let fits = size <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}

impl Detector {
    /// A digest without rumors and load reports, for messages that go to many routers at once.
    pub(crate) fn brief_digest(&self, to: Option<&RouterId>) -> Digest {
        self.open_digest(to).0
    }

    /// A digest for a probe or its answer. `random` is the number of members whose state is added
    /// although it is not new; this brings views together that differ although all rumors were
    /// spread.
    pub(crate) fn full_digest(&mut self, to: Option<&RouterId>, random: usize) -> Digest {
        let (mut digest, mut room) = self.open_digest(to);
        let members = self.fleet_size();
        let load_room = (LOAD_BYTES_PER_ROUTER * members).max(MIN_LOAD_BYTES);
        // Hundreds of routers that start together have rumors for more than a minute. Loads must
        // not wait for that long.
        let reserved = match self.loads.is_quiet() && self.sums_are_quiet() {
            true => 0,
            false => load_room.min(DIGEST_BYTES * 2 / 3),
        };
        room.0 = room.0.saturating_sub(reserved);
        let (updates, crashes) = (&mut digest.updates, &mut digest.crashes);
        self.rumors.offer(members, |rumor| match rumor {
            Ok(update) if updates.contains(update) => true,
            Ok(update) => {
                let fits = room.take(update);
                updates.extend(fits.then(|| update.clone()));
                fits
            }
            Err(notice) => {
                let fits = room.take(notice);
                crashes.extend(fits.then(|| notice.clone()));
                fits
            }
        });
        self.add_random(&mut digest, &mut room, to, random);
        let sends = (members as f64 + 1.0).log2().ceil() as u32;
        // Each receiver sends a report on as well, so half of log2 is enough where the next refresh
        // makes up for those that it did not reach. Reports that are not refreshed are sent in full.
        let load_sends = match self.loads.refreshes_all() {
            true => sends.div_ceil(2),
            false => sends,
        };
        let room = load_room.min(room.0 + reserved);
        // Both are spread even while either would fill the room alone.
        let kept = match self.loads.is_quiet() {
            true => 0,
            false => room / REPORT_SHARE,
        };
        let left = self.add_sums(&mut digest, room - kept, sends, to);
        digest.loads = self.loads.select(left + kept, load_sends, to);
        digest
    }

    /// The digest's fixed part and what the receiver needs to know about itself and the sender.
    fn open_digest(&self, to: Option<&RouterId>) -> (Digest, Room) {
        let peer = to.and_then(|id| self.roster.get(id));
        let mut digest = Digest {
            version: self.version,
            knows: peer.is_some_and(|peer| peer.incarnation > 0),
            ..Digest::default()
        };
        let mut room = Room(DIGEST_BYTES - FIXED_BYTES);
        // A router that is taken for suspect or dead must hear of it to refute.
        let accused =
            peer.filter(|peer| matches!(peer.state, PeerState::Suspect | PeerState::Dead));
        digest.updates.extend(accused.map(|peer| peer.update()));
        if !peer.is_some_and(|peer| peer.introduced) {
            digest.updates.push(self.own_update());
        }
        for update in &digest.updates {
            room.take(update);
        }
        (digest, room)
    }

    fn add_random(
        &mut self,
        digest: &mut Digest,
        room: &mut Room,
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
            if !digest.updates.contains(&update) && room.take(&update) {
                digest.updates.push(update);
            }
        }
    }

    /// Number of members that are told to a router which does not know this one yet.
    pub(crate) fn welcome(&self, knows: bool) -> usize {
        if knows { 0 } else { WELCOME_MEMBERS }
    }
}
