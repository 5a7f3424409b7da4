//! Which routers are told again what others hold back.
//!
//! Crashes are told a few times when they happen. A router that was cut off, that starts, or whose
//! datagrams were lost hears them from any router that finds another digest in its messages.

use rand::Rng;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{Fingerprint, RouterId};
use sequoiaridge_policy::{Aged, Backoff, Crash, Quarantine};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of crashes that one message tells: they fit a datagram beside its other fields.
const PAGE_BYTES: usize = 800;
/// Most bytes of a crash beside the endpoint's id and its boot id.
const CRASH_BYTES: usize = 24;
/// Pauses between messages to a router whose digest goes on to differ. It may have no room for what this
/// one knows.
const AGAIN: Backoff = Backoff {
    base: Duration::from_millis(500),
    limit: Duration::from_secs(30),
};

/// A router whose digest differs.
#[derive(Clone, Copy, Debug, Default)]
struct Behind {
    digest: u32,
    /// Messages since the digest changed.
    told: u32,
    /// Whether it was heard since the last of them.
    heard: bool,
    not_before: Duration,
}

/// Brings the tables of crashes of a fleet together.
#[derive(Clone, Debug, Default)]
pub struct CrashSync {
    behind: BTreeMap<RouterId, Behind>,
    /// Last fingerprint that was told.
    cursor: Option<Fingerprint>,
}

impl CrashSync {
    /// Creates the state of a router that has heard no other.
    pub fn new() -> CrashSync {
        CrashSync::default()
    }

    /// Takes over the digest that another router tells, beside the own one.
    pub fn hear(&mut self, router: &RouterId, digest: u32, own: u32) {
        if digest == own {
            self.behind.remove(router);
            return;
        }
        let behind = self.behind.entry(router.clone()).or_default();
        behind.heard = true;
        if behind.digest != digest {
            behind.digest = digest;
            behind.told = 0;
        }
    }

    /// A router that is told now: one at a time, so that what this takes of a link is bounded.
    pub fn due(&mut self, now: Duration, rng: &mut dyn Rng) -> Option<RouterId> {
        let behind = self.behind.iter_mut();
        let due = behind.filter(|(_, b)| b.heard && now >= b.not_before);
        let (id, behind) = due.choose(rng)?;
        behind.heard = false;
        behind.not_before = now + AGAIN.ceiling(behind.told);
        behind.told = behind.told.saturating_add(1);
        Some(id.clone())
    }

    /// The next crashes to tell, beginning anew after the last ones.
    pub fn page(&mut self, quarantine: &Quarantine, now: Duration) -> Vec<Aged<Crash>> {
        let grave = quarantine.sync_set(now);
        let cursor = self.cursor;
        let after = |f: &&Fingerprint| cursor.is_none_or(|cursor| **f > cursor);
        let rest = grave.iter().filter(after);
        let first = grave.iter().filter(|f| !after(f));
        let mut page = Vec::new();
        let mut room = PAGE_BYTES;
        for fingerprint in rest.chain(first) {
            let crashes = quarantine.crashes(*fingerprint, now);
            let Some(left) = room.checked_sub(crashes.iter().map(bytes).sum()) else {
                break;
            };
            room = left;
            self.cursor = Some(*fingerprint);
            page.extend(crashes);
        }
        page
    }

    /// Forgets routers that are gone.
    pub(crate) fn keep(&mut self, keep: impl Fn(&RouterId) -> bool) {
        self.behind.retain(|id, _| keep(id));
    }
}

fn bytes(crash: &Aged<Crash>) -> usize {
    crash.value.endpoint.len() + crash.value.boot.len() + CRASH_BYTES
}
