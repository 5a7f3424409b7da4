//! Anti-entropy for crashes: which routers get the known crashes again.
//!
//! Crashes are sent a few times when they happen. A router that was cut off, that starts, or that
//! lost datagrams gets them from any router that sees a different digest in its messages.

use rand::Rng;
use rand::seq::IteratorRandom;
use sequoiaridge_core::RouterId;
use sequoiaridge_policy::{Aged, Backoff, Crash, Quarantine};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of crashes in one message: they fit in a datagram beside its other fields. A crash with a
/// longer id is sent alone.
const PAGE_BYTES: usize = 800;
/// Most bytes of a crash, without the endpoint's id and its boot id.
const CRASH_ENTRY_BYTES: usize = 24;
/// Pauses between messages to a router whose digest keeps differing: it may have no room for the
/// crashes that this one knows.
const RESEND_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(500),
    limit: Duration::from_secs(30),
};

/// A router whose digest differs from this router's.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    digest: u32,
    /// Messages sent to it since its digest changed.
    sent: u32,
    /// Whether it has sent a message since the last of them.
    heard: bool,
    not_before: Duration,
}

/// Brings the crash tables of a fleet into agreement.
#[derive(Clone, Debug, Default)]
pub struct CrashSync {
    peers: BTreeMap<RouterId, PeerState>,
    /// Last crash that was sent.
    cursor: Option<Crash>,
}

impl CrashSync {
    /// Creates the state of a router that has seen no other digest.
    pub fn new() -> CrashSync {
        CrashSync::default()
    }

    /// Compares the digest of another router with this router's own.
    pub fn apply_digest(&mut self, router: &RouterId, digest: u32, own: u32) {
        if digest == own {
            self.peers.remove(router);
            return;
        }
        let peer = self.peers.entry(router.clone()).or_default();
        peer.heard = true;
        if peer.digest != digest {
            peer.digest = digest;
            peer.sent = 0;
        }
    }

    /// The router to send crashes to now, if any. It is one at a time, so that the share of a link
    /// that this takes is bounded.
    pub fn next_peer(&mut self, now: Duration, rng: &mut dyn Rng) -> Option<RouterId> {
        let peers = self.peers.iter_mut();
        let due = peers.filter(|(_, b)| b.heard && now >= b.not_before);
        let (id, peer) = due.choose(rng)?;
        peer.heard = false;
        peer.not_before = now + RESEND_BACKOFF.ceiling(peer.sent);
        peer.sent = peer.sent.saturating_add(1);
        Some(id.clone())
    }

    /// The next crashes to send. After the last one, pages start again from the first.
    pub fn next_page(&mut self, quarantine: &Quarantine, now: Duration) -> Vec<Aged<Crash>> {
        let suspects = quarantine.sync_set(now).into_iter();
        let mut crashes: Vec<_> = suspects.flat_map(|s| quarantine.crashes(s, now)).collect();
        crashes.sort_by(|a, b| a.value.cmp(&b.value));
        let sent = |crash: &Aged<Crash>| Some(&crash.value) <= self.cursor.as_ref();
        let first = crashes.partition_point(sent);
        crashes.rotate_left(first);
        let mut bytes = 0;
        let fits = |crash: &&Aged<Crash>| {
            bytes += encoded_bytes(&crash.value);
            bytes <= PAGE_BYTES
        };
        let count = crashes.iter().take_while(fits).count();
        crashes.truncate(count.max(1));
        self.cursor = crashes.last().map(|crash| crash.value.clone());
        crashes
    }

    /// Forgets routers that are no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&RouterId) -> bool) {
        self.peers.retain(|id, _| known(id));
    }
}

/// Most bytes that a crash takes in a message.
pub(crate) fn encoded_bytes(crash: &Crash) -> usize {
    crash.endpoint.len() + crash.boot.len() + CRASH_ENTRY_BYTES
}
