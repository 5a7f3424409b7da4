//! Tests the configuration log: operators that race under injected faults, snapshots, and damaged
//! rows.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::{Change, ChangeError, Customer, FleetConfig, Version};
use sequoiaridge_store::{
    AppendOutcome, ApplyOutcome, ConfigError, ConfigLog, ConfigState, ConfigUpdates,
};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::{Disabled, FaultyTable, MemoryObjectStore, Recorder, TestClock};
use todc_utils::{Specification, WGLChecker};
use tokio::time::sleep;

fn change(id: usize) -> Change {
    Change::SetCustomer {
        name: format!("c{id}"),
        customer: Customer {
            tokens: BTreeSet::new(),
        },
    }
}

/// An operation on the log with its result. Each change adds a different customer, so the set of
/// customers shows which changes were made.
#[derive(Clone, Debug)]
enum LogOp {
    Committed(Version, usize),
    Conflict(Version),
    Unknown(Version, usize),
    Read(BTreeSet<usize>),
    /// Nothing was written, or the read failed.
    NoEffect,
}

struct LogSpec;

impl Specification for LogSpec {
    type State = BTreeSet<usize>;
    type Operation = LogOp;

    fn init() -> BTreeSet<usize> {
        BTreeSet::new()
    }

    fn apply(op: &LogOp, state: &BTreeSet<usize>) -> (bool, BTreeSet<usize>) {
        let version = state.len() as Version;
        let with = |id: usize| state.iter().copied().chain([id]).collect();
        match op {
            LogOp::Committed(base, id) if *base == version => (true, with(*id)),
            LogOp::Committed(..) => (false, state.clone()),
            LogOp::Unknown(base, id) if *base == version => (true, with(*id)),
            LogOp::Conflict(current) => (version >= *current, state.clone()),
            LogOp::Read(ids) => (ids == state, state.clone()),
            LogOp::Unknown(..) | LogOp::NoEffect => (true, state.clone()),
        }
    }
}

fn logs(seed: u64, disabled: Disabled) -> impl Fn(u64) -> ConfigLog {
    let table = FaultyTable::new(seed, 0.25, disabled);
    let objects = Arc::new(MemoryObjectStore::default());
    let clock = TestClock::new();
    move |n| {
        ConfigLog::seeded(
            table.clone(),
            objects.clone(),
            clock.clone(),
            seed * 100 + n,
        )
    }
}

/// Lets five operators read and change the configuration at random times. Returns whether the
/// history is linearizable, and the number of committed changes.
async fn race(seed: u64, disabled: Disabled) -> (bool, usize) {
    let open = logs(seed, disabled);
    let history = Arc::new(Recorder::new());
    let mut tasks = Vec::new();
    for operator in 0..5 {
        let (log, history) = (open(operator), history.clone());
        let mut rng = StdRng::seed_from_u64(seed * 1000 + operator);
        tasks.push(tokio::spawn(async move {
            let (mut committed, mut version) = (0, 0);
            for n in 0..6 {
                sleep(Duration::from_millis(rng.random_range(0..400))).await;
                let call = history.call(LogOp::NoEffect);
                let Ok(config) = log.load().await else {
                    // Each operation left open doubles the work of the check.
                    history.end(call, LogOp::NoEffect);
                    continue;
                };
                let ids = config
                    .customers
                    .keys()
                    .map(|name| name[1..].parse().unwrap());
                history.end(call, LogOp::Read(ids.collect()));
                assert!(config.version >= version, "version {version} went back");
                version = config.version;
                let id = operator as usize * 100 + n;
                let call = history.call(LogOp::Unknown(version, id));
                match log.append(version, &change(id)).await {
                    Ok(AppendOutcome::Committed(next)) => {
                        assert_eq!(next, version + 1);
                        history.end(call, LogOp::Committed(version, id));
                        committed += 1;
                    }
                    Ok(AppendOutcome::Conflict(current)) => {
                        history.end(call, LogOp::Conflict(current))
                    }
                    Ok(AppendOutcome::Unknown) => {}
                    Ok(AppendOutcome::Refused(problems)) => panic!("{problems:?}"),
                    Err(_) => history.end(call, LogOp::NoEffect),
                }
            }
            committed
        }));
    }
    let mut committed = 0;
    for task in tasks {
        committed += task.await.unwrap();
    }
    // Reads after the last outage and delayed write: every committed change must still be there.
    sleep(Duration::from_secs(200)).await;
    let log = open(9);
    let call = history.call(LogOp::NoEffect);
    for _ in 0..50 {
        if let Ok(config) = log.load().await {
            let ids = config
                .customers
                .keys()
                .map(|name| name[1..].parse().unwrap());
            history.end(call, LogOp::Read(ids.collect()));
            return (
                WGLChecker::<LogSpec>::is_linearizable(history.history()),
                committed,
            );
        }
    }
    (false, committed)
}

/// Guards against two changes committed as one version, a version that decreases, a committed
/// change that is lost, and a change that was reported as not made but was.
#[tokio::test(start_paused = true)]
async fn racing_operators_see_one_order_of_changes() {
    let mut total = 0;
    for seed in 0..100 {
        let (linear, committed) = race(seed, Disabled::Nothing).await;
        assert!(linear, "seed {seed} is not linearizable");
        total += committed;
    }
    println!("100 seeds, {total} committed changes");
    assert!(total > 500, "{total} committed changes");
}

/// Guards against a check that cannot fail: it must catch a log with any one protection disabled.
#[tokio::test(start_paused = true)]
async fn check_catches_logs_with_a_protection_missing() {
    for disabled in [
        Disabled::UnknownUnwritten,
        Disabled::UnknownWritten,
        Disabled::Conditions,
    ] {
        let mut caught = 0;
        for seed in 0..20 {
            // A version that decreases panics in a task of the race, which counts as caught too.
            let race = tokio::spawn(race(seed, disabled));
            caught += u32::from(!race.await.is_ok_and(|(linear, _)| linear));
        }
        println!("without {disabled:?}: caught on {caught} of 20 seeds");
        assert!(caught > 0, "{disabled:?} was not caught");
    }
}

struct FilledLog {
    table: Arc<FaultyTable>,
    log: ConfigLog,
    fresh: ConfigLog,
}

async fn fill_log(versions: usize) -> FilledLog {
    let table = FaultyTable::new(1, 0.0, Disabled::Nothing);
    let objects = Arc::new(MemoryObjectStore::default());
    let clock = TestClock::new();
    let open = |seed| ConfigLog::seeded(table.clone(), objects.clone(), clock.clone(), seed);
    let (log, fresh) = (open(1), open(2));
    for n in 0..versions {
        let outcome = log.append(n as Version, &change(n)).await;
        assert_eq!(outcome, Ok(AppendOutcome::Committed(n as Version + 1)));
    }
    FilledLog { table, log, fresh }
}

/// Guards against a log that grows without bound, and against a reader that misses changes because
/// the rows that it needs were removed.
#[tokio::test(start_paused = true)]
async fn old_rows_are_removed_and_late_readers_get_the_snapshot() {
    let filled = fill_log(200).await;
    let rows = filled.table.rows.lock().unwrap().len();
    // Snapshots are made at 64, 128 and 192. The rows after 128 stay, as do the head row and the
    // snapshots row.
    assert_eq!(rows, 72 + 2);
    let config = filled.fresh.load().await.unwrap();
    assert_eq!((config.version, config.customers.len()), (200, 200));
    assert_eq!(config, filled.log.load().await.unwrap());
    match filled.fresh.updates_since(127).await {
        Ok(ConfigUpdates::Snapshot(snapshot)) => assert_eq!(snapshot, config),
        other => panic!("no snapshot: {other:?}"),
    }
    let state = ConfigState::new();
    match filled.fresh.updates_since(128).await {
        Ok(ConfigUpdates::Changes(entries)) => {
            assert_eq!(entries.len(), 72);
            assert_eq!(state.apply(129, &entries[0].change), ApplyOutcome::Gap);
        }
        other => panic!("no changes: {other:?}"),
    }
    assert_eq!(
        filled.fresh.updates_since(200).await,
        Ok(ConfigUpdates::Changes(Vec::new()))
    );
    let ahead = ConfigError::Ahead {
        asked: 201,
        head: 200,
    };
    assert_eq!(filled.fresh.updates_since(201).await, Err(ahead));
}

/// Guards against a reader that skips a row that is missing or cannot be decoded.
#[tokio::test(start_paused = true)]
async fn damaged_logs_are_errors() {
    let filled = fill_log(20).await;
    let key = format!("config/log/{:020}", 7);
    let row = filled.table.rows.lock().unwrap().remove(&key).unwrap();
    assert_eq!(filled.fresh.load().await, Err(ConfigError::Gap(7)));
    let damaged = row.clone().with_text("change", "{\"set-colour\":{}}");
    filled
        .table
        .rows
        .lock()
        .unwrap()
        .insert(key.clone(), damaged);
    assert_eq!(
        filled.fresh.load().await,
        Err(ConfigError::Unreadable(key.clone()))
    );
    filled.table.rows.lock().unwrap().insert(key, row);
    let last = format!("config/log/{:020}", 20);
    filled.table.rows.lock().unwrap().remove(&last);
    assert_eq!(filled.fresh.load().await, Err(ConfigError::Gap(20)));
}

/// Guards against an invalid change in the log, and against a change based on an outdated version.
#[tokio::test(start_paused = true)]
async fn invalid_and_outdated_changes_are_not_made() {
    let filled = fill_log(3).await;
    assert_eq!(
        filled.log.append(2, &change(9)).await,
        Ok(AppendOutcome::Conflict(3))
    );
    let missing = Change::RemoveTeam {
        name: "none".to_string(),
    };
    match filled.log.append(3, &missing).await {
        Ok(AppendOutcome::Refused(problems)) => {
            assert!(matches!(problems.as_slice(), [ChangeError::Missing { .. }]));
        }
        other => panic!("an invalid change was not refused: {other:?}"),
    }
    assert_eq!(filled.log.head().await, Ok(3));
}

/// Guards against a configuration in force whose version decreases or that skips a change.
#[test]
fn the_configuration_in_force_never_goes_back() {
    let state = ConfigState::new();
    assert_eq!(state.apply(1, &change(1)), ApplyOutcome::Gap);
    assert_eq!(state.replace(FleetConfig::default()), ApplyOutcome::Applied);
    assert_eq!(state.apply(2, &change(2)), ApplyOutcome::Gap);
    assert_eq!(state.apply(1, &change(1)), ApplyOutcome::Applied);
    assert_eq!(state.apply(1, &change(7)), ApplyOutcome::Stale);
    assert_eq!(state.replace(FleetConfig::default()), ApplyOutcome::Stale);
    assert_eq!(state.version(), Some(1));
    assert!(state.current().unwrap().customers.contains_key("c1"));
}
