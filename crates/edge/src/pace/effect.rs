//! When the pace of an endpoint takes effect, and which changes of that are logged. A machine may be slow
//! for less than a second several times a minute, which must not flood the log.

use super::estimate::Estimate;
use super::usual::usual_of;
use crate::load_reports::ReportKey;
use sequoiaridge_core::{EndpointId, id_key};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pace from which an endpoint is treated as slow. Smoothed samples of an even fleet stay below it.
pub const EFFECTIVE_PACE: f64 = 1.5;
/// Interval between comparisons of a service's endpoints.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an endpoint must be slow, or no longer slow, before that is logged.
const LOG_AFTER: Duration = Duration::from_secs(1);

/// An endpoint whose pace has taken effect, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The endpoint.
    pub id: EndpointId,
    /// Its pace now; 1 if it no longer takes effect.
    pub pace: f64,
}

/// Whether an endpoint is slow, and whether the log says so.
#[derive(Clone, Debug)]
struct Slowness {
    is_slow: bool,
    since: Duration,
    is_logged: bool,
}

/// Comparison of the endpoints of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Effects {
    refreshed: Option<Duration>,
    usual: Option<f64>,
    endpoints: BTreeMap<EndpointId, Slowness>,
}

/// A pace as others use it: 1 unless it takes effect.
pub(super) fn effective(pace: f64) -> f64 {
    if pace >= EFFECTIVE_PACE { pace } else { 1.0 }
}

impl Effects {
    /// The usual estimate of the service's endpoints.
    pub(super) fn usual(&self) -> f64 {
        self.usual.unwrap_or(1.0)
    }

    /// Number of slow endpoints.
    pub(super) fn slow_count(&self) -> usize {
        self.endpoints.values().filter(|e| e.is_slow).count()
    }

    /// Compares the endpoints, and returns the changes to log.
    pub(super) fn refresh<'a>(
        &mut self,
        ids: impl Iterator<Item = &'a str>,
        estimates: &BTreeMap<ReportKey, Estimate>,
        now: Duration,
    ) -> Vec<PaceChange> {
        if self.refreshed.is_some_and(|at| now < at + REFRESH_INTERVAL) {
            return Vec::new();
        }
        self.refreshed = Some(now);
        let known = ids.map(|id| (id, estimates.get(&id_key(id))));
        let known: Vec<(&str, Option<&Estimate>)> = known.collect();
        let paces = known.iter();
        let paces = paces.map(|(_, estimate)| estimate.map_or(1.0, |e| e.pace(now)));
        // Endpoints that are faster than usual do not make the others slow.
        self.usual = usual_of(paces.collect()).map(|usual| usual.max(1.0));
        let usual = self.usual();
        let mut changes = Vec::new();
        let mut endpoints = BTreeMap::new();
        for (id, estimate) in known {
            let pace = estimate.map_or(1.0, |estimate| estimate.compared(usual, now));
            let is_slow = pace >= EFFECTIVE_PACE;
            let mut slowness = match self.endpoints.remove(id) {
                Some(slowness) => slowness,
                None if is_slow => Slowness {
                    is_slow: false,
                    since: now,
                    is_logged: false,
                },
                None => continue,
            };
            if slowness.is_slow != is_slow {
                slowness.is_slow = is_slow;
                slowness.since = now;
            }
            if slowness.is_logged != is_slow && now >= slowness.since + LOG_AFTER {
                slowness.is_logged = is_slow;
                changes.push(PaceChange {
                    id: id.to_string(),
                    pace: effective(pace),
                });
            }
            if is_slow || slowness.is_logged {
                endpoints.insert(id.to_string(), slowness);
            }
        }
        self.endpoints = endpoints;
        changes
    }
}
