//! What a draining router accepts.

use sequoiaridge_edge::{Drain, DrainRequest, RunTimes};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A drain that starts at 10 s, with a grace period of 8 s.
fn drain() -> Drain {
    Drain::new(ms(10_000), ms(8_000))
}

/// A request that comes `after` the start of the drain, with its time limit.
fn request(after: u64, limit: u64) -> DrainRequest {
    DrainRequest {
        deadline: ms(10_000 + after + limit),
        usual: None,
        repeatable: false,
    }
}

fn accepts(request: &DrainRequest, after: u64) -> bool {
    drain().accepts(request, ms(10_000 + after))
}

/// Guards against requests that are accepted although the process may end before they do, whatever the
/// timeout of their route.
#[test]
fn late_requests_are_accepted_only_if_their_limit_passes_in_time() {
    for limit in [100, 1_500, 3_000, 12_000] {
        for after in (2_700..7_600).step_by(50) {
            let request = DrainRequest {
                usual: Some(ms(1)),
                repeatable: true,
                ..request(after, limit)
            };
            let fits = request.deadline <= drain().last_answer();
            assert_eq!(accepts(&request, after), fits, "{after} ms, {limit} ms");
        }
    }
}

/// Guards against routes with a long timeout that get nothing from the first moment of a stop on, while
/// the load balancer still sends their callers here.
#[test]
fn a_long_timeout_does_not_refuse_requests_that_usually_are_short() {
    let short = DrainRequest {
        usual: Some(ms(400)),
        ..request(1_000, 30_000)
    };
    assert!(accepts(&short, 1_000));
    let long = DrainRequest {
        usual: Some(ms(6_500)),
        ..short
    };
    assert!(!accepts(&long, 1_000));
}

/// Guards against an order that is cut because nothing is known of its route, and against a request that
/// its caller could repeat and that is refused for that.
#[test]
fn without_a_usual_time_only_repeatable_requests_are_accepted() {
    let order = request(500, 30_000);
    assert!(!accepts(&order, 500));
    let read = DrainRequest {
        repeatable: true,
        ..order
    };
    assert!(accepts(&read, 500));
}

/// Guards against a grace period that is shorter than the margins and makes times underflow.
#[test]
fn a_drain_without_a_grace_period_accepts_nothing_that_takes_time() {
    let drain = Drain::new(ms(100), Duration::ZERO);
    assert_eq!(drain.last_answer(), ms(100));
    let order = DrainRequest {
        deadline: ms(150),
        usual: Some(ms(10)),
        repeatable: false,
    };
    assert!(!drain.accepts(&order, ms(100)));
}

/// Guards against an estimate that only holds for the mean of the requests of a route.
#[test]
fn most_requests_end_within_the_usual_time() {
    let mut times = RunTimes::new();
    let mut within = 0;
    for number in 0..1_000_u64 {
        let time = ms(1_000 + number * 7_919 % 1_000);
        let now = ms(number * 10);
        within += usize::from(times.usual("chat", now).is_some_and(|usual| time <= usual));
        times.record("chat", time, now);
    }
    assert!(within >= 950, "{within} of 1000");
    assert!(times.usual("chat", ms(10_000)) < Some(ms(4_000)));
}

/// Guards against estimates of routes that changed or left, and that are kept for good.
#[test]
fn a_usual_time_expires() {
    let mut times = RunTimes::new();
    times.record("order", ms(50), ms(0));
    assert!(times.usual("order", ms(59_000)).is_some());
    times.expire(ms(60_000));
    assert_eq!(times.usual("order", ms(1_000)), None);
}
