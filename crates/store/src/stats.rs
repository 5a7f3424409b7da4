//! Counters of the claim ledger.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of what a [`ClaimLedger`](crate::ClaimLedger) has done since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStats {
    /// Rows read.
    pub reads: u64,
    /// Rows written or deleted.
    pub writes: u64,
    /// Transactions sent, including failed ones.
    pub batches: u64,
    /// Rows in those transactions. Divided by `batches`, this is the mean size of a batch.
    pub batch_rows: u64,
    /// Transactions whose outcome was unknown.
    pub unknown: u64,
    /// Claims that could not be released; event 404.
    pub unresolved: u64,
    /// Responses that could not be stored; event 405.
    pub not_stored: u64,
    /// Releases and responses that are still being written.
    pub pending: u64,
}

/// The counters behind [`LedgerStats`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) batches: AtomicU64,
    pub(crate) batch_rows: AtomicU64,
    pub(crate) unknown: AtomicU64,
    pub(crate) unresolved: AtomicU64,
    pub(crate) not_stored: AtomicU64,
    pub(crate) pending: AtomicU64,
}

impl Counters {
    /// Reads all counters.
    pub(crate) fn snapshot(&self) -> LedgerStats {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        LedgerStats {
            reads: read(&self.reads),
            writes: read(&self.writes),
            batches: read(&self.batches),
            batch_rows: read(&self.batch_rows),
            unknown: read(&self.unknown),
            unresolved: read(&self.unresolved),
            not_stored: read(&self.not_stored),
            pending: read(&self.pending),
        }
    }
}

/// Counts a release or a response as pending until it is dropped.
pub(crate) struct Pending<'a> {
    counters: &'a Counters,
}

impl Pending<'_> {
    /// Increments the count of pending writes.
    pub(crate) fn start(counters: &Counters) -> Pending<'_> {
        counters.pending.fetch_add(1, Ordering::Relaxed);
        Pending { counters }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.counters.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
