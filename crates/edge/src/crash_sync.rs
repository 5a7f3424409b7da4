//! Anti-entropy for crashes: which routers get the known crashes again.
//!
//! Crashes are sent a few times when they happen. A router that was cut off, that starts, or that
//! lost datagrams gets them from any router that sees a different digest in its messages.

use rand::Rng;
use rand::seq::IteratorRandom;
use sequoiaridge_core::RouterId;
use sequoiaridge_policy::{Aged, Backoff, Crash, Quarantine, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of crashes in one message: they fit in a datagram beside its other fields.
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
    /// Last suspect that was sent.
    cursor: Option<Suspect>,
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
        let repeated = quarantine.sync_set(now);
        let cursor = self.cursor;
        let after = |suspect: &&Suspect| cursor.is_none_or(|cursor| **suspect > cursor);
        let rest = repeated.iter().filter(after);
        let first = repeated.iter().filter(|suspect| !after(suspect));
        let mut page = Vec::new();
        let mut free_bytes = PAGE_BYTES;
        for suspect in rest.chain(first) {
            let crashes = quarantine.crashes(*suspect, now);
            let Some(left) =
                free_bytes.checked_sub(crashes.iter().map(|c| encoded_bytes(&c.value)).sum())
            else {
                break;
            };
            free_bytes = left;
            self.cursor = Some(*suspect);
            page.extend(crashes);
        }
        page
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
