//! Endpoints that ask to be left alone, and what a fleet of routers makes of it.

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

/// Guards against an endpoint that is asked too early, that is never asked again, or whose rest is cut short
/// by a later and shorter one.
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

/// Guards against an endpoint that is lost for the day by a mistake of its own.
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
/// Requests that wait at an endpoint beyond its slots before it turns others away.
const QUEUE: u32 = 12;
const WORK: Duration = Duration::from_millis(60);
const TICK: Duration = Duration::from_millis(5);
/// For how long a full endpoint asks to be left alone.
const REST: Duration = Duration::from_secs(2);

/// When more is asked than the service can do.
const PRESSED: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(7));

/// Time in which full endpoints empty, and routers hear of it.
const FULL: Duration = Duration::from_millis(300);

/// What became of the requests of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    served: u32,
    /// Turned away by an endpoint.
    turned_away: u32,
    /// Refused by a router without asking an endpoint.
    refused: u32,
    /// Reached an endpoint that had asked their router to leave it alone.
    unwanted: u32,
    /// Served, and not, when the pressure and the rests that it caused are over.
    served_after: u32,
    lost_after: u32,
}

fn by_router(queue: &VecDeque<(Duration, usize)>, routers: usize) -> Vec<u32> {
    let mut counts = vec![0; routers];
    for (_, router) in queue {
        counts[*router] += 1;
    }
    counts
}

/// A plain service with more than its share of requests for some time, before `routers` routers. With
/// `tell`, a rest that one router is asked for counts at all of them.
fn play(routers: usize, endpoints: usize, tell: bool) -> Outcome {
    let mut rng = rng();
    let mut outcome = Outcome::default();
    let mut rests = vec![Rests::new(); routers];
    let ids: Vec<String> = (0..endpoints).map(|index| format!("e{index}")).collect();
    // Ends and routers of the requests at each endpoint, in their order.
    let mut queues: Vec<VecDeque<(Duration, usize)>> = vec![VecDeque::new(); endpoints];
    // Each router knows its own requests, and hears those of all a tenth of a second late.
    let mut told: VecDeque<Vec<Vec<u32>>> = VecDeque::new();
    let capacity = endpoints as f64 * f64::from(SLOTS) / WORK.as_secs_f64();
    let mut now = secs(1.0);
    let mut due = 0.0;
    while now < secs(11.0) {
        now += TICK;
        for queue in &mut queues {
            while queue.front().is_some_and(|(end, _)| *end <= now) {
                queue.pop_front();
            }
        }
        told.push_back(
            queues
                .iter()
                .map(|queue| by_router(queue, routers))
                .collect(),
        );
        if told.len() > 20 {
            told.pop_front();
        }
        let pressed = (PRESSED.0..PRESSED.1).contains(&now);
        due += capacity * TICK.as_secs_f64() * if pressed { 1.5 } else { 0.6 };
        while due >= 1.0 {
            due -= 1.0;
            let router = rng.random_range(0..routers);
            let heard = told.front().expect("counts").iter().zip(&queues);
            let known = heard.map(|(heard, queue)| {
                let own = queue.iter().filter(|(_, of)| *of == router).count();
                heard.iter().sum::<u32>() - heard[router] + own as u32
            });
            let candidates = ids.iter().zip(known).map(|(id, requests)| Candidate {
                id,
                slots: SLOTS,
                requests,
                unread: 0,
                cached: 0,
                leaving: false,
                same_domain: true,
                avoid: false,
                resting: rests[router].until(id, now).is_some(),
            });
            let candidates: Vec<Candidate<'_>> = candidates.collect();
            let choice = Placement::default().for_service(rng.random(), WORK, &candidates);
            let over = now > PRESSED.1 + FULL + REST.mul_f64(1.1);
            let Some(choice) = choice else {
                outcome.refused += 1;
                outcome.lost_after += u32::from(over);
                continue;
            };
            let index = ids
                .iter()
                .position(|id| *id == choice.id)
                .expect("an endpoint");
            let queue = &mut queues[index];
            if rests[router].until(&choice.id, now).is_some() {
                outcome.unwanted += 1;
            }
            if queue.len() as u32 >= SLOTS + QUEUE {
                outcome.turned_away += 1;
                outcome.lost_after += u32::from(over);
                let asked = RestRequest::For(REST);
                let hearing = if tell { 0..routers } else { router..router + 1 };
                for router in hearing {
                    rests[router].request(&choice.id, asked, now, &mut rng);
                }
                continue;
            }
            let slots = SLOTS as usize;
            let start = queue.iter().rev().nth(slots - 1);
            let start = start.map_or(now, |(end, _)| now.max(*end));
            queue.push_back((start + WORK, router));
            outcome.served += 1;
            outcome.served_after += u32::from(over);
        }
    }
    outcome
}

/// Pattern: a plain service gets half as much again as it can serve for four seconds, and its endpoints turn
/// requests away and ask to be left alone. Guards against requests that reach one that rests, against a
/// service that is left idle because routers tell each other what was asked of one of them, and against
/// one that is not used again.
#[test]
fn a_service_under_pressure_is_used_while_parts_of_it_rest() {
    for (routers, endpoints) in [(9, 4), (86, 4), (295, 6)] {
        let each = play(routers, endpoints, false);
        let all = play(routers, endpoints, true);
        println!("{routers} routers, {endpoints} endpoints: asked alone {each:?}; told {all:?}");
        assert_eq!((each.unwanted, all.unwanted), (0, 0));
        assert!(each.served > all.served, "{routers} routers");
        // Idle is a service that loses half of what it has room for.
        assert!(each.lost_after < each.served_after, "{routers} routers");
    }
}
