//! How a router joins the fleet through the registry, and what the fleet keeps there.

use crate::manifest::RouterEntry;
use crate::registry::{Entry, PeerKey, Registry, RegistryError, Row, Table};
use crate::shared::Shared;
use crate::sync::drawn;
use rand::RngExt;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_policy::Backoff;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pauses between reads of the other routers' rows while none is heard.
const SEEK: Backoff = Backoff {
    base: Duration::from_secs(2),
    limit: Duration::from_secs(30),
};
/// Pause between saves of what endpoints have cached: the time of some ten thousand requests at the
/// target size, and a hundredth of the platform's calls today.
const SAVE_PERIOD: Duration = Duration::from_secs(5);
/// Pause after a failed call to the registry; drawn between half and the whole.
const RETRY: Duration = Duration::from_millis(500);

/// What a router learns when it joins.
pub(crate) struct Joined {
    pub(crate) key: PeerKey,
    pub(crate) routers: Vec<RouterEntry>,
    pub(crate) cache: Option<Vec<u8>>,
}

/// Takes over what endpoints have cached, as it was saved last.
pub(crate) fn restore(shared: &Shared, cache: &[u8]) {
    let now = shared.now();
    let restored = shared.board().cache.restore(cache, now);
    match restored {
        Ok(count) => log(Event::CacheRestored, &format!("prefixes={count}")),
        Err(error) => log(Event::CacheRestored, &format!("prefixes=0 {error}")),
    }
}

/// Reads the rows of the other routers again for as long as none of them is heard: routers that start
/// together at new addresses may have read before the others wrote.
pub(crate) async fn seek(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    found: mpsc::UnboundedSender<RouterEntry>,
) {
    let mut reads = 0u32;
    loop {
        tokio::time::sleep(SEEK.ceiling(reads)).await;
        if shared.board().loads.routers() > 1 {
            reads = 0;
            continue;
        }
        reads = reads.saturating_add(1);
        let read = read_routers(registry.as_ref()).await;
        shared.metrics.registry_call(Table::Routers, read.is_ok());
        let rows = match read {
            Ok(rows) => rows,
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                continue;
            }
        };
        for row in rows {
            if let Entry::Router(router) = row.entry
                && router.id != shared.settings.id
                && found.send(router).is_err()
            {
                return;
            }
        }
    }
}

/// Saves what endpoints have cached, at the first router in their order, so that routers that start, or
/// all of them after a power cut, know where prompts are cached.
pub(crate) async fn save(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let mut saved = Vec::new();
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let snapshot = {
            let board = shared.board();
            if board.place(&shared.settings) > 0 {
                continue;
            }
            board.cache.snapshot()
        };
        let snapshot = match snapshot {
            Ok(snapshot) if snapshot != saved => snapshot,
            Ok(_) => continue,
            Err(error) => {
                log(Event::CacheNotSaved, &error.to_string());
                continue;
            }
        };
        let outcome = registry.save_cache(snapshot.clone()).await;
        let answered = outcome.is_ok();
        shared.metrics.registry_call(Table::Routers, answered);
        // A save that failed is made up for by the next one.
        match outcome {
            Ok(()) => saved = snapshot,
            Err(error) => log(Event::CacheNotSaved, &error.to_string()),
        }
    }
}

/// Writes this router's row, creates the fleet's key if there is none, and returns the key with the
/// other routers. Routers that start together and do not read each other's rows are introduced by a
/// third; the first two of a fleet meet because one of them reads again for the key.
pub(crate) async fn join(shared: &Shared, registry: &dyn Registry) -> Joined {
    let own = RouterEntry {
        id: shared.settings.id.clone(),
        address: shared.settings.peers,
        domain: shared.settings.domain.clone(),
        incarnation: shared.incarnation(),
    };
    loop {
        let outcome = join_once(registry, &own).await;
        shared
            .metrics
            .registry_call(Table::Routers, outcome.is_ok());
        match outcome {
            Ok(Some(joined)) => return joined,
            Ok(None) => {}
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                tokio::time::sleep(drawn(RETRY)).await;
            }
        }
    }
}

/// All rows of the table of routers.
async fn read_routers(registry: &dyn Registry) -> Result<Vec<Row>, RegistryError> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = registry.read(Table::Routers, after, None).await?;
        rows.extend(page.rows);
        if page.next.is_none() {
            return Ok(rows);
        }
        after = page.next;
    }
}

async fn join_once(
    registry: &dyn Registry,
    own: &RouterEntry,
) -> Result<Option<Joined>, RegistryError> {
    let mut key = None;
    let mut cache = None;
    let mut routers = Vec::new();
    for row in read_routers(registry).await? {
        match row.entry {
            Entry::PeerKey(found) => key = Some(found),
            Entry::Cache(found) => cache = Some(found),
            Entry::Router(router) if router.id != own.id => routers.push(router),
            Entry::Malformed(reason) => {
                log(Event::PeerRejected, &format!("row {}: {reason}", row.key));
            }
            _ => {}
        }
    }
    let new_key: Option<PeerKey> = key.is_none().then(|| rand::rng().random());
    match registry.announce(own.clone(), new_key).await {
        Ok(()) => Ok(key.or(new_key).map(|key| Joined {
            key,
            routers,
            cache,
        })),
        // Another router created the key first; the next read shows it.
        Err(RegistryError::Conflict) => Ok(None),
        Err(error) => Err(error),
    }
}
