//! Detection and reporting of requests that crash endpoints. See section 4.3 of `docs/design.md`.

use crate::shared::{Shared, lock};
use crate::upstream::Target;
use crate::{probes, turns};
use sequoiaridge_core::{Event, Fingerprint, Refusal, RefusalReason, Verdict};
use sequoiaridge_log as event;
use sequoiaridge_membership::{CrashKind, CrashNotice, Message};
use sequoiaridge_policy::{Crash, QuarantineState, Suspect};
use sequoiaridge_wire::CallFrame;
use std::sync::Arc;

/// Probes the endpoint after a run whose connection could not be opened, broke or fell silent. If
/// the request may have run and the probe does not find the process with boot id `boot`, records a
/// strike and reports it to the other routers and to the arbiter.
pub(crate) async fn handle_failure(
    shared: &Arc<Shared>,
    frame: &CallFrame,
    target: &Target,
    boot: Option<u64>,
    refusal: &Refusal,
) {
    let may_have_crashed = may_have_crashed(refusal);
    if refusal.reason != RefusalReason::NoEndpoint && !may_have_crashed {
        return;
    }
    let current_boot = probes::probe(shared, &target.id, target.address).await;
    let crashed = may_have_crashed && current_boot != boot;
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
    turns::report_strike(shared, notice).await;
}

/// Whether an endpoint may have crashed on a request that ended with this refusal.
pub(crate) fn may_have_crashed(refusal: &Refusal) -> bool {
    let broke = matches!(
        refusal.reason,
        RefusalReason::EndpointBroke | RefusalReason::EndpointSilent
    );
    broke && refusal.verdict == Verdict::MayHaveRun
}

/// Records a crash that this router detected or that another one reported.
pub(crate) fn record_strike(shared: &Shared, notice: &CrashNotice) {
    let crash = Crash {
        suspect: Suspect::Request(notice.fingerprint),
        endpoint: notice.endpoint.clone(),
        boot: notice.boot.to_string(),
        earlier: 0,
    };
    let state = lock(&shared.quarantine).strike(&crash, shared.now());
    let detail = format!("request {:016x} at {}", notice.fingerprint, notice.endpoint);
    event::log(Event::CrashStrike, &detail);
    if matches!(state, QuarantineState::Held { .. }) {
        event::log(Event::Quarantined, &detail);
    }
}

/// Applies a notice of another router.
pub(crate) fn receive_notice(shared: &Shared, notice: &CrashNotice) {
    match notice.kind {
        CrashKind::Strike => record_strike(shared, notice),
        CrashKind::Cleared { .. } => {
            lock(&shared.quarantine).clear(Suspect::Request(notice.fingerprint), shared.now());
        }
    }
}

/// Clears the strikes of a request that ran to completion, here and at all other routers.
pub(crate) fn clear_strikes(shared: &Arc<Shared>, fingerprint: Fingerprint) {
    let mut quarantine = lock(&shared.quarantine);
    let suspect = Suspect::Request(fingerprint);
    if quarantine.state(suspect, shared.now()) == QuarantineState::Clear {
        return;
    }
    quarantine.clear(suspect, shared.now());
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
