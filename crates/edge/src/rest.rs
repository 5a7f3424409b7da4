//! Rests: endpoints that asked this router to send them nothing for a while.
//!
//! An endpoint that rejects a request may say for how long it wants no requests from the router
//! that sent it. It asks each router separately. See docs/platform.md.

use rand::{Rng, RngExt};
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest rest that is granted. After it, an endpoint that asked for more gets a request again, so
/// that its mistake does not take it out of service for the day.
const MAX_REST: Duration = Duration::from_secs(300);
/// Largest jitter, as a share of the rest, drawn anew for each rest and added to it: routers that
/// were asked together do not return together.
const JITTER: f64 = 0.1;

/// What an endpoint asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestRequest {
    /// The router must send nothing for this time.
    For(Duration),
    /// The request cannot be parsed.
    Malformed,
}

/// How a request for a rest was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestOutcome {
    /// The endpoint rests until this time.
    Until(Duration),
    /// The endpoint rests until this time, which is earlier than it asked for.
    Shortened(Duration),
    /// The request was malformed.
    Ignored,
}

/// Endpoints that rest, with the end of each rest.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    until: BTreeMap<EndpointId, Duration>,
}

impl Rests {
    /// Creates a table in which no endpoint rests.
    pub fn new() -> Rests {
        Rests::default()
    }

    /// Handles a request for a rest. A rest that already lasts longer stays as it is.
    pub fn request(
        &mut self,
        id: &str,
        request: RestRequest,
        now: Duration,
        rng: &mut dyn Rng,
    ) -> RestOutcome {
        let RestRequest::For(duration) = request else {
            return RestOutcome::Ignored;
        };
        let granted = duration.min(MAX_REST);
        let until = now + granted.mul_f64(1.0 + JITTER * rng.random_range(0.0..1.0));
        let known = self.until.entry(id.to_string()).or_default();
        *known = until.max(*known);
        if granted < duration {
            RestOutcome::Shortened(*known)
        } else {
            RestOutcome::Until(*known)
        }
    }

    /// The end of an endpoint's rest, if it rests.
    pub fn until(&self, id: &str, now: Duration) -> Option<Duration> {
        let until = self.until.get(id).copied();
        until.filter(|until| now < *until)
    }

    /// The ends of the rests, of which some may have passed.
    pub(crate) fn ends(&self) -> &BTreeMap<EndpointId, Duration> {
        &self.until
    }

    /// Removes and returns the endpoints whose rest has ended.
    pub fn expire(&mut self, now: Duration) -> Vec<EndpointId> {
        let ended = self.until.iter().filter(|(_, until)| now >= **until);
        let ended: Vec<EndpointId> = ended.map(|(id, _)| id.clone()).collect();
        for id in &ended {
            self.until.remove(id);
        }
        ended
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
