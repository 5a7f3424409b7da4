//! What an owner knows about one endpoint.

use crate::OwnerConfig;
use sequoiaridge_core::{EndpointId, ModelName, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Load that only the engine reports counts beyond the settling time if it is more than one in this
/// many of the known requests.
const FOREIGN_PARTS: u32 = 4;

/// State of an endpoint after flap damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Takes new work.
    Up,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Does not answer.
    Down,
}

/// Description of an endpoint for an [`Owner`](crate::Owner).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Slots that the endpoint itself reports.
    pub capacity: u32,
    /// Models that an engine serves, or the name of a service.
    pub groups: Vec<ModelName>,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Whether this router owns the endpoint.
    pub owned: bool,
    /// Time at which the endpoint joined; `None` if it was there before this router.
    pub joined: Option<Duration>,
}

/// Part of an endpoint in the sums of its groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Part {
    pub(crate) work: u64,
    pub(crate) capacity: u64,
    // Work that this router admitted, and the capacity if it owns the endpoint.
    pub(crate) admitted: u64,
    pub(crate) own_capacity: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    // Calls that this router admitted and that have not finished.
    pub(crate) outstanding: u32,
    // Set when the endpoint is forgotten while calls are outstanding.
    pub(crate) removed: bool,
    // Part that is included in the sums of the groups now.
    pub(crate) part: Part,
    owned_since: Duration,
    last_probe: Option<Duration>,
    // Running requests at the last probe beyond the counts known at that time.
    foreign: u32,
    // Counts of other routers that admit to the endpoint.
    pub(crate) reports: BTreeMap<RouterId, u32>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo, now: Duration) -> Endpoint {
        Endpoint {
            info,
            outstanding: 0,
            removed: false,
            part: Part::default(),
            owned_since: now,
            last_probe: None,
            foreign: 0,
            reports: BTreeMap::new(),
        }
    }

    pub(crate) fn replace(&mut self, info: EndpointInfo, now: Duration) {
        if info.owned && !self.info.owned {
            self.owned_since = now;
            // A probe from an earlier time as owner says nothing about the state now.
            self.last_probe = None;
            self.foreign = 0;
        }
        self.info = info;
        self.removed = false;
    }

    pub(crate) fn record_report(&mut self, router: &str, count: u32) {
        if count == 0 {
            self.reports.remove(router);
        } else {
            self.reports.insert(router.to_string(), count);
        }
    }

    pub(crate) fn record_probe(&mut self, running: u32, now: Duration) {
        self.last_probe = Some(now);
        self.foreign = running.saturating_sub(self.known());
    }

    /// Requests that routers have outstanding here.
    fn known(&self) -> u32 {
        let reported = self.reports.values().copied();
        reported.fold(self.outstanding, u32::saturating_add)
    }

    /// Requests that count against the bound.
    pub(crate) fn count(&self, now: Duration, config: &OwnerConfig) -> u32 {
        let settling = self.info.owned && now < self.owned_since + config.settle;
        // Load that only the engine knows of, and that is too much for a lagging report, means that
        // another router admits here unheard; it counts for as long as that lasts.
        let unheard = self.info.owned && self.foreign.saturating_mul(FOREIGN_PARTS) > self.known();
        let foreign = if settling || unheard { self.foreign } else { 0 };
        self.known().saturating_add(foreign)
    }

    /// Whether the endpoint is in a state to take new work, as far as this router can know.
    pub(crate) fn is_open(&self, now: Duration, config: &OwnerConfig) -> bool {
        let probe = self.last_probe;
        let fresh = probe.is_some_and(|at| now.saturating_sub(at) <= config.leave_bound);
        self.info.state == EndpointState::Up
            && self.info.capacity > 0
            && (fresh || !self.info.owned)
    }

    /// Part in the group sums. Endpoints that take no new work are left out, because their free
    /// slots would lower the mean that the open endpoints have to keep.
    pub(crate) fn current_part(&self, now: Duration, config: &OwnerConfig) -> Part {
        if !self.is_open(now, config) {
            return Part::default();
        }
        Part {
            work: self.count(now, config).into(),
            capacity: self.info.capacity.into(),
            admitted: self.outstanding.into(),
            own_capacity: if self.info.owned {
                self.info.capacity.into()
            } else {
                0
            },
        }
    }

    /// Next time at which the endpoint's part changes although nothing is heard about it.
    pub(crate) fn next_change(&self, now: Duration, config: &OwnerConfig) -> Option<Duration> {
        if !self.info.owned {
            return None;
        }
        // A probe that is exactly `leave_bound` old still counts.
        let stale = self.last_probe? + config.leave_bound + Duration::from_nanos(1);
        let settled = self.owned_since + config.settle;
        [stale, settled].into_iter().filter(|at| *at > now).min()
    }

    /// Whether the endpoint joined within the lookback time.
    pub(crate) fn is_recent(&self, now: Duration, config: &OwnerConfig) -> bool {
        (self.info.joined).is_some_and(|joined| now < joined + config.lookback)
    }

    /// Whether this router owns the endpoint for less than the lookback time.
    pub(crate) fn is_index_new(&self, now: Duration, config: &OwnerConfig) -> bool {
        now < self.owned_since + config.lookback
    }
}
