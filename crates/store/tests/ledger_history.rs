//! Checks histories of concurrent claims under injected faults for linearizability.
//!
//! Guards against two dispatches of one key, against a stored response that is replaced, and
//! against results that no order of the operations explains.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::{Clock, RefusalReason};
use sequoiaridge_store::{Claim, ClaimLedger, HeldClaim, StoredResponse};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{Disabled, FaultyTable, MemoryObjectStore, Recorder, TestClock};
use todc_utils::{Specification, WGLChecker};
use tokio::time::sleep;

const SEEDS: u64 = 200;
const KEYS: usize = 12;
const CLAIMANTS: usize = 5;

/// The result of a claim.
#[derive(Clone, Debug, PartialEq)]
enum ClaimResult {
    Held,
    Stored(u32),
    Claimed,
    Unavailable,
}

/// An operation on the row of one key, with its result.
#[derive(Clone, Debug)]
enum RowOp {
    Claim(u64, ClaimResult),
    /// An insert that may take effect after its claimant has given up.
    LateInsert(u64),
    /// Has no effect on the row of another claim.
    Release(u64),
    Store(u64, u32, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RowState {
    Free,
    Claimed(u64),
    Done(u32),
}

struct RowSpec;

impl Specification for RowSpec {
    type State = RowState;
    type Operation = RowOp;

    fn init() -> RowState {
        RowState::Free
    }

    fn apply(op: &RowOp, state: &RowState) -> (bool, RowState) {
        let same = state.clone();
        match (op, state) {
            (RowOp::Claim(id, ClaimResult::Held), RowState::Free) => (true, RowState::Claimed(*id)),
            (RowOp::Claim(_, ClaimResult::Held), _) => (false, same),
            (RowOp::Claim(_, ClaimResult::Stored(answer)), _) => {
                (*state == RowState::Done(*answer), same)
            }
            (RowOp::Claim(_, ClaimResult::Claimed), _) => {
                (matches!(state, RowState::Claimed(_)), same)
            }
            (RowOp::Claim(_, ClaimResult::Unavailable), _) => (true, same),
            (RowOp::LateInsert(id), RowState::Free) => (true, RowState::Claimed(*id)),
            (RowOp::Release(id), RowState::Claimed(holder)) if holder == id => {
                (true, RowState::Free)
            }
            (RowOp::Store(id, answer, true), RowState::Claimed(holder)) if holder == id => {
                (true, RowState::Done(*answer))
            }
            (RowOp::Store(_, _, true), _) => (false, same),
            _ => (true, same),
        }
    }
}

struct Run {
    routers: Vec<ClaimLedger>,
    clock: Arc<TestClock>,
    /// One history for each key.
    histories: Vec<Recorder<RowOp>>,
    dispatches: Mutex<BTreeMap<usize, u32>>,
}

async fn claim(router: &ClaimLedger, key: &str, end: Duration) -> (ClaimResult, Option<HeldClaim>) {
    match router.claim(&"amber".to_string(), key, [7; 32], end).await {
        Ok(Claim::Held(claim)) => (ClaimResult::Held, Some(claim)),
        Ok(Claim::Stored(answer)) => (ClaimResult::Stored(u32::from(answer.status)), None),
        Err(refusal) if refusal.reason == RefusalReason::KeyClaimed => (ClaimResult::Claimed, None),
        Err(_) => (ClaimResult::Unavailable, None),
    }
}

/// One call of a client: claims the key, then dispatches the call, releases the claim, or abandons
/// it.
async fn claimant(run: Arc<Run>, key: usize, id: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let name = format!("key-{key}");
    let history = &run.histories[key];
    sleep(Duration::from_millis(rng.random_range(0..60_000))).await;
    let deadline = run.clock.now() + Duration::from_secs(rng.random_range(1..15));
    let router = &run.routers[id as usize % run.routers.len()];
    let call = history.call(RowOp::LateInsert(id));
    let (result, held) = claim(router, &name, deadline).await;
    match result {
        // The insert may take effect at any time after the call, and may be released after that.
        ClaimResult::Unavailable => drop(history.call(RowOp::Release(id))),
        _ => history.end(call, RowOp::Claim(id, result)),
    }
    let Some(held) = held else {
        history.call(RowOp::LateInsert(id));
        return;
    };
    // Some holders pause for longer than all timeouts before they check the deadline, others after.
    let pause = |rng: &mut StdRng| match rng.random_range(0..4) {
        0 => Duration::from_secs(200),
        _ => Duration::from_millis(rng.random_range(0..3_000)),
    };
    sleep(pause(&mut rng)).await;
    let late = run.clock.now() >= deadline;
    sleep(pause(&mut rng)).await;
    match (late, rng.random_range(0..4)) {
        (false, 0) => *run.dispatches.lock().unwrap().entry(key).or_default() += 1,
        (false, 1 | 2) => {
            *run.dispatches.lock().unwrap().entry(key).or_default() += 1;
            let answer = 200 + id as u32;
            let call = history.call(RowOp::Store(id, answer, false));
            let stored = StoredResponse {
                status: answer as u16,
                headers: Vec::new(),
                body: Default::default(),
            };
            let stored = router.store(held, stored).await.unwrap();
            history.end(call, RowOp::Store(id, answer, stored));
        }
        _ => {
            let call = history.call(RowOp::Release(id));
            // A delayed insert can take effect after the release, and a delayed release after that.
            history.call(RowOp::LateInsert(id));
            history.call(RowOp::Release(id));
            assert!(router.release(held).await.unwrap());
            history.end(call, RowOp::Release(id));
        }
    }
}

/// The findings of one run.
#[derive(Debug, Default, PartialEq)]
struct Findings {
    dispatches: u32,
    repeated: u32,
    not_linearizable: u32,
}

fn run(seed: u64, disabled: Disabled) -> Findings {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let table = FaultyTable::new(seed, 0.3, disabled);
        let clock = TestClock::new();
        let router = |n: u64| {
            let objects = Arc::new(MemoryObjectStore::default());
            ClaimLedger::seeded(table.clone(), objects, clock.clone(), seed * 100 + n)
        };
        let run = Arc::new(Run {
            routers: (0..3).map(router).collect(),
            clock,
            histories: (0..KEYS).map(|_| Recorder::new()).collect(),
            dispatches: Mutex::default(),
        });
        let mut tasks = Vec::new();
        for key in 0..KEYS {
            for n in 0..CLAIMANTS {
                let id = (key * CLAIMANTS + n) as u64;
                let seed = seed * 10_000 + id;
                tasks.push(tokio::spawn(claimant(run.clone(), key, id, seed)));
            }
        }
        for task in tasks {
            task.await.unwrap();
        }
        let dispatches = run.dispatches.lock().unwrap();
        let histories = run.histories.iter().map(Recorder::history);
        let linear = histories.map(WGLChecker::<RowSpec>::is_linearizable);
        Findings {
            dispatches: dispatches.values().sum(),
            repeated: dispatches.values().filter(|count| **count > 1).count() as u32,
            not_linearizable: linear.filter(|linear| !linear).count() as u32,
        }
    })
}

/// Guards against a double dispatch and a replaced response under all faults at once.
#[test]
fn ledger_dispatches_each_key_at_most_once() {
    let mut dispatches = 0;
    for seed in 0..SEEDS {
        let found = run(seed, Disabled::Nothing);
        assert_eq!(
            (found.repeated, found.not_linearizable),
            (0, 0),
            "seed {seed}: {found:?}"
        );
        dispatches += found.dispatches;
    }
    println!("{SEEDS} seeds, {dispatches} dispatches");
    // Guards against a test that passes because too little happens.
    assert!(
        dispatches > SEEDS as u32 * KEYS as u32 / 4,
        "{dispatches} dispatches"
    );
}

/// Guards against a check that cannot fail: it must catch a ledger with any one protection
/// disabled.
#[test]
fn check_catches_a_ledger_with_a_protection_missing() {
    use Disabled::{Equals, NoTakeover, UnknownUnwritten, UnknownWritten};
    for disabled in [NoTakeover, UnknownWritten, UnknownUnwritten, Equals] {
        let mut total = Findings::default();
        let mut seeds = 0;
        let repeats = disabled != UnknownUnwritten;
        while seeds < 300 && (total.not_linearizable < 3 || repeats && total.repeated < 1) {
            let found = run(seeds, disabled);
            total.repeated += found.repeated;
            total.not_linearizable += found.not_linearizable;
            seeds += 1;
        }
        println!("without {disabled:?}: {seeds} seeds, {total:?}");
        assert!(total.not_linearizable > 0, "{disabled:?} was not caught");
        if repeats {
            assert!(total.repeated > 0, "{disabled:?} led to no second dispatch");
        }
    }
}
