//! Limits that endpoints name, and fleets of routers that keep them together.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{
    KnownRouters, LimitChange, LimitRoom, LimitSenders, LimitedEndpoint, NamedLimit, NamedLimits,
};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answers in which the share of the limit that is used is measured.
const TIME: Duration = Duration::from_secs(40);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A fleet with uneven callers: the last router gets several times the requests of the first.
struct Fleet {
    routers: Vec<KnownRouters>,
    senders: Vec<LimitSenders>,
    weights: Vec<f64>,
}

impl Fleet {
    /// Creates a fleet in which each router lacks `unknown` of the others.
    fn new(count: usize, unknown: usize) -> Fleet {
        let name = |index: usize| format!("r{index}");
        let routers = (0..count).map(|own| {
            let mut routers = KnownRouters::new(&name(own));
            let others = (0..count).filter(|other| (other + count - own) % count > unknown);
            for other in others {
                routers.learn(&name(other));
            }
            routers
        });
        let weights: Vec<f64> = (0..count)
            .map(|i| 1.0 + 2.0 * i as f64 / count as f64)
            .collect();
        let sum: f64 = weights.iter().sum();
        Fleet {
            routers: routers.collect(),
            senders: vec![LimitSenders::new(); count],
            weights: weights.iter().map(|weight| weight / sum).collect(),
        }
    }

    /// Offers an endpoint `demand` requests a second. Requests that find no more than the overdraft are sent
    /// only if `crowded`. Returns the times of what is sent.
    fn play(&mut self, per_second: f64, demand: f64, crowded: bool, seed: u64) -> Vec<Duration> {
        let mut rng = StdRng::seed_from_u64(seed);
        let endpoint = LimitedEndpoint {
            id: "e",
            boot: "1",
            per_second,
        };
        let mut sent = Vec::new();
        let mut now = secs(1.0);
        while now < secs(1.0) + TIME {
            now += TICK;
            for (index, weight) in self.weights.iter().enumerate() {
                if !rng.random_bool((demand * weight * TICK.as_secs_f64()).min(1.0)) {
                    continue;
                }
                let (senders, routers) = (&mut self.senders[index], &self.routers[index]);
                let goes = match senders.room(&endpoint, routers, now) {
                    LimitRoom::Share => true,
                    LimitRoom::Overdraft => crowded,
                    LimitRoom::Exhausted => false,
                };
                if goes {
                    senders.record_send(&endpoint, routers, now);
                    let delay = rng.random_range(0.0..0.05);
                    sent.push(now + secs(delay));
                }
            }
        }
        sent.sort();
        sent
    }
}

fn most_in_window(times: &[Duration]) -> usize {
    let in_window = |from: usize| {
        let later = times[from..].iter();
        later.take_while(|at| **at < times[from] + WINDOW).count()
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

/// Guards against an endpoint that gets more than the operators' bound from all routers together: in any
/// window, at any size of the fleet, with any demand, and while a tenth of the routers are not known yet.
#[test]
fn no_fleet_exceeds_the_bound() {
    for count in [1, 2, 8, 31, 68, 295] {
        for per_second in [0.0, 0.3, 1.0, 2.6, 4.1, 12.0] {
            for (crowded, unknown) in [(false, 0), (true, 0), (true, count / 12)] {
                let mut fleet = Fleet::new(count, unknown);
                let sent = fleet.play(per_second, 20.0 * per_second + 20.0, crowded, 1);
                let most = most_in_window(&sent);
                assert!(
                    most as f64 <= allowed(per_second),
                    "{count} routers, limit {per_second}, crowded {crowded}, unknown {unknown}: {most}"
                );
            }
        }
    }
}

/// Guards against a limit of which a large part is lost, because it is divided among routers that have no
/// requests for the endpoint at the moment.
#[test]
fn most_of_a_limit_is_used() {
    for count in [1, 2, 8, 31, 68, 295] {
        for per_second in [1.0, 2.6, 4.1, 12.0] {
            // Three times what the endpoint takes, of routers that may send there: of a large fleet, eight at the
            // lowest of these limits.
            let demand = 3.0 * per_second * f64::max(1.0, count as f64 / 8.0);
            let mut fleet = Fleet::new(count, 0);
            let sent = fleet.play(per_second, demand, false, 2);
            let used = sent.len() as f64 / TIME.as_secs_f64() / per_second;
            assert!(
                (0.8..1.2).contains(&used),
                "{count} routers, limit {per_second}: {used:.2}"
            );
        }
    }
}

/// Guards against the share of a router that drains, which is lost, and of one that came back, which
/// would be sent twice.
#[test]
fn the_share_of_a_draining_router_is_used_by_the_others() {
    let mut routers = KnownRouters::new("r0");
    for id in ["r1", "r2", "r3"] {
        routers.learn(id);
    }
    routers.note_draining("r3", true);
    assert_eq!((routers.count(), routers.staying()), (4, 3));
    routers.note_draining("r3", false);
    assert_eq!(routers.staying(), 4);
    routers.note_draining("unknown", true);
    assert_eq!(routers.staying(), 4);
}

fn named(boot: &str, per_second: Option<f64>, at: f64) -> NamedLimit {
    NamedLimit {
        boot: boot.to_string(),
        per_second,
        at: secs(at),
    }
}

/// Guards against news of another router that end a limit that was named since, or name one that has ended,
/// and against a limit that holds for another start.
#[test]
fn the_newest_answer_of_a_start_counts() {
    let mut limits = NamedLimits::new();
    assert_eq!(limits.record("e", named("1", None, 1.0)), None);
    let change = limits.record("e", named("1", Some(2.0), 2.0));
    assert_eq!(change, Some(LimitChange::Named));
    assert_eq!(limits.record("e", named("1", None, 1.5)), None);
    assert_eq!(limits.per_second("e", "1"), Some(2.0));
    assert_eq!(limits.per_second("e", "2"), None);
    let change = limits.record("e", named("1", None, 3.0));
    assert_eq!(change, Some(LimitChange::Ended));
    assert_eq!(limits.record("e", named("1", Some(2.0), 2.5)), None);
    assert!(limits.is_empty());
    let change = limits.record("e", named("2", Some(1.0), 4.0));
    assert_eq!(change, Some(LimitChange::Named));
    assert!(limits.expire(secs(63.0)).is_empty());
    assert_eq!(limits.expire(secs(64.0)), ["e"]);
    assert_eq!(limits.per_second("e", "2"), None);
}

/// Guards against routers that start and never hear of a limit, and against one that is told all the time.
#[test]
fn a_limit_is_told_again_from_time_to_time() {
    let mut limits = NamedLimits::new();
    limits.record("e", named("1", Some(2.0), 1.0));
    limits.note_told("e", secs(1.0));
    assert!(!limits.is_repeat_due("e", secs(2.5)));
    assert!(limits.is_repeat_due("e", secs(3.0)));
    limits.note_told("e", secs(3.0));
    assert!(!limits.is_repeat_due("e", secs(4.0)));
    let reports = limits.reports(secs(5.0));
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].age(), secs(4.0));
    limits.record("e", named("1", None, 6.0));
    assert!(!limits.is_repeat_due("e", secs(60.0)));
    assert!(limits.reports(secs(6.0)).is_empty());
}
