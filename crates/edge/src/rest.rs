//! Endpoints that asked this router to leave them alone for a while.
//!
//! An endpoint that turns a request away may say for how long it wants nothing from the router that sent
//! it. Every router is asked for itself. See docs/platform.md.

use rand::{Rng, RngExt};
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest rest that is granted: an endpoint that asks for more is asked again after that, so that a
/// mistake does not lose it for the day.
const LONGEST: Duration = Duration::from_secs(300);
/// Part of a rest that is added to it at most, drawn anew for each: routers that were asked together do not
/// come back together.
const SPREAD: f64 = 0.1;

/// What an endpoint asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestAsked {
    /// Nothing is to be sent to it for this time.
    For(Duration),
    /// What it says cannot be read.
    Malformed,
}

/// What follows from what an endpoint asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestGranted {
    /// The endpoint is left alone until then.
    Until(Duration),
    /// As before, but not for as long as it asked.
    Shortened(Duration),
    /// What it asked for has no meaning.
    Ignored,
}

/// Endpoints that are left alone, with the end of their rest.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    until: BTreeMap<EndpointId, Duration>,
}

impl Rests {
    /// Creates a table in which no endpoint rests.
    pub fn new() -> Rests {
        Rests::default()
    }

    /// Takes over what an endpoint asks for.
    pub fn ask(
        &mut self,
        id: &str,
        asked: RestAsked,
        now: Duration,
        rng: &mut dyn Rng,
    ) -> RestGranted {
        let RestAsked::For(time) = asked else {
            return RestGranted::Ignored;
        };
        let granted = time.min(LONGEST);
        let until = now + granted.mul_f64(1.0 + SPREAD * rng.random_range(0.0..1.0));
        let known = self.until.entry(id.to_string()).or_default();
        *known = until.max(*known);
        if granted < time {
            RestGranted::Shortened(*known)
        } else {
            RestGranted::Until(*known)
        }
    }

    /// End of an endpoint's rest, if it rests.
    pub fn until(&self, id: &str, now: Duration) -> Option<Duration> {
        let until = self.until.get(id).copied();
        until.filter(|until| now < *until)
    }

    /// Endpoints whose rest has ended.
    pub fn expire(&mut self, now: Duration) -> Vec<EndpointId> {
        let over = self.until.iter().filter(|(_, until)| now >= **until);
        let over: Vec<EndpointId> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.until.remove(id);
        }
        over
    }

    /// Number of endpoints that rest, as of the last [`expire`](Self::expire).
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether no endpoint rests.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
