//! Bytes that bodies may take together.

use sequoiaridge_edge::{ByteBudget, Reservation};

const LIMIT: usize = 64 << 20;

/// Lets bodies of unknown length grow in turn by 16 KiB until none may hold more. Returns their lengths.
fn grow_all(budget: &ByteBudget, bodies: usize) -> (Vec<usize>, Vec<Reservation>) {
    let mut held: Vec<Reservation> = (0..bodies).map(|_| budget.reservation()).collect();
    let mut lengths = vec![0; bodies];
    let mut grew = true;
    while grew {
        grew = false;
        for (body, length) in held.iter_mut().zip(&mut lengths) {
            if *length < LIMIT && body.grow(*length + 16 * 1024) {
                *length += 16 * 1024;
                grew = true;
            }
        }
    }
    (lengths, held)
}

/// Guards against bodies whose sum has no bound, although each of them has one.
#[test]
fn all_bodies_together_stay_within_the_budget() {
    for bodies in [1, 5, 80, 500, 2_000] {
        let budget = ByteBudget::new(LIMIT);
        let (lengths, held) = grow_all(&budget, bodies);
        let free = bodies * 16 * 1024;
        assert!(budget.used() <= LIMIT, "{bodies} bodies");
        assert!(lengths.iter().sum::<usize>() <= LIMIT + free);
        drop(held);
        assert_eq!(budget.used(), 0);
    }
}

/// Guards against long bodies that leave no room for others: a short one, and one of some length.
#[test]
fn long_bodies_leave_room_for_others() {
    let budget = ByteBudget::new(LIMIT);
    let (lengths, _held) = grow_all(&budget, 80);
    assert!(lengths.iter().all(|length| *length >= 256 * 1024));
    assert!(budget.reservation().grow(128 * 1024));
    let _upload = budget.reserve(1 << 20).expect("room for an upload");
}

/// Guards against short bodies that fail because long ones have used up the budget.
#[test]
fn a_short_body_needs_no_budget() {
    let budget = ByteBudget::new(LIMIT);
    let _all = budget.reserve(LIMIT).expect("the whole budget");
    assert!(budget.reserve(1).is_none());
    assert!(budget.reservation().grow(16 * 1024));
    assert!(!budget.reservation().grow(16 * 1024 + 1));
}

/// Guards against a length that a caller announces and that makes the count overflow.
#[test]
fn a_huge_length_is_refused() {
    let budget = ByteBudget::new(LIMIT);
    let _some = budget.reserve(1).expect("room");
    assert!(budget.reserve(usize::MAX).is_none());
    assert_eq!(budget.used(), 1);
    assert!(!budget.reservation().grow(usize::MAX / 2));
}
