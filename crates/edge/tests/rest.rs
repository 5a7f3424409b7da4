//! Endpoints that ask for a rest, and a fleet of routers that grants it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{Candidate, Placement, RestOutcome, RestRequest, Rests};
use std::collections::VecDeque;
use std::time::Duration;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Guards against an endpoint that gets requests too early or never again, or whose rest is cut
/// short by a later and shorter one.
#[test]
fn a_rest_lasts_as_long_as_asked_and_ends() {
    let mut rests = Rests::new();
    let now = secs(10.0);
    let granted = rests.request("e", RestRequest::For(secs(2.0)), now, &mut rng());
    let RestOutcome::Until(until) = granted else {
        panic!("{granted:?}");
    };
    assert!((secs(12.0)..=secs(12.2)).contains(&until), "{until:?}");
    rests.request("e", RestRequest::For(secs(0.5)), now, &mut rng());
    assert_eq!(rests.until("e", secs(11.9)), Some(until));
    assert_eq!(rests.until("other", now), None);
    assert_eq!(rests.until("e", until), None);
    assert!(rests.expire(secs(11.0)).is_empty());
    assert_eq!(rests.expire(until), ["e"]);
    assert!(rests.is_empty());
}

/// Guards against an endpoint that is out of service for a day because it asked for too long a
/// rest.
#[test]
fn a_rest_is_bounded() {
    let mut rests = Rests::new();
    let asked = RestRequest::For(secs(1e9));
    let granted = rests.request("e", asked, Duration::ZERO, &mut rng());
    let RestOutcome::Shortened(until) = granted else {
        panic!("{granted:?}");
    };
    assert!(until <= secs(330.0));
    let malformed = rests.request("f", RestRequest::Malformed, Duration::ZERO, &mut rng());
    assert_eq!(malformed, RestOutcome::Ignored);
    assert_eq!(rests.until("f", Duration::ZERO), None);
}

const SLOTS: u32 = 6;
/// Requests that queue at an endpoint beyond its slots before it rejects others.
const MAX_QUEUE: u32 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(60);
const TICK: Duration = Duration::from_millis(5);
/// Length of the rest that a full endpoint asks for.
const REST_TIME: Duration = Duration::from_secs(2);

/// Start and end of the overload.
const OVERLOAD: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(7));

/// Time in which full endpoints empty their queues, and routers learn of it.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Counts of requests in one run, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    served: u32,
    /// Rejected by an endpoint.
    rejected: u32,
    /// Refused by a router without being sent to an endpoint.
    refused: u32,
    /// Sent to an endpoint that had asked their router for a rest.
    while_resting: u32,
    /// Served, and not served, after the overload and the rests that it caused.
    served_later: u32,
    lost_later: u32,
}

fn by_router(queue: &VecDeque<(Duration, usize)>, routers: usize) -> Vec<u32> {
    let mut counts = vec![0; routers];
    for (_, router) in queue {
        counts[*router] += 1;
    }
    counts
}

/// Simulates a plain service that is overloaded for some time, behind `routers` routers. With
/// `shared`, a rest that one router is asked for applies at all of them.
fn simulate(routers: usize, endpoints: usize, shared: bool) -> Outcome {
    let mut rng = rng();
    let mut outcome = Outcome::default();
    let mut rests = vec![Rests::new(); routers];
    let ids: Vec<String> = (0..endpoints).map(|index| format!("e{index}")).collect();
    // For the requests at each endpoint, in order: when they end, and their routers.
    let mut queues: Vec<VecDeque<(Duration, usize)>> = vec![VecDeque::new(); endpoints];
    // Each router knows its own requests at once, and those of the others after a tenth of a
    // second.
    let mut past_counts: VecDeque<Vec<Vec<u32>>> = VecDeque::new();
    let capacity = endpoints as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let mut now = secs(1.0);
    let mut arrivals = 0.0;
    while now < secs(11.0) {
        now += TICK;
        for queue in &mut queues {
            while queue.front().is_some_and(|(end, _)| *end <= now) {
                queue.pop_front();
            }
        }
        past_counts.push_back(
            queues
                .iter()
                .map(|queue| by_router(queue, routers))
                .collect(),
        );
        if past_counts.len() > 20 {
            past_counts.pop_front();
        }
        let overloaded = (OVERLOAD.0..OVERLOAD.1).contains(&now);
        arrivals += capacity * TICK.as_secs_f64() * if overloaded { 1.5 } else { 0.6 };
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let router = rng.random_range(0..routers);
            let counts = past_counts.front().expect("counts").iter().zip(&queues);
            let known = counts.map(|(counts, queue)| {
                let own = queue.iter().filter(|(_, of)| *of == router).count();
                counts.iter().sum::<u32>() - counts[router] + own as u32
            });
            let candidates = ids.iter().zip(known).map(|(id, requests)| Candidate {
                id,
                slots: SLOTS,
                requests,
                unread: 0,
                cached: 0,
                eligible: true,
                leaving: false,
                same_domain: true,
                avoid: false,
                resting: rests[router].until(id, now).is_some(),
                excluded: false,
                limit: None,
                pace: 1.0,
            });
            let candidates: Vec<Candidate<'_>> = candidates.collect();
            let choice = Placement::default().for_service(rng.random(), SERVICE_TIME, &candidates);
            let recovered = now > OVERLOAD.1 + SETTLE_TIME + REST_TIME.mul_f64(1.1);
            let Some(choice) = choice else {
                outcome.refused += 1;
                outcome.lost_later += u32::from(recovered);
                continue;
            };
            let index = ids
                .iter()
                .position(|id| *id == choice.id)
                .expect("an endpoint");
            let queue = &mut queues[index];
            if rests[router].until(&choice.id, now).is_some() {
                outcome.while_resting += 1;
            }
            if queue.len() as u32 >= SLOTS + MAX_QUEUE {
                outcome.rejected += 1;
                outcome.lost_later += u32::from(recovered);
                let asked = RestRequest::For(REST_TIME);
                let informed = if shared {
                    0..routers
                } else {
                    router..router + 1
                };
                for router in informed {
                    rests[router].request(&choice.id, asked, now, &mut rng);
                }
                continue;
            }
            let slots = SLOTS as usize;
            let start = queue.iter().rev().nth(slots - 1);
            let start = start.map_or(now, |(end, _)| now.max(*end));
            queue.push_back((start + SERVICE_TIME, router));
            outcome.served += 1;
            outcome.served_later += u32::from(recovered);
        }
    }
    outcome
}

/// Guards against requests to a resting endpoint, against a service that idles because routers
/// share a rest that one of them was asked for, and against one that is not used again. For four
/// seconds, a plain service gets half as many requests again as it can serve, and its endpoints
/// reject requests and ask for a rest.
#[test]
fn an_overloaded_service_is_used_while_some_endpoints_rest() {
    for (routers, endpoints) in [(9, 4), (86, 4), (295, 6)] {
        let separate = simulate(routers, endpoints, false);
        let shared = simulate(routers, endpoints, true);
        println!(
            "{routers} routers, {endpoints} endpoints: separate {separate:?}; shared {shared:?}"
        );
        assert_eq!((separate.while_resting, shared.while_resting), (0, 0));
        assert!(separate.served > shared.served, "{routers} routers");
        // The service counts as idle if half of the requests that it has room for are lost.
        assert!(
            separate.lost_later < separate.served_later,
            "{routers} routers"
        );
    }
}
