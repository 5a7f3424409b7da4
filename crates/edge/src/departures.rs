//! Endpoints that are leaving or have left, and what was lost at them since.

use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most endpoints that are remembered.
const MAX_ENDPOINTS: usize = 4096;
/// Time for which an endpoint is remembered: longer than an answer may take.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);
/// Time within which losses at one endpoint count as one event.
const LOSS_WINDOW: Duration = Duration::from_millis(250);
/// Time for which a crash counts, so that an answer whose caller reads slowly is judged by it. A
/// router that was cut off may have reported the crash of an endpoint that still runs.
const CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Most starts that are remembered of one endpoint.
const MAX_STARTS: usize = 8;

/// A start of an endpoint that leaves or has left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Last time at which the start was known to stay; `None` if that is not known.
    stayed_until: Option<Duration>,
    noted_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Leaver {
    /// Starts by boot id, which is empty if it is not known.
    starts: BTreeMap<String, Departure>,
    lost_at: Option<Duration>,
    /// Boot id and time of the last crash.
    crash: Option<(String, Duration)>,
}

impl Leaver {
    /// When the last of the starts was recorded.
    fn noted_at(&self) -> Duration {
        let noted = self.starts.values().map(|start| start.noted_at);
        noted.max().unwrap_or_default()
    }
}

/// The start on which a run ran that was sent by the row of `boot`, if `other` is another known start of the
/// endpoint: a later one took the place of the one in an old row, but an earlier one comes from a copy of the registry.
pub fn start_of_run<'a>(boot: &'a str, other: &'a str) -> &'a str {
    if born(boot) < born(other) {
        other
    } else {
        boot
    }
}

/// The time at which a start began, as its boot id says; `None` if it is not known.
fn born(boot: &str) -> Option<u64> {
    boot.parse().ok()
}

/// Endpoints that leave, from the moment at which this router knows of it until some time after
/// their rows are gone. Each start is kept apart: a registry that came back from a copy may list an
/// earlier start while the last answers of a later one still arrive.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    endpoints: BTreeMap<EndpointId, Leaver>,
}

impl Departures {
    /// Creates a table in which no endpoint leaves.
    pub fn new() -> Departures {
        Departures::default()
    }

    /// Records that an endpoint with a boot id is leaving or has left, and when it was last known to
    /// stay, if that is known. The first record of a start counts: the row of a leaving endpoint is
    /// removed later, and a copy of the registry may list it as it was before.
    pub fn record(&mut self, id: &str, boot: &str, stayed_until: Option<Duration>, now: Duration) {
        let known = self.endpoints.get(id);
        if known.is_some_and(|left| boot.is_empty() || left.starts.contains_key(boot)) {
            return;
        }
        if known.is_none() && self.endpoints.len() >= MAX_ENDPOINTS {
            let oldest = self
                .endpoints
                .iter()
                .min_by_key(|(_, left)| left.noted_at());
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.endpoints.remove(&id));
        }
        let starts = &mut self.endpoints.entry(id.to_string()).or_default().starts;
        if starts.len() >= MAX_STARTS {
            let oldest = starts.iter().min_by_key(|(_, start)| start.noted_at);
            let oldest = oldest.map(|(boot, _)| boot.clone());
            oldest.and_then(|boot| starts.remove(&boot));
        }
        let departure = Departure {
            stayed_until,
            noted_at: now,
        };
        starts.insert(boot.to_string(), departure);
    }

    /// Records that a start with a boot id is leaving that the registry lists in place of one that was leaving as
    /// well. It was never listed as staying, so it may have left as early as the one before. See "Streams that
    /// break off" in docs/platform.md.
    pub fn record_next(&mut self, id: &str, boot: &str, now: Duration) {
        let starts = self.endpoints.get(id).map(|left| left.starts.values());
        let before = starts.and_then(|starts| starts.max_by_key(|start| start.noted_at));
        self.record(id, boot, before.and_then(|start| start.stayed_until), now);
    }

    /// Records that a run at an endpoint was lost.
    pub fn record_loss(&mut self, id: &str, now: Duration) {
        if let Some(departure) = self.endpoints.get_mut(id) {
            departure.lost_at = Some(now);
        }
    }

    /// Records that an endpoint crashed under a boot id, as lost runs show.
    pub fn record_crash(&mut self, id: &str, boot: &str, at: Duration) {
        if let Some(departure) = self.endpoints.get_mut(id) {
            let before = departure.crash.as_ref().map(|(_, at)| *at);
            if before.is_none_or(|before| before < at) {
                departure.crash = Some((boot.to_string(), at));
            }
        }
    }

    /// Upper bound of the time since an endpoint with a boot id started to leave; `None` if it is not
    /// known to leave. [`Duration::MAX`] if nothing bounds the time.
    pub fn left_for(&self, id: &str, boot: &str, now: Duration) -> Option<Duration> {
        let stayed_until = self.endpoints.get(id)?.starts.get(boot)?.stayed_until;
        Some(stayed_until.map_or(Duration::MAX, |until| now.saturating_sub(until)))
    }

    /// Boot id of the last start of an endpoint that is known to leave or to have left; empty if there is none. A
    /// copy of the registry may list an earlier one again.
    pub fn last_start(&self, id: &str) -> &str {
        let starts = self.endpoints.get(id).map(|left| left.starts.keys());
        let last = starts.and_then(|starts| starts.max_by_key(|boot| born(boot)));
        last.map(String::as_str).unwrap_or_default()
    }

    /// Whether a run at an endpoint was lost a moment ago.
    pub fn has_loss(&self, id: &str, now: Duration) -> bool {
        let lost_at = self.endpoints.get(id).and_then(|left| left.lost_at);
        lost_at.is_some_and(|at| now < at + LOSS_WINDOW)
    }

    /// Whether an endpoint crashed under a boot id a short time ago.
    pub fn has_crash(&self, id: &str, boot: &str, now: Duration) -> bool {
        let crash = self.endpoints.get(id).and_then(|left| left.crash.as_ref());
        crash.is_some_and(|(crashed, at)| crashed == boot && now < *at + CRASH_WINDOW)
    }

    /// Forgets endpoints that left so long ago that no answer of theirs is left.
    pub fn expire(&mut self, now: Duration) {
        self.endpoints
            .retain(|_, left| now < left.noted_at() + DEPARTURE_TTL);
    }

    /// Number of endpoints that are remembered.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is remembered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
