//! When the pace of an endpoint takes effect, and which changes of that are logged. A machine may be slow
//! for less than a second several times a minute, which must not flood the log.

use super::estimates::Estimates;
use super::usual::{MIN_ENDPOINTS, usual_of};
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

/// The usual pace of a service's endpoints, at least 1; `None` if there are too few of them.
fn usual_pace(listed: &[(&str, ReportKey)], estimates: &Estimates, now: Duration) -> Option<f64> {
    if listed.len() < MIN_ENDPOINTS {
        return None;
    }
    let known = listed.iter().filter_map(|(_, key)| estimates.get(*key));
    let mut least: f64 = 1.0;
    let mut above = Vec::new();
    for estimate in known {
        if estimate.last() > 1.0 {
            above.push(estimate.pace(now));
        } else {
            least = least.min(estimate.last());
        }
    }
    let others = listed.len() - above.len();
    let middle = (listed.len() - 1) / 2;
    if middle < others {
        return Some(1.0);
    }
    let (_, median, _) = above.select_nth_unstable_by(middle - others, f64::total_cmp);
    // Estimates below 1 rise until they change, so none is less than half of the median.
    if least * 2.0 >= *median {
        return Some(*median);
    }
    let known = listed.iter().map(|(_, key)| estimates.get(*key));
    let paces = known.map(|estimate| estimate.map_or(1.0, |e| e.pace(now)));
    usual_of(paces.collect()).map(|usual| usual.max(1.0))
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
        mut listed: impl Iterator<Item = (&'a str, ReportKey)>,
        estimates: &Estimates,
        now: Duration,
    ) -> Vec<PaceChange> {
        if self.refreshed.is_some_and(|at| now < at + REFRESH_INTERVAL) {
            return Vec::new();
        }
        self.refreshed = Some(now);
        // Endpoints that are faster than usual do not make the others slow. So the usual pace is 1 unless half of
        // the endpoints are above it, and then often none needs to be looked up.
        let majority = 2 * estimates.above_usual() + 1;
        let mut known: Vec<_> = listed.by_ref().take(majority).collect();
        let is_one = known.len() == majority;
        if is_one && estimates.is_even() && self.endpoints.is_empty() {
            self.usual = Some(1.0);
            return Vec::new();
        }
        known.extend(listed);
        self.usual = if is_one {
            Some(1.0)
        } else {
            usual_pace(&known, estimates, now)
        };
        self.compare(&known, estimates, now)
    }

    /// Finds out which endpoints are slow, and returns the changes to log.
    fn compare(
        &mut self,
        listed: &[(&str, ReportKey)],
        estimates: &Estimates,
        now: Duration,
    ) -> Vec<PaceChange> {
        let usual = self.usual();
        let mut changes = Vec::new();
        let mut before = std::mem::take(&mut self.endpoints);
        let raised = estimates.all_raised().map(|(key, _)| key);
        let mut compared: Vec<ReportKey> = raised.collect();
        compared.extend(before.keys().map(|id| id_key(id)));
        compared.sort_unstable();
        for (id, key) in listed {
            if compared.binary_search(key).is_err() {
                continue;
            }
            let pace = estimates.raised(*key);
            let pace = pace.map_or(1.0, |estimate| estimate.compared(usual, now));
            let is_slow = pace >= EFFECTIVE_PACE;
            let mut slowness = match before.remove(*id) {
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
                self.endpoints.insert(id.to_string(), slowness);
            }
        }
        changes
    }
}
