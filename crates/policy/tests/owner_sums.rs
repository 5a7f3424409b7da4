//! Tests of the load bound among owners that know each other's work only by published sums.

mod common;

use common::{call, endpoint, ms};
use proptest::prelude::*;
use sequoiaridge_policy::{Owner, OwnerConfig, Placement, RemoteTotals};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(3_600);

/// A fleet of owners that exchange their sums and the counts of endpoints that two of them admit
/// to.
#[derive(Debug)]
struct Fleet {
    owners: Vec<Owner>,
    capacities: Vec<u32>,
    /// Owners of each endpoint; two while they disagree about the ownership.
    split: Vec<Vec<usize>>,
    /// Owners that publish nothing, like new ones; their endpoints count as idle.
    silent: Vec<bool>,
    /// Last published work and capacity of each owner.
    published: Vec<(u64, u64)>,
}

fn id(endpoint: usize) -> String {
    format!("e{endpoint}")
}

impl Fleet {
    fn new(capacities: Vec<u32>, split: Vec<Vec<usize>>, silent: Vec<bool>) -> Fleet {
        let owners = (0..silent.len()).map(|at| {
            let mut owner = Owner::new(OwnerConfig::default());
            for (number, capacity) in capacities.iter().enumerate() {
                let own = split[number].contains(&at);
                owner.set_endpoint(endpoint(&id(number), *capacity, own), ms(0));
                owner.record_probe(&id(number), 0, NOW);
            }
            owner
        });
        let owners = owners.collect();
        let published = vec![(0, 0); silent.len()];
        let mut fleet = Fleet {
            owners,
            capacities,
            split,
            silent,
            published,
        };
        (0..fleet.owners.len()).for_each(|at| fleet.publish(at));
        fleet
    }

    fn publish(&mut self, at: usize) {
        let sums = self.owners[at].sums(NOW);
        let total = sums.first().map(|(_, total)| (total.work, total.capacity));
        self.published[at] = total.unwrap_or_default();
    }

    /// Gives an owner the totals that the others published, and their counts at shared endpoints.
    fn inform(&mut self, at: usize) {
        let mut others = RemoteTotals::default();
        for other in (0..self.owners.len()).filter(|other| *other != at) {
            let (work, capacity) = self.published[other];
            if !self.silent[other] {
                others.add("m", work as u32, capacity as u32);
            }
            for number in 0..self.capacities.len() {
                let owners = &self.split[number];
                if self.silent[other] && owners.first() == Some(&other) {
                    others.add_idle("m", self.capacities[number]);
                }
                if owners.contains(&at) && owners.contains(&other) {
                    let count = self.owners[other].outstanding(&id(number));
                    self.owners[at].record_report(&format!("r{other}"), &id(number), count, NOW);
                }
            }
        }
        self.owners[at].set_remote_totals(Some(others));
    }

    fn load(&self, number: usize) -> u64 {
        let loads = self
            .owners
            .iter()
            .map(|owner| owner.outstanding(&id(number)));
        loads.map(u64::from).sum()
    }

    fn place(&mut self, ticket: u64, at: usize, number: usize) -> Option<usize> {
        let placed = self.owners[at].place(&call(ticket, "p", NOW), &[id(number)], 2, NOW);
        match placed {
            Placement::Admit { endpoint } => endpoint[1..].parse().ok(),
            _ => None,
        }
    }
}

fn fleet() -> impl Strategy<Value = Fleet> {
    (2usize..6, 1usize..16).prop_flat_map(|(owners, endpoints)| {
        let split = prop::collection::vec(
            (0..owners, prop::option::weighted(0.2, 0..owners)),
            endpoints,
        );
        let capacities = prop::collection::vec(1u32..40, endpoints);
        let silent = prop::collection::vec(prop::bool::weighted(0.2), owners);
        (capacities, split, silent).prop_map(|(capacities, split, silent)| {
            let owners = split.into_iter().map(|(first, second)| {
                let mut owners = vec![first];
                owners.extend(second.filter(|second| *second != first));
                owners
            });
            Fleet::new(capacities, owners.collect(), silent)
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against an engine that exceeds the multiple of the mean, or its fair share rounded up
    /// if that is more, for any division of endpoints between owners. This includes endpoints that
    /// two owners admit to, owners without a sum, and stale sums while the work grows.
    #[test]
    fn no_split_exceeds_the_bound(
        mut fleet in fleet(),
        wishes in prop::collection::vec((any::<prop::sample::Index>(), 0usize..6, prop::bool::weighted(0.4)), 1..300),
    ) {
        let total: u32 = fleet.capacities.iter().sum();
        let mut work = 0;
        for (ticket, (wish, second, publish)) in wishes.into_iter().enumerate() {
            let number = wish.index(fleet.capacities.len());
            let owners = &fleet.split[number];
            let at = owners[second % owners.len()];
            fleet.inform(at);
            if let Some(number) = fleet.place(ticket as u64, at, number) {
                work += 1;
                let mean = f64::from(work) * f64::from(fleet.capacities[number]) / f64::from(total);
                let load = fleet.load(number) as f64;
                prop_assert!(load <= (1.25 * mean + 1e-9).max((mean - 1e-9).ceil()), "{load} at a mean of {mean}");
            }
            if publish {
                fleet.publish(at);
            }
        }
    }

    /// Guards against a group whose owners all refuse although slots are free: with all sums known
    /// and one owner per endpoint, some owner admits.
    #[test]
    fn a_group_with_free_slots_admits(
        capacities in prop::collection::vec(1u32..20, 1..12),
        owners in prop::collection::vec(0usize..4, 12),
    ) {
        let split = (0..capacities.len()).map(|number| vec![owners[number]]).collect();
        let mut fleet = Fleet::new(capacities, split, vec![false; 4]);
        let total: u32 = fleet.capacities.iter().sum();
        for ticket in 0..u64::from(total) {
            let admitted = (0..fleet.capacities.len()).any(|number| {
                let at = fleet.split[number][0];
                fleet.inform(at);
                let placed = fleet.place(ticket, at, number).is_some();
                fleet.publish(at);
                placed
            });
            prop_assert!(admitted, "call {ticket} of {total} was refused by all");
        }
    }
}

/// Guards against a published sum that still counts an endpoint which takes no work, and against
/// work that two owners count: what another router reports at a shared endpoint is in that router's
/// sum.
#[test]
fn own_sums_count_open_endpoints_and_own_work() {
    let (mut owner, now) = common::owner(OwnerConfig::default(), &["a", "b"], &["c"], 8);
    let placed = owner.place(&call(1, "p", now), &common::ids(&["a"]), 0, now);
    assert_eq!(placed, common::admit("a"));
    owner.record_report("r2", "a", 5, now);
    let sum = |owner: &mut Owner, now| owner.sums(now).pop().map(|(_, t)| (t.work, t.capacity));
    assert_eq!(sum(&mut owner, now), Some((1, 16)));
    let later = now + ms(2_000);
    owner.record_probe("a", 6, later);
    // The probe of "b" is too old now, so "b" admits nothing.
    assert_eq!(sum(&mut owner, now + ms(4_000)), Some((1, 8)));
    // A call that runs where another router admits now stays in this router's sum.
    owner.set_endpoint(endpoint("a", 8, false), now + ms(4_000));
    assert_eq!(sum(&mut owner, now + ms(4_000)), Some((1, 0)));
}
