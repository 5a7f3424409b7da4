//! Properties of the shares of scarce room.
//!
//! Guards against shares that add up to more than the room, starve a customer, or serve an urgent rank
//! less often than another.

use proptest::prelude::*;
use sequoiaridge_edge::{CustomerDemand, Level, RankShares, split_room};
use std::collections::BTreeMap;

fn customers() -> impl Strategy<Value = Vec<CustomerDemand>> {
    let demand = prop_oneof![0.01..1.0_f64, 1.0..100.0_f64, 100.0..5000.0_f64];
    let customer = demand.prop_map(|demand| CustomerDemand {
        size: demand,
        demand,
    });
    prop::collection::vec(customer, 1..60)
}

fn ranks() -> impl Strategy<Value = BTreeMap<u8, f64>> {
    prop::collection::btree_map(0..6_u8, 0.1..100.0_f64, 1..5)
}

proptest! {
    #[test]
    fn shares_of_customers_add_up_to_the_room(customers in customers(), part in 0.01..0.99_f64) {
        let total: f64 = customers.iter().map(|customer| customer.demand).sum();
        let level = Level::find(&customers, part * total);
        let admitted = customers.iter().map(|c| c.demand * level.probability(c.size));
        prop_assert!((admitted.sum::<f64>() - part * total).abs() < 1e-6 * total);
    }

    #[test]
    fn no_customer_is_below_the_floor_and_smaller_ones_are_no_worse(
        mut customers in customers(),
        part in 0.01..0.99_f64,
    ) {
        let total: f64 = customers.iter().map(|customer| customer.demand).sum();
        let level = Level::find(&customers, part * total);
        customers.sort_by(|a, b| a.size.total_cmp(&b.size));
        let probabilities: Vec<f64> = customers.iter().map(|c| level.probability(c.size)).collect();
        for probability in &probabilities {
            prop_assert!(*probability >= 0.4 * part - 1e-9 && *probability <= 1.0);
        }
        for pair in probabilities.windows(2) {
            prop_assert!(pair[0] >= pair[1] - 1e-9);
        }
    }

    #[test]
    fn all_is_admitted_while_it_fits(customers in customers(), spare in 1.0..10.0_f64) {
        let total: f64 = customers.iter().map(|customer| customer.demand).sum();
        let level = Level::find(&customers, spare * total * 1.000_001);
        prop_assert!(customers.iter().all(|c| level.probability(c.size) == 1.0));
    }

    #[test]
    fn ranks_are_monotone_and_add_up(demand in ranks(), probability in 0.0..1.0_f64) {
        let shares = RankShares::new(&demand);
        let total: f64 = demand.values().sum();
        let mut sum = 0.0;
        let mut before = 1.0 + 1e-9;
        for (rank, slots) in &demand {
            let of_rank = shares.probability(*rank, probability);
            prop_assert!(of_rank <= before + 1e-9, "rank {} is served better", rank);
            prop_assert!(of_rank >= 0.3 * probability - 1e-9);
            sum += of_rank * slots / total;
            before = of_rank;
        }
        prop_assert!((sum - probability).abs() < 1e-9);
    }

    #[test]
    fn room_is_split_without_a_rest(
        room in 0.1..1000.0_f64,
        new in 0.0..5000.0_f64,
        late in 0.0..5000.0_f64,
    ) {
        let (new_room, late_room) = split_room(room, new, late);
        prop_assert!((new_room + late_room - room).abs() < 1e-9 * room);
        // Late returns take at most a tenth of what new requests could use.
        prop_assert!(late_room <= (0.1 * room).max(room - new) + 1e-9);
        prop_assert!(late_room <= late + 1e-9);
        // Room that one kind does not use goes to the other.
        let used = new.min(new_room) + late.min(late_room);
        prop_assert!(used >= room.min(new + late) - 1e-6);
    }
}
