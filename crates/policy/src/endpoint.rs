//! State that an owner keeps about one endpoint.

use crate::OwnerConfig;
use sequoiaridge_core::{EndpointId, ModelName, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// After the settling time, load that only the engine reports counts if it exceeds the requests
/// that routers report, divided by this number.
const UNACCOUNTED_DIVISOR: u32 = 4;

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
    /// Time at which the endpoint joined; `None` if it joined before this router started.
    pub joined: Option<Duration>,
}

/// What one endpoint adds to the sums of its groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Contribution {
    pub(crate) work: u64,
    pub(crate) capacity: u64,
    // Work that this router admitted, and the capacity if it owns the endpoint.
    pub(crate) admitted: u64,
    pub(crate) owned_capacity: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    // Calls that this router admitted and that have not finished.
    pub(crate) outstanding: u32,
    // Set when the endpoint is removed while calls are outstanding.
    pub(crate) removed: bool,
    // What the sums of the groups currently include for this endpoint.
    pub(crate) contribution: Contribution,
    owned_since: Duration,
    last_probe: Option<Duration>,
    // Requests that the endpoint reported at the last probe beyond those that routers reported
    // then.
    unaccounted: u32,
    // Outstanding requests of the other routers that admit to the endpoint.
    pub(crate) reports: BTreeMap<RouterId, u32>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo, now: Duration) -> Endpoint {
        Endpoint {
            info,
            outstanding: 0,
            removed: false,
            contribution: Contribution::default(),
            owned_since: now,
            last_probe: None,
            unaccounted: 0,
            reports: BTreeMap::new(),
        }
    }

    pub(crate) fn set_info(&mut self, info: EndpointInfo, now: Duration) {
        if info.owned && !self.info.owned {
            self.owned_since = now;
            // A probe from an earlier period of ownership is stale.
            self.last_probe = None;
            self.unaccounted = 0;
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
        self.unaccounted = running.saturating_sub(self.counted());
    }

    /// Requests that all routers report as outstanding here.
    fn counted(&self) -> u32 {
        let reported = self.reports.values().copied();
        reported.fold(self.outstanding, u32::saturating_add)
    }

    /// Requests that count against the bound.
    pub(crate) fn load(&self, now: Duration, config: &OwnerConfig) -> u32 {
        let settling = self.info.owned && now < self.owned_since + config.settle;
        // More unaccounted load than a lagging report explains means that another router admits
        // here and its reports do not arrive. The load counts for as long as that lasts.
        let excessive = self.info.owned
            && self.unaccounted.saturating_mul(UNACCOUNTED_DIVISOR) > self.counted();
        let unaccounted = if settling || excessive {
            self.unaccounted
        } else {
            0
        };
        self.counted().saturating_add(unaccounted)
    }

    /// Whether the endpoint is in a state to take new work, as far as this router can know.
    pub(crate) fn is_open(&self, now: Duration, config: &OwnerConfig) -> bool {
        let probe = self.last_probe;
        let fresh = probe.is_some_and(|at| now.saturating_sub(at) <= config.leave_bound);
        self.info.state == EndpointState::Up
            && self.info.capacity > 0
            && (fresh || !self.info.owned)
    }

    /// What the endpoint adds to the group sums now. Endpoints that take no new work add nothing,
    /// because their free slots would lower the mean that the open endpoints have to keep.
    pub(crate) fn current_contribution(&self, now: Duration, config: &OwnerConfig) -> Contribution {
        if !self.is_open(now, config) {
            return Contribution::default();
        }
        Contribution {
            work: self.load(now, config).into(),
            capacity: self.info.capacity.into(),
            admitted: self.outstanding.into(),
            owned_capacity: if self.info.owned {
                self.info.capacity.into()
            } else {
                0
            },
        }
    }

    /// Next time at which the endpoint's contribution changes without a new probe or report.
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
    pub(crate) fn joined_recently(&self, now: Duration, config: &OwnerConfig) -> bool {
        (self.info.joined).is_some_and(|joined| now < joined + config.lookback)
    }

    /// Whether this router has owned the endpoint for less than the lookback time, so that its chat
    /// index may lack chats of the endpoint.
    pub(crate) fn owned_recently(&self, now: Duration, config: &OwnerConfig) -> bool {
        now < self.owned_since + config.lookback
    }
}
