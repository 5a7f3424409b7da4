//! Group commit: operations that wait while a transaction is in flight share the next one.

use crate::random::Random;
use crate::stats::{Counters, add};
use crate::{Op, Table, TableError};
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Most rows in one transaction. A transaction of this many answers of 64 KiB stays below the 4 MiB
/// that the table service allows.
const MAX_ROWS: usize = 25;

/// Result of one operation; a conflict is about this operation alone.
pub(crate) type OpResult = Result<(), TableError>;

struct Waiting {
    op: Op,
    done: oneshot::Sender<OpResult>,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    writing: bool,
}

/// Writes independent operations in shared transactions, one transaction at a time.
pub(crate) struct Batcher {
    table: Arc<dyn Table>,
    counters: Arc<Counters>,
    random: Arc<Random>,
    queue: Mutex<Queue>,
}

impl Batcher {
    /// A batcher without waiting operations.
    pub(crate) fn new(
        table: Arc<dyn Table>,
        counters: Arc<Counters>,
        random: Arc<Random>,
    ) -> Batcher {
        Batcher {
            table,
            counters,
            random,
            queue: Mutex::new(Queue::default()),
        }
    }

    /// Queues an operation. It is left out if the receiver is dropped before its transaction starts.
    pub(crate) fn submit(self: &Arc<Self>, op: Op) -> oneshot::Receiver<OpResult> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue();
        queue.waiting.push_back(Waiting { op, done });
        if !queue.writing {
            queue.writing = true;
            tokio::spawn(self.clone().run());
        }
        receiver
    }

    /// Queues an operation and waits for its result.
    pub(crate) async fn write(self: &Arc<Self>, op: Op) -> OpResult {
        self.submit(op).await.unwrap_or(Err(TableError::Unknown))
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("queue lock")
    }

    async fn run(self: Arc<Self>) {
        while let Some(batch) = self.take_batch() {
            self.commit(batch).await;
        }
    }

    /// The next operations on distinct rows, because a transaction allows one operation a row;
    /// `None`, after which a new task has to run, if no operation waits.
    fn take_batch(&self) -> Option<Vec<Waiting>> {
        let mut queue = self.queue();
        let (mut batch, mut later) = (Vec::new(), VecDeque::new());
        let mut keys = BTreeSet::new();
        while batch.len() < MAX_ROWS {
            let Some(waiting) = queue.waiting.pop_front() else {
                break;
            };
            if waiting.done.is_closed() {
                continue;
            }
            match keys.insert(waiting.op.key().clone()) {
                true => batch.push(waiting),
                false => later.push_back(waiting),
            }
        }
        later.append(&mut queue.waiting);
        queue.waiting = later;
        queue.writing = !batch.is_empty();
        queue.writing.then_some(batch)
    }

    /// Commits a batch; an operation in conflict is split off, so that it does not fail the others.
    async fn commit(&self, mut batch: Vec<Waiting>) {
        while !batch.is_empty() {
            let ops: Vec<Op> = batch.iter().map(|waiting| waiting.op.clone()).collect();
            add(&self.counters.batches, 1);
            add(&self.counters.batch_rows, ops.len());
            let result = match self.table.commit(ops, self.random.nonce()).await {
                Err(TableError::Conflict { index }) if index < batch.len() => {
                    let split = batch.remove(index);
                    let _ = split.done.send(Err(TableError::Conflict { index: 0 }));
                    continue;
                }
                Err(TableError::Conflict { .. }) => Err(TableError::Unknown),
                result => result,
            };
            match result {
                Ok(()) => add(&self.counters.writes, batch.len()),
                Err(TableError::Unknown) => add(&self.counters.unknown, 1),
                Err(_) => {}
            }
            for waiting in batch.drain(..) {
                let _ = waiting.done.send(result);
            }
        }
    }
}
