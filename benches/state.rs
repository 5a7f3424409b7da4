//! Sizes of the state of a router, and writes to the table service per claimed call.
//! docs/CAPACITY.md uses its figures.
//!
//! ```console
//! $ cargo bench --bench state
//! ```

mod memory;

use bytes::Bytes;
use sequoiaridge::core::{
    Change, Class, Customer, FleetConfig, SystemClock, Targets, Team, token_digest,
};
use sequoiaridge::fakes::platform::{Platform, PlatformCommand, PlatformConfig};
use sequoiaridge::http::{Client, ClientConfig};
use sequoiaridge::policy::ChatIndex;
use sequoiaridge::store::{Claim, ClaimLedger, HttpObjectStore, HttpTable, StoredResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of index entries: so many that the other memory of the process is negligible.
const INDEX_ENTRIES: u64 = 1_000_000;
/// Number of customers and of classes at the target size.
const CUSTOMERS: usize = 2_100;
const CLASSES: usize = 40;
/// Delay of the platform's answers during the measurement of claims.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Length of each measurement of claims.
const CLAIM_TIME: Duration = Duration::from_secs(4);

fn main() {
    chat_index();
    configuration();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for callers in [1, 4, 16, 64] {
        runtime.block_on(claims(callers));
    }
}

fn chat_index() {
    let before = memory::resident_bytes("self");
    let mut index = ChatIndex::new(INDEX_ENTRIES as usize);
    for chat in 0..INDEX_ENTRIES {
        let endpoint = format!("engine-{}", chat % 7_500);
        // The multiplication spreads the keys over the whole range, like the hashes in real use.
        index.record(
            chat.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            &endpoint,
            Duration::from_millis(chat),
        );
    }
    println!(
        "chat index: {:.0} bytes per chat",
        (memory::resident_bytes("self") - before) / INDEX_ENTRIES as f64
    );
    assert_eq!(index.len(), INDEX_ENTRIES as usize);
}

fn configuration() {
    let team = Team {
        tokens: [token_digest("team")].into(),
        admin: true,
    };
    let mut config = FleetConfig::default();
    config.apply(&Change::SetTeam {
        name: "team".to_string(),
        team,
    });
    for number in 0..CLASSES {
        let class = Class {
            team: "team".to_string(),
            targets: Targets::default(),
        };
        config.apply(&Change::SetClass {
            name: format!("class-{number}"),
            class,
        });
    }
    let customer = |number: usize| Change::SetCustomer {
        name: format!("customer-{number:04}"),
        customer: Customer {
            tokens: [token_digest(&number.to_string())].into(),
        },
    };
    let changes: Vec<Change> = (0..CUSTOMERS).map(customer).collect();
    changes.iter().for_each(|change| config.apply(change));
    let document = serde_json::to_vec(&config)
        .expect("a configuration is valid JSON")
        .len();
    let change = serde_json::to_vec(&changes[0])
        .expect("a change is valid JSON")
        .len();
    println!("configuration: {document} bytes with {CUSTOMERS} customers and {CLASSES} classes");
    println!("one change: {change} bytes");
}

/// Measures claims and stored answers with a number of concurrent callers of one ledger.
async fn claims(callers: usize) {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(loopback, PlatformConfig::default()).expect("a free port");
    platform.apply(PlatformCommand::Slow {
        ms: PLATFORM_DELAY.as_millis() as u64,
    });
    let client = Client::new(ClientConfig::default());
    let table = Arc::new(HttpTable::new(platform.address(), "table", client.clone()));
    let objects = Arc::new(HttpObjectStore::new(platform.address(), "bucket", client));
    let ledger = ClaimLedger::new(table, objects, Arc::new(SystemClock::new()));
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let ledger = ledger.clone();
            tokio::spawn(async move {
                let mut calls = 0_u64;
                while start.elapsed() < CLAIM_TIME {
                    let key = format!("{caller}-{calls}");
                    let deadline = Duration::from_secs(60);
                    let claim = ledger
                        .claim(&"customer".to_string(), &key, [0; 32], deadline)
                        .await;
                    if let Ok(Claim::Held(claim)) = claim {
                        let body = Bytes::from_static(b"{\"booked\":true}");
                        let answer = StoredResponse {
                            status: 200,
                            headers: Vec::new(),
                            body,
                        };
                        assert!(ledger.store(claim, answer).await.expect("the task ends"));
                        calls += 1;
                    }
                }
                calls
            })
        })
        .collect();
    let mut calls = 0;
    for task in tasks {
        calls += task.await.expect("the task ends");
    }
    let counters = platform.counters();
    println!(
        "claims: {callers} callers, {:.0} calls/s, {:.2} transactions and {:.2} rows written per call",
        calls as f64 / start.elapsed().as_secs_f64(),
        counters.transactions as f64 / calls as f64,
        counters.writes as f64 / calls as f64,
    );
}
