//! Requests that may have crashed an endpoint. See section 4.3 of `docs/design.md`.

use crate::shared::{Shared, lock};
use crate::upstream::Target;
use crate::{probes, turns};
use sequoiaridge_core::{Event, Fingerprint, Refusal, RefusalReason, Verdict};
use sequoiaridge_log as event;
use sequoiaridge_membership::{CrashKind, CrashNotice, Message};
use sequoiaridge_policy::{Crash, QuarantineState};
use sequoiaridge_wire::CallFrame;
use std::sync::Arc;

/// Learns from a failed run: a connection that could not be opened or that broke leads to a probe,
/// and if the endpoint's process is gone, to a strike.
pub(crate) async fn after_failure(
    shared: &Arc<Shared>,
    frame: &CallFrame,
    target: &Target,
    boot: Option<u64>,
    refusal: &Refusal,
) {
    let possible = is_possible(refusal);
    if refusal.reason != RefusalReason::NoEndpoint && !possible {
        return;
    }
    let now_boot = probes::probe(shared, &target.id, target.address).await;
    let crashed = possible && now_boot != boot;
    let (true, Some(boot)) = (crashed, boot) else {
        return;
    };
    let notice = CrashNotice {
        fingerprint: frame.fingerprint,
        endpoint: target.id.clone(),
        boot,
        kind: CrashKind::Strike,
    };
    record_strike(shared, &notice);
    crate::gossip::broadcast(shared, Message::crash_notice(notice.clone())).await;
    turns::report(shared, notice).await;
}

/// Whether an endpoint may have crashed on a request that was refused so.
pub(crate) fn is_possible(refusal: &Refusal) -> bool {
    let broke = matches!(
        refusal.reason,
        RefusalReason::EndpointBroke | RefusalReason::EndpointSilent
    );
    broke && refusal.verdict == Verdict::MayHaveRun
}

/// Counts a crash that this router saw or was told of.
pub(crate) fn record_strike(shared: &Shared, notice: &CrashNotice) {
    let crash = Crash {
        fingerprint: notice.fingerprint,
        endpoint: notice.endpoint.clone(),
        boot: notice.boot.to_string(),
        earlier: 0,
    };
    let standing = lock(&shared.quarantine).strike(&crash, shared.now());
    let detail = format!("request {:016x} at {}", notice.fingerprint, notice.endpoint);
    event::log(Event::CrashStrike, &detail);
    if matches!(standing, QuarantineState::Held { .. }) {
        event::log(Event::Quarantined, &detail);
    }
}

/// Takes in what another router reports.
pub(crate) fn receive_notice(shared: &Shared, notice: &CrashNotice) {
    match notice.kind {
        CrashKind::Strike => record_strike(shared, notice),
        CrashKind::Cleared { .. } => {
            lock(&shared.quarantine).clear(notice.fingerprint, shared.now());
        }
    }
}

/// A run that became whole clears the request of suspicion, here and at all other routers.
pub(crate) fn clear(shared: &Arc<Shared>, fingerprint: Fingerprint) {
    let mut quarantine = lock(&shared.quarantine);
    if quarantine.state(fingerprint, shared.now()) == QuarantineState::Clear {
        return;
    }
    quarantine.clear(fingerprint, shared.now());
    drop(quarantine);
    let kind = CrashKind::Cleared {
        nonce: rand::random(),
    };
    let notice = CrashNotice {
        fingerprint,
        endpoint: String::new(),
        boot: 0,
        kind,
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        crate::gossip::broadcast(&shared, Message::crash_notice(notice)).await;
    });
}
