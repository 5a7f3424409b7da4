//! How a router joins the fleet through the registry, and the state that the fleet saves there.

use crate::crashes::restore_crashes;
use crate::manifest::RouterEntry;
use crate::registry::{Entry, Era, PeerKey, Registry, RegistryError, Row, Saved, Table};
use crate::saved_streams::restore_streams;
use crate::saved_versions::{note_no_versions, restore_versions};
use crate::schedule::jittered;
use crate::shared::{Contact, Shared, is_later_era};
use crate::stream_saves::StreamSaves;
use rand::RngExt;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_policy::Backoff;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pauses between reads of the other routers' rows while no other router is heard.
const SEARCH_BACKOFF: Backoff = Backoff {
    base: Duration::from_secs(2),
    limit: Duration::from_secs(30),
};
/// Time after which a silent router may be gone. In a large fleet, each router is heard only now
/// and then.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time over which the first start of a fleet is spread, before callers come: the first router
/// creates the peer key, and the others find it.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1500);
/// Interval between saves of the cached prefixes: the time of about ten thousand requests at the
/// target size, and a hundredth of the calls to the platform today.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed call to the registry; drawn between half and the whole.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The same for writing this router's row, which only routers need that start later.
const ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// What a router learns when it joins the fleet.
pub(crate) struct Fleet {
    pub(crate) key: PeerKey,
    /// Era of the registry in which it was read.
    pub(crate) era: Era,
    pub(crate) routers: Vec<RouterEntry>,
    pub(crate) saved: Vec<(Saved, Vec<u8>)>,
}

/// Restores what the fleet saved last, as it was read in an era of the registry. Returns what this
/// router's own row has.
pub(crate) fn restore_saved(shared: &Shared, saved: &[(Saved, Vec<u8>)], era: Era) -> StreamSaves {
    for (saved, bytes) in saved {
        match saved {
            Saved::Cache => restore_cache(shared, bytes),
            Saved::Crashes => restore_crashes(shared, bytes),
            Saved::Versions => restore_versions(shared, bytes, Some(era)),
            // They are many rows, which are restored together.
            Saved::Streams(_) => {}
        }
    }
    if !saved.iter().any(|(saved, _)| *saved == Saved::Versions) {
        note_no_versions(shared, era);
    }
    restore_streams(shared, saved)
}

fn restore_cache(shared: &Shared, cache: &[u8]) {
    let now = shared.now();
    let restored = shared.lock_state().cache.restore(cache, now);
    match restored {
        Ok(count) => log(Event::CacheRestored, &format!("prefixes={count}")),
        Err(error) => log(Event::CacheRestored, &format!("prefixes=0 {error}")),
    }
}

/// Reads the rows of the other routers again for as long as none of them is heard. Routers that
/// start together at new addresses may have read the table before the others wrote their rows.
pub(crate) async fn find_peers(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    found: mpsc::UnboundedSender<RouterEntry>,
) {
    let mut reads = 0u32;
    loop {
        tokio::time::sleep(SEARCH_BACKOFF.ceiling(reads)).await;
        let now = shared.now();
        let heard = |contact: &Contact| {
            contact
                .heard
                .is_some_and(|heard| now < heard + PEER_TIMEOUT)
        };
        if shared.lock_state().contacts.values().any(heard) {
            reads = 0;
            continue;
        }
        reads = reads.saturating_add(1);
        let read = read_routers(registry.as_ref()).await;
        shared.metrics.registry_call(Table::Routers, read.is_ok());
        let rows = match read {
            Ok((rows, _)) => rows,
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

/// Saves the cached prefixes, at the router that reads for the fleet, so that routers that start,
/// or all of them after a power cut, know where prompts are cached.
pub(crate) async fn save_cache(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let mut saved = Vec::new();
    let mut era = shared.watch_era();
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        if is_later_era(&mut era) {
            saved.clear();
        }
        let snapshot = {
            let state = shared.lock_state();
            if !state.endpoints.is_reader() {
                continue;
            }
            state.cache.snapshot()
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
        // The next save makes up for one that failed.
        match outcome {
            Ok(()) => saved = snapshot,
            Err(error) => log(Event::CacheNotSaved, &error.to_string()),
        }
    }
}

/// Reads the peer key of the fleet and the rows of the other routers. Writes this router's row
/// unless it is there from an earlier start: before it returns if this router creates the key, and
/// in the background otherwise. Routers that start together and miss each other's rows learn of
/// each other from a third router; the first two of a fleet do so because one of them reads again
/// for the key.
pub(crate) async fn join(shared: &Arc<Shared>, registry: &Arc<dyn Registry>) -> Fleet {
    let own = own_entry(shared);
    if shared.settings.first_start {
        let pause = FIRST_START_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(pause).await;
    }
    loop {
        match join_once(shared, registry.as_ref(), &own).await {
            Ok((fleet, true)) => return fleet,
            Ok((fleet, false)) => {
                let (shared, registry) = (shared.clone(), registry.clone());
                tokio::spawn(async move { announce(&shared, registry.as_ref(), own).await });
                return fleet;
            }
            // Another router created the key first; the next read returns it.
            Err(RegistryError::Conflict) => {}
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                tokio::time::sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}

/// This router's row.
pub(crate) fn own_entry(shared: &Shared) -> RouterEntry {
    RouterEntry {
        id: shared.settings.id.clone(),
        address: shared.settings.peers,
        domain: shared.settings.domain.clone(),
        incarnation: shared.incarnation(),
    }
}

/// Writes this router's row, with retries until the registry accepts it.
pub(crate) async fn announce(shared: &Shared, registry: &dyn Registry, own: RouterEntry) {
    loop {
        let outcome = registry.announce(own.clone(), None).await;
        shared
            .metrics
            .registry_call(Table::Routers, outcome.is_ok());
        let Err(error) = outcome else {
            return;
        };
        log(Event::PlatformDown, &format!("table=routers {error}"));
        tokio::time::sleep(jittered(ANNOUNCE_RETRY_PAUSE)).await;
    }
}

/// Reads all rows of the table of routers, and the era of the registry.
async fn read_routers(registry: &dyn Registry) -> Result<(Vec<Row>, Era), RegistryError> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = registry.read(Table::Routers, after, None).await?;
        rows.extend(page.rows);
        if page.next.is_none() {
            return Ok((rows, page.position.era));
        }
        after = page.next;
    }
}

/// Reads the table of routers once. Returns its content, and whether this router's row is there.
async fn join_once(
    shared: &Shared,
    registry: &dyn Registry,
    own: &RouterEntry,
) -> Result<(Fleet, bool), RegistryError> {
    let mut key = None;
    let mut saved = Vec::new();
    let mut listed = false;
    let mut routers = Vec::new();
    let rows = read_routers(registry).await;
    shared.metrics.registry_call(Table::Routers, rows.is_ok());
    let (rows, era) = rows?;
    shared.note_era(era);
    for row in rows {
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
    let fleet = Fleet {
        key,
        era,
        routers,
        saved,
    };
    Ok((fleet, created || listed))
}
