//! Planned stop. See section 4.9 of `docs/design.md`.

use crate::router::Drained;
use crate::shared::{Phase, Shared, lock};
use crate::{gossip, refresh};
use sequoiaridge_core::{Event, RouterId};
use sequoiaridge_log as event;
use sequoiaridge_policy::ChatEntry;
use sequoiaridge_wire::{Frame, IndexEntry};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two looks at the calls in flight.
const LOOK: Duration = Duration::from_millis(20);
/// Time without any call after which the router stops. Callers and peers learn of the drain in this
/// time, so that none of them meets a closed port.
const QUIET: Duration = Duration::from_millis(700);
/// Time for which new calls are still taken, while the balancer learns that the router is not ready.
const GRACE: Duration = Duration::from_secs(5);
/// Time in which a successor must take an index over.
const PUSH_LIMIT: Duration = Duration::from_secs(2);
/// Entries in one frame.
const PUSH_ENTRIES: usize = 4096;

/// Finishes the calls in flight and hands over what peers need.
pub(crate) async fn drain(shared: &Arc<Shared>) -> Drained {
    shared.advance(Phase::Draining);
    event::log(Event::DrainStarted, "");
    let outgoing = lock(&shared.detector).leave(shared.now());
    gossip::send(shared, outgoing).await;
    // From here on the view has no endpoint of this router, so the index goes to the successors.
    refresh::refresh(shared);
    push_index(shared).await;
    let start = shared.now();
    let end = start + shared.settings.drain.limit;
    let mut quiet_since = start;
    loop {
        let left = in_flight(shared);
        let now = shared.now();
        if now >= start + GRACE {
            shared.closed.store(true, Ordering::Relaxed);
        }
        if left > 0 {
            quiet_since = now;
        } else if now.saturating_sub(quiet_since) >= QUIET {
            event::log(Event::DrainFinished, "");
            return Drained::Whole;
        }
        if now >= end {
            event::log(Event::DrainLimit, &format!("{left} calls were cut"));
            return Drained::Cut(left);
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Calls of callers and of peers that have not ended.
fn in_flight(shared: &Shared) -> u64 {
    let own = u64::try_from(shared.metrics.in_flight.get()).unwrap_or(0);
    let owner = lock(&shared.owner);
    let held = owner.running() + owner.waiting();
    own.max(held as u64)
}

/// Hands the chat index over, to the new owner of each chat's endpoint.
async fn push_index(shared: &Arc<Shared>) {
    let entries = lock(&shared.owner).chat_entries(shared.now());
    let view = shared.view();
    let mut by_owner: BTreeMap<RouterId, Vec<ChatEntry>> = BTreeMap::new();
    for entry in entries {
        let groups = view
            .endpoints
            .get(&entry.endpoint)
            .map(|e| e.member.serves.clone());
        let home = groups.iter().flatten().find_map(|group| {
            sequoiaridge_policy::rank_top(entry.chat, view.candidates(group), 1).pop()
        });
        let owner = home
            .and_then(|home| view.endpoints.get(&home))
            .map(|e| e.owner.clone());
        if let Some(owner) = owner.filter(|owner| owner != shared.id()) {
            by_owner.entry(owner).or_default().push(entry);
        }
    }
    for (owner, entries) in by_owner {
        if let Some(address) = view.routers.get(&owner) {
            let push = push_to(shared, *address, entries);
            let _ = tokio::time::timeout(PUSH_LIMIT, push).await;
        }
    }
}

async fn push_to(
    shared: &Shared,
    peer: std::net::SocketAddr,
    entries: Vec<ChatEntry>,
) -> Option<()> {
    let mut link = shared.links.checkout(peer).await.ok()?;
    for part in entries.chunks(PUSH_ENTRIES) {
        let entries = part
            .iter()
            .map(|entry| IndexEntry {
                chat: entry.chat,
                endpoint: entry.endpoint.clone(),
                age: entry.age,
            })
            .collect();
        link.send(&Frame::IndexPush { entries }).await.ok()?;
        match link.recv().await {
            Ok(Some(Frame::Ack)) => {}
            _ => return None,
        }
    }
    shared.links.checkin(link);
    Some(())
}
