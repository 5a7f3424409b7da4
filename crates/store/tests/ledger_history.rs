//! Histories of concurrent claims under faults.
//!
//! Guards against two dispatches of one key, against a stored answer that is replaced, and against
//! answers that no order of the operations explains.

#[path = "support/naive.rs"]
mod naive;
mod support;

use naive::{Learned, Missing, NaiveLedger};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::{Clock, RefusalReason};
use sequoiaridge_store::{Claim, ClaimLedger, HeldClaim, StoredAnswer};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{FaultyTable, MemoryObjects, Recorder, TestClock};
use todc_utils::{Specification, WGLChecker};
use tokio::time::sleep;

const SEEDS: u64 = 200;
const KEYS: usize = 12;
const CLAIMANTS: usize = 5;
const CUSTOMER: &str = "amber";

/// An operation on the row of one key, with its result.
#[derive(Clone, Debug)]
enum RowOp {
    Claim(u64, Learned),
    /// An insert that may take effect after its claimant gave it up.
    LateInsert(u64),
    /// Has no effect on a row of another claim.
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
            (RowOp::Claim(id, Learned::Held(_)), RowState::Free) => (true, RowState::Claimed(*id)),
            (RowOp::Claim(_, Learned::Held(_)), _) => (false, same),
            (RowOp::Claim(_, Learned::Stored(answer)), _) => {
                (*state == RowState::Done(*answer), same)
            }
            (RowOp::Claim(_, Learned::Claimed), _) => (matches!(state, RowState::Claimed(_)), same),
            (RowOp::Claim(_, Learned::Unavailable), _) => (true, same),
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

/// The ledger under test, or one with a protection missing.
enum Subject {
    Real(Vec<ClaimLedger>),
    Naive(NaiveLedger),
}

enum Held {
    Real(HeldClaim),
    Naive(u64),
}

impl Subject {
    async fn claim(&self, key: &str, id: u64, deadline: Duration) -> (Learned, Option<Held>) {
        match self {
            Subject::Naive(ledger) => {
                let learned = ledger.claim(key, id, deadline).await;
                let held = match learned {
                    Learned::Held(nonce) => Some(Held::Naive(nonce)),
                    _ => None,
                };
                (learned, held)
            }
            Subject::Real(routers) => {
                let router = &routers[id as usize % routers.len()];
                let customer = CUSTOMER.to_string();
                match router.claim(&customer, key, [7; 32], deadline).await {
                    Ok(Claim::Held(claim)) => (Learned::Held(id), Some(Held::Real(claim))),
                    Ok(Claim::Stored(answer)) => (Learned::Stored(u32::from(answer.status)), None),
                    Err(refusal) if refusal.reason == RefusalReason::KeyClaimed => {
                        (Learned::Claimed, None)
                    }
                    Err(_) => (Learned::Unavailable, None),
                }
            }
        }
    }

    async fn release(&self, key: &str, held: Held, id: u64) -> bool {
        match (self, held) {
            (Subject::Real(routers), Held::Real(claim)) => routers[id as usize % routers.len()]
                .release(claim)
                .await
                .unwrap(),
            (Subject::Naive(ledger), Held::Naive(nonce)) => ledger.release(key, nonce).await,
            _ => unreachable!(),
        }
    }

    async fn store(&self, key: &str, held: Held, id: u64, answer: u32) -> bool {
        match (self, held) {
            (Subject::Real(routers), Held::Real(claim)) => {
                let answer = StoredAnswer {
                    status: answer as u16,
                    headers: Vec::new(),
                    body: Default::default(),
                };
                routers[id as usize % routers.len()]
                    .store(claim, answer)
                    .await
                    .unwrap()
            }
            (Subject::Naive(ledger), Held::Naive(nonce)) => ledger.store(key, nonce, answer).await,
            _ => unreachable!(),
        }
    }
}

struct Run {
    subject: Subject,
    clock: Arc<TestClock>,
    /// One history for each key.
    histories: Vec<Recorder<RowOp>>,
    dispatches: Mutex<BTreeMap<usize, u32>>,
}

/// One call of a client: claim, then dispatch, give up or stop without a word.
async fn claimant(run: Arc<Run>, key: usize, id: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let name = format!("key-{key}");
    let history = &run.histories[key];
    sleep(Duration::from_millis(rng.random_range(0..60_000))).await;
    let deadline = run.clock.now() + Duration::from_secs(rng.random_range(1..15));
    let call = history.call(RowOp::LateInsert(id));
    let (learned, held) = run.subject.claim(&name, id, deadline).await;
    match learned {
        // The insert may take effect at any time after the call, and be released later.
        Learned::Unavailable => drop(history.call(RowOp::Release(id))),
        _ => history.end(call, RowOp::Claim(id, learned)),
    }
    let Some(held) = held else {
        history.call(RowOp::LateInsert(id));
        return;
    };
    // Some holders pause for longer than every timeout before they check the deadline, others after.
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
            let stored = run.subject.store(&name, held, id, answer).await;
            history.end(call, RowOp::Store(id, answer, stored));
        }
        _ => {
            let call = history.call(RowOp::Release(id));
            // A delayed insert can take effect after the release, and a delayed release after that.
            history.call(RowOp::LateInsert(id));
            history.call(RowOp::Release(id));
            assert!(run.subject.release(&name, held, id).await);
            history.end(call, RowOp::Release(id));
        }
    }
}

/// What a run showed.
#[derive(Debug, Default, PartialEq)]
struct Findings {
    dispatches: u32,
    repeated: u32,
    not_linearizable: u32,
}

fn run(seed: u64, missing: Option<Missing>) -> Findings {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let table = FaultyTable::new(seed, 0.3);
        let clock = TestClock::new();
        let start = tokio::time::Instant::now();
        let router = |n: u64| {
            let objects = Arc::new(MemoryObjects::default());
            ClaimLedger::seeded(table.clone(), objects, clock.clone(), seed * 100 + n)
        };
        let subject = match missing {
            None => Subject::Real((0..3).map(router).collect()),
            Some(missing) => Subject::Naive(NaiveLedger {
                table: table.clone(),
                missing,
                start,
            }),
        };
        let run = Arc::new(Run {
            subject,
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

/// Guards against a double dispatch and a replaced answer under every fault at once.
#[test]
fn ledger_dispatches_each_key_at_most_once() {
    let mut dispatches = 0;
    for seed in 0..SEEDS {
        let found = run(seed, None);
        assert_eq!(
            (found.repeated, found.not_linearizable),
            (0, 0),
            "seed {seed}: {found:?}"
        );
        dispatches += found.dispatches;
    }
    println!("{SEEDS} seeds, {dispatches} dispatches");
    // Guards against a check that passes because nothing happens.
    assert!(
        dispatches > SEEDS as u32 * KEYS as u32 / 4,
        "{dispatches} dispatches"
    );
}

/// Guards against a check that finds nothing: each missing protection has to show.
#[test]
fn check_catches_ledgers_with_a_protection_missing() {
    use Missing::{NoTakeover, OwnNonce, UnknownAsUnwritten, UnknownAsWritten};
    for missing in [NoTakeover, UnknownAsWritten, UnknownAsUnwritten, OwnNonce] {
        let mut total = Findings::default();
        let mut seeds = 0;
        let repeats = missing != UnknownAsUnwritten;
        while seeds < 300 && (total.not_linearizable < 3 || repeats && total.repeated < 1) {
            let found = run(seeds, Some(missing));
            total.repeated += found.repeated;
            total.not_linearizable += found.not_linearizable;
            seeds += 1;
        }
        println!("without {missing:?}: {seeds} seeds, {total:?}");
        assert!(total.not_linearizable > 0, "{missing:?} was not caught");
        if repeats {
            assert!(total.repeated > 0, "{missing:?} led to no second dispatch");
        }
    }
}

/// Guards against a check that condemns a correct ledger: the same one with nothing missing passes.
#[test]
fn check_passes_the_naive_ledger_with_nothing_missing() {
    for seed in 0..30 {
        let found = run(seed, Some(Missing::Nothing));
        assert_eq!(
            (found.repeated, found.not_linearizable),
            (0, 0),
            "seed {seed}: {found:?}"
        );
    }
}
