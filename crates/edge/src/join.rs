//! How a router joins the fleet through the registry, and what the fleet keeps there.

use crate::crashes::restore_crashes;
use crate::manifest::RouterEntry;
use crate::registry::{Entry, PeerKey, Registry, RegistryError, Row, Saved, Table};
use crate::schedule::jittered;
use crate::shared::{Contact, Shared};
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
/// Time after which a router that was heard may be gone. In a large fleet each is heard now and then.
const HEARD: Duration = Duration::from_secs(4);
/// Time over which the first start of a fleet is spread, before callers come: the first router creates
/// the key, and the others find it.
const FIRST_START: Duration = Duration::from_millis(1500);
/// Pause between saves of what endpoints have cached: the time of some ten thousand requests at the
/// target size, and a hundredth of the platform's calls today.
const SAVE_PERIOD: Duration = Duration::from_secs(5);
/// Pause after a failed call to the registry; drawn between half and the whole.
const RETRY: Duration = Duration::from_millis(500);
/// The same for the own row, which only routers need that start later.
const ANNOUNCE_RETRY: Duration = Duration::from_secs(4);

/// What a router learns when it joins.
pub(crate) struct Joined {
    pub(crate) key: PeerKey,
    pub(crate) routers: Vec<RouterEntry>,
    pub(crate) saved: Vec<(Saved, Vec<u8>)>,
}

/// Takes over what the fleet saved last.
pub(crate) fn restore(shared: &Shared, saved: &[(Saved, Vec<u8>)]) {
    for (saved, bytes) in saved {
        match saved {
            Saved::Cache => restore_cache(shared, bytes),
            Saved::Crashes => restore_crashes(shared, bytes),
        }
    }
}

fn restore_cache(shared: &Shared, cache: &[u8]) {
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
        let now = shared.now();
        let heard = |contact: &Contact| contact.heard.is_some_and(|heard| now < heard + HEARD);
        if shared.board().contacts.values().any(heard) {
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

/// Saves what endpoints have cached, at the router that reads for the fleet, so that routers that start, or
/// all of them after a power cut, know where prompts are cached.
pub(crate) async fn save(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let mut saved = Vec::new();
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let snapshot = {
            let board = shared.board();
            if !board.endpoints.leads() {
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
        let outcome = registry.save(Saved::Cache, snapshot.clone()).await;
        let answered = outcome.is_ok();
        shared.metrics.registry_call(Table::Routers, answered);
        // A save that failed is made up for by the next one.
        match outcome {
            Ok(()) => saved = snapshot,
            Err(error) => log(Event::CacheNotSaved, &error.to_string()),
        }
    }
}

/// Reads the key of the fleet and the rows of the other routers. Writes this router's row unless it is
/// there from an earlier start: at once if it creates the key, and meanwhile otherwise. Routers that start
/// together and do not read each other's rows are introduced by a third; the first two of a fleet meet
/// because one of them reads again for the key.
pub(crate) async fn join(shared: &Arc<Shared>, registry: &Arc<dyn Registry>) -> Joined {
    let own = RouterEntry {
        id: shared.settings.id.clone(),
        address: shared.settings.peers,
        domain: shared.settings.domain.clone(),
        incarnation: shared.incarnation(),
    };
    if shared.settings.first_start {
        let pause = FIRST_START.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(pause).await;
    }
    loop {
        match join_once(shared, registry.as_ref(), &own).await {
            Ok((joined, true)) => return joined,
            Ok((joined, false)) => {
                tokio::spawn(announce(shared.clone(), registry.clone(), own));
                return joined;
            }
            // Another router created the key first; the next read shows it.
            Err(RegistryError::Conflict) => {}
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                tokio::time::sleep(jittered(RETRY)).await;
            }
        }
    }
}

/// Writes this router's row, until the registry takes it.
async fn announce(shared: Arc<Shared>, registry: Arc<dyn Registry>, own: RouterEntry) {
    loop {
        let outcome = registry.announce(own.clone(), None).await;
        shared
            .metrics
            .registry_call(Table::Routers, outcome.is_ok());
        let Err(error) = outcome else {
            return;
        };
        log(Event::PlatformDown, &format!("table=routers {error}"));
        tokio::time::sleep(jittered(ANNOUNCE_RETRY)).await;
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

/// Reads the table of routers once. Returns what it holds and whether the own row is there.
async fn join_once(
    shared: &Shared,
    registry: &dyn Registry,
    own: &RouterEntry,
) -> Result<(Joined, bool), RegistryError> {
    let mut key = None;
    let mut saved = Vec::new();
    let mut listed = false;
    let mut routers = Vec::new();
    let rows = read_routers(registry).await;
    shared.metrics.registry_call(Table::Routers, rows.is_ok());
    for row in rows? {
        match row.entry {
            Entry::PeerKey(found) => key = Some(found),
            Entry::Saved(what, bytes) => saved.push((what, bytes)),
            Entry::Router(router) if router.id != own.id => routers.push(router),
            Entry::Router(row) => listed = row.address == own.address && row.domain == own.domain,
            Entry::Malformed(reason) => {
                log(Event::PeerRejected, &format!("row {}: {reason}", row.key));
            }
            _ => {}
        }
    }
    let created = key.is_none();
    let key = key.unwrap_or_else(|| rand::rng().random());
    if created {
        let outcome = registry.announce(own.clone(), Some(key)).await;
        shared
            .metrics
            .registry_call(Table::Routers, outcome.is_ok());
        outcome?;
    }
    let joined = Joined {
        key,
        routers,
        saved,
    };
    Ok((joined, created || listed))
}
