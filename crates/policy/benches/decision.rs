//! Benchmarks of one routing decision at 20, 750 and 7,500 engines: the ranking at the router that
//! receives a call, and the admission at the owner.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sequoiaridge_core::Targets;
use sequoiaridge_policy::{
    Call, Candidate, ClassPolicy, EndpointInfo, EndpointState, Owner, OwnerConfig, Placement,
    rank_top,
};
use std::hint::black_box;
use std::time::Duration;

/// Numbers of engines in the fleet.
const SIZES: [usize; 3] = [20, 750, 7_500];
/// Engines of one owner at the target size.
const OWN: usize = 20;
/// Chats of one owner at the target size.
const CHATS: u64 = 19_000;
/// Slots of an engine.
const CAPACITY: u32 = 32;
/// Calls that run on each engine, below its bound, so that every call is admitted.
const LOAD: u64 = 16;
/// Time of every decision, at which probes are fresh and ownership has settled.
const NOW: Duration = Duration::from_secs(3_600);

fn id(engine: usize) -> String {
    format!("engine-{engine:05}")
}

fn call(ticket: u64, chat: u64) -> Call {
    let targets = Targets::default();
    Call {
        ticket,
        customer: format!("customer-{}", chat % 100),
        class: "chat".to_string(),
        policy: ClassPolicy::from_targets(&targets),
        group: "model".to_string(),
        chat: Some(chat),
        fingerprint: ticket,
        suspect: false,
        cached_only: false,
        cost: 1,
        arrival: NOW,
        deadline: NOW + targets.deadline(),
    }
}

/// Creates an owner of 20 engines in a fleet of `size`, all at the mean load, with all its chats in
/// the index.
fn owner(size: usize) -> Owner {
    let mut owner = Owner::new(OwnerConfig::default());
    for engine in 0..size {
        let info = EndpointInfo {
            id: id(engine),
            capacity: CAPACITY,
            groups: vec!["model".to_string()],
            state: EndpointState::Up,
            owned: engine < OWN,
            joined: None,
        };
        owner.set_endpoint(info, Duration::ZERO);
        owner.record_report(
            "other",
            &id(engine),
            if engine < OWN { 0 } else { LOAD as u32 },
            NOW,
        );
    }
    (0..OWN).for_each(|engine| owner.record_probe(&id(engine), 0, NOW));
    for ticket in 0..LOAD * OWN as u64 {
        let placed = owner.place(&call(ticket, ticket), &[id(ticket as usize % OWN)], 0, NOW);
        assert!(matches!(placed, Placement::Admit { .. }));
    }
    (0..CHATS).for_each(|chat| owner.record_chat(chat, &id(chat as usize % OWN), NOW));
    owner
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for size in SIZES {
        let engines: Vec<Candidate> = (0..size).map(|e| Candidate::new(id(e), CAPACITY)).collect();
        let mut key = 0u64;
        group.bench_function(BenchmarkId::new("rank_top", size), |b| {
            b.iter(|| {
                key += 1;
                rank_top(black_box(key), &engines, 3)
            });
        });

        let mut owner = owner(size);
        let mut ticket = 1_000_000;
        group.bench_function(BenchmarkId::new("place_and_finish", size), |b| {
            b.iter_batched(
                || {
                    ticket += 1;
                    let engine = ticket as usize % OWN;
                    let ranked = [engine, (engine + 7) % size, (engine + 11) % size].map(id);
                    (call(ticket, ticket % CHATS), ranked)
                },
                |(call, ranked)| {
                    let placed = owner.place(&call, &ranked, 0, NOW);
                    assert!(matches!(placed, Placement::Admit { .. }));
                    owner.finish(call.ticket, NOW)
                },
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
