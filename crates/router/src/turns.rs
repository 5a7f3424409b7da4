//! One copy of a suspect at a time in the whole fleet. See section 4.3 of `docs/design.md`.
//!
//! One router, the arbiter of the fingerprint, gives the turns, and it hears of each strike before the
//! caller hears that the run failed. Routers that disagree about which of them are live may use two
//! arbiters for the time of the disagreement.

use crate::shared::{Shared, lock};
use sequoiaridge_core::{Event, Fingerprint, Refusal, RefusalReason, RouterId};
use sequoiaridge_log as event;
use sequoiaridge_membership::CrashNotice;
use sequoiaridge_policy::QuarantineState;
use sequoiaridge_wire::{Frame, Link, LinkError, TurnRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OwnedMutexGuard;

/// Pause after a strike before the next turn: two ticks of the detector, in which copies that ran at
/// the same time and crashed other endpoints are counted as well.
const SETTLE: Duration = Duration::from_millis(100);
/// Arbiters that are tried after the first one when they cannot be reached.
const MAX_SUBSTITUTES: usize = 2;
/// Longest time for which a final answer waits for the report of its strike: several round trips
/// between regions.
const REPORT_WAIT: Duration = Duration::from_millis(250);
/// Time after which a caller should come back when its request gets no turn.
const SOON: Duration = Duration::from_secs(1);

/// The right to run a copy of a suspect; dropping it ends the turn.
pub(crate) enum Turn {
    /// Given by this router, which asks for none if it knows of no crash.
    Own(#[expect(dead_code, reason = "held for its drop")] Option<OwnTurn>),
    /// Given by another one, for as long as the connection is open.
    Peer(#[expect(dead_code, reason = "held for its drop")] Box<Link>),
}

type Queue = Arc<tokio::sync::Mutex<()>>;

/// Turns that this router gives.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Queues of the suspects that run or wait.
    queues: Mutex<BTreeMap<Fingerprint, Queue>>,
}

/// A turn that this router gave. Fields are dropped in this order, so the queue is free before it is
/// looked at whether it is still needed.
pub(crate) struct OwnTurn {
    _guard: OwnedMutexGuard<()>,
    _entry: Entry,
}

/// Removes the queue of a fingerprint from the table once nobody else holds it.
struct Entry {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut queues = lock(&self.shared.turns.queues);
        if let Some(queue) = queues.get(&self.fingerprint)
            && Arc::strong_count(queue) == 1
        {
            queues.remove(&self.fingerprint);
        }
    }
}

/// Waits for a turn that this router gives. An owner asks after any broken run, and this router hears
/// first of each crash, so a request without a strike needs none.
///
/// # Errors
///
/// The refusal of a request that is held back, or that got no turn in time.
pub(crate) async fn grant(
    shared: &Arc<Shared>,
    request: TurnRequest,
) -> Result<Option<OwnTurn>, Refusal> {
    let fingerprint = request.fingerprint;
    let standing = || lock(&shared.quarantine).state(fingerprint, shared.now());
    if standing() == QuarantineState::Clear {
        return Ok(None);
    }
    let queue = lock(&shared.turns.queues)
        .entry(fingerprint)
        .or_default()
        .clone();
    let entry = Entry {
        shared: shared.clone(),
        fingerprint,
    };
    let turn = async {
        let guard = queue.lock_owned().await;
        let last = lock(&shared.quarantine).last_strike(fingerprint, shared.now());
        let settled = last.map_or(Duration::ZERO, |last| last + SETTLE);
        tokio::time::sleep(settled.saturating_sub(shared.now())).await;
        guard
    };
    let guard = tokio::time::timeout(request.wait, turn).await;
    let guard = guard.map_err(|_| no_turn())?;
    if let QuarantineState::Held { retry_after } = standing() {
        return Err(Refusal::not_run(RefusalReason::Quarantined, retry_after));
    }
    Ok(Some(OwnTurn {
        _guard: guard,
        _entry: entry,
    }))
}

/// Waits for the turn to run a copy of a suspect, at the arbiter of its fingerprint.
///
/// # Errors
///
/// The refusal of a request that is held back, that got no turn in time, or whose arbiters cannot be
/// reached.
pub(crate) async fn take(shared: &Arc<Shared>, request: TurnRequest) -> Result<Turn, Refusal> {
    // An arbiter that froze is noticed later than the call may wait.
    let turn = tokio::time::timeout(request.wait, find(shared, request)).await;
    turn.unwrap_or_else(|_| Err(no_turn()))
}

async fn find(shared: &Arc<Shared>, request: TurnRequest) -> Result<Turn, Refusal> {
    let mut unreachable: Vec<RouterId> = Vec::new();
    while let Some((id, address)) = arbiter(shared, request.fingerprint, &unreachable) {
        let Some(address) = address else {
            return grant(shared, request).await.map(Turn::Own);
        };
        match ask(shared, address, request).await {
            Ok(turn) => return turn.map(|link| Turn::Peer(Box::new(link))),
            Err(error) => note_lost(&id, &error),
        }
        unreachable.push(id);
        if unreachable.len() > MAX_SUBSTITUTES {
            break;
        }
    }
    Err(Refusal::not_run(RefusalReason::PeerBroke, SOON))
}

/// Tells the arbiter of a strike. The notice to all routers is a datagram, which may be lost. An arbiter
/// that takes long is told in the background.
pub(crate) async fn report(shared: &Arc<Shared>, notice: CrashNotice) {
    let Some((id, Some(address))) = arbiter(shared, notice.fingerprint, &[]) else {
        return;
    };
    let shared = shared.clone();
    let told = tokio::spawn(async move {
        if let Err(error) = send_strike(&shared, address, &notice).await {
            note_lost(&id, &error);
        }
    });
    // Either end lets the answer go on.
    let _ = tokio::time::timeout(REPORT_WAIT, told).await;
}

/// Arbiter of a fingerprint, with its address if it is not this router.
fn arbiter(
    shared: &Shared,
    fingerprint: Fingerprint,
    unreachable: &[RouterId],
) -> Option<(RouterId, Option<SocketAddr>)> {
    let view = shared.view();
    let id = view.arbiter(fingerprint, unreachable)?;
    let address = view.routers.get(&id).copied();
    let address = address.filter(|_| id != *shared.id());
    Some((id, address))
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    request: TurnRequest,
) -> Result<Result<Link, Refusal>, LinkError> {
    let mut link = shared.links.checkout(address).await?;
    link.send(&Frame::Turn(request)).await?;
    loop {
        match link.recv().await?.ok_or(LinkError::Truncated)? {
            Frame::Keepalive => {}
            Frame::Fail(refusal) => return Ok(Err(refusal)),
            Frame::Ack => return Ok(Ok(link)),
            other => return Err(unexpected(&other)),
        }
    }
}

async fn send_strike(
    shared: &Shared,
    address: SocketAddr,
    notice: &CrashNotice,
) -> Result<(), LinkError> {
    let mut link = shared.links.checkout(address).await?;
    let strike = Frame::Strike {
        fingerprint: notice.fingerprint,
        endpoint: notice.endpoint.clone(),
        boot: notice.boot,
    };
    link.send(&strike).await?;
    match link.recv().await?.ok_or(LinkError::Truncated)? {
        Frame::Ack => {
            shared.links.checkin(link);
            Ok(())
        }
        other => Err(unexpected(&other)),
    }
}

/// The refusal of a call that got no turn in time.
fn no_turn() -> Refusal {
    Refusal::not_run(RefusalReason::Overload, SOON)
}

fn unexpected(frame: &Frame) -> LinkError {
    LinkError::Broken(format!("unexpected frame {}", frame.kind()))
}

fn note_lost(arbiter: &str, error: &LinkError) {
    event::log(
        Event::ArbiterLost,
        &format!("turn or strike at {arbiter}: {error}"),
    );
}
