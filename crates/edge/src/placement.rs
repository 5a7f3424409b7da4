//! Choice of an endpoint for a request.

use sequoiaridge_core::{EndpointId, hash_parts};
use std::cmp::Reverse;
use std::time::Duration;

/// What is known of an endpoint that could run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub id: &'a str,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests outstanding there, of all routers.
    pub requests: u32,
    /// Prompt tokens outstanding there that are yet to be read.
    pub unread: u32,
    /// Leading tokens of the prompt that it has cached.
    pub cached: u64,
    /// Whether it takes no new requests. Others may still copy from it what it has cached.
    pub leaving: bool,
    /// Whether it is in the router's own failure domain.
    pub near: bool,
    /// Whether it is left out while another one can run the request.
    pub avoid: bool,
    /// Whether it asked to be left alone for now.
    pub resting: bool,
}

/// What prompts share, so that they are best read by one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subject {
    /// Key of the group of prompts.
    pub key: u64,
    /// Leading tokens that they share; at least 1, since nothing shared is nowhere cached.
    pub tokens: u64,
}

/// A chosen endpoint, with what decided.
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
    /// Another endpoint that has more of the prompt cached, and how many tokens.
    pub fetch: Option<(EndpointId, u64)>,
    /// Endpoints that the subject needs, if that is more than those over which it is spread.
    pub needs: Option<usize>,
}

/// Rules for the choice.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Multiple of the mean load above which an endpoint gets no more requests.
    pub multiple: f64,
    /// Requests beyond that multiple, so that small means do not scatter prompts.
    pub slack: f64,
    /// Where the counts of requests are old, a number that differs between requests: it draws two of the
    /// endpoints that have a subject cached, and the one with less work takes the prompt. If all routers
    /// chose the least of all, they would fill the same endpoint until they hear of it.
    pub draw: Option<u64>,
    /// Endpoints over which the subject is spread where the counts are old; see [`HotSubjects`](crate::HotSubjects).
    pub spread: usize,
}

/// Part of an endpoint's slots that may wait: requests last about a second, so the last one waits for a
/// quarter of that, within the targets of all classes.
const QUEUE_PART: u32 = 4;
/// Requests for each slot that may wait at a plain service while another of its endpoints rests: what was
/// sent to that one would fill the next ones, which would then ask for a rest, too.
const TURNS_WAITING: u32 = 1;
/// Part of the operators' multiple that is used; the rest covers counts that are a little old.
const MULTIPLE_PART: f64 = 0.875;
/// The operators' multiple unless it is set.
const MULTIPLE: f64 = 2.0;

impl Default for Placement {
    fn default() -> Placement {
        Placement::with_bound(MULTIPLE)
    }
}

/// Time that a plain service in another failure domain costs: one round trip between domains.
const REMOTE_COST: Duration = Duration::from_millis(7);
/// Tokens below which a difference in what is cached does not decide. Reading them takes 2 ms, as
/// much as setting up a copy.
const WORTH_MOVING: u64 = 256;

impl Placement {
    /// Rules that keep every endpoint within a multiple of the mean load, and 3 requests.
    pub fn with_bound(multiple: f64) -> Placement {
        Placement {
            multiple: (multiple * MULTIPLE_PART).max(1.0),
            slack: 2.0,
            draw: None,
            spread: 1,
        }
    }

    /// Chooses an endpoint for a prompt: of those within the bound on load one that has the subject
    /// cached, and of these the one with most of the prompt, then the one with the least work, of all or
    /// of two that are drawn. Where no such endpoint has the subject, the rank for it alone decides, so
    /// that routers that do not know of each other's choices agree.
    pub fn for_prompt(&self, subject: &Subject, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let usable = usable(candidates);
        let mean = mean(&staying(candidates, &usable));
        let bound = mean * self.multiple + self.slack;
        let open = usable.iter().copied();
        let open: Vec<&Candidate<'_>> = open.filter(|c| is_open(c, bound)).collect();
        let order = |candidate: &&Candidate<'_>| {
            let has = candidate.cached >= subject.tokens;
            let cached = if has { candidate.cached } else { 0 };
            let work = if has { candidate.requests } else { 0 };
            let rank = rank(subject.key, candidate.id);
            (has, cached / WORTH_MOVING, Reverse(work), rank)
        };
        let mut best = open.iter().copied().max_by_key(order)?;
        let mut needs = None;
        if let Some(draw) = self.draw {
            let homes = self.homes(subject, &usable);
            needs = self.needs(&homes, mean, bound);
            // An endpoint that also knows the chat is better than any other.
            if best.cached < subject.tokens + WORTH_MOVING {
                let drawn = self.draw_home(draw, subject, &homes, &open, bound);
                best = drawn.unwrap_or(best);
            }
        }
        let mut choice = choice(best, mean);
        choice.needs = needs;
        choice.fetch = source(&choice, candidates);
        Some(choice)
    }

    /// Draws one of the endpoints over which a hot subject is spread, or of those that have another one
    /// cached; `None` if there is none.
    fn draw_home<'a>(
        &self,
        draw: u64,
        subject: &Subject,
        homes: &[&'a Candidate<'a>],
        open: &[&'a Candidate<'a>],
        bound: f64,
    ) -> Option<&'a Candidate<'a>> {
        if self.spread > 1 {
            let homes = homes.iter().copied();
            return less_loaded_of_two(draw, homes.filter(|home| is_open(home, bound)));
        }
        let holders = open.iter().copied();
        less_loaded_of_two(draw, holders.filter(|c| c.cached >= subject.tokens))
    }

    /// The endpoints over which a subject is spread: the first by rank.
    fn homes<'a>(&self, subject: &Subject, usable: &[&'a Candidate<'a>]) -> Vec<&'a Candidate<'a>> {
        let mut ranked: Vec<(u64, &Candidate<'_>)> = usable
            .iter()
            .map(|candidate| (rank(subject.key, candidate.id), *candidate))
            .collect();
        ranked.sort_by_key(|(rank, _)| Reverse(*rank));
        let homes = ranked.into_iter().take(self.spread.max(1));
        homes.map(|(_, home)| home).collect()
    }

    /// Endpoints that a subject needs for what its homes have beyond the bound: each further one takes
    /// what lies between the mean and the bound.
    fn needs(&self, homes: &[&Candidate<'_>], mean: f64, bound: f64) -> Option<usize> {
        let beyond = homes.iter().map(|home| f64::from(home.requests) - bound);
        let beyond: f64 = beyond
            .filter(|beyond| *beyond >= 0.0)
            .map(|beyond| beyond + 1.0)
            .sum();
        let more = (beyond / (bound - mean).max(1.0)).ceil() as usize;
        (more > 0).then_some(homes.len() + more)
    }

    /// Chooses an endpoint for a request of a plain service: the one with the shortest expected wait.
    pub fn for_service(
        &self,
        draw: u64,
        work: Duration,
        candidates: &[Candidate<'_>],
    ) -> Option<Choice> {
        let usable = usable(candidates);
        let others_rest = candidates.iter().any(|candidate| candidate.resting);
        let mean = mean(&staying(candidates, &usable));
        let cost = |candidate: &Candidate<'_>| {
            let turns = f64::from(candidate.requests) / f64::from(candidate.slots.max(1));
            let far = if candidate.near {
                Duration::ZERO
            } else {
                REMOTE_COST
            };
            let cost = work.mul_f64(turns) + far;
            (cost, rank(draw, candidate.id))
        };
        let best = usable.iter().min_by_key(|candidate| cost(candidate))?;
        let full = best.requests >= best.slots.saturating_mul(1 + TURNS_WAITING);
        (!others_rest || !full).then(|| choice(best, mean))
    }
}

/// Whether an endpoint takes one more request within a bound on load.
fn is_open(candidate: &Candidate<'_>, bound: f64) -> bool {
    f64::from(candidate.requests) < bound && candidate.requests < room(candidate)
}

/// Requests that an endpoint takes: those that it runs, and a short queue.
fn room(candidate: &Candidate<'_>) -> u32 {
    candidate.slots + candidate.slots.div_ceil(QUEUE_PART)
}

/// The endpoint from which the chosen one should copy what it lacks.
fn source(choice: &Choice, candidates: &[Candidate<'_>]) -> Option<(EndpointId, u64)> {
    let reachable = candidates.iter().filter(|candidate| !candidate.avoid);
    let best = reachable.max_by_key(|candidate| candidate.cached)?;
    let more = best.cached >= choice.cached + WORTH_MOVING;
    (more && best.id != choice.id).then(|| (best.id.to_string(), best.cached))
}

/// The candidates that take requests and are not avoided, or all that take requests if every one is.
fn usable<'a>(candidates: &'a [Candidate<'a>]) -> Vec<&'a Candidate<'a>> {
    let open = candidates.iter().filter(|c| !c.leaving && !c.resting);
    let open: Vec<&Candidate<'_>> = open.collect();
    if open.iter().all(|candidate| candidate.avoid) {
        return open;
    }
    open.into_iter()
        .filter(|candidate| !candidate.avoid)
        .collect()
}

/// The candidates whose load the mean is taken of: the usable ones, and those that rest. Without the latter
/// the bound would rise by each endpoint that rests, and the load of the others with it.
fn staying<'a>(
    candidates: &'a [Candidate<'a>],
    usable: &[&'a Candidate<'a>],
) -> Vec<&'a Candidate<'a>> {
    let resting = candidates.iter().filter(|c| c.resting && !c.leaving);
    usable.iter().copied().chain(resting).collect()
}

/// Of two endpoints that are drawn, the one with fewer requests.
fn less_loaded_of_two<'a>(
    draw: u64,
    candidates: impl Iterator<Item = &'a Candidate<'a>>,
) -> Option<&'a Candidate<'a>> {
    let mut ranked: Vec<_> = candidates
        .map(|candidate| (rank(draw, candidate.id), candidate))
        .collect();
    ranked.sort_by_key(|(rank, _)| Reverse(*rank));
    let drawn = ranked.into_iter().take(2).map(|(_, candidate)| candidate);
    drawn.min_by_key(|candidate| candidate.requests)
}

fn mean(candidates: &[&Candidate<'_>]) -> f64 {
    let sum: u32 = candidates.iter().map(|candidate| candidate.requests).sum();
    f64::from(sum) / candidates.len().max(1) as f64
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
