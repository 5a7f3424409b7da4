//! Tests of held parts of prompts: one request of the fleet shows whether a part still crashes
//! endpoints.
//!
//! Endpoints that are lost together look like crashes of what ran on all of them. A part that is held
//! for that would never be sent again, and so never be cleared.

use sequoiaridge_core::{RouterId, hash_parts};
use sequoiaridge_policy::{Block, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a test is remembered, so that a part is not tested again if the outcome stays
/// unknown.
const TEST_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// The tests that this router made.
#[derive(Clone, Debug, Default)]
pub struct QuarantineProbes {
    /// Attempt that tests a suspect, and when it was sent.
    tests: BTreeMap<Suspect, (String, Duration)>,
}

impl QuarantineProbes {
    /// Creates a table without tests.
    pub fn new() -> QuarantineProbes {
        QuarantineProbes::default()
    }

    /// Starts a test with an attempt. Returns false if there is none to make.
    pub fn start(&mut self, block: &Block, attempt: &str, now: Duration) -> bool {
        self.tests.retain(|_, (_, at)| now < *at + TEST_MEMORY);
        if !block.may_probe || self.tests.contains_key(&block.suspect) {
            return false;
        }
        let test = (attempt.to_string(), now);
        self.tests.insert(block.suspect, test);
        true
    }

    /// Whether an attempt is the test of what would hold it.
    pub fn is_probe(&self, block: &Block, attempt: &str) -> bool {
        let test = self.tests.get(&block.suspect);
        test.is_some_and(|(known, _)| known == attempt)
    }
}

/// Whether a router is the one among all known ones that may test a suspect. Silent routers count, so
/// that one that is cut off does not take the test over.
pub fn is_designated<'a>(
    own: &RouterId,
    mut others: impl Iterator<Item = &'a RouterId>,
    suspect: Suspect,
) -> bool {
    let rank = |id: &RouterId| hash_parts(&[suspect.to_string().as_bytes(), id.as_bytes()]);
    let own = rank(own);
    others.all(|other| rank(other) < own)
}
