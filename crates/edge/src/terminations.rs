//! Attribution of endpoint terminations to the requests that ran there.
//!
//! A lost connection does not prove that its endpoint terminated: it may have been reset on the
//! way, or an answer may have been lost. A request counts as having crashed an endpoint only if the
//! endpoint then cannot be reached, or turns out to have restarted.

use sequoiaridge_core::EndpointId;
use sequoiaridge_policy::{Crash, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an abandoned run may still turn out to have crashed its endpoint. Another request
/// finds that a silent endpoint is gone within a second.
const ABANDONED_TTL: Duration = Duration::from_secs(2);
/// Time for which a run whose connection was lost may still turn out to have crashed its endpoint,
/// because the registry lists the endpoint with a new boot id. Crashed endpoints are back, and
/// listed, after some seconds.
const CONNECTION_LOST_TTL: Duration = Duration::from_secs(5);
/// Most pending runs of one endpoint: as many as an engine runs at once.
const MAX_PENDING_RUNS: usize = 256;

/// One attempt at an endpoint, from the moment at which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Endpoint that runs it.
    pub endpoint: EndpointId,
    /// Boot id of the endpoint.
    pub boot: String,
    /// Known crashes of the endpoint under this boot id when the attempt was sent.
    pub earlier: u32,
    /// The request, and the parts of its prompt that others may share.
    pub suspects: Vec<Suspect>,
    /// Whether the answer went on after its beginning. A part that crashes endpoints does so when
    /// they begin to write.
    pub progressed: bool,
}

impl Run {
    /// The crashes that are recorded if the endpoint ended under the run.
    pub fn crashes(&self) -> impl Iterator<Item = Crash> {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|s| !self.progressed || matches!(s, Suspect::Request(_)));
        suspects.map(|suspect| Crash {
            suspect: *suspect,
            endpoint: self.endpoint.clone(),
            boot: self.boot.clone(),
            earlier: self.earlier,
        })
    }
}

/// How a run ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its connection was lost.
    ConnectionLost,
    /// Its caller left or its time was up, while the connection was sound as far as is known.
    Abandoned,
}

/// What is known of the endpoint of a run that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossOutcome {
    /// The endpoint has terminated: the run crashed it, or ran beside the one that did.
    Crashed,
    /// Unknown; the caller must probe whether the endpoint can be reached.
    Probe,
    /// Unknown; a later observation may show that the endpoint terminated.
    Pending,
}

#[derive(Clone, Debug)]
struct PendingRun {
    run: Run,
    loss: Loss,
    at: Duration,
    /// Whether the endpoint was reached after the loss.
    reached: bool,
}

#[derive(Clone, Debug, Default)]
struct EndpointState {
    boot: String,
    /// Terminations under this boot id.
    terminations: u32,
    /// Whether the endpoint has not been reached since the last termination.
    unreachable: bool,
    probing: bool,
    pending: Vec<PendingRun>,
}

/// Known terminations of endpoints, and the runs that may have caused one.
#[derive(Clone, Debug, Default)]
pub struct Terminations {
    endpoints: BTreeMap<EndpointId, EndpointState>,
}

impl Terminations {
    /// Creates a table in which no endpoint has terminated.
    pub fn new() -> Terminations {
        Terminations::default()
    }

    /// Returns the run of an attempt that is sent now to an endpoint with a boot id.
    pub fn begin(&self, attempt: &str, suspects: &[Suspect], endpoint: &str, boot: &str) -> Run {
        let known = self.endpoints.get(endpoint);
        let known = known.filter(|state| state.boot == boot);
        Run {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            boot: boot.to_string(),
            earlier: known.map_or(0, |state| state.terminations),
            suspects: suspects.to_vec(),
            progressed: false,
        }
    }

    /// Records a run that ended without an answer. Of runs that are lost together, only one gets
    /// [`LossOutcome::Probe`], until [`record_end`](Self::record_end) or
    /// [`record_reachable`](Self::record_reachable) reports the result of the probe.
    pub fn record_loss(&mut self, run: &Run, loss: Loss, now: Duration) -> LossOutcome {
        let state = self.state(&run.endpoint, &run.boot);
        let known = state.terminations > run.earlier || state.boot != run.boot;
        if known && (state.unreachable || loss == Loss::ConnectionLost) {
            return LossOutcome::Crashed;
        }
        if state.pending.len() >= MAX_PENDING_RUNS {
            state.pending.remove(0);
        }
        state.pending.push(PendingRun {
            run: run.clone(),
            loss,
            at: now,
            reached: false,
        });
        if loss == Loss::Abandoned || state.probing {
            return LossOutcome::Pending;
        }
        state.probing = true;
        LossOutcome::Probe
    }

    /// Records that an endpoint with a boot id cannot be reached. Returns the runs under which it
    /// terminated.
    pub fn record_end(&mut self, endpoint: &str, boot: &str, now: Duration) -> Vec<Run> {
        let state = self.state(endpoint, boot);
        if !state.unreachable && state.boot == boot {
            state.unreachable = true;
            state.terminations = state.terminations.saturating_add(1);
        }
        state.probing = false;
        take_matching(&mut state.pending, |pending| {
            !pending.reached && now < pending.at + ABANDONED_TTL
        })
    }

    /// Records that another router could not reach an endpoint. The endpoint may be gone or that
    /// router cut off, so its report counts only for abandoned runs, for which there is no other
    /// evidence.
    pub fn reported_unreachable(&mut self, endpoint: &str, now: Duration) -> Vec<Run> {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        take_matching(&mut state.pending, |pending| {
            pending.loss == Loss::Abandoned && now < pending.at + ABANDONED_TTL
        })
    }

    /// Records that the registry lists an endpoint with a new boot id. Returns the runs under which
    /// it terminated. Abandoned runs that were sent after the last known termination are not among
    /// them: they ran on the start that is listed only now.
    pub fn record_restart(&mut self, endpoint: &str, boot: &str, now: Duration) -> Vec<Run> {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let ttl = |loss| {
            if loss == Loss::Abandoned {
                ABANDONED_TTL
            } else {
                CONNECTION_LOST_TTL
            }
        };
        let (known_boot, known) = (state.boot.as_str(), state.terminations);
        for PendingRun { run, loss, .. } in &mut state.pending {
            let is_later = run.boot == known_boot && (1..=run.earlier).contains(&known);
            if *loss == Loss::Abandoned && is_later {
                (run.boot, run.earlier) = (boot.to_string(), 0);
            }
        }
        let runs = take_matching(&mut state.pending, |pending| {
            pending.run.boot != boot && now < pending.at + ttl(pending.loss)
        });
        *state = EndpointState {
            boot: boot.to_string(),
            pending: std::mem::take(&mut state.pending),
            ..EndpointState::default()
        };
        runs
    }

    /// Records that an endpoint was reached: a connection opened, or it answered. It did not
    /// terminate under runs that were abandoned before. A run whose connection was lost stays
    /// pending until the registry lists a new boot id, since the endpoint may have restarted at
    /// once.
    pub fn record_reachable(&mut self, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.unreachable = false;
            state.probing = false;
            state
                .pending
                .retain(|pending| pending.loss == Loss::ConnectionLost);
            state
                .pending
                .iter_mut()
                .for_each(|pending| pending.reached = true);
        }
    }

    /// Applies a crash that another router saw.
    pub fn apply_crash(&mut self, crash: &Crash) {
        let state = self.state(&crash.endpoint, &crash.boot);
        let terminations = crash.earlier.saturating_add(1);
        if state.boot == crash.boot && state.terminations < terminations {
            state.terminations = terminations;
            state.unreachable = true;
        }
    }

    /// Drops runs that are too old to count as having crashed their endpoints.
    pub fn expire(&mut self, now: Duration) {
        for state in self.endpoints.values_mut() {
            state
                .pending
                .retain(|pending| now < pending.at + CONNECTION_LOST_TTL);
        }
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// The state of an endpoint, created with the given boot id if there is none. A different boot
    /// id does not replace the one in the state.
    fn state(&mut self, endpoint: &str, boot: &str) -> &mut EndpointState {
        self.endpoints
            .entry(endpoint.to_string())
            .or_insert_with(|| EndpointState {
                boot: boot.to_string(),
                ..EndpointState::default()
            })
    }
}

/// Removes and returns the runs that match.
fn take_matching(pending: &mut Vec<PendingRun>, matches: impl Fn(&PendingRun) -> bool) -> Vec<Run> {
    let (taken, left) = std::mem::take(pending)
        .into_iter()
        .partition(|pending| matches(pending));
    *pending = left;
    let taken: Vec<PendingRun> = taken;
    taken.into_iter().map(|pending| pending.run).collect()
}
