//! Asks admission for each request of a caller, before it is sent to an endpoint.

use crate::admission::{Admitted, Arrival, RoomRefusal, WaitLimit};
use crate::exchange::{Exchange, LOWEST_PRIORITY};
use crate::shared::RoutingState;
use sequoiaridge_core::{Refusal, RefusalReason};
use std::time::Duration;

/// What became of a request that asked for room, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoomOutcome {
    Admitted,
    /// It goes on with a stream, which is always admitted.
    Resumed,
    Refused,
    /// It came back too late to be in time, and was refused again.
    RefusedLate,
    /// It was admitted, and then refused because it would wait beyond its target at its endpoint.
    RefusedWait,
}

/// Why no endpoint was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NotPlaced {
    Refused(RefusalReason),
    /// It would wait beyond its target at each endpoint that takes it.
    Wait(RoomRefusal),
}

impl From<RefusalReason> for NotPlaced {
    fn from(reason: RefusalReason) -> NotPlaced {
        NotPlaced::Refused(reason)
    }
}

impl RoomOutcome {
    /// Label in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RoomOutcome::Admitted => "admitted",
            RoomOutcome::Resumed => "resumed",
            RoomOutcome::Refused => "refused",
            RoomOutcome::RefusedLate => "refused-late",
            RoomOutcome::RefusedWait => "refused-wait",
        }
    }
}

impl Exchange {
    /// Asks for room at the service; to be called once, before the first attempt. Further attempts and
    /// resumed streams are part of the same work and are not asked again.
    ///
    /// # Errors
    ///
    /// The service is short of room. Nothing was sent.
    pub(crate) fn ask_room(&self) -> Result<(), RoomRefusal> {
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        // Requests that are held back take no room, and the few that probe a suspect must run.
        let is_held = state.quarantine.block(&self.suspects, now).is_some();
        if is_held || !state.admission.is_on(&self.service, now) {
            return Ok(());
        }
        let arrival = self.arrival();
        let admitted = state.admission.decide(&arrival, now);
        drop(state);
        let outcome = match &admitted {
            Admitted::Yes if arrival.resumed => RoomOutcome::Resumed,
            Admitted::Yes => RoomOutcome::Admitted,
            Admitted::No(refusal) if refusal.late => RoomOutcome::RefusedLate,
            Admitted::No(_) => RoomOutcome::Refused,
        };
        self.count_room(outcome);
        match admitted {
            Admitted::Yes => Ok(()),
            Admitted::No(refusal) => Err(refusal),
        }
    }

    fn arrival(&self) -> Arrival<'_> {
        Arrival {
            attempt: &self.call.attempt,
            service: &self.service,
            route: &self.route.name,
            customer: self.customer.as_deref(),
            rank: self.priority,
            target: self.route.target,
            deadline: self.call.deadline,
            limit: self.call.time_limit(self.route.timeout),
            // Elsewhere the header has no meaning, and must not be a way around admission.
            resumed: self.call.resume.is_some() && self.route.kind.streams(),
        }
    }

    fn count_room(&self, outcome: RoomOutcome) {
        let rank = self.priority.min(LOWEST_PRIORITY);
        self.shared.metrics.room_asked(rank, outcome);
    }

    /// How long the request may wait at the endpoint of its first attempt. Further attempts are never refused
    /// for their wait, nor is a request that probes a suspect.
    pub(crate) fn wait_limit(&self, state: &RoutingState, now: Duration) -> Option<WaitLimit> {
        let is_first = self.tried.is_empty() && !self.may_have_run && !self.begun;
        if !is_first {
            return None;
        }
        let elapsed = now.saturating_sub(self.started);
        let limit = state.admission.wait_limit(&self.arrival(), elapsed, now);
        limit.filter(|_| state.quarantine.block(&self.suspects, now).is_none())
    }

    /// Refuses the request because it would wait for `wait` at its endpoint.
    pub(crate) fn refuse_wait(&self, state: &RoutingState, wait: Duration) -> NotPlaced {
        self.count_room(RoomOutcome::RefusedWait);
        NotPlaced::Wait(state.admission.refuse_wait(&self.arrival(), wait))
    }

    /// Fields of the log line of a request, if it was refused for lack of room.
    pub(crate) fn room_detail(&self) -> String {
        let Some(refusal) = &self.no_room else {
            return String::new();
        };
        let wait = refusal.wait.map(|wait| wait.as_millis());
        let wait = wait.map_or(String::new(), |ms| format!(" wait_ms={ms}"));
        format!(
            " service={} probability={:.3} rank={} late={} retry_after_ms={}{wait}",
            self.service,
            refusal.probability,
            self.priority,
            refusal.late,
            refusal.retry_after.as_millis()
        )
    }

    /// Records for how long a request, whose answer ended well, held a slot of its endpoint.
    pub(crate) fn record_hold(&self) {
        let now = self.shared.now();
        let Some(held) = self.hold.held(now) else {
            return;
        };
        let mut state = self.shared.lock_state();
        if state.admission.is_on(&self.service, now) {
            let (service, route) = (&self.service, &self.route.name);
            state.admission.record_hold(service, route, held, now);
        }
    }
}

impl From<&RoomRefusal> for Refusal {
    fn from(refusal: &RoomRefusal) -> Refusal {
        Refusal::not_run(refusal.reason, refusal.retry_after)
    }
}
