//! For which services paces are learned. Deployments that do not call for it are served as before.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a service counts after its endpoints last reported a pace.
const FIGURE_TTL: Duration = Duration::from_secs(60);

/// The services whose paces are learned.
#[derive(Clone, Debug, Default)]
pub(super) struct Switch {
    all: bool,
    figures: BTreeMap<String, Duration>,
}

impl Switch {
    pub(super) fn set_all(&mut self, all: bool) {
        self.all = all;
    }

    /// Records that an endpoint of a service reported a pace.
    pub(super) fn record_figure(&mut self, service: &str, now: Duration) {
        match self.figures.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.figures.insert(service.to_string(), now);
            }
        }
    }

    pub(super) fn is_on(&self, service: &str, now: Duration) -> bool {
        let reported = self.figures.get(service);
        self.all || reported.is_some_and(|at| now < *at + FIGURE_TTL)
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.figures.retain(|_, at| now < *at + FIGURE_TTL);
    }
}
