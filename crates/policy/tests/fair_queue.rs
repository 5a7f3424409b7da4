//! Tests of the fair queue.

mod common;

use common::{call, ms};
use proptest::prelude::*;
use sequoiaridge_core::Targets;
use sequoiaridge_policy::{Call, ClassPolicy, FairQueue, PushOutcome, WaitingCall};
use std::collections::{BTreeMap, BTreeSet};

fn waiting(call: Call) -> WaitingCall {
    let candidates = Vec::new();
    WaitingCall { call, candidates }
}

fn class(mut call: Call, name: &str, first_token: f64, answered: f64) -> Call {
    call.class = name.to_string();
    call.policy = ClassPolicy::from_targets(&Targets {
        first_token,
        answered,
        ..Targets::default()
    });
    call
}

fn pop(queue: &mut FairQueue) -> Option<WaitingCall> {
    let ticket = queue.peek(&|_| true)?;
    queue.take(ticket)
}

fn pop_all(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| pop(queue))
        .map(|w| w.call.ticket)
        .collect()
}

/// Guards against a class with a late target that delays a class with an early one, and against an
/// early class that starves a late one whose first token is due.
#[test]
fn classes_go_by_earliest_due_time() {
    let mut queue = FairQueue::new(9);
    queue.push(waiting(class(call(1, "a", ms(0)), "batch", 5.0, 0.9)));
    queue.push(waiting(class(call(2, "a", ms(4_000)), "live", 0.5, 0.9)));
    queue.push(waiting(class(call(3, "a", ms(4_700)), "live", 0.5, 0.9)));
    assert_eq!(pop_all(&mut queue), [2, 1, 3]);
}

/// Guards against a burst of one customer's calls that delays the other customers.
#[test]
fn customers_take_turns() {
    let mut queue = FairQueue::new(99);
    (0..50).for_each(|t| drop(queue.push(waiting(call(t, "surge", ms(0))))));
    queue.push(waiting(call(50, "b", ms(9))));
    assert_eq!(
        (queue.ahead("surge"), queue.ahead("b"), queue.ahead("new")),
        (51, 3, 2)
    );
    queue.push(waiting(call(51, "c", ms(9))));
    assert_eq!(pop_all(&mut queue)[..4], [0, 50, 51, 1]);
}

/// Guards against customers with large calls that get more than their share: while both customers
/// wait, the work served for them differs by at most one call.
#[test]
fn work_is_divided_evenly() {
    let mut queue = FairQueue::new(999);
    for t in 0..400 {
        let (customer, cost) = if t % 2 == 0 {
            ("large", 20)
        } else {
            ("small", 1)
        };
        queue.push(waiting(Call {
            cost,
            ..call(t, customer, ms(0))
        }));
    }
    let mut served: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..150 {
        let next = pop(&mut queue).expect("calls wait").call;
        *served.entry(next.customer).or_default() += next.cost;
    }
    assert!(
        served["large"].abs_diff(served["small"]) <= 20,
        "{served:?}"
    );
}

/// Guards against head-of-line blocking by a call that cannot start now.
#[test]
fn ineligible_calls_do_not_block() {
    let mut queue = FairQueue::new(9);
    queue.push(waiting(call(1, "a", ms(0))));
    queue.push(waiting(call(2, "a", ms(1))));
    assert_eq!(queue.peek(&|w| w.call.ticket != 1), Some(2));
    assert_eq!(queue.peek(&|_| false), None);
}

/// Guards against a full queue that refuses a class with a high `answered` target while calls of a
/// lower class wait, and against one customer that fills the queue for all others.
#[test]
fn a_full_queue_sheds_the_lowest_class_first() {
    let mut queue = FairQueue::new(3);
    (1..=2).for_each(|t| drop(queue.push(waiting(class(call(t, "a", ms(0)), "low", 9.0, 0.5)))));
    queue.push(waiting(class(call(3, "a", ms(0)), "high", 1.0, 0.99)));
    let pushed = queue.push(waiting(class(call(4, "b", ms(0)), "high", 1.0, 0.99)));
    assert!(matches!(pushed, PushOutcome::Replaced(w) if w.call.ticket == 2));
    let pushed = queue.push(waiting(class(call(5, "a", ms(0)), "low", 9.0, 0.5)));
    assert!(matches!(pushed, PushOutcome::Rejected(_)));

    let mut queue = FairQueue::new(3);
    (1..=3).for_each(|t| drop(queue.push(waiting(call(t, "surge", ms(0))))));
    assert!(matches!(
        queue.push(waiting(call(4, "surge", ms(0)))),
        PushOutcome::Rejected(_)
    ));
    let pushed = queue.push(waiting(call(5, "b", ms(0))));
    assert!(matches!(pushed, PushOutcome::Replaced(w) if w.call.ticket == 3));
}

proptest! {
    /// Guards against calls that are lost, returned twice or kept past their wait deadline, for any
    /// order of operations.
    #[test]
    fn every_call_leaves_once(
        steps in prop::collection::vec((0u8..4, 0u64..40, 0usize..4, 1u32..70), 1..200),
    ) {
        let mut queue = FairQueue::new(12);
        let mut model = BTreeMap::new();
        for (at, (kind, ticket, customer, cost)) in steps.into_iter().enumerate() {
            let now = ms(at as u64 * 40);
            let taken = match kind {
                0 | 1 if !queue.contains(ticket) => {
                    let new = Call { cost, ..call(ticket, ["a", "b", "c", "d"][customer], now) };
                    let end = new.wait_deadline();
                    match queue.push(waiting(new)) {
                        PushOutcome::Rejected(_) => vec![],
                        pushed => {
                            model.insert(ticket, end);
                            let PushOutcome::Replaced(w) = pushed else { continue };
                            vec![*w]
                        }
                    }
                }
                2 => queue.remove(ticket).into_iter().collect(),
                3 => pop(&mut queue).into_iter().collect(),
                _ => {
                    let expired = queue.expire(now);
                    prop_assert!(expired.iter().all(|w| w.call.wait_deadline() <= now));
                    expired
                }
            };
            for w in taken {
                prop_assert!(model.remove(&w.call.ticket).is_some());
            }
            prop_assert_eq!(queue.len(), model.len());
            prop_assert!(model.keys().all(|t| queue.contains(*t)) && queue.len() <= 12);
        }
        let left: BTreeSet<u64> = pop_all(&mut queue).into_iter().collect();
        prop_assert_eq!(left, model.into_keys().collect());
        prop_assert!(queue.is_empty() && queue.customers().next().is_none());
    }
}
