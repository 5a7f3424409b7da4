//! Sets of evacuated domains whose messages get lost or overtake each other, and routers that restart or
//! are cut off while the registry changes or comes back from a copy.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use sequoiaridge_edge::{EvacuatedDomains, EvacuationRow, Evacuations, MAX_EVACUATED, Position};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn row(version: u64, domain: &str, evacuated: bool) -> EvacuationRow {
    EvacuationRow {
        domain: domain.to_string(),
        position: Position::new(0, version),
        evacuated,
    }
}

/// The table of a registry, by domain, with the version of each row.
#[derive(Clone, Default)]
struct Table {
    version: u64,
    rows: BTreeMap<String, (u64, bool)>,
}

impl Table {
    fn write(&mut self, domain: &str, evacuated: bool) {
        self.version += 1;
        self.rows
            .insert(domain.to_string(), (self.version, evacuated));
    }

    fn rows(&self, era: u32) -> Vec<EvacuationRow> {
        let rows = self.rows.iter();
        let row = |(domain, (version, evacuated)): (&String, &(u64, bool))| EvacuationRow {
            domain: domain.clone(),
            position: Position::new(era, *version),
            evacuated: *evacuated,
        };
        rows.map(row).collect()
    }
}

/// Guards against routers that send to an evacuated domain, or to none of an open one, since a lost or an
/// overtaken message left them with an older set.
#[test]
fn sets_agree_after_loss_and_reordering() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::default();
        let mut routers = vec![Evacuations::new(); 12];
        let mut in_transit: Vec<(usize, EvacuatedDomains)> = Vec::new();
        let mut read_up_to = Position::default();
        let whole = routers[0].apply_whole(&[], Position::default(), NOW);
        assert!(whole.started.is_empty());
        for step in 0..100 {
            if step < 40 && rng.random_bool(0.3) {
                let domain = format!("zone-{}", rng.random_range(0..4));
                table.write(&domain, rng.random_bool(0.5));
            }
            if step < 40 && rng.random_bool(0.05) {
                // The process starts again, without state.
                let router = rng.random_range(1..routers.len());
                routers[router] = Evacuations::new();
            }
            // Router 0 reads for the fleet: changes mostly, sometimes the whole table.
            let rows = table.rows(0);
            let position = Position::new(0, table.version);
            if rng.random_bool(0.1) {
                routers[0].apply_whole(&rows, position, NOW);
            } else {
                let changed = rows.into_iter().filter(|row| row.position > read_up_to);
                routers[0].apply_changes(&changed.collect::<Vec<_>>(), NOW);
            }
            read_up_to = position;
            for from in 0..routers.len() {
                if let Some(set) = routers[from].known().cloned() {
                    let to = rng.random_range(0..routers.len());
                    in_transit.push((to, set));
                }
            }
            in_transit.shuffle(&mut rng);
            let arrived = in_transit.split_off(in_transit.len() / 2);
            for (to, set) in arrived {
                if rng.random_bool(0.8) {
                    routers[to].merge(set, NOW);
                }
            }
        }
        for (index, router) in routers.iter().enumerate() {
            for (domain, (_, evacuated)) in &table.rows {
                assert_eq!(
                    router.contains(domain),
                    *evacuated,
                    "seed {seed}, router {index}, {domain}"
                );
            }
        }
    }
}

/// Guards against an older row that undoes what another router's set says already.
#[test]
fn rows_before_the_known_set_change_nothing() {
    let mut reader = Evacuations::new();
    reader.apply_whole(&[], Position::new(0, 1), NOW);
    reader.apply_changes(&[row(5, "a", true), row(7, "a", false)], NOW);
    let mut late = Evacuations::new();
    late.apply_whole(&[], Position::new(0, 1), NOW);
    late.merge(reader.known().cloned().expect("a set"), NOW);
    late.apply_changes(&[row(5, "a", true)], NOW);
    assert!(!late.contains("a"));
    let stale = late.apply_whole(&[row(5, "a", true)], Position::new(0, 6), NOW);
    assert!(stale.started.is_empty() && !late.contains("a"));
}

/// Guards against two rows of one transaction, which have one position, of which only the first counts.
#[test]
fn rows_of_one_position_count_together() {
    let mut evacuations = Evacuations::new();
    evacuations.apply_whole(&[], Position::new(0, 1), NOW);
    let update = evacuations.apply_changes(&[row(5, "a", true), row(5, "b", true)], NOW);
    assert_eq!(update.started.len(), 2);
}

/// Guards against routers that keep to a set of a registry that came back from a copy, whose versions
/// are lower.
#[test]
fn a_restored_registry_counts_from_the_copy() {
    let mut table = Table::default();
    table.write("a", true);
    let copy = table.clone();
    table.write("a", false);
    table.write("b", true);
    let mut reader = Evacuations::new();
    reader.apply_whole(&table.rows(0), Position::new(0, 9), NOW);
    let mut other = reader.clone();
    let lost = reader.known().cloned().expect("a set");
    reader.apply_whole(&copy.rows(1), Position::new(1, 2), NOW);
    assert!(reader.contains("a") && !reader.contains("b"));
    reader.merge(lost, NOW);
    assert!(reader.contains("a"));
    other.merge(reader.known().cloned().expect("a set"), NOW);
    assert!(other.contains("a") && !other.contains("b"));
}

/// Guards against a flood of an open domain's endpoints, which are cold after an evacuation, and against
/// a domain that counts as open for that long although it is evacuated again.
#[test]
fn the_end_of_an_evacuation_is_remembered() {
    let mut evacuations = Evacuations::new();
    evacuations.apply_whole(&[row(1, "a", true)], Position::new(0, 1), NOW);
    assert_eq!(evacuations.ended_at("a"), None);
    let later = NOW + Duration::from_secs(30);
    evacuations.apply_changes(&[row(2, "a", false)], later);
    assert_eq!(evacuations.ended_at("a"), Some(later));
    assert_eq!(evacuations.ended_at("b"), None);
    evacuations.apply_changes(&[row(3, "a", true)], later);
    assert_eq!(evacuations.ended_at("a"), None);
}

/// Guards against a set that does not fit in a datagram, with which no message arrives any more.
#[test]
fn a_set_has_sixteen_domains_at_most() {
    let names: Vec<String> = (0..40).map(|index| format!("zone-{index}")).collect();
    let rows = names.iter().zip(1..);
    let rows: Vec<EvacuationRow> = rows.map(|(name, at)| row(at, name, true)).collect();
    let mut read = Evacuations::new();
    let whole = read.apply_whole(&rows, Position::new(0, 50), NOW);
    let mut followed = Evacuations::new();
    let changes = followed.apply_changes(&rows, NOW);
    for (evacuations, update) in [(read, whole), (followed, changes)] {
        assert_eq!(
            (evacuations.len(), update.rejected.len()),
            (MAX_EVACUATED, 24)
        );
        assert!(evacuations.contains("zone-0") && !evacuations.contains("zone-16"));
    }
}
