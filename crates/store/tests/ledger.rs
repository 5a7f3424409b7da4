//! Tests the rules of the claim ledger one at a time.

mod support;

use sequoiaridge_core::{Clock, RefusalReason, Verdict};
use sequoiaridge_store::{Claim, ClaimLedger, HeldClaim, Row, StoredResponse, Table};
use std::sync::Arc;
use std::time::Duration;
use support::{Disabled, FaultyTable, MemoryObjectStore, TestClock};

const DAY: Duration = Duration::from_secs(24 * 3600);

struct Fixture {
    table: Arc<FaultyTable>,
    objects: Arc<MemoryObjectStore>,
    clock: Arc<TestClock>,
    ledger: ClaimLedger,
}

impl Fixture {
    fn new(faults: f64) -> Fixture {
        let table = FaultyTable::new(1, faults, Disabled::Nothing);
        let objects = Arc::new(MemoryObjectStore::default());
        let clock = TestClock::new();
        let ledger = ClaimLedger::seeded(table.clone(), objects.clone(), clock.clone(), 1);
        Fixture {
            table,
            objects,
            clock,
            ledger,
        }
    }

    async fn claim(&self, key: &str, digest: u8) -> Result<Claim, (RefusalReason, Verdict)> {
        let deadline = self.clock.now() + Duration::from_secs(5);
        let customer = "amber".to_string();
        let claim = self
            .ledger
            .claim(&customer, key, [digest; 32], deadline)
            .await;
        claim.map_err(|refusal| (refusal.reason, refusal.verdict))
    }

    async fn hold(&self, key: &str) -> HeldClaim {
        match self.claim(key, 1).await {
            Ok(Claim::Held(claim)) => claim,
            other => panic!("{key} is not held: {other:?}"),
        }
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("content-type".to_string(), "text/plain".to_string())],
        body: vec![0xff; size].into(),
    }
}

/// Guards against a stored response that is lost, returned to a different request, or too large for
/// a row.
#[tokio::test(start_paused = true)]
async fn stored_answers_are_returned_to_the_same_request_only() {
    let fixture = Fixture::new(0.0);
    for (key, size) in [("small", 100), ("large", 100_000)] {
        let held = fixture.hold(key).await;
        assert!(fixture.ledger.store(held, response(size)).await.unwrap());
        match fixture.claim(key, 1).await {
            Ok(Claim::Stored(stored)) => assert_eq!(stored, response(size)),
            other => panic!("{key} has no stored answer: {other:?}"),
        }
        let reused = fixture.claim(key, 2).await.unwrap_err();
        assert_eq!(reused, (RefusalReason::KeyReused, Verdict::NotRun));
    }
    let objects = fixture.objects.0.lock().unwrap();
    assert_eq!(objects.keys().collect::<Vec<_>>(), ["answers/amber/large"]);
}

/// Guards against taking over a claim that is older than the retention, and against removing newer
/// rows.
#[tokio::test(start_paused = true)]
async fn old_claims_are_removed_but_never_taken_over() {
    let fixture = Fixture::new(0.0);
    for n in 0..130 {
        fixture.hold(&format!("old-{n}")).await;
    }
    tokio::time::advance(DAY + Duration::from_secs(60)).await;
    let young = fixture.hold("young").await;
    let refused = fixture.claim("old-7", 1).await.unwrap_err();
    assert_eq!(refused, (RefusalReason::KeyClaimed, Verdict::MayHaveRun));
    let (mut removed, mut after) = (0, None);
    loop {
        let step = fixture
            .ledger
            .remove_expired(DAY, after.as_deref())
            .await
            .unwrap();
        removed += step.removed;
        after = step.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(removed, 130);
    assert!(fixture.ledger.may_dispatch(&young));
    assert_eq!(fixture.table.rows.lock().unwrap().len(), 1);
}

/// Guards against one transaction per claim, and against a conflict on one key that fails the other
/// claims in its transaction.
#[tokio::test(start_paused = true)]
async fn concurrent_claims_share_transactions_and_conflicts_are_split_off() {
    let fixture = Arc::new(Fixture::new(0.0));
    fixture.hold("key-30").await;
    let tasks: Vec<_> = (0..60)
        .map(|n| {
            let fixture = fixture.clone();
            tokio::spawn(async move { fixture.claim(&format!("key-{n}"), 1).await })
        })
        .collect();
    for (n, task) in tasks.into_iter().enumerate() {
        let result = task.await.unwrap();
        assert_eq!(result.is_ok(), n != 30, "key-{n}: {result:?}");
    }
    let sizes = fixture.table.sizes.lock().unwrap();
    assert!(sizes.iter().all(|size| *size <= 25), "{sizes:?}");
    assert!(sizes.len() <= 6, "{sizes:?}");
    assert_eq!(fixture.ledger.stats().writes, 60);
}

/// Guards against a claim that outlives its caller, which would block the key.
#[tokio::test(start_paused = true)]
async fn a_claim_is_released_when_its_caller_goes_away() {
    let fixture = Fixture::new(0.0);
    let customer = "amber".to_string();
    let claim = fixture.ledger.claim(&customer, "gone", [1; 32], DAY);
    // After 0.5 ms the insert is in flight, since it takes at least 1 ms.
    assert!(
        tokio::time::timeout(Duration::from_micros(500), claim)
            .await
            .is_err()
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.hold("gone").await;
}

/// Guards against the verdict "may have run" for a call that was never dispatched, and against a
/// release that is lost in an outage.
#[tokio::test(start_paused = true)]
async fn an_unwritten_claim_is_refused_as_not_run_at_its_deadline() {
    let fixture = Fixture::new(1.0);
    let begin = fixture.clock.now();
    let mut refused = 0;
    for n in 0..20 {
        match fixture.claim(&format!("key-{n}"), 1).await {
            Err(refusal) => {
                assert_eq!(refusal, (RefusalReason::ClaimUnavailable, Verdict::NotRun));
                refused += 1;
            }
            Ok(_) => panic!("a table that never answers cannot grant a claim"),
        }
    }
    let mean = (fixture.clock.now() - begin) / refused;
    assert!(mean <= Duration::from_secs(6), "{mean:?} until the refusal");
    tokio::time::sleep(Duration::from_secs(700)).await;
    assert_eq!(fixture.ledger.stats().pending, 0);
}

/// Guards against dispatching a call after its process was paused past the deadline.
#[tokio::test(start_paused = true)]
async fn a_paused_holder_may_not_dispatch_past_its_deadline() {
    let fixture = Fixture::new(0.0);
    let held = fixture.hold("paused").await;
    assert!(fixture.ledger.may_dispatch(&held));
    tokio::time::advance(Duration::from_secs(6)).await;
    assert!(!fixture.ledger.may_dispatch(&held));
    assert!(fixture.ledger.release(held).await.unwrap());
    fixture.hold("paused").await;
}

/// Guards against taking an unreadable row for a free or finished key, and against keys that the
/// table service cannot store.
#[tokio::test(start_paused = true)]
async fn unreadable_rows_count_as_claimed_and_bad_keys_are_refused() {
    let fixture = Fixture::new(0.0);
    let key = "claim/amber/odd".to_string();
    let value = Row::new().with_text("state", "done");
    let cond = sequoiaridge_store::Cond::None;
    let op = sequoiaridge_store::Op::Put { key, value, cond };
    fixture.table.commit(vec![op], 1).await.unwrap();
    let refused = fixture.claim("odd", 1).await.unwrap_err();
    assert_eq!(refused.1, Verdict::MayHaveRun);
    for key in ["", &"x".repeat(513)] {
        let refused = fixture.claim(key, 1).await.unwrap_err();
        assert_eq!(refused, (RefusalReason::BadRequest, Verdict::NotRun));
    }
}
