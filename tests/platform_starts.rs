//! What the start of a router costs the platform's store.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::Duration;
use support::program::RouterProcess;
use support::server::Server;
use support::store::FakeStore;
use support::{config, eventually, row};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Pages that routers read of one table.
fn pages(store: &FakeStore) -> (u64, u64) {
    let tables = store.pages("servers") + store.pages("op");
    (tables, store.pages("routers"))
}

/// Guards against starts that each read whole tables from the store and write a row that is there, when
/// hundreds of routers restart on a day: beside another router one reads the routers' rows only.
#[tokio::test]
async fn a_start_beside_another_router_costs_one_read() {
    let store = FakeStore::start().await;
    store.put("op", "config", &config(1, "/read/"));
    let server = Server::start("i-0").await;
    store.put("servers", "i-0", &row(&server, "ready"));
    let first = RouterProcess::start(PROGRAM, FOLDER, "starts-r1", store.address);
    first.wait_ready().await;
    let (before, writes) = (pages(&store), store.writes());
    let mut second = RouterProcess::start(PROGRAM, FOLDER, "starts-r2", store.address);
    second.wait_ready().await;
    assert_eq!(pages(&store), (before.0, before.1 + 1));
    eventually("its row is written", || async {
        store.writes() == writes + 1
    })
    .await;

    second.restart();
    second.wait_ready().await;
    assert_eq!(pages(&store), (before.0, before.1 + 2));
    // A router that writes its row does so at once.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        store.writes(),
        writes + 1,
        "the row is there from the start before"
    );
}
