//! Health of one endpoint in the view of its owner.

use crate::flap::FlapDamper;
use std::time::Duration;

/// Time after which a probe without an answer no longer holds up the next one. The client's own
/// time limit is shorter.
const PROBE_LOST: Duration = Duration::from_secs(5);

/// Settings of [`EndpointHealth`]. The defaults are those of section 4.5 of the design.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Time between two probes. Default: 1 s.
    pub probe_every: Duration,
    /// Failures in a row after which the endpoint is down. Default: 2.
    pub failures: u32,
    /// Changes of state that are allowed within the window. Default: 3.
    pub flap_changes: usize,
    /// Window in which changes are counted. Default: 60 s.
    pub flap_window: Duration,
    /// Time for which a flapping endpoint must be up before it counts as up. Default: 10 s.
    pub hold: Duration,
    /// Longest hold time. Default: 120 s.
    pub hold_limit: Duration,
}

impl Default for HealthConfig {
    fn default() -> HealthConfig {
        HealthConfig {
            probe_every: Duration::from_secs(1),
            failures: 2,
            flap_changes: 3,
            flap_window: Duration::from_secs(60),
            hold: Duration::from_secs(10),
            hold_limit: Duration::from_secs(120),
        }
    }
}

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It was not probed yet.
    Unknown,
    /// It takes work.
    Up,
    /// It finishes its work and goes away.
    Leaving,
    /// It takes no work.
    Down,
    /// It answers, but changed state too often and counts as down.
    Damped {
        /// When it counts as up, if it stays up.
        until: Duration,
    },
}

/// What an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Identifies the endpoint's process.
    pub boot: u64,
    /// It goes away and takes no new work.
    pub leaving: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it can run at the same time.
    pub capacity: u32,
}

/// A change in the health of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// The endpoint takes work.
    Up,
    /// The endpoint leaves.
    Leaving,
    /// The endpoint is down.
    Down,
    /// The endpoint changes state too often.
    Damped,
    /// The endpoint's process was replaced; what ran on the old one is lost.
    Restarted {
        /// Boot of the old process.
        old: u64,
        /// Boot of the new process.
        new: u64,
    },
}

/// What the probes alone say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answering {
    Unknown,
    /// Since the given time.
    Yes(Duration),
    No,
}

/// Judges one endpoint by its probes and the platform's list.
#[derive(Debug)]
pub struct EndpointHealth {
    config: HealthConfig,
    answering: Answering,
    report: Option<EndpointReport>,
    listed_leaving: bool,
    failures: u32,
    next_probe: Duration,
    /// When the probe in flight was sent.
    asked: Option<Duration>,
    /// When the last successful probe was sent. Its answer says nothing about the time after.
    confirmed: Option<Duration>,
    damper: FlapDamper,
    noted: HealthState,
    events: Vec<HealthEvent>,
}

impl EndpointHealth {
    /// Creates the health of an endpoint that was not probed yet.
    pub fn new(config: HealthConfig) -> EndpointHealth {
        EndpointHealth {
            config,
            answering: Answering::Unknown,
            report: None,
            listed_leaving: false,
            failures: 0,
            next_probe: Duration::ZERO,
            asked: None,
            confirmed: None,
            damper: FlapDamper::default(),
            noted: HealthState::Unknown,
            events: Vec::new(),
        }
    }

    /// Whether to send a probe now. After `true`, the caller reports the result by
    /// [`EndpointHealth::probe_ok`] or [`EndpointHealth::probe_failed`]; until then no other probe
    /// is due.
    pub fn probe_due(&mut self, now: Duration) -> bool {
        let waiting = self
            .asked
            .is_some_and(|at| now.saturating_sub(at) < PROBE_LOST);
        if waiting || now < self.next_probe {
            return false;
        }
        self.asked = Some(now);
        self.next_probe = now + self.config.probe_every;
        true
    }

    /// Takes in the answer to a probe.
    pub fn probe_ok(&mut self, report: EndpointReport, now: Duration) {
        self.confirmed = Some(self.asked.take().unwrap_or(now));
        self.failures = 0;
        let old = self.report.replace(report).map(|report| report.boot);
        let restarted = old.filter(|boot| *boot != report.boot);
        if let Some(old) = restarted {
            let new = report.boot;
            self.events.push(HealthEvent::Restarted { old, new });
        }
        match self.answering {
            Answering::Unknown => self.answering = Answering::Yes(now),
            Answering::No => self.change(Answering::Yes(now), now),
            Answering::Yes(_) if restarted.is_some() => {
                // The probes missed that the endpoint was down between two answers.
                self.change(Answering::No, now);
                self.change(Answering::Yes(now), now);
            }
            Answering::Yes(_) => {}
        }
        self.note(now);
    }

    /// Takes in the failure of a probe; `connect` says that no connection could be opened.
    pub fn probe_failed(&mut self, now: Duration, connect: bool) {
        self.asked = None;
        self.failures = self.failures.saturating_add(1);
        if connect || self.failures >= self.config.failures {
            match self.answering {
                Answering::Unknown => self.answering = Answering::No,
                Answering::Yes(_) => self.change(Answering::No, now),
                Answering::No => {}
            }
        }
        self.note(now);
    }

    /// Takes in whether the platform's list has the endpoint as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool, now: Duration) {
        self.listed_leaving = leaving;
        self.note(now);
    }

    /// State of the endpoint.
    pub fn state(&self, now: Duration) -> HealthState {
        let Answering::Yes(since) = self.answering else {
            return match self.answering {
                Answering::Unknown => HealthState::Unknown,
                _ => HealthState::Down,
            };
        };
        if self.listed_leaving || self.report.is_some_and(|report| report.leaving) {
            return HealthState::Leaving;
        }
        match self.damper.until(since) {
            Some(until) if now < until => HealthState::Damped { until },
            _ => HealthState::Up,
        }
    }

    /// Whether new work may be sent: the endpoint is up, and the last successful probe was sent at
    /// most `leave_bound` ago. An endpoint that began to leave since then thus gets no new work
    /// after that time, even if the list lags and probes fail.
    pub fn admissible(&self, now: Duration, leave_bound: Duration) -> bool {
        let confirmed = self.confirmed;
        self.state(now) == HealthState::Up
            && confirmed.is_some_and(|at| now.saturating_sub(at) <= leave_bound)
    }

    /// The last report of the endpoint.
    pub fn report(&self) -> Option<EndpointReport> {
        self.report
    }

    /// Changes since the last call.
    pub fn events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }

    fn change(&mut self, answering: Answering, now: Duration) {
        // A hold that was served in full is over before the new change counts.
        if let Answering::Yes(since) = self.answering
            && self.damper.until(since).is_some_and(|until| now >= until)
        {
            self.damper.release();
        }
        self.answering = answering;
        if self.damper.change(&self.config, now) {
            self.events.push(HealthEvent::Damped);
        }
    }

    fn note(&mut self, now: Duration) {
        let state = self.state(now);
        let event = match state {
            _ if state == self.noted => None,
            HealthState::Up => Some(HealthEvent::Up),
            HealthState::Leaving => Some(HealthEvent::Leaving),
            HealthState::Down => Some(HealthEvent::Down),
            HealthState::Unknown | HealthState::Damped { .. } => None,
        };
        self.noted = state;
        self.events.extend(event);
    }
}
