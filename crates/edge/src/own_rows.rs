//! Writes the fleet's own rows again after the registry came back from a copy that lacks them.
//!
//! The endpoints and the operators write theirs themselves. What the fleet saves of its state is
//! written again by the tasks that save it; this router's row and the peer key are kept here.

use crate::join::{announce, own_entry};
use crate::registry::{Era, PeerKey, Registry, RegistryError, Table};
use crate::schedule::{jittered, retry_delay};
use crate::shared::Shared;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_wire::PeerKeys;
use std::sync::Arc;
use std::time::Duration;

/// Age beyond which the row of a router is in any copy that the registry comes back from: copies
/// are some seconds old.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);
/// Longest wait of the first routers, which write the peer key again.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Keeps this router's row and the peer key of the fleet in the registry until the process ends.
/// `era` is the one in which it joined the fleet and `key` was read.
pub(crate) async fn keep(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    mut era: Era,
    mut key: PeerKey,
) {
    let joined_at = shared.now();
    let mut eras = shared.watch_era();
    loop {
        let is_later = |known: &Option<Era>| known.is_some_and(|known| known > era);
        match eras.wait_for(is_later).await.map(|known| *known) {
            Ok(known) => era = known.unwrap_or(era),
            // The router ends.
            Err(_) => return,
        }
        let rank = shared.lock_state().reader_rank(&shared.settings);
        let pause = if rank.before == 0 {
            jittered(FIRST_PAUSE)
        } else {
            retry_delay(0, rank.routers)
        };
        tokio::time::sleep(pause).await;
        key = keep_key(&shared, registry.as_ref(), key).await;
        if shared.now() < joined_at + MAX_COPY_AGE {
            announce(&shared, registry.as_ref(), own_entry(&shared)).await;
        }
    }
}

/// Writes the peer key if it is gone. If a router that started meanwhile created another one, that
/// one becomes the fleet's. Returns the key that is in the registry.
async fn keep_key(shared: &Shared, registry: &dyn Registry, key: PeerKey) -> PeerKey {
    let mut failures = 0u32;
    loop {
        let read = registry.peer_key().await;
        let answered = read.is_ok();
        shared.metrics.registry_call(Table::Routers, answered);
        let outcome = match read {
            Ok(Some(found)) if found == key => return key,
            Ok(Some(found)) => {
                shared.set_keys(PeerKeys::from_bytes(found, Some(key)));
                log(Event::PeerKeyRestored, "adopted=true");
                return found;
            }
            Ok(None) => {
                let written = registry.announce(own_entry(shared), Some(key)).await;
                let answered = written.is_ok();
                shared.metrics.registry_call(Table::Routers, answered);
                written
            }
            Err(error) => Err(error),
        };
        match outcome {
            Ok(()) => {
                log(Event::PeerKeyRestored, "adopted=false");
                return key;
            }
            // Another router wrote it first; the next read tells which key.
            Err(RegistryError::Conflict) => {}
            Err(error) => {
                log(Event::PlatformDown, &format!("table=routers {error}"));
                let routers = shared.lock_state().routers();
                tokio::time::sleep(retry_delay(failures, routers)).await;
                failures = failures.saturating_add(1);
            }
        }
    }
}
