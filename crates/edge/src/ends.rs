//! Which requests ran on an endpoint when it ended.
//!
//! A connection that breaks does not show that its endpoint ended: it may have been reset on the way, or
//! an answer may have been lost. A request only counts as what crashed an endpoint if the endpoint can
//! then not be reached, or turns out to have started again.

use sequoiaridge_core::{EndpointId, Fingerprint};
use sequoiaridge_policy::Crash;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a run whose caller left, or whose time passed, may turn out to have crashed its
/// endpoint. Another request finds a silent endpoint to be gone within a second.
const LEFT: Duration = Duration::from_secs(2);
/// Time for which a run whose connection broke may turn out to have crashed its endpoint, because the
/// endpoint is listed with a new start. Crashed endpoints are back, and listed, after some seconds.
const BROKEN: Duration = Duration::from_secs(5);
/// Runs of one endpoint that may turn out to have crashed it: what an engine runs at once.
const MAX_RUNS: usize = 256;

/// One attempt at an endpoint, from the moment at which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's attempt.
    pub attempt: String,
    /// What is recorded if it crashed the endpoint.
    pub crash: Crash,
}

/// How a run ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its connection broke.
    Broke,
    /// Its caller left or its time passed; the connection was sound as far as known.
    Left,
}

/// What follows from a run that was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The endpoint is known to have ended: the run crashed it, or ran beside the one that did.
    Crashed,
    /// Whether the endpoint ended is not known, and has to be found out.
    Check,
    /// Whether the endpoint ended is not known; something may still show it.
    Open,
}

#[derive(Clone, Debug)]
struct Open {
    run: Run,
    loss: Loss,
    at: Duration,
    /// Whether the endpoint was reached since then.
    reached: bool,
}

#[derive(Clone, Debug, Default)]
struct State {
    boot: String,
    /// Ends under this boot id.
    ends: u32,
    /// Whether nothing was heard of the endpoint since the last of them.
    away: bool,
    checking: bool,
    open: Vec<Open>,
}

/// What is known of the ends of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    endpoints: BTreeMap<EndpointId, State>,
}

impl Ends {
    /// Creates a table in which no endpoint has ended.
    pub fn new() -> Ends {
        Ends::default()
    }

    /// A run that is sent now to an endpoint with a boot id.
    pub fn begin(
        &self,
        attempt: &str,
        fingerprint: Fingerprint,
        endpoint: &str,
        boot: &str,
    ) -> Run {
        let known = self.endpoints.get(endpoint);
        let known = known.filter(|state| state.boot == boot);
        let crash = Crash {
            fingerprint,
            endpoint: endpoint.to_string(),
            boot: boot.to_string(),
            earlier: known.map_or(0, |state| state.ends),
        };
        Run {
            attempt: attempt.to_string(),
            crash,
        }
    }

    /// Notes a run that ended without an answer. [`Finding::Check`] is returned once for runs that are lost
    /// together, until [`ended`](Self::ended) or [`reached`](Self::reached) says what was found.
    pub fn lost(&mut self, run: &Run, loss: Loss, now: Duration) -> Finding {
        let state = self.state(&run.crash.endpoint, &run.crash.boot);
        let known = state.ends > run.crash.earlier || state.boot != run.crash.boot;
        if known && (state.away || loss == Loss::Broke) {
            return Finding::Crashed;
        }
        if state.open.len() >= MAX_RUNS {
            state.open.remove(0);
        }
        state.open.push(Open {
            run: run.clone(),
            loss,
            at: now,
            reached: false,
        });
        if loss == Loss::Left || state.checking {
            return Finding::Open;
        }
        state.checking = true;
        Finding::Check
    }

    /// Notes that an endpoint with a boot id cannot be reached. Returns the runs that it ended under.
    pub fn ended(&mut self, endpoint: &str, boot: &str, now: Duration) -> Vec<Run> {
        let state = self.state(endpoint, boot);
        if !state.away && state.boot == boot {
            state.away = true;
            state.ends = state.ends.saturating_add(1);
        }
        state.checking = false;
        take(&mut state.open, |open| {
            !open.reached && now < open.at + LEFT
        })
    }

    /// Notes that another router could not reach an endpoint: it may be gone, or that router cut off. It is
    /// believed for runs that nothing else tells about.
    pub fn doubted(&mut self, endpoint: &str, now: Duration) -> Vec<Run> {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        take(&mut state.open, |open| {
            open.loss == Loss::Left && now < open.at + LEFT
        })
    }

    /// Notes that the list tells a new boot id of an endpoint. Returns the runs that it ended under.
    pub fn restarted(&mut self, endpoint: &str, boot: &str, now: Duration) -> Vec<Run> {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let life = |loss| if loss == Loss::Left { LEFT } else { BROKEN };
        let runs = take(&mut state.open, |open| {
            open.run.crash.boot != boot && now < open.at + life(open.loss)
        });
        *state = State {
            boot: boot.to_string(),
            open: std::mem::take(&mut state.open),
            ..State::default()
        };
        runs
    }

    /// Notes that an endpoint could be reached: a connection opened, or it answered. It did not end under
    /// runs whose callers left before. A run whose connection broke stays open for a new start in the
    /// list, since the endpoint may have started again at once.
    pub fn reached(&mut self, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.away = false;
            state.checking = false;
            state.open.retain(|open| open.loss == Loss::Broke);
            state.open.iter_mut().for_each(|open| open.reached = true);
        }
    }

    /// Takes over that another router saw an endpoint end.
    pub fn hear(&mut self, crash: &Crash) {
        let state = self.state(&crash.endpoint, &crash.boot);
        let ends = crash.earlier.saturating_add(1);
        if state.boot == crash.boot && state.ends < ends {
            state.ends = ends;
            state.away = true;
        }
    }

    /// Drops runs that no longer may turn out to have crashed their endpoints.
    pub fn expire(&mut self, now: Duration) {
        for state in self.endpoints.values_mut() {
            state.open.retain(|open| now < open.at + BROKEN);
        }
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// The state of an endpoint. A boot id that was not known belongs to a later start.
    fn state(&mut self, endpoint: &str, boot: &str) -> &mut State {
        self.endpoints
            .entry(endpoint.to_string())
            .or_insert_with(|| State {
                boot: boot.to_string(),
                ..State::default()
            })
    }
}

/// Takes the runs that fit out of a list.
fn take(open: &mut Vec<Open>, fits: impl Fn(&Open) -> bool) -> Vec<Run> {
    let (taken, left) = std::mem::take(open)
        .into_iter()
        .partition(|open| fits(open));
    *open = left;
    let taken: Vec<Open> = taken;
    taken.into_iter().map(|open| open.run).collect()
}
