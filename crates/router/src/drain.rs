//! Planned stop (drain). See section 4.9 of `docs/design.md`.

use crate::router::DrainOutcome;
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

/// Time between two checks for calls in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a call in flight after which the drain ends. Callers and peers learn of the drain
/// in this time, so that none of them connects to a closed port.
const IDLE_TIME: Duration = Duration::from_millis(700);
/// Time for which new calls are still accepted, until the load balancer has noticed that the router
/// is not ready.
const ACCEPT_GRACE: Duration = Duration::from_secs(5);
/// Timeout of the transfer of index entries to one successor.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of index entries in one frame.
const MAX_PUSH_ENTRIES: usize = 4096;

/// Announces that this router leaves, transfers the chat index, and waits for the calls in flight
/// to end, at most until the drain limit.
pub(crate) async fn drain(shared: &Arc<Shared>) -> DrainOutcome {
    // Calls that arrive from the change of phase on are compared with the end of the drain.
    let end = *shared
        .drain_end
        .get_or_init(|| shared.now() + shared.settings.drain.limit);
    shared.advance(Phase::Draining);
    event::log(Event::DrainStarted, "");
    let outgoing = lock(&shared.detector).leave(shared.now());
    gossip::send(shared, outgoing).await;
    // After this, this router owns no endpoint in the view unless no other router can take over, so
    // the index goes to the successors.
    refresh::refresh(shared);
    push_chat_index(shared).await;
    let start = shared.now();
    let mut idle_since = start;
    loop {
        let left = in_flight(shared);
        let now = shared.now();
        if now >= start + ACCEPT_GRACE {
            shared.refuses_calls.store(true, Ordering::Relaxed);
        }
        if left > 0 {
            idle_since = now;
        } else if now.saturating_sub(idle_since) >= IDLE_TIME {
            event::log(Event::DrainFinished, "");
            return DrainOutcome::Complete;
        }
        if now >= end {
            event::log(Event::DrainLimit, &format!("{left} calls were cut"));
            return DrainOutcome::Cut(left);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the number of calls that have not ended. This router's callers and its endpoints may
/// have the same call in flight, so this is the larger of the two counts.
fn in_flight(shared: &Shared) -> u64 {
    let calls = u64::try_from(shared.metrics.in_flight.get()).unwrap_or(0);
    let owner = lock(&shared.owner);
    let admitted = owner.running() + owner.waiting();
    calls.max(admitted as u64)
}

/// Sends each entry of the chat index to the owner of the endpoint that ranks first for the chat
/// within the groups of the cached endpoint.
async fn push_chat_index(shared: &Arc<Shared>) {
    let entries = lock(&shared.owner).chat_entries(shared.now());
    let view = shared.view();
    let mut by_owner: BTreeMap<RouterId, Vec<ChatEntry>> = BTreeMap::new();
    for entry in entries {
        let groups = view
            .endpoints
            .get(&entry.endpoint)
            .map(|e| e.member.serves.clone());
        let first = groups.iter().flatten().find_map(|group| {
            sequoiaridge_policy::rank_top(entry.chat, view.candidates(group), 1).pop()
        });
        let owner = first
            .and_then(|first| view.endpoints.get(&first))
            .map(|e| e.owner.clone());
        if let Some(owner) = owner.filter(|owner| owner != shared.id()) {
            by_owner.entry(owner).or_default().push(entry);
        }
    }
    for (owner, entries) in by_owner {
        if let Some(address) = view.routers.get(&owner) {
            let push = push_entries(shared, *address, entries);
            let _ = tokio::time::timeout(PUSH_TIMEOUT, push).await;
        }
    }
}

/// Sends index entries to one peer. Returns `None` if it did not acknowledge all of them.
async fn push_entries(
    shared: &Shared,
    peer: std::net::SocketAddr,
    entries: Vec<ChatEntry>,
) -> Option<()> {
    let mut link = shared.links.checkout(peer).await.ok()?;
    for chunk in entries.chunks(MAX_PUSH_ENTRIES) {
        let entries = chunk
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
