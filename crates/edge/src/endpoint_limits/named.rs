//! The limits that endpoints have named, as far as this router knows them.

use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::Aged;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a limit that no answer names any more is forgotten. An endpoint that gets no
/// requests cannot say that its limit has ended.
const VALIDITY: Duration = Duration::from_secs(60);

/// Time after which a router that hears a limit again tells the others, unless another router did. It reaches
/// routers that did not run or were cut off when the limit was named first.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// What an answer says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// The endpoint takes this many requests per second from all routers together.
    PerSecond(f64),
    /// The limit cannot be parsed.
    Malformed,
}

/// What the newest answer of an endpoint said.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// Boot id of the start that sent the answer.
    pub boot: String,
    /// Requests per second; `None` if the answer named no limit any more.
    pub per_second: Option<f64>,
    /// When the answer was received.
    pub at: Duration,
}

/// The limit of an endpoint as routers tell it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Boot id of the start that sent the answer.
    pub boot: String,
    /// Requests per second; `None` if the limit has ended.
    pub per_second: Option<f64>,
}

/// How the limit of an endpoint changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The endpoint named a limit, or a different one than before.
    Named,
    /// It has no limit any more.
    Ended,
}

/// The newest limits of endpoints. Without I/O; a limit holds for one start of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct NamedLimits {
    limits: BTreeMap<EndpointId, NamedLimit>,
    /// When this router or another one last told the others.
    told: BTreeMap<EndpointId, Duration>,
}

impl NamedLimits {
    /// Creates a table without limits.
    pub fn new() -> NamedLimits {
        NamedLimits::default()
    }

    /// Records what an answer said. One that is older than the newest known is ignored, and so is one
    /// without a limit from an endpoint that had none.
    pub fn record(&mut self, id: &str, limit: NamedLimit) -> Option<LimitChange> {
        let known = self.limits.get(id);
        if known.is_some_and(|known| limit.at < known.at) {
            return None;
        }
        let before = known
            .filter(|known| known.boot == limit.boot)
            .and_then(|known| known.per_second);
        if known.is_none() && limit.per_second.is_none() {
            return None;
        }
        let after = limit.per_second;
        self.limits.insert(id.to_string(), limit);
        match (before, after) {
            (before, Some(_)) if before != after => Some(LimitChange::Named),
            (Some(_), None) => Some(LimitChange::Ended),
            _ => None,
        }
    }

    /// Whether an endpoint has a limit, or had one of late.
    pub fn is_known(&self, id: &str) -> bool {
        self.limits.contains_key(id)
    }

    /// The limit of a start of an endpoint in requests per second, if it has one.
    pub fn per_second(&self, id: &str, boot: &str) -> Option<f64> {
        let limit = self.limits.get(id)?;
        limit.per_second.filter(|_| limit.boot == boot)
    }

    /// Records that a router told the others of the limit of an endpoint.
    pub fn note_told(&mut self, id: &str, now: Duration) {
        self.told.insert(id.to_string(), now);
    }

    /// Whether the others are to be told again of the limit of an endpoint.
    pub fn is_repeat_due(&self, id: &str, now: Duration) -> bool {
        let is_limited = || {
            let limit = self.limits.get(id);
            limit.is_some_and(|limit| limit.per_second.is_some())
        };
        let told = self.told.get(id);
        told.is_some_and(|told| now >= *told + REPEAT_INTERVAL) && is_limited()
    }

    /// The limits in force, in the order of the endpoints' ids.
    pub fn in_force(&self) -> impl Iterator<Item = (&EndpointId, &NamedLimit)> {
        let limits = self.limits.iter();
        limits.filter(|(_, limit)| limit.per_second.is_some())
    }

    /// The limits in force, for another router.
    pub fn reports(&self, now: Duration) -> Vec<Aged<LimitReport>> {
        let reports = self.in_force().map(|(id, limit)| {
            let report = LimitReport {
                endpoint: id.clone(),
                boot: limit.boot.clone(),
                per_second: limit.per_second,
            };
            Aged::new(report, now.saturating_sub(limit.at))
        });
        reports.collect()
    }

    /// Removes what was named too long ago. Returns the endpoints whose limit is forgotten.
    pub fn expire(&mut self, now: Duration) -> Vec<EndpointId> {
        let old = |limit: &NamedLimit| now >= limit.at + VALIDITY;
        let forgotten = self.in_force().filter(|(_, limit)| old(limit));
        let forgotten = forgotten.map(|(id, _)| id.clone()).collect();
        self.limits.retain(|_, limit| !old(limit));
        let limits = &self.limits;
        self.told.retain(|id, _| limits.contains_key(id));
        forgotten
    }

    /// Number of endpoints with a limit.
    pub fn len(&self) -> usize {
        self.in_force().count()
    }

    /// Whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.in_force().next().is_none()
    }
}
