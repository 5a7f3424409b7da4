//! Choice of an endpoint for a request from what the router knows now.

use crate::cache_map::prefixes;
use crate::call::Prompt;
use crate::load::Work;
use crate::manifest::EndpointEntry;
use crate::metrics::Spared;
use crate::opened::Ticket;
use crate::placement::{Candidate, Choice, Placement, Subject};
use crate::relay::Exchange;
use sequoiaridge_core::{Event, RefusalReason, hash_parts};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::QuarantineState;
use std::net::SocketAddr;
use std::time::Duration;

/// Work of a request to a plain service that is assumed when waits are compared.
const SERVICE_WORK: Duration = Duration::from_millis(50);

/// An endpoint that was chosen for a request, with the request counted there.
pub(crate) struct Placed {
    pub(crate) entry: EndpointEntry,
    pub(crate) choice: Choice,
    /// The prompt's subject; empty for a request of a plain service.
    pub(crate) subject: Subject,
    /// Address from which the endpoint copies what it lacks of the prompt.
    pub(crate) fetch: Option<SocketAddr>,
    pub(crate) ticket: Ticket,
}

impl Exchange {
    /// Chooses an endpoint and counts the request there.
    pub(crate) fn place(&self) -> Result<Placed, RefusalReason> {
        let now = self.shared.now();
        let mut board = self.shared.board();
        let fingerprint = self.fingerprint;
        if let QuarantineState::Held { retry_after } = board.quarantine.state(fingerprint, now) {
            let strikes = board.quarantine.strikes(fingerprint, now);
            log_request(
                Event::CallHeld,
                &self.call.attempt,
                format_args!(
                    "fingerprint={fingerprint:016x} strikes={strikes} left_s={}",
                    retry_after.as_secs()
                ),
            );
            return Err(RefusalReason::Quarantined);
        }
        let prefixes = self.call.prompt.as_ref().map(prefixes).unwrap_or_default();
        let cached = board.cache.cached(&prefixes, now);
        let mut errors = 0.0;
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for entry in board.roster.of(&self.service, now) {
            if self.tried.contains(&entry.id) {
                continue;
            }
            let Work { requests, unread } = board.loads.at(&entry.id, now);
            let leaving = board.roster.is_leaving(entry);
            if leaving && !entry.leaving {
                self.shared.metrics.spared(Spared::Leaving);
            }
            candidates.push(Candidate {
                id: &entry.id,
                slots: entry.slots,
                requests,
                unread,
                cached: cached.get(entry.id.as_str()).copied().unwrap_or(0),
                leaving,
                near: entry.domain == self.shared.settings.domain,
                avoid: board.health.is_paused(&entry.id, now),
                resting: board.rests.until(&entry.id, now).is_some(),
            });
            errors += board.health.errors(&entry.id);
        }
        let errors = errors / f64::max(candidates.len() as f64, 1.0);
        for candidate in &mut candidates {
            candidate.avoid |= board.health.is_failing(candidate.id, errors);
        }
        if candidates.iter().any(|c| c.resting && !c.leaving) {
            self.shared.metrics.spared(Spared::Rest);
        }
        if candidates.iter().all(|candidate| candidate.leaving) {
            return Err(RefusalReason::NoEndpoint);
        }
        let mut placement = Placement::with_bound(self.shared.settings.load_multiple);
        let subject = self.call.prompt.as_ref().map(Prompt::subject);
        let key = subject.as_ref().map_or(0, |subject| subject.key);
        if board.is_large() {
            placement.draw = Some(hash_parts(&[self.call.attempt.as_bytes()]));
            placement.spread = board.heat.spread(key, now);
        }
        let choice = match &subject {
            Some(subject) => placement.for_prompt(subject, &candidates),
            None => {
                let draw = hash_parts(&[self.call.attempt.as_bytes()]);
                placement.for_service(draw, SERVICE_WORK, &candidates)
            }
        };
        let choice = choice.ok_or(RefusalReason::Overload)?;
        if let Some(needs) = choice.needs {
            board.heat.raise(key, needs, now);
        }
        let fetch = choice.fetch.as_ref();
        let fetch = fetch.and_then(|(id, _)| Some(board.roster.get(id)?.address));
        let entry = board.roster.get(&choice.id).cloned();
        let entry = entry.ok_or(RefusalReason::NoEndpoint)?;
        let prompt = self.call.prompt.as_ref();
        let kept = choice
            .fetch
            .as_ref()
            .map_or(choice.cached, |(_, tokens)| *tokens);
        let unread = prompt.map_or(0, |prompt| prompt.input.saturating_sub(kept));
        let unread = u32::try_from(unread).unwrap_or(u32::MAX);
        self.count_prompt(kept);
        board.loads.begin(&entry.id, unread, now);
        let told = board.cache.record(&prefixes, &entry.id, now);
        board.news.prefixes(told, &entry.id);
        let ticket = Ticket {
            shared: self.shared.clone(),
            endpoint: entry.id.clone(),
            address: entry.address,
            unread,
            run: None,
        };
        Ok(Placed {
            entry,
            choice,
            subject: subject.unwrap_or_default(),
            fetch,
            ticket,
        })
    }

    /// Counts the tokens of a prompt and those that need not be read.
    fn count_prompt(&self, kept: u64) {
        if let Some(prompt) = &self.call.prompt {
            self.shared.metrics.prompt_tokens.inc_by(prompt.input);
            self.shared
                .metrics
                .cached_tokens
                .inc_by(kept.min(prompt.input));
        }
    }
}
