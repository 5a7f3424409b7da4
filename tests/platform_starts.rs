//! The load on the platform's store when a router starts.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::Duration;
use support::program::RouterProcess;
use support::server::Server;
use support::store::FakeStore;
use support::{config, eventually, row};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Returns the pages that routers have read so far: those of the tables `servers` and `op`
/// together, and those of the table `routers`.
fn pages(store: &FakeStore) -> (u64, u64) {
    let tables = store.pages("servers") + store.pages("op");
    (tables, store.pages("routers"))
}

/// Guards against load on the store when hundreds of routers restart within a day: if another
/// router runs, a router that starts reads only the routers' rows, and does not write its own row
/// again if it is there.
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
    eventually("the second router has written its row", || async {
        store.writes() == writes + 1
    })
    .await;

    second.restart();
    second.wait_ready().await;
    assert_eq!(pages(&store), (before.0, before.1 + 2));
    // A router that writes its row does so as soon as it starts, so the wait would show the write.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        store.writes(),
        writes + 1,
        "the restarted router wrote its row again"
    );
}
