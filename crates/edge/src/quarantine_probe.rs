//! Probes of held parts of prompts: one request of the fleet shows whether a part still crashes
//! endpoints.
//!
//! Endpoints that are lost together look like crashes of what ran on all of them. A part that is held
//! for that would never be sent again, and so never be cleared.

use crate::call::AttemptId;
use sequoiaridge_core::{RouterId, hash_parts};
use sequoiaridge_policy::{Block, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a probe whose outcome stayed unknown is repeated, and probes of one suspect.
const PROBE_INTERVAL: Duration = Duration::from_secs(60);
const MAX_PROBES: u32 = 2;

/// The last probe of a suspect.
#[derive(Clone, Debug)]
struct Probe {
    attempt: AttemptId,
    at: Duration,
    /// Probes of the suspect so far.
    count: u32,
}

/// The probes that this router made.
#[derive(Clone, Debug, Default)]
pub struct QuarantineProbes {
    probes: BTreeMap<Suspect, Probe>,
}

impl QuarantineProbes {
    /// Creates a table without probes.
    pub fn new() -> QuarantineProbes {
        QuarantineProbes::default()
    }

    /// Makes an attempt the probe of the suspect that would hold it. Returns false if none is due.
    pub fn start(&mut self, block: &Block, attempt: &str, now: Duration) -> bool {
        let last = self.probes.get(&block.suspect);
        let count = last.map_or(0, |last| last.count);
        let is_early = last.is_some_and(|last| now < last.at + PROBE_INTERVAL);
        if !block.may_probe || is_early || count >= MAX_PROBES {
            return false;
        }
        let probe = Probe {
            attempt: attempt.to_string(),
            at: now,
            count: count + 1,
        };
        self.probes.insert(block.suspect, probe);
        true
    }

    /// Whether an attempt is the probe of the suspect that would hold it.
    pub fn is_probe(&self, block: &Block, attempt: &str) -> bool {
        let last = self.probes.get(&block.suspect);
        last.is_some_and(|last| last.attempt == attempt)
    }

    /// Records that no endpoint ran an attempt, so that another one may be the probe.
    pub fn cancel(&mut self, attempt: &str) {
        self.probes.retain(|_, probe| probe.attempt != attempt);
    }

    /// Forgets the probes of suspects that are no longer held.
    pub(crate) fn retain(&mut self, is_held: impl Fn(Suspect) -> bool) {
        self.probes.retain(|suspect, _| is_held(*suspect));
    }
}

/// Whether a router is the one among all known ones that probes a suspect. Silent routers count, so
/// that one that is cut off does not take the probe over.
pub fn is_designated<'a>(
    own: &RouterId,
    mut others: impl Iterator<Item = &'a RouterId>,
    suspect: Suspect,
) -> bool {
    let rank = |id: &RouterId| hash_parts(&[suspect.to_string().as_bytes(), id.as_bytes()]);
    let own = rank(own);
    others.all(|other| rank(other) < own)
}
