//! A cold endpoint that all routers of a fleet want to send to at once, while they do not agree on how
//! many they are.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{
    ColdBooking, ColdEndpoint, ColdLimit, ColdShare, ColdStarts, KnownRouters,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LIMIT: ColdLimit = ColdLimit {
    overshoot: 1.5,
    tolerance: 5.0,
};
/// Requests per second that a cold endpoint tolerates, and the budget that follows.
const PER_SECOND: f64 = 17.0;
const BUDGET: usize = 30;
/// An endpoint that tolerates these requests.
const ENDPOINT: ColdEndpoint<'static> = ColdEndpoint {
    id: "e1",
    boot: "7",
    per_second: PER_SECOND,
};
/// Numbers of routers.
const SIZES: &[usize] = &[1, 7, 31, 84, 370];
const TICK_MS: u64 = 20;
/// Messages between routers that are lost.
const LOSS: f64 = 0.05;
/// Names of other routers that a router hears in a second in a large fleet.
const NAMES_PER_SECOND: f64 = 16.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A router of the model, with what limits it.
struct Sender {
    routers: KnownRouters,
    /// The routers that it knows and sends messages to.
    known: BTreeSet<usize>,
    starts: ColdStarts,
    /// The request that is held until the router's share returns.
    held: Option<ColdBooking>,
    /// When it read the list of routers; 0 for routers that run for long.
    joined_ms: u64,
    cut_off: bool,
}

/// A fleet with shares of its routers cut off from the others, or just started.
struct Fleet {
    routers: usize,
    cut_off: f64,
    started: f64,
    seconds: u64,
}

impl Fleet {
    /// Ids of the routers that run for long come first.
    fn id(index: usize) -> String {
        format!("edge-{index}")
    }

    fn senders(&self, rng: &mut StdRng) -> Vec<Sender> {
        let new = (self.routers as f64 * self.started).round() as usize;
        let old = self.routers - new;
        let senders = (0..self.routers).map(|index| {
            let mut routers = KnownRouters::new(&Fleet::id(index));
            let mut known = BTreeSet::new();
            // A new router finds the rows of some of the others that start with it.
            let listed = |other: usize, rng: &mut StdRng| {
                other < old || index >= old && rng.random_bool(0.3)
            };
            let joined_ms = if index < old {
                0
            } else {
                rng.random_range(100_000..101_500)
            };
            for other in 0..self.routers {
                if listed(other, rng) {
                    known.insert(other);
                    routers.learn(&Fleet::id(other));
                }
            }
            routers.join(ms(joined_ms));
            Sender {
                routers,
                known,
                starts: ColdStarts::new(LIMIT),
                held: None,
                joined_ms,
                cut_off: index < old && rng.random_bool(self.cut_off),
            }
        });
        senders.collect()
    }

    /// Lets every router try to send in each tick of a time. Returns the largest number of requests that
    /// were sent and arrived within one second, and the number of all.
    fn run(&self, seed: u64) -> (usize, usize) {
        let end = 100_000 + self.seconds * 1000;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut senders = self.senders(&mut rng);
        let mut sent: Vec<(u64, u64)> = Vec::new();
        for now in (100_000..end).step_by(TICK_MS as usize) {
            self.exchange(&mut senders, now, &mut rng);
            for sender in senders.iter_mut().filter(|sender| now >= sender.joined_ms) {
                let held = sender.held.take_if(|held| ms(now) >= held.at);
                let sends = held.is_some_and(|held| {
                    let starts = &mut sender.starts;
                    starts.try_send(&ENDPOINT, Some(&held), &sender.routers, ms(now))
                });
                if sends {
                    sent.push((now, now + rng.random_range(0..100)));
                }
                while sender
                    .starts
                    .try_send(&ENDPOINT, None, &sender.routers, ms(now))
                {
                    sent.push((now, now + rng.random_range(0..100)));
                }
                if sender.held.is_none() && rng.random_bool(0.5) {
                    let starts = &mut sender.starts;
                    sender.held = starts.book(&ENDPOINT, &sender.routers, ms(now));
                }
            }
        }
        let within = |from: u64| {
            let inside = |(sent, arrived): &&(u64, u64)| *sent >= from && *arrived < from + 1000;
            sent.iter().filter(inside).count()
        };
        let starts = (100_000..end).step_by(TICK_MS as usize);
        (starts.map(within).max().unwrap_or_default(), sent.len())
    }

    /// Routers that joined tell those on their lists each second; and each router hears names of others.
    fn exchange(&self, senders: &mut [Sender], now: u64, rng: &mut StdRng) {
        let mut heard: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let reach = |a: &Sender, b: &Sender| a.cut_off == b.cut_off;
        for (index, sender) in senders.iter().enumerate() {
            let age = now.checked_sub(sender.joined_ms);
            let announces = age.is_some_and(|age| age < 10_000 && age % 1000 < TICK_MS);
            for other in sender.known.iter().filter(|_| announces) {
                if reach(sender, &senders[*other]) && !rng.random_bool(LOSS) {
                    heard.entry(*other).or_default().push(index);
                }
            }
        }
        let per_tick = NAMES_PER_SECOND * TICK_MS as f64 / 1000.0;
        for (index, sender) in senders.iter().enumerate() {
            let from = &senders[rng.random_range(0..senders.len())];
            let joined = now >= from.joined_ms && now >= sender.joined_ms;
            if joined && reach(sender, from) && rng.random_bool(per_tick) {
                let name = from.known.iter().choose(rng);
                heard.entry(index).or_default().extend(name);
            }
        }
        for (index, names) in heard {
            for name in names {
                senders[index].known.insert(name);
                senders[index].routers.hear(&Fleet::id(name), ms(now));
            }
        }
    }
}

/// Checks the budget in fleets of these sizes with several seeds.
fn assert_bound(sizes: &[usize], seconds: u64, cut_off: f64, started: f64) {
    for routers in sizes.iter().copied() {
        for seed in 0..6 {
            let fleet = Fleet {
                routers,
                cut_off,
                started,
                seconds,
            };
            let (peak, all) = fleet.run(seed);
            assert!(peak <= BUDGET, "{routers} routers, seed {seed}: {peak}");
            assert!(all > 0, "{routers} routers, seed {seed}: nothing was sent");
        }
    }
}

/// Guards against a cold endpoint that gets more than it tolerates, because the routers' shares add up to
/// more than its budget, or that is never used, because they round to nothing.
#[test]
fn a_whole_fleet_stays_within_the_budget() {
    assert_bound(SIZES, 8, 0.0, 0.0);
}

/// Guards against routers that take the share of those that they no longer hear.
#[test]
fn a_tenth_that_is_cut_off_counts() {
    assert_bound(SIZES, 8, 0.1, 0.0);
}

/// Guards against routers that start at once and take too large a share, since they joined with lists that
/// lack each other, while the older routers do not count them yet.
#[test]
fn a_third_that_just_started_waits_for_its_share() {
    assert_bound(SIZES, 8, 0.0, 0.34);
    assert_bound(SIZES, 8, 0.1, 0.34);
}

/// Guards against a fleet that starts as a whole, each router with a list of a few others, and floods the
/// first endpoints that are up.
#[test]
fn a_fleet_that_starts_as_a_whole_stays_within_the_budget() {
    assert_bound(&[1, 7, 31, 84], 30, 0.0, 1.0);
    // 370 routers may need longer until they know each other, so that they need not send yet.
    let fleet = Fleet {
        routers: 370,
        cut_off: 0.0,
        started: 1.0,
        seconds: 30,
    };
    for seed in 0..3 {
        let (peak, _) = fleet.run(seed);
        assert!(peak <= BUDGET, "seed {seed}: {peak}");
    }
}

/// Guards against a router that sends to cold endpoints before it knows of other routers.
#[test]
fn a_router_without_a_list_sends_nothing() {
    let routers = KnownRouters::new("edge-1");
    let mut starts = ColdStarts::new(LIMIT);
    assert!(!starts.try_send(&ENDPOINT, None, &routers, ms(600_000)));
}

/// Guards against shares whose sum exceeds four fifths of the budget, for any number of routers and rate.
#[test]
fn shares_add_up_to_the_allocated_part() {
    for routers in 1..400 {
        for per_second in [0.5, 1.0, 6.0, 17.0, 300.0] {
            let budget = (per_second * LIMIT.overshoot + LIMIT.tolerance).floor();
            let share = ColdShare::new(&LIMIT, per_second, routers);
            let sum = share.each * share.senders;
            assert!(
                sum as f64 <= 0.8 * budget,
                "{routers} {per_second} {share:?}"
            );
            assert!(sum > 0, "{routers} {per_second} {share:?}");
        }
    }
}

/// Guards against requests that overtake held ones, against held ones that add to the share, and against a
/// share that is lost with a held request that is given up.
#[test]
fn a_held_request_keeps_its_place() {
    let mut routers = KnownRouters::new("edge-1");
    routers.join(ms(0));
    let mut starts = ColdStarts::new(LIMIT);
    let endpoint = ColdEndpoint {
        per_second: 0.5,
        ..ENDPOINT
    };
    for at in [10_000, 10_100, 10_200, 10_300] {
        assert!(starts.try_send(&endpoint, None, &routers, ms(at)));
    }
    let mut book = || starts.book(&endpoint, &routers, ms(10_500));
    let held: Vec<ColdBooking> = (0..4).filter_map(|_| book()).collect();
    assert_eq!(book(), None);
    let times: Vec<Duration> = held.iter().map(|held| held.at).collect();
    assert_eq!(times, [11_100, 11_200, 11_300, 11_400].map(ms));
    assert!(!starts.try_send(&endpoint, None, &routers, ms(11_150)));
    assert!(starts.try_send(&endpoint, Some(&held[0]), &routers, ms(11_150)));
    assert!(!starts.try_send(&endpoint, Some(&held[0]), &routers, ms(11_250)));
    starts.cancel(&held[1]);
    assert!(starts.try_send(&endpoint, None, &routers, ms(11_250)));
    assert!(!starts.try_send(&endpoint, None, &routers, ms(11_250)));
}

/// Guards against a large fleet that leaves most of a cold endpoint's budget unused: four fifths of it, 24 of
/// 30 requests in each 1.1 s, are sent if the routers know each other.
#[test]
fn a_large_fleet_uses_four_fifths_of_the_budget() {
    for routers in [31, 84, 370] {
        let fleet = Fleet {
            routers,
            cut_off: 0.0,
            started: 0.0,
            seconds: 8,
        };
        let (peak, all) = fleet.run(1);
        assert_eq!(peak, 24, "{routers} routers");
        // The routers of the model send after about a second, once they have heard 16 names.
        assert!(all >= 6 * 24, "{routers} routers: {all}");
    }
}
