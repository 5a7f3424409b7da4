//! Group commit: operations that are queued while a transaction is in flight share the next one.

use crate::random::Random;
use crate::stats::{Counters, add};
use crate::{Op, Table, TableError};
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Maximum number of rows in one transaction. With this many stored responses of 64 KiB each, a
/// transaction stays below the 4 MiB that the table service allows.
const MAX_BATCH_ROWS: usize = 25;

/// Result of one operation. A conflict means that the condition of this operation does not hold,
/// whatever happened to the others in its transaction.
pub(crate) type OpResult = Result<(), TableError>;

struct QueuedOp {
    op: Op,
    done: oneshot::Sender<OpResult>,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<QueuedOp>,
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
    /// Creates a batcher with an empty queue.
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

    /// Queues an operation. It is skipped if the receiver is dropped before its transaction starts.
    pub(crate) fn submit(self: &Arc<Self>, op: Op) -> oneshot::Receiver<OpResult> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue();
        queue.waiting.push_back(QueuedOp { op, done });
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

    /// Takes the next operations, each on a different row, because a transaction allows only one
    /// operation per row. Returns `None` if none is queued; the task then ends, and the next
    /// `submit` starts a new one.
    fn take_batch(&self) -> Option<Vec<QueuedOp>> {
        let mut queue = self.queue();
        let (mut batch, mut deferred) = (Vec::new(), VecDeque::new());
        let mut keys = BTreeSet::new();
        while batch.len() < MAX_BATCH_ROWS {
            let Some(waiting) = queue.waiting.pop_front() else {
                break;
            };
            if waiting.done.is_closed() {
                continue;
            }
            match keys.insert(waiting.op.key().clone()) {
                true => batch.push(waiting),
                false => deferred.push_back(waiting),
            }
        }
        deferred.append(&mut queue.waiting);
        queue.waiting = deferred;
        queue.writing = !batch.is_empty();
        queue.writing.then_some(batch)
    }

    /// Commits a batch. An operation whose condition does not hold is removed from the batch and
    /// the rest is sent again, so that it does not fail the others.
    async fn commit(&self, mut batch: Vec<QueuedOp>) {
        while !batch.is_empty() {
            let ops: Vec<Op> = batch.iter().map(|waiting| waiting.op.clone()).collect();
            add(&self.counters.batches, 1);
            add(&self.counters.batch_rows, ops.len());
            let result = match self.table.commit(ops, self.random.nonce()).await {
                Err(TableError::Conflict { index }) if index < batch.len() => {
                    let failed = batch.remove(index);
                    let _ = failed.done.send(Err(TableError::Conflict { index: 0 }));
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
