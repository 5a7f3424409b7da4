//! Requests that crash endpoints: what is recorded, cleared and logged of them.

use crate::shared::Board;
use crate::shared::Shared;
use sequoiaridge_core::{Event, Fingerprint};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::{Crash, Standing};

/// Who saw what is recorded of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A request of this router.
    Own,
    /// Another router told it.
    Router,
}

impl Source {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Router => "router",
        }
    }
}

/// Records that a request crashed an endpoint.
pub(crate) fn strike(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    crash: &Crash,
    source: Source,
) {
    let now = shared.now();
    let before = board.quarantine.state(crash.fingerprint, now);
    let strikes = board.quarantine.strikes(crash.fingerprint, now);
    let standing = board.quarantine.strike(crash, now);
    let after = board.quarantine.strikes(crash.fingerprint, now);
    if after == strikes {
        return;
    }
    shared.metrics.struck(source);
    let detail = format!(
        "fingerprint={:016x} endpoint={} born={} source={} strikes={after}",
        crash.fingerprint,
        crash.endpoint,
        crash.boot,
        source.as_str()
    );
    log_request(Event::CrashStrike, attempt, format_args!("{detail}"));
    let held = |standing| matches!(standing, Standing::Held { .. });
    if held(standing) && !held(before) {
        log_request(Event::Quarantined, attempt, format_args!("{detail}"));
    }
}

/// Forgets the strikes of a request that ran to its end. Returns whether it had any.
pub(crate) fn clear(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    fingerprint: Fingerprint,
    source: Source,
) -> bool {
    let strikes = board.quarantine.strikes(fingerprint, shared.now());
    if strikes == 0 {
        return false;
    }
    board.quarantine.clear(fingerprint);
    shared.metrics.cleared(source);
    log_request(
        Event::CrashCleared,
        attempt,
        format_args!(
            "fingerprint={fingerprint:016x} source={} strikes={strikes}",
            source.as_str()
        ),
    );
    true
}
