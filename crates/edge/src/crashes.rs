//! Requests that crash endpoints: what is recorded, told, cleared and logged of them.

use crate::shared::{Board, Shared};
use sequoiaridge_core::{Event, Fingerprint};
use sequoiaridge_log::log_request;
use sequoiaridge_policy::{Crash, Standing};
use std::time::Duration;

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

/// Records that a request crashed an endpoint the given time ago.
pub(crate) fn strike(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    crash: &Crash,
    age: Duration,
    source: Source,
) {
    let now = shared.now();
    let fingerprint = crash.fingerprint;
    let before = board.quarantine.state(fingerprint, now);
    let strikes = board.quarantine.strikes(fingerprint, now);
    let standing = board.quarantine.hear(crash, age, now);
    let after = board.quarantine.strikes(fingerprint, now);
    if after == strikes {
        return;
    }
    shared.metrics.struck(source);
    let detail = format!(
        "fingerprint={fingerprint:016x} endpoint={} boot={} earlier={} source={} age_ms={} strikes={after}",
        crash.endpoint,
        crash.boot,
        crash.earlier,
        source.as_str(),
        age.as_millis()
    );
    log_request(Event::CrashStrike, attempt, format_args!("{detail}"));
    let held = |standing| matches!(standing, Standing::Held { .. });
    if held(standing) && !held(before) {
        log_request(Event::Quarantined, attempt, format_args!("{detail}"));
    }
}

/// Takes over that a request succeeded the given time ago: it is not what crashed endpoints around then.
/// Returns whether crashes counted against it.
pub(crate) fn ran(
    board: &mut Board,
    shared: &Shared,
    attempt: &str,
    fingerprint: Fingerprint,
    age: Duration,
    source: Source,
) -> bool {
    let now = shared.now();
    let strikes = board.quarantine.strikes(fingerprint, now);
    board.quarantine.ran(fingerprint, age, now);
    if board.quarantine.strikes(fingerprint, now) == strikes {
        return false;
    }
    shared.metrics.cleared(source);
    log_request(
        Event::CrashCleared,
        attempt,
        format_args!(
            "fingerprint={fingerprint:016x} source={} age_ms={} strikes={strikes}",
            source.as_str(),
            age.as_millis()
        ),
    );
    true
}
