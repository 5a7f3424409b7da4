//! What an exchange shows of endpoints and of the request, for later choices.

use crate::call::AnswerHead;
use crate::crashes::{CrashSource, endpoint_unreachable, suspect_succeeded};
use crate::endpoint_notices::{endpoint_brittle, endpoint_leaving, endpoint_limit, endpoint_rest};
use crate::exchange::Exchange;
use crate::manifest::EndpointEntry;
use crate::shared::RoutingState;
use sequoiaridge_core::Event;
use sequoiaridge_log::{log, log_request};
use sequoiaridge_policy::Suspect;
use std::time::Duration;

impl Exchange {
    /// Records if the answer says that the endpoint leaves, for how long it asks for a rest, how much
    /// longer it is cold, or how many requests it takes.
    pub(crate) fn apply_notices(&self, entry: &EndpointEntry, head: &AnswerHead) {
        if head.attempt.as_deref() != Some(self.call.attempt.as_str()) || head.misdirected {
            return;
        }
        let (shared, attempt) = (&self.shared, &self.call.attempt);
        if head.leaving {
            endpoint_leaving(&mut shared.lock_state(), shared, attempt, entry);
        }
        if let Some(left) = head.cold {
            let mut state = shared.lock_state();
            let now = shared.now();
            state.roster.note_cold(&entry.id, &entry.boot(), left, now);
        }
        if let Some(asked) = head.rest {
            endpoint_rest(&mut shared.lock_state(), shared, attempt, &entry.id, asked);
        }
        let mut state = shared.lock_state();
        endpoint_limit(&mut state, shared, attempt, entry, head.limit);
        endpoint_brittle(&mut state, shared, entry, head);
    }

    /// Records the pace that an endpoint reported with an answer, also with one that refuses the request.
    pub(crate) fn record_pace_figure(&self, entry: &EndpointEntry, head: &AnswerHead) {
        if head.attempt.as_deref() != Some(self.call.attempt.as_str()) || head.misdirected {
            return;
        }
        if let Some(load) = &head.load {
            let now = self.shared.now();
            let mut state = self.shared.lock_state();
            let paces = state.loads.paces_mut();
            paces.record_load(&self.service, &entry.id, load, now);
        }
    }

    /// Records the time of a plain answer, which tells the pace of its endpoint.
    pub(crate) fn record_answer_time(&self, id: &str, head: &AnswerHead, sent: Duration) {
        if self.call.prompt.is_some() {
            return;
        }
        let now = self.shared.now();
        let time = now.saturating_sub(sent);
        let mut state = self.shared.lock_state();
        let paces = state.loads.paces_mut();
        paces.record_answer(&self.service, id, time, head.load.as_ref(), now);
    }

    /// Compares the paces of the service's endpoints, and logs what takes effect or no longer does.
    pub(crate) fn refresh_paces(&self, state: &mut RoutingState, now: Duration) {
        let endpoints = state.roster.keys_of(&self.service, now);
        let paces = state.loads.paces_mut();
        let changes = paces.refresh_keyed(&self.service, endpoints, now);
        let slow = i64::try_from(state.loads.paces().slow_count()).unwrap_or(i64::MAX);
        self.shared.metrics.slow_endpoints.set(slow);
        for change in changes {
            let event = if change.pace > 1.0 {
                Event::EndpointSlow
            } else {
                Event::EndpointUsual
            };
            let (service, id, pace) = (&self.service, &change.id, change.pace);
            log(
                event,
                &format!("endpoint={id} service={service} pace={pace:.1}"),
            );
        }
    }

    /// Records the load that an answer reports, also one that refuses the request: that is what an
    /// endpoint without a free slot sends.
    pub(crate) fn record_load(&self, endpoint: &str, head: &AnswerHead) {
        let Some(load) = head.load else {
            return;
        };
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        state.loads.record_report(endpoint, load, now);
        if load.pace_percent.is_some() {
            state.admission.note_pace_report(&self.service, now);
        }
        if state.admission.note_load(&self.service, load, now) {
            self.shared.note_endpoint_overfull();
        }
    }

    /// Records how long the request took, for what a draining router accepts.
    pub(crate) fn record_time(&self) {
        let now = self.shared.now();
        let time = now.saturating_sub(self.started);
        let mut state = self.shared.lock_state();
        state.run_times.record(&self.route.name, time, now);
    }

    /// Reports an endpoint that cannot be reached, which is then avoided for a while.
    pub(crate) fn report_unreachable(&self, entry: &EndpointEntry) {
        endpoint_unreachable(&self.shared, &self.call.attempt, &entry.id, &entry.boot());
    }

    /// Reports that another endpoint answered at the address of an entry, which is then left out until
    /// the registry lists another address or start. Many routers may meet a stale address when the budget is
    /// empty, as after a start of all: each has few requests and a small part of the fixed amount. So the
    /// retry after the first such answer needs no budget, but counts there as a debt for later ones.
    pub(crate) fn report_misdirected(&mut self, entry: &EndpointEntry) {
        self.report_unreachable(entry);
        self.shared.pool.forget(&entry.id);
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        if self.misdirected == 1 {
            self.charged += 1;
            state.retries.record_retry(&self.service, now);
        }
        let is_new = state.health.record_misdirected(entry);
        drop(state);
        if is_new {
            log_request(
                Event::EndpointDown,
                &self.call.attempt,
                format_args!("endpoint={} misdirected={}", entry.id, entry.address),
            );
        }
    }

    /// Reports that the connection to an endpoint broke during an attempt.
    pub(crate) fn report_broken(&self, endpoint: &str) {
        self.shared.pool.forget(endpoint);
        self.shared
            .lock_state()
            .health
            .record_answer(endpoint, true);
    }

    /// Reports that the request succeeded, which clears the crashes that were attributed to it and
    /// to the parts of its prompt.
    pub(crate) fn report_success(&self) {
        self.report_suspects(|_| true);
    }

    /// Reports that the answer went on after its beginning, which clears the parts of the prompt.
    pub(crate) fn report_progress(&self) {
        self.report_suspects(|suspect| matches!(suspect, Suspect::Part(_)));
    }

    fn report_suspects(&self, succeeded: impl Fn(&Suspect) -> bool) {
        let (shared, attempt) = (&self.shared, &self.call.attempt);
        let mut state = shared.lock_state();
        let (age, source) = (Duration::ZERO, CrashSource::Own);
        for suspect in self.suspects.iter().copied().filter(succeeded) {
            let was_held = state.quarantine.is_held(suspect, shared.now());
            let is_cleared = suspect_succeeded(&mut state, shared, attempt, suspect, age, source);
            // Successes of parts that are only suspected are in each round.
            if is_cleared && (was_held || matches!(suspect, Suspect::Request(_))) {
                state.outbox.add_succeeded(suspect, shared.now());
            }
        }
    }

    /// Whether a part of the prompt is suspected of the crash that probably ended the last attempt.
    pub(crate) fn is_suspected(&self) -> bool {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        state.quarantine.suspects_part(&self.suspects, now)
    }

    pub(crate) fn log_invalid(&self, id: &str, what: &str) {
        log_request(
            Event::EndpointInvalid,
            &self.call.attempt,
            format_args!("endpoint={id} {what}"),
        );
    }
}
