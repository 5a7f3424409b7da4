//! The claim ledger. See section 4.2 of `docs/design.md`.

use crate::backoff::Backoff;
use crate::batch::Batcher;
use crate::claim::{CLAIM_PREFIX, ResponseLocation, RowState, claim_key, removal};
use crate::random::Random;
use crate::stats::{Counters, Pending, add};
use crate::{
    Claim, HeldClaim, Key, KeyStatus, LedgerStats, ObjectStore, Op, RequestDigest, Row,
    StoredResponse, Table, TableError,
};
use bytes::Bytes;
use sequoiaridge_core::{Clock, CustomerId, Refusal, RefusalReason};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Maximum length of an idempotency key in bytes. With customer and prefix it stays below the 1,024
/// bytes that the table service allows for a sort key.
const MAX_KEY_BYTES: usize = 512;
/// Maximum size in bytes of the headers and body of a response stored in its row. A larger response
/// goes to the object store.
const MAX_INLINE_BYTES: usize = 64 * 1024;
/// Time after which a caller should retry a call whose key is claimed or whose claim was not
/// written.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which releases and stores are retried: longer than the platform's usual outages.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum number of rows that one call of [`ClaimLedger::remove_expired`] reads.
const REMOVAL_PAGE_ROWS: usize = 100;

/// Result of one call of [`ClaimLedger::remove_expired`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Number of rows deleted.
    pub removed: usize,
    /// Key after which the next call continues; `None` at the end of the table.
    pub next: Option<Key>,
}

/// Grants each idempotency key to at most one dispatch in the whole fleet.
///
/// The ledger relies on conditional inserts alone. A claim is never taken over, however old it is,
/// so a holder that is paused and resumes later is harmless.
#[derive(Clone)]
pub struct ClaimLedger {
    inner: Arc<Inner>,
}

struct Inner {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    batcher: Arc<Batcher>,
    counters: Arc<Counters>,
    random: Arc<Random>,
}

impl ClaimLedger {
    /// Creates a ledger on the platform's table service and object store.
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
    ) -> ClaimLedger {
        ClaimLedger::build(table, objects, clock, Random::new())
    }

    /// Creates a ledger whose nonces and delays are the same for the same seed. Only for tests: two
    /// ledgers on one table must never share a seed, or their nonces would be equal.
    pub fn seeded(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> ClaimLedger {
        ClaimLedger::build(table, objects, clock, Random::seeded(seed))
    }

    fn build(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        random: Random,
    ) -> ClaimLedger {
        let random = Arc::new(random);
        let counters = Arc::new(Counters::default());
        let batcher = Arc::new(Batcher::new(
            table.clone(),
            counters.clone(),
            random.clone(),
        ));
        ClaimLedger {
            inner: Arc::new(Inner {
                table,
                objects,
                clock,
                batcher,
                counters,
                random,
            }),
        }
    }

    /// Claims `key` of `customer`, or returns the stored response of an earlier call with it.
    ///
    /// Failed attempts are retried until `deadline`, a time of the ledger's clock. A claim that is
    /// written after the caller has dropped the future is released.
    ///
    /// # Errors
    ///
    /// * [`RefusalReason::BadRequest`], not run: the key is empty or longer than 512 bytes.
    /// * [`RefusalReason::KeyReused`], not run: the key was used for a request with another digest.
    /// * [`RefusalReason::KeyClaimed`], may have run: a call with the key is running, or its
    ///   outcome is unknown.
    /// * [`RefusalReason::ClaimUnavailable`], not run: the claim could not be written in time.
    pub async fn claim(
        &self,
        customer: &CustomerId,
        key: &str,
        digest: RequestDigest,
        deadline: Duration,
    ) -> Result<Claim, Refusal> {
        if !(1..=MAX_KEY_BYTES).contains(&key.len()) {
            return Err(Refusal::not_run(RefusalReason::BadRequest, Duration::ZERO));
        }
        let claim = HeldClaim {
            customer: customer.clone(),
            key: key.to_string(),
            digest,
            nonce: self.inner.random.nonce(),
            deadline,
        };
        let inner = self.inner.clone();
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let result = inner.clone().acquire(claim).await;
            if let Err(Ok(Claim::Held(claim))) = sender.send(result) {
                inner.release(claim).await;
            }
        });
        // The task ends without a result only when the runtime shuts down.
        receiver.await.unwrap_or_else(|_| Err(claim_unavailable()))
    }

    /// Reads the status of `key` of `customer` without claiming it.
    ///
    /// A call that is refused before it claims its key may have run in an earlier attempt. This
    /// tells whether it did, at the cost of one read instead of two writes.
    ///
    /// # Errors
    ///
    /// The row or the stored response cannot be read now.
    pub async fn peek(
        &self,
        customer: &CustomerId,
        key: &str,
        digest: &RequestDigest,
    ) -> Result<KeyStatus, TableError> {
        let inner = &self.inner;
        add(&inner.counters.reads, 1);
        let row = inner.table.get(&claim_key(customer, key)).await?;
        let Some(row) = row else {
            return Ok(KeyStatus::Absent);
        };
        let content = match RowState::of(&row, digest) {
            RowState::OtherRequest => return Ok(KeyStatus::OtherRequest),
            RowState::Own | RowState::Claimed => return Ok(KeyStatus::Claimed),
            RowState::Done(ResponseLocation::Inline(text)) => Some(Bytes::from(text)),
            RowState::Done(ResponseLocation::Object(name)) => {
                let read = inner.objects.get(&name).await;
                read.map_err(|_| TableError::Unknown)?
            }
        };
        let response = content.and_then(|content| serde_json::from_slice(&content).ok());
        Ok(response.map_or(KeyStatus::Claimed, KeyStatus::Stored))
    }

    /// Whether the call may be dispatched now: the claim's deadline has not passed. Must be checked
    /// immediately before dispatching, because the process may have been paused since the claim was
    /// written.
    pub fn may_dispatch(&self, claim: &HeldClaim) -> bool {
        self.inner.clock.now() < claim.deadline
    }

    /// Releases a claim whose call certainly did not run. A background task retries the write; its
    /// result is whether the claim is gone.
    pub fn release(&self, claim: HeldClaim) -> JoinHandle<bool> {
        let inner = self.inner.clone();
        tokio::spawn(async move { inner.release(claim).await })
    }

    /// Stores the whole response of a claimed call. A background task retries the write; its result
    /// is whether the response is stored.
    pub fn store(&self, claim: HeldClaim, response: StoredResponse) -> JoinHandle<bool> {
        let inner = self.inner.clone();
        tokio::spawn(async move { inner.store(claim, response).await })
    }

    /// Reads the next 100 rows after `after` and deletes those written more than `retention` ago.
    /// The caller continues with [`Removal::next`] at its own pace.
    ///
    /// # Errors
    ///
    /// The rows could not be read. Rows that could not be deleted are left for the next pass.
    pub async fn remove_expired(
        &self,
        retention: Duration,
        after: Option<&str>,
    ) -> Result<Removal, TableError> {
        let inner = &self.inner;
        let page = inner
            .table
            .scan(CLAIM_PREFIX, after, REMOVAL_PAGE_ROWS)
            .await?;
        add(&inner.counters.reads, 1);
        let oldest = inner.wall().saturating_sub(retention.as_secs());
        let removals = page
            .rows
            .iter()
            .filter_map(|(key, row)| removal(key, row, oldest));
        let writes: Vec<_> = removals.map(|op| inner.batcher.submit(op)).collect();
        let mut removed = 0;
        for write in writes {
            removed += usize::from(write.await == Ok(Ok(())));
        }
        let next = page.next;
        Ok(Removal { removed, next })
    }

    /// Reads the counters of the ledger.
    pub fn stats(&self) -> LedgerStats {
        self.inner.counters.snapshot()
    }
}

impl Inner {
    /// Rules 1 to 3: inserts the claim, and reads the row back when the insert conflicts or its
    /// outcome is unknown.
    async fn acquire(self: Arc<Self>, claim: HeldClaim) -> Result<Claim, Refusal> {
        let mut backoff = Backoff::new(&self.random);
        let mut maybe_written = false;
        while let Some(left) = self.time_left(claim.deadline) {
            let write = self.batcher.write(claim.insert(self.wall()));
            let result = tokio::time::timeout(left, write).await;
            match result.unwrap_or(Err(TableError::Unknown)) {
                Ok(()) => return Ok(Claim::Held(claim)),
                Err(TableError::Refused) => {}
                Err(error) => {
                    maybe_written |= error == TableError::Unknown;
                    if let Some(row) = self.read_back(&claim).await {
                        return self.resolve(&row, claim).await;
                    }
                }
            }
            backoff.wait(left).await;
        }
        if maybe_written {
            tokio::spawn(async move { self.release(claim).await });
        }
        Err(claim_unavailable())
    }

    /// Reads the claim's row, retrying until the deadline; `None` if there is no row or no response
    /// in time.
    async fn read_back(&self, claim: &HeldClaim) -> Option<Row> {
        let key = claim.row_key();
        let mut backoff = Backoff::new(&self.random);
        while let Some(left) = self.time_left(claim.deadline) {
            add(&self.counters.reads, 1);
            if let Ok(Ok(row)) = tokio::time::timeout(left, self.table.get(&key)).await {
                return row;
            }
            backoff.wait(left).await;
        }
        None
    }

    async fn resolve(&self, row: &Row, claim: HeldClaim) -> Result<Claim, Refusal> {
        let location = match RowState::read(row, &claim) {
            RowState::Own => return Ok(Claim::Held(claim)),
            RowState::Claimed => return Err(key_claimed()),
            RowState::OtherRequest => {
                return Err(Refusal::not_run(RefusalReason::KeyReused, Duration::ZERO));
            }
            RowState::Done(location) => location,
        };
        let content = match location {
            ResponseLocation::Inline(text) => Some(Bytes::from(text)),
            ResponseLocation::Object(name) => self.read_object(&name, claim.deadline).await,
        };
        let response = content.and_then(|content| serde_json::from_slice(&content).ok());
        response.map(Claim::Stored).ok_or_else(key_claimed)
    }

    async fn read_object(&self, name: &str, deadline: Duration) -> Option<Bytes> {
        let mut backoff = Backoff::new(&self.random);
        while let Some(left) = self.time_left(deadline) {
            if let Ok(Ok(content)) = tokio::time::timeout(left, self.objects.get(name)).await {
                return content;
            }
            backoff.wait(left).await;
        }
        None
    }

    /// Rule 5: deletes the row if it still holds the claim's nonce.
    async fn release(&self, claim: HeldClaim) -> bool {
        let _pending = Pending::start(&self.counters);
        let released = self.retry_write(|| claim.delete()).await;
        add(&self.counters.unresolved, usize::from(!released));
        released
    }

    /// Rule 6: writes the response if the row still holds the claim's nonce.
    async fn store(&self, claim: HeldClaim, response: StoredResponse) -> bool {
        let _pending = Pending::start(&self.counters);
        let text = serde_json::to_string(&response).expect("a response is valid JSON");
        let size = response.body.len() + header_size(&response);
        let location = if size <= MAX_INLINE_BYTES {
            ResponseLocation::Inline(text)
        } else {
            let name = claim.object_name();
            if !self.write_object(&name, text.into()).await {
                add(&self.counters.not_stored, 1);
                return false;
            }
            ResponseLocation::Object(name)
        };
        let stored = self
            .retry_write(|| claim.finish(self.wall(), &location))
            .await;
        add(&self.counters.not_stored, usize::from(!stored));
        stored
    }

    async fn write_object(&self, name: &str, content: Bytes) -> bool {
        let deadline = self.clock.now() + SETTLE_TIMEOUT;
        let mut backoff = Backoff::new(&self.random);
        while let Some(left) = self.time_left(deadline) {
            if self.objects.put(name, content.clone()).await.is_ok() {
                return true;
            }
            backoff.wait(left).await;
        }
        false
    }

    /// Retries a write until it takes effect, its condition fails, or [`SETTLE_TIMEOUT`] has
    /// passed. Each operation is conditional on the claim's nonce, so repeating it changes nothing.
    async fn retry_write(&self, op: impl Fn() -> Op) -> bool {
        let deadline = self.clock.now() + SETTLE_TIMEOUT;
        let mut backoff = Backoff::new(&self.random);
        while let Some(left) = self.time_left(deadline) {
            let op = op();
            let deletes = matches!(op, Op::Delete { .. });
            match self.batcher.write(op).await {
                Ok(()) => return true,
                // The row no longer holds the nonce, so a release is done and a response is lost.
                Err(TableError::Conflict { .. }) => return deletes,
                Err(_) => backoff.wait(left).await,
            }
        }
        false
    }

    /// Time until `deadline`; `None` once it has passed.
    fn time_left(&self, deadline: Duration) -> Option<Duration> {
        let left = deadline.saturating_sub(self.clock.now());
        (!left.is_zero()).then_some(left)
    }

    /// Wall-clock time in seconds since the Unix epoch.
    fn wall(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |since| since.as_secs())
    }
}

fn header_size(response: &StoredResponse) -> usize {
    let sizes = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len());
    sizes.sum()
}

fn key_claimed() -> Refusal {
    Refusal::may_have_run(RefusalReason::KeyClaimed, RETRY_AFTER)
}

fn claim_unavailable() -> Refusal {
    Refusal::not_run(RefusalReason::ClaimUnavailable, RETRY_AFTER)
}
