//! Brittle endpoints, and a fleet so large that its routers know each other's requests only from old counts.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{Candidate, Placement};
use std::collections::BTreeMap;
use std::time::Duration;

const IDS: [&str; 6] = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
const SLOTS: u32 = 6;
/// Requests that an endpoint lets wait.
const QUEUE: usize = 6;
/// Rejections that an endpoint bears in a second.
const REJECTIONS: u32 = 3;
const ROUTERS: usize = 68;
const RUN_TIME: f64 = 0.06;
/// Share of what all slots can run that callers ask for.
const DEMAND: f64 = 0.45;
const TICK: Duration = Duration::from_millis(2);
const TIME: Duration = Duration::from_secs(20);
/// Time between two reports of an endpoint that reach all routers.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);

/// Requests at each endpoint.
type Counts = [u32; IDS.len()];

fn candidates(counts: &Counts) -> Vec<Candidate<'static>> {
    let endpoints = IDS.iter().zip(counts);
    let candidates = endpoints.map(|(id, requests)| Candidate {
        id,
        slots: SLOTS,
        requests: *requests,
        unread: 0,
        cached: 0,
        eligible: true,
        leaving: false,
        same_domain: true,
        avoid: false,
        resting: false,
        excluded: false,
        limit: None,
        pace: 1.0,
    });
    candidates.collect()
}

/// Plays a fleet, and returns how often an endpoint had to reject more in a second than it bears.
fn falls(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let placement = Placement {
        brittle: true,
        request_hash: Some(0),
        ..Placement::default()
    };
    let rate = DEMAND * f64::from(SLOTS) * IDS.len() as f64 / RUN_TIME;
    let (mut now, mut number) = (Duration::ZERO, 0);
    // Ends of the requests that run at each endpoint, and the counts that each router knows.
    let mut ends: [Vec<Duration>; IDS.len()] = Default::default();
    let mut known = vec![Counts::default(); ROUTERS];
    let mut rejected: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    while now < TIME {
        now += TICK;
        for ends in &mut ends {
            ends.retain(|end| *end > now);
        }
        let counts: Counts = std::array::from_fn(|endpoint| ends[endpoint].len() as u32);
        for endpoint in 0..IDS.len() {
            // Endpoints report one after the other.
            let offset = NEWS_INTERVAL / IDS.len() as u32 * endpoint as u32;
            if (now + offset).as_millis() % NEWS_INTERVAL.as_millis() < TICK.as_millis() {
                let reported = counts[endpoint];
                known
                    .iter_mut()
                    .for_each(|known| known[endpoint] = reported);
            }
        }
        let mut expected = rate * TICK.as_secs_f64();
        while rng.random_bool(expected.clamp(0.0, 1.0)) {
            expected -= 1.0;
            number += 1;
            let known = &mut known[rng.random_range(0..ROUTERS)];
            let work = Duration::from_secs_f64(RUN_TIME);
            let choice = placement.for_service(number, work, &candidates(known));
            let Some(choice) = choice else {
                continue;
            };
            let chosen = IDS.iter().position(|id| *id == choice.id);
            let chosen = chosen.expect("an endpoint");
            known[chosen] += 1;
            let ends = &mut ends[chosen];
            if ends.len() >= SLOTS as usize + QUEUE {
                *rejected.entry((chosen, now.as_secs())).or_default() += 1;
                continue;
            }
            let before = ends.len().saturating_sub(SLOTS as usize - 1) as f64;
            let time = RUN_TIME * (rng.random_range(0.5..1.5) + before / f64::from(SLOTS));
            ends.push(now + Duration::from_secs_f64(time));
        }
    }
    let falls = rejected.values().filter(|count| **count > REJECTIONS);
    falls.count()
}

/// Guards against brittle endpoints that crash at less than half of the load that they can take, because all routers
/// send to the one that had the fewest requests when they last heard.
#[test]
fn old_counts_do_not_make_brittle_endpoints_crash() {
    let falls: Vec<usize> = (1..=5).map(falls).collect();
    assert!(falls.iter().all(|falls| *falls <= 2), "{falls:?}");
}
