//! Tests of the load bound.

use proptest::prelude::*;
use sequoiaridge_policy::LoadBound;

fn engine() -> impl Strategy<Value = (u64, u64)> {
    (1u64..64).prop_flat_map(|capacity| (Just(capacity), 0..=capacity))
}

proptest! {
    /// Guards against a group in which every engine refuses although slots are free.
    #[test]
    fn a_group_with_free_slots_can_admit(
        engines in prop::collection::vec(engine(), 1..30),
        multiple in 1.0f64..2.0,
    ) {
        let bound = LoadBound { multiple };
        let total: u64 = engines.iter().map(|(c, _)| c).sum();
        let work: u64 = engines.iter().map(|(_, held)| held).sum();
        prop_assume!(work < total);
        let admits = |&(capacity, held): &(u64, u64)| {
            held < bound.limit(work + 1, capacity, total).min(capacity)
        };
        prop_assert!(engines.iter().any(admits));
    }

    /// Guards against a partitioned fleet that exceeds the bound: over all sides of the partition,
    /// an engine holds at most the multiple of the mean plus one request per side.
    #[test]
    fn sides_of_a_split_keep_the_bound_together(
        capacities in prop::collection::vec(1u64..64, 1..12),
        wishes in prop::collection::vec((0usize..3, any::<prop::sample::Index>()), 1..400),
    ) {
        let bound = LoadBound::default();
        let total: u64 = capacities.iter().sum();
        let mut held = vec![vec![0u64; capacities.len()]; 3];
        for (side, wish) in wishes {
            let (at, own) = (wish.index(capacities.len()), &mut held[side]);
            let work: u64 = own.iter().sum();
            if own[at] < bound.limit(work + 1, capacities[at], total) {
                own[at] += 1;
            }
        }
        let work: u64 = held.iter().flatten().sum();
        for (at, capacity) in capacities.iter().enumerate() {
            let load: u64 = held.iter().map(|side| side[at]).sum();
            let mean = work as f64 * *capacity as f64 / total as f64;
            prop_assert!(load as f64 <= 1.25 * mean + 3.0 + 1e-9);
        }
    }

    /// Guards against rounding up: the bound is at most the multiple of the fair share. It is the
    /// fair share rounded up where that is more, because the group could not admit otherwise.
    #[test]
    fn the_bound_is_rounded_down(work in 0u64..100_000, capacity in 1u64..64, rest in 0u64..10_000) {
        let total = capacity + rest;
        let limit = LoadBound::default().limit(work, capacity, total);
        let mean = work as f64 * capacity as f64 / total as f64;
        prop_assert!(limit as f64 <= (1.25 * mean + 1e-9).max((mean - 1e-9).ceil()));
        prop_assert!(limit as f64 >= mean - 1e-9);
    }
}

/// Guards against floating-point errors at exact multiples, and against a division by zero.
#[test]
fn exact_values() {
    let bound = LoadBound { multiple: 1.1 };
    assert_eq!(bound.limit(200, 1, 10), 22);
    assert_eq!(bound.limit(1, 1, 10), 1);
    assert_eq!(bound.limit(0, 1, 10), 0);
    assert_eq!(bound.limit(5, 0, 0), 0);
}
