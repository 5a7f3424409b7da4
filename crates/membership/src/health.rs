//! Health of one endpoint as its owner determines it.

use crate::flap::FlapDamper;
use std::time::Duration;

/// Time after which a probe without a result no longer delays the next one. The client's own
/// timeout is shorter.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of [`EndpointHealth`]. The defaults are those of section 4.5 of the design.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Time between two probes. Default: 1 s.
    pub probe_every: Duration,
    /// Consecutive failures after which the endpoint is down. Default: 2.
    pub failures: u32,
    /// Changes of state within the window that are allowed without damping. Default: 3.
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
    /// It finishes its work and then ends.
    Leaving,
    /// It takes no work.
    Down,
    /// It answers, but changed state too often and counts as down.
    Damped {
        /// When it counts as up, if it stays up.
        until: Duration,
    },
}

/// What an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Boot id, which identifies the endpoint's process.
    pub boot: u64,
    /// Whether it is leaving and takes no new work.
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
        /// Boot id of the old process.
        old: u64,
        /// Boot id of the new process.
        new: u64,
    },
}

/// State according to the probes alone, without leaving and damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Unknown,
    /// Since the given time.
    Reachable(Duration),
    Unreachable,
}

/// Determines the health of one endpoint from its probes and the platform's list.
#[derive(Debug)]
pub struct EndpointHealth {
    config: HealthConfig,
    reachability: Reachability,
    report: Option<EndpointReport>,
    listed_leaving: bool,
    failures: u32,
    next_probe: Duration,
    /// When the probe in flight was sent.
    probe_sent: Option<Duration>,
    /// When the last successful probe was sent. Its answer proves nothing about the time after.
    last_confirmed: Option<Duration>,
    damper: FlapDamper,
    last_state: HealthState,
    events: Vec<HealthEvent>,
}

impl EndpointHealth {
    /// Creates the state of an endpoint that was not probed yet.
    pub fn new(config: HealthConfig) -> EndpointHealth {
        EndpointHealth {
            config,
            reachability: Reachability::Unknown,
            report: None,
            listed_leaving: false,
            failures: 0,
            next_probe: Duration::ZERO,
            probe_sent: None,
            last_confirmed: None,
            damper: FlapDamper::default(),
            last_state: HealthState::Unknown,
            events: Vec::new(),
        }
    }

    /// Returns whether to send a probe now. After `true`, the caller reports the result with
    /// [`EndpointHealth::probe_ok`] or [`EndpointHealth::probe_failed`]. No other probe is due
    /// before the result, or before the probe counts as lost.
    pub fn probe_due(&mut self, now: Duration) -> bool {
        let waiting = self
            .probe_sent
            .is_some_and(|at| now.saturating_sub(at) < PROBE_TIMEOUT);
        if waiting || now < self.next_probe {
            return false;
        }
        self.probe_sent = Some(now);
        self.next_probe = now + self.config.probe_every;
        true
    }

    /// Records the answer to a probe.
    pub fn probe_ok(&mut self, report: EndpointReport, now: Duration) {
        self.last_confirmed = Some(self.probe_sent.take().unwrap_or(now));
        self.failures = 0;
        let old = self.report.replace(report).map(|report| report.boot);
        let restarted = old.filter(|boot| *boot != report.boot);
        if let Some(old) = restarted {
            let new = report.boot;
            self.events.push(HealthEvent::Restarted { old, new });
        }
        match self.reachability {
            Reachability::Unknown => self.reachability = Reachability::Reachable(now),
            Reachability::Unreachable => self.set_reachability(Reachability::Reachable(now), now),
            Reachability::Reachable(_) if restarted.is_some() => {
                // The endpoint was down between two probes, which did not see it.
                self.set_reachability(Reachability::Unreachable, now);
                self.set_reachability(Reachability::Reachable(now), now);
            }
            Reachability::Reachable(_) => {}
        }
        self.record_change(now);
    }

    /// Records the failure of a probe. `connect` is whether the connection could not be opened.
    pub fn probe_failed(&mut self, now: Duration, connect: bool) {
        self.probe_sent = None;
        self.failures = self.failures.saturating_add(1);
        if connect || self.failures >= self.config.failures {
            match self.reachability {
                Reachability::Unknown => self.reachability = Reachability::Unreachable,
                Reachability::Reachable(_) => self.set_reachability(Reachability::Unreachable, now),
                Reachability::Unreachable => {}
            }
        }
        self.record_change(now);
    }

    /// Records whether the platform's list has the endpoint as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool, now: Duration) {
        self.listed_leaving = leaving;
        self.record_change(now);
    }

    /// Returns the state of the endpoint.
    pub fn state(&self, now: Duration) -> HealthState {
        let Reachability::Reachable(since) = self.reachability else {
            return match self.reachability {
                Reachability::Unknown => HealthState::Unknown,
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

    /// Returns whether new work may be sent: the endpoint is up, and the last successful probe was
    /// sent at most `leave_bound` ago. An endpoint that has begun to leave thus gets no new work
    /// after that time, even if the list lags and probes fail.
    pub fn admissible(&self, now: Duration, leave_bound: Duration) -> bool {
        let confirmed = self.last_confirmed;
        self.state(now) == HealthState::Up
            && confirmed.is_some_and(|at| now.saturating_sub(at) <= leave_bound)
    }

    /// Returns the last report of the endpoint.
    pub fn report(&self) -> Option<EndpointReport> {
        self.report
    }

    /// Takes the changes since the last call.
    pub fn events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }

    fn set_reachability(&mut self, reachability: Reachability, now: Duration) {
        // A hold time that has fully passed ends before the new change counts.
        if let Reachability::Reachable(since) = self.reachability
            && self.damper.until(since).is_some_and(|until| now >= until)
        {
            self.damper.release();
        }
        self.reachability = reachability;
        if self.damper.change(&self.config, now) {
            self.events.push(HealthEvent::Damped);
        }
    }

    fn record_change(&mut self, now: Duration) {
        let state = self.state(now);
        let event = match state {
            _ if state == self.last_state => None,
            HealthState::Up => Some(HealthEvent::Up),
            HealthState::Leaving => Some(HealthEvent::Leaving),
            HealthState::Down => Some(HealthEvent::Down),
            HealthState::Unknown | HealthState::Damped { .. } => None,
        };
        self.last_state = state;
        self.events.extend(event);
    }
}
