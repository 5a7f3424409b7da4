//! In-memory table with seeded faults and in-memory object store, on tokio's paused clock.
#![allow(dead_code)]

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::{Clock, Nonce};
use sequoiaridge_store::{
    Cond, Key, ObjectError, ObjectStore, Op, Page, Row, StoreFuture, Table, TableError,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// Wall-clock time at which tests start, in seconds since the Unix epoch.
const START: u64 = 1_700_000_000;

/// A clock that follows tokio's clock, which tests pause.
pub struct TestClock(Instant);

impl TestClock {
    pub fn new() -> Arc<TestClock> {
        Arc::new(TestClock(Instant::now()))
    }
}

impl Clock for TestClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(START) + self.now()
    }
}

type Rows = Arc<Mutex<BTreeMap<Key, Row>>>;

/// A protection that a test disables to verify that its check notices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disabled {
    /// All protections are enabled.
    Nothing,
    /// A claim older than 10 s is taken over.
    NoTakeover,
    /// A write with an unknown outcome is treated as written.
    UnknownWritten,
    /// A writer that reads its own row back does not recognise its nonce, so it treats a write with
    /// an unknown outcome as not written.
    UnknownUnwritten,
    /// Writes do not depend on the value of an attribute.
    Equals,
    /// Writes have no conditions.
    Conditions,
}

impl Disabled {
    /// Removes the condition of `op` if it is the disabled protection.
    fn weaken(self, rows: &Rows, start: Instant, op: &mut Op) {
        let written = rows
            .lock()
            .unwrap()
            .get(op.key())
            .and_then(|row| row.number("written"));
        let (Op::Put { cond, .. } | Op::Delete { cond, .. }) = op;
        let drop = match self {
            Disabled::NoTakeover => {
                *cond == Cond::Absent
                    && written.is_some_and(|at| START + start.elapsed().as_secs() > at + 10)
            }
            Disabled::Equals => matches!(cond, Cond::Equals { .. }),
            Disabled::Conditions => true,
            _ => false,
        };
        if drop {
            *cond = Cond::None;
        }
    }
}

/// A table that loses answers, delays writes, refuses calls and has outages.
pub struct FaultyTable {
    pub rows: Rows,
    pub sizes: Mutex<Vec<usize>>,
    rng: Mutex<StdRng>,
    faults: f64,
    disabled: Disabled,
    outages: Vec<(Duration, Duration)>,
    start: Instant,
}

impl FaultyTable {
    /// Creates a table. The fraction `faults` of the calls fails. Unless it is zero, three outages
    /// begin in the first minute.
    pub fn new(seed: u64, faults: f64, disabled: Disabled) -> Arc<FaultyTable> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut outages = Vec::new();
        for _ in 0..if faults > 0.0 { 3 } else { 0 } {
            let from = Duration::from_millis(rng.random_range(0..60_000));
            outages.push((
                from,
                from + Duration::from_millis(rng.random_range(0..8_000)),
            ));
        }
        Arc::new(FaultyTable {
            rows: Rows::default(),
            sizes: Mutex::new(Vec::new()),
            rng: Mutex::new(rng),
            faults,
            disabled,
            outages,
            start: Instant::now(),
        })
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.lock().unwrap().random_range(range)
    }

    fn fails(&self) -> bool {
        let share: f64 = self.rng.lock().unwrap().random();
        share < self.faults
    }

    /// Simulates the network delay; returns an error during an outage.
    async fn delay(&self) -> Result<(), TableError> {
        sleep(Duration::from_millis(self.draw(1..20))).await;
        let now = self.start.elapsed();
        let out = self
            .outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&now));
        match out {
            true => Err(TableError::Unknown),
            false => Ok(()),
        }
    }
}

fn holds(cond: &Cond, row: Option<&Row>) -> bool {
    match cond {
        Cond::None => true,
        Cond::Absent => row.is_none(),
        Cond::Equals { attribute, value } => row.and_then(|r| r.get(attribute)) == Some(value),
    }
}

fn apply(rows: &Rows, ops: &[Op]) -> Result<(), TableError> {
    let mut rows = rows.lock().unwrap();
    for (index, op) in ops.iter().enumerate() {
        let (Op::Put { cond, .. } | Op::Delete { cond, .. }) = op;
        if !holds(cond, rows.get(op.key())) {
            return Err(TableError::Conflict { index });
        }
    }
    for op in ops.iter().cloned() {
        match op {
            Op::Put { key, value, .. } => drop(rows.insert(key, value)),
            Op::Delete { key, .. } => drop(rows.remove(&key)),
        }
    }
    Ok(())
}

impl Table for FaultyTable {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            self.delay().await?;
            if self.fails() {
                return Err(TableError::Unknown);
            }
            let row = self.rows.lock().unwrap().get(key).cloned();
            let hides_nonce = self.disabled == Disabled::UnknownUnwritten;
            Ok(row.map(|row| {
                if hides_nonce {
                    row.with_text("nonce", "0")
                } else {
                    row
                }
            }))
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> StoreFuture<'a, Result<Page, TableError>> {
        Box::pin(async move {
            self.delay().await?;
            let rows = self.rows.lock().unwrap();
            let mut found = rows.range(prefix.to_string()..).filter(|(key, _)| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            });
            let page = found.by_ref().take(limit);
            let rows: Vec<(Key, Row)> = page.map(|(k, r)| (k.clone(), r.clone())).collect();
            let last = rows.last().map(|(key, _)| key.clone());
            let next = found.next().and(last);
            Ok(Page { rows, next })
        })
    }

    /// Ignores the token: safety must rest on the conditions alone.
    fn commit(&self, mut ops: Vec<Op>, _token: Nonce) -> StoreFuture<'_, Result<(), TableError>> {
        Box::pin(async move {
            self.sizes.lock().unwrap().push(ops.len());
            let unknown = match self.disabled {
                Disabled::UnknownWritten => Ok(()),
                _ => Err(TableError::Unknown),
            };
            if self.delay().await.is_err() {
                return unknown;
            }
            for op in &mut ops {
                self.disabled.weaken(&self.rows, self.start, op);
            }
            if !self.fails() {
                return apply(&self.rows, &ops);
            }
            match self.draw(0..4) {
                0 => Err(TableError::Refused),
                1 => unknown,
                2 => {
                    let _ = apply(&self.rows, &ops);
                    unknown
                }
                _ => {
                    let (rows, delay) = (self.rows.clone(), self.draw(10..20_000));
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(delay)).await;
                        let _ = apply(&rows, &ops);
                    });
                    unknown
                }
            }
        })
    }
}

/// An object store in memory, without faults.
#[derive(Default)]
pub struct MemoryObjectStore(pub Mutex<BTreeMap<String, Bytes>>);

impl ObjectStore for MemoryObjectStore {
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Bytes>, ObjectError>> {
        Box::pin(async move { Ok(self.0.lock().unwrap().get(name).cloned()) })
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
    ) -> StoreFuture<'a, Result<(), ObjectError>> {
        Box::pin(async move {
            self.0.lock().unwrap().insert(name.to_string(), content);
            Ok(())
        })
    }
}

/// Records calls and responses in the order in which they happened. Each operation gets its own
/// process id. An operation that ends without a known result stays open until the end of the
/// history.
pub struct Recorder<T> {
    actions: Mutex<Vec<(usize, todc_utils::Action<T>)>>,
    open: Mutex<BTreeMap<usize, T>>,
}

impl<T: Clone> Recorder<T> {
    pub fn new() -> Recorder<T> {
        Recorder {
            actions: Mutex::new(Vec::new()),
            open: Mutex::new(BTreeMap::new()),
        }
    }

    /// Starts an operation. `open` is its result if it is never ended.
    pub fn call(&self, open: T) -> usize {
        let mut running = self.open.lock().unwrap();
        let mut actions = self.actions.lock().unwrap();
        let process = actions.len();
        actions.push((process, todc_utils::Action::Call(open.clone())));
        running.insert(process, open);
        process
    }

    pub fn end(&self, process: usize, result: T) {
        self.open.lock().unwrap().remove(&process);
        let action = todc_utils::Action::Response(result);
        self.actions.lock().unwrap().push((process, action));
    }

    /// The whole history.
    pub fn history(&self) -> todc_utils::History<T> {
        let mut actions = self.actions.lock().unwrap().clone();
        for (process, result) in self.open.lock().unwrap().iter() {
            actions.push((*process, todc_utils::Action::Response(result.clone())));
        }
        todc_utils::History::from_actions(actions)
    }
}
