//! Learned speed of endpoints.
//!
//! The pace of an endpoint is how many times longer work takes there than usual at its service. It is
//! learned from load reports, from the pauses between events of streams and from the times of plain
//! answers, and shared by all routers in the entries of load reports; see docs/design/pace.md.

mod effect;
mod estimate;
mod estimates;
mod sampling;
mod scale;
mod switch;
mod usual;

pub use effect::{EFFECTIVE_PACE, PaceChange};
pub use sampling::{Stall, StreamSampler};
pub use scale::PaceEntry;

use crate::call::EndpointLoad;
use crate::load_reports::ReportKey;
use effect::Effects;
use estimate::Estimate;
use estimates::Estimates;
use sequoiaridge_core::id_key;
use std::collections::BTreeMap;
use std::time::Duration;
use switch::Switch;
use usual::UsualTimes;

/// Time after which an estimate without a sample is dropped. By then even the excess of the largest pace
/// has faded below the effective pace.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Endpoints with an effective pace in a message of a small fleet.
const MAX_SLOW_PER_MESSAGE: usize = 32;

/// Times of one service that this router has seen, and how its endpoints compare.
#[derive(Clone, Debug, Default)]
struct ServicePaces {
    pauses: UsualTimes,
    answers: UsualTimes,
    effects: Effects,
}

/// Paces of the endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    switch: Switch,
    services: BTreeMap<String, ServicePaces>,
    estimates: Estimates,
}

/// Paces of the endpoints of one service at one time. What they have in common is looked up once: large
/// services have thousands of endpoints, all of which placement compares for each request.
#[derive(Clone, Copy, Debug)]
pub struct CurrentPaces<'a> {
    /// `None` if the paces of the service are not learned, or none is known.
    estimates: Option<&'a Estimates>,
    usual: f64,
    now: Duration,
}

impl CurrentPaces<'_> {
    /// The pace of an endpoint: 1 unless its pace takes effect.
    pub fn of(&self, id: &str) -> f64 {
        self.of_key(id_key(id))
    }

    /// The same by the endpoint's key.
    pub fn of_key(&self, key: ReportKey) -> f64 {
        let estimate = self.estimates.and_then(|known| known.raised(key));
        estimate.map_or(1.0, |estimate| {
            effect::effective(estimate.compared(self.usual, self.now))
        })
    }
}

impl Paces {
    /// Creates a table in which every endpoint is as fast as usual.
    pub fn new() -> Paces {
        Paces::default()
    }

    /// Sets whether the paces of all services are learned. Otherwise they are learned for services whose
    /// endpoints report how long work takes on their machines.
    pub fn learn_all(&mut self, all: bool) {
        self.switch.set_all(all);
    }

    /// Whether the paces of a service are learned and used now.
    pub fn is_on(&self, service: &str, now: Duration) -> bool {
        self.switch.is_on(service, now)
    }

    /// Records the load report of an answer, which may tell the pace itself.
    pub fn record_load(&mut self, service: &str, id: &str, load: &EndpointLoad, now: Duration) {
        if let Some(percent) = load.pace_percent {
            self.switch.record_figure(service, now);
            let pace = f64::from(percent) / 100.0;
            self.estimates
                .change(id_key(id), |estimate| estimate.record_figure(pace, now));
        }
    }

    /// Records the pause between events of a stream, whose run is told apart from others by `run`.
    pub fn record_pause(
        &mut self,
        service: &str,
        id: &str,
        run: u64,
        pause: Duration,
        now: Duration,
    ) {
        if !self.is_on(service, now) {
            return;
        }
        let times = &mut self.services.entry(service.to_string()).or_default().pauses;
        let ratio = times.compare(id_key(id), pause, now);
        if let Some(ratio) = ratio {
            self.estimates.change(id_key(id), |estimate| {
                estimate.record_pause(ratio, run, now)
            });
        }
    }

    /// Records that a stream has been without an event for `pause`, which is more than usual. The pause
    /// goes on, so it does not enter the usual one.
    pub fn record_stall(
        &mut self,
        service: &str,
        id: &str,
        run: u64,
        (pause, stall): (Duration, Stall),
        now: Duration,
    ) {
        let Some(usual) = self.usual_pause(service, now) else {
            return;
        };
        let ratio = pause.as_secs_f64() / usual.as_secs_f64();
        self.estimates.change(id_key(id), |estimate| {
            estimate.record_stall(ratio, stall, run, now);
        });
    }

    /// Records the time of a plain answer, with the load that the endpoint reported with it.
    pub fn record_answer(
        &mut self,
        service: &str,
        id: &str,
        time: Duration,
        load: Option<&EndpointLoad>,
        now: Duration,
    ) {
        if !self.is_on(service, now) {
            return;
        }
        let queued = load.map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.slots.max(1))
        });
        let time = time.div_f64(1.0 + queued);
        let service = self.services.entry(service.to_string()).or_default();
        if let Some(ratio) = service.answers.compare(id_key(id), time, now) {
            self.estimates
                .change(id_key(id), |estimate| estimate.record_answer(ratio, now));
        }
    }

    /// The usual pause between events of a service's streams; `None` if it is not known or its paces are
    /// not learned.
    pub fn usual_pause(&self, service: &str, now: Duration) -> Option<Duration> {
        let times = self.services.get(service)?;
        let usual = times.pauses.usual(now);
        usual.filter(|_| self.is_on(service, now))
    }

    /// Compares the endpoints of a service with each other, at most every 50 ms. Returns the endpoints
    /// whose pace has taken effect, or no longer does, for long enough to be logged.
    pub fn refresh<'a>(
        &mut self,
        service: &str,
        ids: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> Vec<PaceChange> {
        let endpoints = ids.map(|id| (id, id_key(id)));
        self.refresh_keyed(service, endpoints, now)
    }

    /// The same for endpoints with their keys.
    pub fn refresh_keyed<'a>(
        &mut self,
        service: &str,
        endpoints: impl Iterator<Item = (&'a str, ReportKey)>,
        now: Duration,
    ) -> Vec<PaceChange> {
        if !self.is_on(service, now) {
            self.services.remove(service);
            return Vec::new();
        }
        let service = self.services.entry(service.to_string()).or_default();
        service.effects.refresh(endpoints, &self.estimates, now)
    }

    /// Current pace of an endpoint, for placement and for the capacity of its service: 1 unless its pace
    /// takes effect.
    pub fn pace(&self, service: &str, id: &str, now: Duration) -> f64 {
        self.at(service, now).of(id)
    }

    /// The usual pace of a service's endpoints, with which estimates are compared.
    pub fn usual_pace(&self, service: &str) -> f64 {
        let service = self.services.get(service);
        service.map_or(1.0, |service| service.effects.usual())
    }

    /// The current paces of a service's endpoints, to look up many of them.
    pub fn at<'a>(&'a self, service: &str, now: Duration) -> CurrentPaces<'a> {
        let is_learned = self.is_on(service, now) && !self.estimates.is_empty();
        CurrentPaces {
            estimates: is_learned.then_some(&self.estimates),
            usual: self.usual_pace(service),
            now,
        }
    }

    /// Number of endpoints whose pace takes effect.
    pub fn slow_count(&self) -> usize {
        self.services.values().map(|s| s.effects.slow_count()).sum()
    }

    /// What the other routers are told of an endpoint's pace.
    pub(crate) fn entry(&self, key: &ReportKey, now: Duration) -> PaceEntry {
        let estimate = self.estimates.get(*key);
        estimate.map_or(PaceEntry::default(), |estimate| estimate.entry(now))
    }

    /// The endpoints whose pace takes effect, those sampled last first, for messages of a small fleet.
    pub(crate) fn slowest(&self, now: Duration) -> Vec<(ReportKey, PaceEntry)> {
        let raised = self.estimates.all_raised();
        let paces = raised.map(|(key, estimate)| (key, estimate, estimate.pace(now)));
        let mut slow: Vec<_> = paces
            .filter(|(_, _, pace)| *pace >= EFFECTIVE_PACE)
            .collect();
        slow.sort_by_key(|(_, estimate, _)| std::cmp::Reverse(estimate.at()));
        slow.truncate(MAX_SLOW_PER_MESSAGE);
        let entries = slow.into_iter();
        entries
            .map(|(key, estimate, _)| (key, estimate.entry(now)))
            .collect()
    }

    /// Merges what another router said at `at` of an endpoint's pace.
    pub(crate) fn merge(&mut self, key: ReportKey, entry: PaceEntry, at: Duration) {
        if let Some(estimate) = Estimate::received(entry, at) {
            self.estimates.change(key, |known| known.replace(estimate));
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.estimates.expire(MAX_AGE, now);
        self.switch.expire(now);
        for service in self.services.values_mut() {
            service.pauses.expire(now);
            service.answers.expire(now);
        }
    }
}
