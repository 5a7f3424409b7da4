//! Tests of the rendezvous ranking and of the choice of owners.

use proptest::prelude::*;
use sequoiaridge_policy::{Candidate, RouterInfo, owner_of, rank_top};
use std::collections::BTreeMap;

fn engines(capacities: &[u32]) -> Vec<Candidate> {
    let numbered = capacities.iter().enumerate();
    numbered
        .map(|(i, c)| Candidate::new(format!("e{i}"), *c))
        .collect()
}

fn routers(places: &[(&str, &str)]) -> Vec<RouterInfo> {
    let numbered = places.iter().enumerate();
    numbered
        .map(|(i, (domain, region))| RouterInfo {
            id: format!("r{i}"),
            domain: domain.to_string(),
            region: region.to_string(),
        })
        .collect()
}

proptest! {
    /// Guards against routers that rank differently because they list endpoints in another order,
    /// and against a top selection that differs from the full ranking.
    #[test]
    fn top_is_a_prefix_in_any_order(
        key in any::<u64>(),
        capacities in prop::collection::vec(0u32..64, 0..40),
        k in 0usize..6,
    ) {
        let mut list = engines(&capacities);
        let whole = rank_top(key, &list, list.len());
        prop_assert_eq!(whole.len(), capacities.iter().filter(|c| **c > 0).count());
        list.reverse();
        let top = rank_top(key, &list, k);
        prop_assert_eq!(&top[..], &whole[..k.min(whole.len())]);
    }

    /// Guards against chats that move although their endpoint remains: removing one endpoint leaves
    /// the order of the others unchanged.
    #[test]
    fn removal_keeps_the_order_of_the_rest(key in any::<u64>(), gone in 0usize..20) {
        let mut list = engines(&[32; 20]);
        let mut whole = rank_top(key, &list, 20);
        let removed = list.remove(gone);
        whole.retain(|id| id != removed.id());
        prop_assert_eq!(rank_top(key, &list, 20), whole);
    }
}

/// Guards against weights without effect: an endpoint's share of the keys follows its capacity.
#[test]
fn keys_follow_capacity() {
    let list = engines(&[10, 20, 30, 40]);
    let mut hits: BTreeMap<String, u32> = BTreeMap::new();
    for key in 0..20_000u64 {
        *hits.entry(rank_top(key, &list, 1).remove(0)).or_default() += 1;
    }
    for (i, capacity) in [10.0, 20.0, 30.0, 40.0].into_iter().enumerate() {
        let part = f64::from(hits[&format!("e{i}")]) / 200.0;
        assert!(
            (part - capacity).abs() < 1.5,
            "e{i} has {part} % of the keys"
        );
    }
}

/// Guards against owners outside the endpoint's domain while that domain has a live router, and
/// against endpoints without an owner when it has none.
#[test]
fn owner_is_near_the_endpoint() {
    let all = routers(&[("a", "east"), ("a", "east"), ("b", "east"), ("c", "west")]);
    for i in 0..100 {
        let endpoint = format!("e{i}");
        let own = owner_of(&endpoint, "a", "east", &all).expect("a has routers");
        assert!(own == "r0" || own == "r1");
        let region = owner_of(&endpoint, "d", "west", &all);
        assert_eq!(region.as_deref(), Some("r3"));
        assert!(owner_of(&endpoint, "x", "south", &all).is_some());
    }
    assert_eq!(owner_of("e", "a", "east", &[]), None);
}

/// Guards against endpoints that change owner although their owner lives.
#[test]
fn a_dead_router_only_moves_its_own_endpoints() {
    let all = routers(&[("a", "east"); 8]);
    for i in 0..200 {
        let endpoint = format!("e{i}");
        let before = owner_of(&endpoint, "a", "east", &all);
        let after = owner_of(&endpoint, "a", "east", &all[1..]);
        assert!(before.as_deref() == Some("r0") || before == after);
    }
}
