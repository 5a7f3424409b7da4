//! Endpoint selection policy: bounded-load rendezvous hashing for prompts, shortest expected wait for
//! plain services.

use crate::endpoint_limits::LimitRoom;
use sequoiaridge_core::{EndpointId, hash_parts};
use std::cmp::Reverse;
use std::time::Duration;

/// An endpoint that could run a request, as the router currently sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub id: &'a str,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests outstanding there, from all routers.
    pub requests: u32,
    /// Tokens of outstanding prompts that the endpoint has not processed yet.
    pub unread: u32,
    /// Leading tokens of the prompt that it has cached.
    pub cached: u64,
    /// Whether it may run the request at all. One that may not still counts towards the mean load, and
    /// others may copy its cache.
    pub eligible: bool,
    /// Whether it takes no new requests. Other endpoints may still copy its cache.
    pub leaving: bool,
    /// Whether it is in the router's own failure domain.
    pub same_domain: bool,
    /// Whether it is used only if every other candidate is avoided, too.
    pub avoid: bool,
    /// Whether it asked this router to send nothing for a while.
    pub resting: bool,
    /// Whether its failure domain is evacuated. Like one that is leaving, it does not count towards the
    /// mean load.
    pub excluded: bool,
    /// What the request may use, if the endpoint named a limit on the requests that it takes. Then it does not
    /// count towards the mean load, since the others have to take what it does not.
    pub limit: Option<LimitRoom>,
    /// How many times longer than usual work takes there; 1 is usual.
    pub pace: f64,
}

/// A group of prompts with a common prefix, which are best processed by an endpoint that has the prefix
/// cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subject {
    /// Key of the group of prompts.
    pub key: u64,
    /// Length of the common prefix in tokens. It is at least 1, since every endpoint would have an empty
    /// prefix cached.
    pub tokens: u64,
}

/// A chosen endpoint, with the values that led to the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub id: EndpointId,
    /// Requests outstanding there before this one.
    pub requests: u32,
    /// Mean of the requests outstanding at all candidates.
    pub mean: f64,
    /// Leading tokens of the prompt that it has cached.
    pub cached: u64,
    /// Another endpoint that has more of the prompt cached, and how many tokens of it.
    pub fetch: Option<(EndpointId, u64)>,
    /// Number of endpoints that the subject needs, if it needs more than it is spread over.
    pub needs: Option<usize>,
}

/// Parameters of the endpoint selection.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Multiple of the mean load above which an endpoint gets no more requests.
    pub multiple: f64,
    /// Requests allowed on top of that multiple, so that a small mean does not scatter prompts.
    pub slack: f64,
    /// Set where request counts are stale: a hash of the request, which picks two of the endpoints that
    /// have a subject cached; the one with fewer requests gets the prompt. If all routers chose the least
    /// loaded of all, they would overload the same endpoint until newer counts arrive.
    pub request_hash: Option<u64>,
    /// Number of endpoints over which the subject is spread where counts are stale; see
    /// [`HotSubjects`](crate::HotSubjects).
    pub spread: usize,
    /// Whether the request goes on with a stream, which only endpoints of its version may do.
    pub resumes: bool,
    /// Set where the request counts of plain services are stale: an endpoint is drawn by a hash of the request
    /// instead of the one with the shortest wait, which all routers would choose until newer counts arrive.
    pub draws: bool,
    /// Whether the endpoints must not have to reject requests, so that none may wait there.
    pub brittle: bool,
}

/// Number of slots for which an endpoint may queue one request. Requests last about a second, so the last
/// one in the queue waits for a quarter of that, within the targets of all classes.
const SLOTS_PER_QUEUED: u32 = 4;
/// Requests that may queue for each slot of a plain service while another of its endpoints rests. Without
/// the limit, the requests for the resting endpoint would overload the others until they ask for a rest,
/// too.
const QUEUED_PER_SLOT: u32 = 1;
/// Share of the slots of endpoints without a limit that are taken when the others get more than their limits, as
/// far as the operators' bound allows that.
const CROWDED_SHARE: f64 = 0.6;
/// Share of its slots from which an endpoint gets no more requests while limited ones have room.
const FULL_SHARE: f64 = 0.75;
/// Fraction of the operators' load multiple that is used; the remainder allows for slightly stale counts.
const MULTIPLE_MARGIN: f64 = 0.875;
/// Load multiple where the operators set none.
const DEFAULT_MULTIPLE: f64 = 2.0;

impl Default for Placement {
    fn default() -> Placement {
        Placement::with_bound(DEFAULT_MULTIPLE)
    }
}

/// Latency that a plain service in another failure domain adds: one round trip between domains.
const REMOTE_COST: Duration = Duration::from_millis(7);
/// Differences in cached tokens below this are ignored. Processing 256 tokens takes 2 ms, as long as
/// setting up a copy.
const MIN_GAIN_TOKENS: u64 = 256;

impl Placement {
    /// Parameters that keep every endpoint within `multiple` times the mean load plus 3 requests.
    pub fn with_bound(multiple: f64) -> Placement {
        Placement {
            multiple: (multiple * MULTIPLE_MARGIN).max(1.0),
            slack: 2.0,
            request_hash: None,
            spread: 1,
            resumes: false,
            draws: false,
            brittle: false,
        }
    }

    /// Chooses an endpoint for a prompt. Among endpoints within the load bound it prefers those that have
    /// the subject cached, then the one with most of the prompt cached, then the one with the fewest
    /// requests, either of all or of two picked by hash. If no such endpoint has the subject cached, the
    /// rendezvous hash alone decides, so that routers agree without communication. A stream that began
    /// before and may go on only at some endpoints goes beyond the bound rather than to none of them.
    /// Returns `None` if no endpoint takes the prompt.
    pub fn for_prompt(&self, subject: &Subject, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let mean = mean_load(candidates);
        let mut usable = usable(candidates.iter().filter(|c| c.eligible));
        let bound = mean * self.multiple + self.slack;
        let is_crowded = is_crowded(&usable);
        if !is_crowded {
            usable.retain(|c| c.limit != Some(LimitRoom::Overdraft));
        }
        let available = usable.iter().copied();
        let mut available: Vec<&Candidate<'_>> =
            available.filter(|c| self.has_room(c, bound)).collect();
        // Rather a slot at a limited endpoint, which copies the prompt, than a queue at one that has it cached.
        if is_crowded && available.iter().any(|c| c.limit.is_some()) {
            available.retain(|c| load(c) < f64::from(c.slots) * FULL_SHARE);
        }
        if available.is_empty() {
            // Slow endpoints with short queues are better than a refusal.
            let open = usable
                .iter()
                .copied()
                .filter(|c| f64::from(c.requests) < bound && c.requests < self.max_requests(c));
            available.extend(open.min_by(|a, b| load(a).total_cmp(&load(b))));
        }
        let holds = |candidate: &&Candidate<'_>| candidate.cached >= subject.tokens;
        let holders: Vec<&Candidate<'_>> = available.iter().copied().filter(holds).collect();
        let by_rank = |candidate: &&Candidate<'_>| rank(subject.key, candidate.id);
        let best = if holders.is_empty() {
            // What is left of a limit is kept for prompts that its endpoint has cached. In a large fleet, a router may
            // send to few of the limited endpoints, and most of its share would be lost.
            let keeps = self.request_hash.is_none() && !is_crowded;
            available
                .into_iter()
                .max_by_key(|c| (!keeps || c.limit.is_none(), by_rank(c)))
        } else {
            let order = |candidate: &&Candidate<'_>| {
                let load = Reverse(in_thousandths(load(candidate)));
                (candidate.cached / MIN_GAIN_TOKENS, load, by_rank(candidate))
            };
            holders.iter().copied().max_by_key(order)
        };
        let mut best = best.or_else(|| self.beyond_bound(&usable))?;
        let mut needs = None;
        if let Some(request_hash) = self.request_hash {
            // A request that only some endpoints may run says nothing about what a subject needs. None needs more
            // while all are below the bound.
            let may_need = candidates.iter().all(|candidate| candidate.eligible)
                && usable.iter().any(|candidate| load(candidate) >= bound);
            // An endpoint that has more than the subject cached, such as the chat itself, is kept.
            let picks = best.cached < subject.tokens + MIN_GAIN_TOKENS;
            let is_spread = self.spread > 1;
            if may_need || picks && is_spread {
                let replicas =
                    first_by_rank(subject.key, usable.iter().copied(), self.spread.max(1));
                if may_need {
                    needs = self.needs(&replicas, mean, bound);
                }
                if picks && is_spread {
                    let open = replicas.into_iter().filter(|c| self.has_room(c, bound));
                    best = less_loaded_of_two(request_hash, open).unwrap_or(best);
                }
            }
            if picks && !is_spread {
                best = less_loaded_of_two(request_hash, holders.into_iter()).unwrap_or(best);
            }
        }
        let mut choice = choice(best, mean);
        choice.needs = needs;
        choice.fetch = copy_source(&choice, candidates);
        Some(choice)
    }

    /// The endpoint for a stream that goes on, if all endpoints of its version are beyond the load bound:
    /// one of those with a free place, by its requests. In a release, the last endpoints of a version get
    /// the streams of many, and the mean of the others says nothing about what they can take.
    fn beyond_bound<'a>(&self, usable: &[&'a Candidate<'a>]) -> Option<&'a Candidate<'a>> {
        if !self.resumes {
            return None;
        }
        let usable = usable.iter().copied();
        let free = usable.filter(|candidate| candidate.requests < self.max_requests(candidate));
        match self.request_hash {
            Some(request_hash) => less_loaded_of_two(request_hash, free),
            None => free.min_by_key(|candidate| candidate.requests),
        }
    }

    /// Number of endpoints that a subject needs so that its replicas get below the load bound, or `None`
    /// if they are below it. Each further endpoint is assumed to take the requests between the mean and
    /// the bound.
    fn needs(&self, replicas: &[&Candidate<'_>], mean: f64, bound: f64) -> Option<usize> {
        let excess = replicas.iter().map(|replica| load(replica) - bound);
        let excess: f64 = excess
            .filter(|excess| *excess >= 0.0)
            .map(|excess| excess + 1.0)
            .sum();
        let more = (excess / (bound - mean).max(1.0)).ceil() as usize;
        (more > 0).then_some(replicas.len() + more)
    }

    /// Whether an endpoint can take one more request within a load bound.
    fn has_room(&self, candidate: &Candidate<'_>, bound: f64) -> bool {
        let load = load(candidate);
        load < bound && load < f64::from(self.max_requests(candidate))
    }

    /// Requests that an endpoint may hold: its slots and a short queue, unless it is brittle.
    fn max_requests(&self, candidate: &Candidate<'_>) -> u32 {
        let queued = candidate.slots.div_ceil(SLOTS_PER_QUEUED);
        let queued = if self.brittle { 0 } else { queued };
        candidate.slots.saturating_add(queued)
    }

    /// Chooses an endpoint for a request to a plain service: the one with the shortest expected wait, or one
    /// drawn by its slots and that wait. Returns `None` if no candidate takes requests, or if the chosen one is full
    /// while another one rests.
    pub fn for_service(
        &self,
        request_hash: u64,
        work: Duration,
        candidates: &[Candidate<'_>],
    ) -> Option<Choice> {
        let others_rest = candidates
            .iter()
            .any(|c| (c.resting || c.limit.is_some()) && !c.excluded);
        let mean = mean_load(candidates);
        let mut usable = usable(candidates.iter().filter(|c| c.eligible));
        if !is_crowded(&usable) {
            usable.retain(|c| c.limit != Some(LimitRoom::Overdraft));
        }
        // Old counts send the requests of all routers to the same endpoint, which rejects what does not fit.
        let has_old_counts = self.request_hash.is_some();
        let best = if self.draws || self.brittle && has_old_counts {
            let bound = mean * self.multiple + self.slack;
            draw_by_wait(request_hash, work, &usable, bound)
        } else {
            let cost = |candidate: &Candidate<'_>| {
                let rank = rank(request_hash, candidate.id);
                (expected_time(candidate, work), rank)
            };
            usable.iter().copied().min_by_key(|c| cost(c))
        }?;
        let full = best.requests >= best.slots.saturating_mul(1 + QUEUED_PER_SLOT);
        let waits = self.brittle && best.requests >= best.slots;
        (!waits && (!others_rest || !full)).then(|| choice(best, mean))
    }
}

/// Time until a plain service answers a request that works for `work`, if the endpoint runs as many turns
/// before it as its slots need for its requests.
fn expected_time(candidate: &Candidate<'_>, work: Duration) -> Duration {
    let turns = f64::from(candidate.requests) / f64::from(candidate.slots.max(1));
    let domain_cost = if candidate.same_domain {
        Duration::ZERO
    } else {
        REMOTE_COST
    };
    work.mul_f64(candidate.pace * (turns + 1.0)) + domain_cost
}

/// Draws an endpoint by a hash of the request, in proportion to its slots and to the inverse of its expected time;
/// a steeper preference moves the load from endpoint to endpoint in fleets of hundreds. Endpoints beyond the load
/// bound are drawn only if all are.
fn draw_by_wait<'a>(
    request_hash: u64,
    work: Duration,
    usable: &[&'a Candidate<'a>],
    bound: f64,
) -> Option<&'a Candidate<'a>> {
    let score = |candidate: &&Candidate<'_>| {
        let time = expected_time(candidate, work).as_secs_f64();
        let weight = f64::from(candidate.slots.max(1)) / time;
        // The least of exponentially distributed numbers falls to each one in proportion to its weight.
        let drawn = (rank(request_hash, candidate.id) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -drawn.ln() / weight
    };
    let all = || usable.iter().copied().map(|c| (score(&c), c));
    let within = usable.iter().copied().filter(|c| load(c) < bound);
    let within = within.map(|c| (score(&c), c));
    let least = within.min_by(|a, b| a.0.total_cmp(&b.0));
    let least = least.or_else(|| all().min_by(|a, b| a.0.total_cmp(&b.0)));
    least.map(|(_, candidate)| candidate)
}

/// Load of an endpoint when endpoints are compared: a slow one counts as if it held as many more requests as
/// work takes longer there.
fn load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.requests) * candidate.pace
}

/// A load as a number with a total order.
fn in_thousandths(load: f64) -> u64 {
    (load * 1000.0) as u64
}

/// The endpoint from which the chosen one should copy cached tokens, and how many that one has.
fn copy_source(choice: &Choice, candidates: &[Candidate<'_>]) -> Option<(EndpointId, u64)> {
    let reachable = candidates.iter().filter(|candidate| !candidate.avoid);
    let best = reachable.max_by_key(|candidate| candidate.cached)?;
    let more = best.cached >= choice.cached + MIN_GAIN_TOKENS;
    (more && best.id != choice.id).then(|| (best.id.to_string(), best.cached))
}

/// The candidates that take requests and are not avoided, or all that take requests if all are avoided.
fn usable<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> Vec<&'a Candidate<'a>> {
    let available = candidates.filter(|c| !c.leaving && !c.resting && !c.excluded);
    let mut available: Vec<&Candidate<'_>> = available.collect();
    if available.iter().any(|candidate| !candidate.avoid) {
        available.retain(|candidate| !candidate.avoid);
    }
    available
}

/// Whether the endpoints without a limit have so few free slots that the others are to take what the operators'
/// bound leaves beyond their limits.
fn is_crowded(usable: &[&Candidate<'_>]) -> bool {
    let unlimited = usable.iter().filter(|c| c.limit.is_none());
    let (load, slots) = unlimited.fold((0.0, 0.0), |(sum, slots), c| {
        (sum + load(c), slots + f64::from(c.slots))
    });
    load >= slots * CROWDED_SHARE
}

/// Mean of the requests outstanding at the usable candidates and those that rest. Without the latter, each resting
/// endpoint would raise the bound, and with it the load of the others. Limited endpoints count only if all are.
fn mean_load(candidates: &[Candidate<'_>]) -> f64 {
    let accepts = |c: &&Candidate<'_>| !c.leaving && !c.excluded;
    let all_limited = candidates.iter().filter(accepts).all(|c| c.limit.is_some());
    let accepting = || {
        let accepting = candidates.iter().filter(accepts);
        accepting.filter(|c| all_limited || c.limit.is_none())
    };
    let all_avoided = accepting().all(|c| c.resting || c.avoid);
    let counted = accepting().filter(|c| c.resting || all_avoided || !c.avoid);
    let (sum, count) = counted.fold((0, 0), |(sum, count), candidate| {
        (sum + u64::from(candidate.requests), count + 1)
    });
    sum as f64 / f64::from(count.max(1))
}

/// Picks two endpoints by hash and returns the one with fewer requests.
fn less_loaded_of_two<'a>(
    request_hash: u64,
    candidates: impl Iterator<Item = &'a Candidate<'a>>,
) -> Option<&'a Candidate<'a>> {
    let picked = first_by_rank(request_hash, candidates, 2).into_iter();
    picked.min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// The first candidates by rendezvous hash, in that order.
fn first_by_rank<'a>(
    key: u64,
    candidates: impl Iterator<Item = &'a Candidate<'a>>,
    count: usize,
) -> Vec<&'a Candidate<'a>> {
    let ranked = candidates.enumerate();
    let mut ranked: Vec<_> = ranked
        .map(|(at, candidate)| (Reverse(rank(key, candidate.id)), at, candidate))
        .collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by_key(count, |(rank, at, _)| (*rank, *at));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by_key(|(rank, at, _)| (*rank, *at));
    ranked
        .into_iter()
        .map(|(.., candidate)| candidate)
        .collect()
}

fn rank(key: u64, id: &str) -> u64 {
    hash_parts(&[&key.to_le_bytes(), id.as_bytes()])
}

fn choice(candidate: &Candidate<'_>, mean: f64) -> Choice {
    Choice {
        id: candidate.id.to_string(),
        requests: candidate.requests,
        mean,
        cached: candidate.cached,
        fetch: None,
        needs: None,
    }
}
