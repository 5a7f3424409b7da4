//! Selects an endpoint for a request from the router's current state.

use crate::admission::EndpointQueue;
use crate::cache_map::prefixes;
use crate::call::Prompt;
use crate::endpoint_limits::LimitRoom;
use crate::endpoint_scan::EndpointTables;
use crate::exchange::Exchange;
use crate::manifest::EndpointEntry;
use crate::metrics::Exclusion;
use crate::placement::{Candidate, Choice, Placement, Subject};
use crate::quarantine_probe::is_designated;
use crate::room_gate::NotPlaced;
use crate::shared::RoutingState;
use crate::sorted_walk::SortedWalk;
use crate::started_answer::LoadGuard;
use sequoiaridge_core::{EndpointId, Event, RefusalReason, hash_parts};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::Block;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Run time assumed for a request to a plain service when expected waits are compared.
const SERVICE_RUN_TIME: Duration = Duration::from_millis(50);

/// An endpoint chosen for a request, which is already counted in the endpoint's load.
pub(crate) struct Placed {
    pub(crate) entry: EndpointEntry,
    pub(crate) choice: Choice,
    /// The prompt's subject; the default for a request to a plain service.
    pub(crate) subject: Subject,
    /// Address of an endpoint from which the chosen one copies cached tokens of the prompt.
    pub(crate) fetch: Option<SocketAddr>,
    pub(crate) guard: LoadGuard,
}

impl Exchange {
    /// Chooses an endpoint and adds the request to its load.
    ///
    /// # Errors
    ///
    /// The request is quarantined, no endpoint takes it, or it would wait too long at each that does.
    pub(crate) fn select_endpoint(&self) -> Result<Placed, NotPlaced> {
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        if let Some(block) = state.quarantine.block(&self.suspects, now) {
            self.probe_or_hold(&mut state, &block)?;
        }
        self.refresh_paces(&mut state, now);
        let prefixes = self.call.prompt.as_ref().map(prefixes).unwrap_or_default();
        let limits = state.limited_endpoints(&self.service, now);
        let constraints = self.constraints(&mut state, &limits, now);
        let cached = state.cache.cached(&prefixes, now);
        let mut errors = 0.0;
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        let paces = state.loads.paces().at(&self.service, now);
        let mut erring = Vec::new();
        let tables = EndpointTables {
            roster: &state.roster,
            loads: &state.loads,
            health: &state.health,
            rests: &state.rests,
        };
        let mut excluded = SortedWalk::new(&constraints);
        let mut holders = SortedWalk::new(&cached);
        let mut limited = SortedWalk::new(&limits);
        for endpoint in tables.scan(|entry| entry.service == self.service, now) {
            let (entry, health) = (endpoint.entry, endpoint.health);
            if self.tried.contains(&entry.id) || health.is_misdirected(entry) {
                continue;
            }
            let constraint = excluded.find(&entry.id);
            // Tokens are not copied from where the request may not go, either.
            let is_readable = !matches!(constraint, Some(Exclusion::Evacuated | Exclusion::Region));
            let cached = holders.find(&entry.id).copied();
            if endpoint.leaving && !entry.leaving {
                self.shared.metrics.excluded(Exclusion::Leaving);
            }
            candidates.push(Candidate {
                id: &entry.id,
                slots: entry.slots,
                requests: endpoint.work.requests,
                unread: endpoint.work.unread,
                cached: cached.filter(|_| is_readable).unwrap_or(0),
                eligible: self.is_version(entry) && constraint.is_none(),
                leaving: endpoint.leaving,
                same_domain: entry.domain == self.shared.settings.domain,
                avoid: health.is_paused(now),
                resting: endpoint.resting,
                excluded: constraint == Some(&Exclusion::Evacuated),
                limit: limited.find(&entry.id).copied(),
                pace: paces.of_key(endpoint.key),
            });
            if health.errors() > 0.0 {
                errors += health.errors();
                erring.push((candidates.len() - 1, health));
            }
        }
        let errors = errors / f64::max(candidates.len() as f64, 1.0);
        for (at, health) in erring {
            candidates[at].avoid |= health.is_failing(errors);
        }
        if candidates.iter().any(|c| c.resting && !c.leaving) {
            self.shared.metrics.excluded(Exclusion::Rest);
        }
        if candidates.iter().all(|candidate| candidate.leaving) {
            return Err(RefusalReason::NoEndpoint.into());
        }
        if !candidates.iter().any(|c| c.eligible && !c.leaving) {
            let accepting = candidates.iter().filter(|c| !c.leaving);
            let entries = accepting.filter_map(|c| state.roster.get(c.id));
            let mut of_version = entries.filter(|entry| self.is_version(entry));
            if of_version.next().is_none() {
                return Err(RefusalReason::VersionGone.into());
            }
            return Err(self.refuse_constrained(&constraints).into());
        }
        let mut placement = Placement::with_bound(self.shared.settings.load_multiple);
        placement.resumes = self.version.is_some();
        placement.brittle = state.brittle.is_brittle(&self.service, now);
        placement.draws = state.is_large() && state.admission.is_on(&self.service, now);
        let subject = self.call.prompt.as_ref().map(Prompt::subject);
        let key = subject.as_ref().map_or(0, |subject| subject.key);
        if state.is_large() {
            placement.request_hash = Some(hash_parts(&[self.call.attempt.as_bytes()]));
            placement.spread = state.hot_subjects.spread(key, now);
        }
        let place = |candidates: &[Candidate<'_>]| match &subject {
            Some(subject) => placement.for_prompt(subject, candidates),
            None => {
                let request_hash = hash_parts(&[self.call.attempt.as_bytes()]);
                placement.for_service(request_hash, SERVICE_RUN_TIME, candidates)
            }
        };
        let choice = place(&candidates).ok_or(RefusalReason::Overload)?;
        if let Some(limit) = self.wait_limit(&state, now) {
            let excess_wait = |candidate: &Candidate<'_>| {
                limit.excess_wait(&EndpointQueue {
                    slots: candidate.slots,
                    pace: candidate.pace,
                    report: state.loads.reported(candidate.id, now),
                })
            };
            let chosen = candidates.iter().find(|c| c.id == choice.id);
            let chosen = chosen.and_then(|chosen| Some((chosen.avoid, excess_wait(chosen)?)));
            if let Some((avoid, wait)) = chosen {
                for candidate in &mut candidates {
                    candidate.eligible &=
                        candidate.avoid == avoid && excess_wait(candidate).is_none();
                }
                // The choice stands if another endpoint takes the request in time. Moving the request there
                // cost goodput in the model of 300 routers, which all move theirs by the same old reports.
                place(&candidates).ok_or_else(|| self.refuse_wait(&state, wait))?;
            }
        }
        if let Some(needs) = choice.needs {
            state.hot_subjects.raise(key, needs, now);
        }
        let fetch = choice.fetch.as_ref();
        let fetch = fetch.and_then(|(id, _)| Some(state.roster.get(id)?.address));
        let entry = state.roster.get(&choice.id).cloned();
        let entry = entry.ok_or(RefusalReason::NoEndpoint)?;
        let prompt = self.call.prompt.as_ref();
        let cached_tokens = choice
            .fetch
            .as_ref()
            .map_or(choice.cached, |(_, tokens)| *tokens);
        let unread = prompt.map_or(0, |prompt| prompt.input.saturating_sub(cached_tokens));
        let unread = u32::try_from(unread).unwrap_or(u32::MAX);
        self.count_prompt(cached_tokens);
        state.loads.begin(&entry.id, unread, now);
        state.record_limited_send(&entry, now);
        let newly_used = state.cache.record(&prefixes, &entry.id, now);
        state.outbox.add_prefixes(newly_used, &entry.id);
        let guard = LoadGuard {
            shared: self.shared.clone(),
            endpoint: entry.id.clone(),
            address: entry.address,
            unread,
            progress: state.open_runs.begin(&entry.id),
            run: None,
        };
        Ok(Placed {
            entry,
            choice,
            subject: subject.unwrap_or_default(),
            fetch,
            guard,
        })
    }

    /// Whether an endpoint has the version at which the stream must go on.
    pub(crate) fn is_version(&self, entry: &EndpointEntry) -> bool {
        let version = self.version.as_ref();
        version.is_none_or(|version| *version == entry.version)
    }

    /// The endpoints of the service that the operators' constraints or their own limits keep from this
    /// request, each with the first constraint that does.
    fn constraints(
        &self,
        state: &mut RoutingState,
        limits: &BTreeMap<EndpointId, LimitRoom>,
        now: Duration,
    ) -> BTreeMap<EndpointId, Exclusion> {
        let regions = &self.shared.settings.regions;
        let exhausted = limits
            .iter()
            .filter(|(_, room)| **room == LimitRoom::Exhausted);
        let mut constraints: BTreeMap<EndpointId, Exclusion> = exhausted
            .map(|(id, _)| (id.clone(), Exclusion::Limit))
            .collect();
        let cold_limit = state.cold_limit(&self.service);
        if !constraints.is_empty() {
            self.shared.metrics.excluded(Exclusion::Limit);
        }
        if state.evacuations.is_empty() && self.homes.allow_all() && cold_limit.is_none() {
            return constraints;
        }
        let mut cold = Vec::new();
        let listed = state
            .roster
            .listed(|entry| entry.service == self.service, now);
        for listed in listed.filter(|listed| !listed.leaving) {
            let entry = listed.entry;
            let is_cold = |limit| state.is_cold_until(entry, limit, listed.cold_until, now);
            if state.evacuations.contains(&entry.domain) {
                constraints.insert(entry.id.clone(), Exclusion::Evacuated);
            } else if !self.homes.allow(&entry.domain, regions) {
                constraints.insert(entry.id.clone(), Exclusion::Region);
            } else if cold_limit.is_some_and(is_cold) {
                cold.push(entry.clone());
            }
        }
        for entry in cold {
            if !state.may_send_cold(&entry, self.cold_booking(), now) {
                constraints.insert(entry.id, Exclusion::Cold);
            }
        }
        for cause in [Exclusion::Evacuated, Exclusion::Region, Exclusion::Cold] {
            if constraints.values().any(|constraint| *constraint == cause) {
                self.shared.metrics.excluded(cause);
            }
        }
        constraints
    }

    /// Logs that constraints keep the request from all endpoints, and returns why it is refused. If the limit
    /// on cold endpoints or one that endpoints named keeps some of them, another router may have share left.
    fn refuse_constrained(&self, constraints: &BTreeMap<EndpointId, Exclusion>) -> RefusalReason {
        let count = |cause| constraints.values().filter(|c| **c == cause).count();
        let (cold, limited) = (count(Exclusion::Cold), count(Exclusion::Limit));
        log_request(
            Event::CallConstrained,
            &self.call.attempt,
            format_args!(
                "service={} evacuated={} region={} cold={cold} limited={limited}",
                self.service,
                count(Exclusion::Evacuated),
                count(Exclusion::Region),
            ),
        );
        if cold > 0 {
            RefusalReason::ColdLimit
        } else if limited > 0 {
            RefusalReason::Overload
        } else {
            RefusalReason::NoEndpoint
        }
    }

    /// Lets the request through if it is the one that probes what is held.
    ///
    /// # Errors
    ///
    /// The request is quarantined.
    fn probe_or_hold(&self, state: &mut RoutingState, block: &Block) -> Result<(), RefusalReason> {
        let (now, attempt) = (self.shared.now(), &self.call.attempt);
        let own = &self.shared.settings.id;
        let is_designated = is_designated(own, state.contacts.keys(), block.suspect);
        let is_repeated = state.probes.is_probe(block, attempt) && !self.may_have_run;
        let is_probe = is_repeated || is_designated && state.probes.start(block, attempt, now);
        let event = if is_probe {
            Event::QuarantineProbe
        } else {
            Event::CallHeld
        };
        log_request(
            event,
            attempt,
            format_args!(
                "suspect={} strikes={} retry_after_s={}",
                block.suspect,
                block.strikes,
                block.retry_after.as_secs()
            ),
        );
        is_probe.then_some(()).ok_or(RefusalReason::Quarantined)
    }

    /// Counts the tokens of a prompt, and those that an endpoint already has cached.
    fn count_prompt(&self, cached_tokens: u64) {
        if let Some(prompt) = &self.call.prompt {
            self.shared.metrics.prompt_tokens.inc_by(prompt.input);
            self.shared
                .metrics
                .cached_tokens
                .inc_by(cached_tokens.min(prompt.input));
        }
    }
}
