//! Turns, which let at most one copy of a suspect run at a time in the whole fleet. See section 4.3
//! of `docs/design.md`.
//!
//! A suspect is a request that may have crashed an endpoint. The arbiter of its fingerprint, one of
//! the routers, grants the turns. It learns of each strike before the caller learns that the run
//! failed. While routers disagree about which of them are live, they may use two arbiters.

use crate::shared::{Shared, lock};
use sequoiaridge_core::{Event, Fingerprint, Refusal, RefusalReason, RouterId};
use sequoiaridge_log as event;
use sequoiaridge_membership::CrashNotice;
use sequoiaridge_policy::{QuarantineState, Suspect};
use sequoiaridge_wire::{Frame, Link, LinkError, TurnRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OwnedMutexGuard;

/// Delay of the next turn after a strike: two ticks of the detector. In this time, crashes of other
/// endpoints by copies that ran at the same time are counted as well.
const STRIKE_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of arbiters that are asked after the first one when arbiters cannot be reached.
const MAX_SUBSTITUTES: usize = 2;
/// Longest wait for the report of a strike before the run's refusal is returned: several round
/// trips between regions.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a caller should retry a request that got no turn.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The right to run a copy of a suspect. Dropping it ends the turn.
pub(crate) enum Turn {
    /// Granted by this router; `None` if it knows of no crash, so that no turn is needed.
    Local(#[expect(dead_code, reason = "held for its drop")] Option<LocalTurn>),
    /// Granted by another router, for as long as the connection is open.
    Remote(#[expect(dead_code, reason = "held for its drop")] Box<Link>),
}

/// Queue of the copies of one suspect. The copy that holds the lock has the turn.
type Queue = Arc<tokio::sync::Mutex<()>>;

/// The turns that this router grants.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Queues of the suspects of which a copy runs or waits.
    queues: Mutex<BTreeMap<Fingerprint, Queue>>,
}

/// A turn that this router granted. Fields are dropped in this order, so the queue is unlocked
/// before [`QueueEntry`] checks whether it is still needed.
pub(crate) struct LocalTurn {
    _guard: OwnedMutexGuard<()>,
    _entry: QueueEntry,
}

/// Removes the queue of a fingerprint from the table when dropped, if nothing else holds the queue.
struct QueueEntry {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut queues = lock(&self.shared.turns.queues);
        if let Some(queue) = queues.get(&self.fingerprint)
            && Arc::strong_count(queue) == 1
        {
            queues.remove(&self.fingerprint);
        }
    }
}

/// Waits for a turn that this router grants; `None` if the request has no strike. Owners ask for a
/// turn after every broken run, but the arbiter learns of each crash first, so a request without a
/// strike needs no turn.
///
/// # Errors
///
/// The request is quarantined, or got no turn in time.
pub(crate) async fn grant(
    shared: &Arc<Shared>,
    request: TurnRequest,
) -> Result<Option<LocalTurn>, Refusal> {
    let fingerprint = request.fingerprint;
    let suspect = Suspect::Request(fingerprint);
    let state = || lock(&shared.quarantine).state(suspect, shared.now());
    if state() == QuarantineState::Clear {
        return Ok(None);
    }
    let queue = lock(&shared.turns.queues)
        .entry(fingerprint)
        .or_default()
        .clone();
    let entry = QueueEntry {
        shared: shared.clone(),
        fingerprint,
    };
    let turn = async {
        let guard = queue.lock_owned().await;
        let last_strike = lock(&shared.quarantine).last_strike(suspect, shared.now());
        let settled = last_strike.map_or(Duration::ZERO, |at| at + STRIKE_SETTLE_TIME);
        tokio::time::sleep(settled.saturating_sub(shared.now())).await;
        guard
    };
    let guard = tokio::time::timeout(request.wait, turn).await;
    let guard = guard.map_err(|_| turn_timeout())?;
    if let QuarantineState::Held { retry_after } = state() {
        return Err(Refusal::not_run(RefusalReason::Quarantined, retry_after));
    }
    Ok(Some(LocalTurn {
        _guard: guard,
        _entry: entry,
    }))
}

/// Waits for the arbiter of a suspect's fingerprint to grant the turn to run a copy.
///
/// # Errors
///
/// The request is quarantined, got no turn in time, or its arbiters cannot be reached.
pub(crate) async fn acquire(shared: &Arc<Shared>, request: TurnRequest) -> Result<Turn, Refusal> {
    // The silence of a frozen arbiter may be detected only after the call's wait has ended.
    let turn = tokio::time::timeout(request.wait, ask_arbiters(shared, request)).await;
    turn.unwrap_or_else(|_| Err(turn_timeout()))
}

/// Asks the arbiter, or the next ones in its place if it cannot be reached.
async fn ask_arbiters(shared: &Arc<Shared>, request: TurnRequest) -> Result<Turn, Refusal> {
    let mut unreachable: Vec<RouterId> = Vec::new();
    while let Some((id, address)) = arbiter(shared, request.fingerprint, &unreachable) {
        let Some(address) = address else {
            return grant(shared, request).await.map(Turn::Local);
        };
        match request_turn(shared, address, request).await {
            Ok(turn) => return turn.map(|link| Turn::Remote(Box::new(link))),
            Err(error) => log_arbiter_lost(&id, &error),
        }
        unreachable.push(id);
        if unreachable.len() > MAX_SUBSTITUTES {
            break;
        }
    }
    Err(Refusal::not_run(RefusalReason::PeerBroke, RETRY_AFTER))
}

/// Reports a strike to the arbiter, because the notice to all routers is a datagram, which may be
/// lost. If the arbiter takes long, the report continues in the background.
pub(crate) async fn report_strike(shared: &Arc<Shared>, notice: CrashNotice) {
    let Some((id, Some(address))) = arbiter(shared, notice.fingerprint, &[]) else {
        return;
    };
    let shared = shared.clone();
    let reported = tokio::spawn(async move {
        if let Err(error) = send_strike(&shared, address, &notice).await {
            log_arbiter_lost(&id, &error);
        }
    });
    // After a failure or a timeout, the call continues without the report.
    let _ = tokio::time::timeout(REPORT_TIMEOUT, reported).await;
}

/// Returns the arbiter of a fingerprint, with its address if it is not this router.
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

/// Requests a turn from the arbiter at `address`. The turn lasts as long as the returned
/// connection.
async fn request_turn(
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
            other => return Err(unexpected_frame(&other)),
        }
    }
}

/// Sends a strike to the arbiter at `address` and waits for its acknowledgement.
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
        other => Err(unexpected_frame(&other)),
    }
}

/// Returns the refusal of a call that got no turn in time.
fn turn_timeout() -> Refusal {
    Refusal::not_run(RefusalReason::Overload, RETRY_AFTER)
}

fn unexpected_frame(frame: &Frame) -> LinkError {
    LinkError::Broken(format!("unexpected frame {}", frame.kind()))
}

fn log_arbiter_lost(arbiter: &str, error: &LinkError) {
    event::log(
        Event::ArbiterLost,
        &format!("request for a turn or report of a strike to {arbiter} failed: {error}"),
    );
}
