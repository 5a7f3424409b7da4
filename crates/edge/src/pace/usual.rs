//! Usual times of a service. Times are compared with the median of the endpoints that this router sampled
//! last, so that neither a busy hour nor a router with a slow link makes one endpoint look slow.

use crate::load_reports::ReportKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// Endpoints whose last times make the median. A router sends about six requests a second, so that it
/// follows a change of all endpoints within three seconds.
const ENDPOINTS: usize = 16;
/// Fewest endpoints with which one of them can be compared.
pub(super) const MIN_ENDPOINTS: usize = 3;
/// Time for which the last time of an endpoint counts.
const MAX_AGE: Duration = Duration::from_secs(20);

/// The last time of each endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualTimes {
    times: BTreeMap<ReportKey, (Duration, Duration)>,
}

impl UsualTimes {
    /// Records a time. Returns how many times the usual one it is, if that is known.
    pub(super) fn compare(&mut self, key: ReportKey, time: Duration, now: Duration) -> Option<f64> {
        self.times.insert(key, (now, time));
        if self.times.len() > ENDPOINTS {
            let oldest = self.times.iter().min_by_key(|(_, (at, _))| *at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.times.remove(&oldest);
            }
        }
        let usual = self.usual(now)?;
        Some(time.as_secs_f64() / usual.as_secs_f64())
    }

    /// The usual time; `None` if too few endpoints were sampled of late.
    pub(super) fn usual(&self, now: Duration) -> Option<Duration> {
        let recent = self.times.values();
        let recent = recent.filter(|(at, _)| now < *at + MAX_AGE);
        let times: Vec<f64> = recent.map(|(_, time)| time.as_secs_f64()).collect();
        let usual = usual_of(times)?;
        (usual > 0.0).then(|| Duration::from_secs_f64(usual))
    }

    /// Drops endpoints that were not sampled of late.
    pub(super) fn expire(&mut self, now: Duration) {
        self.times.retain(|_, (at, _)| now < *at + MAX_AGE);
    }
}

/// The usual one of the values of endpoints: their median, or their lower quartile if that is less than
/// half of it. Then most endpoints are slow, and the others show what is usual.
pub(super) fn usual_of(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < MIN_ENDPOINTS {
        return None;
    }
    let (middle, first) = ((values.len() - 1) / 2, (values.len() - 1) / 4);
    let (lower, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let median = *median;
    let quartile = match first < middle {
        true => *lower.select_nth_unstable_by(first, f64::total_cmp).1,
        false => median,
    };
    Some(if quartile * 2.0 < median {
        quartile
    } else {
        median
    })
}
