//! What operators see of the quarantine, and how they release a suspect.

use crate::crashes::{CrashSource, suspect_succeeded};
use crate::shared::Shared;
use bytes::Bytes;
use http::{Method, StatusCode};
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_policy::Suspect;
use std::fmt::Write;
use std::time::Duration;

/// Path of the page; a suspect follows it in a release.
const PATH: &str = "/quarantine";

/// Answers a request for the page or for a release; `None` if it is neither. `is_local` says whether
/// it comes from this instance: only who may run commands there may release a suspect.
pub(crate) fn answer(
    shared: &Shared,
    method: &Method,
    path: &str,
    is_local: bool,
) -> Option<(StatusCode, Bytes)> {
    let rest = path.strip_prefix(PATH)?;
    if rest.is_empty() && method == Method::GET {
        return Some((StatusCode::OK, page(shared).into()));
    }
    let suspect = rest.strip_prefix('/')?;
    if method != Method::DELETE {
        return Some((StatusCode::METHOD_NOT_ALLOWED, Bytes::new()));
    }
    if !is_local {
        let reason = "a suspect is released from the router's own instance\n";
        return Some((StatusCode::FORBIDDEN, reason.into()));
    }
    let Some(suspect) = Suspect::parse(suspect) else {
        let reason = "a suspect is `part:` or `request:` and a number in hexadecimal\n";
        return Some((StatusCode::BAD_REQUEST, reason.into()));
    };
    if !release(shared, suspect) {
        return Some((StatusCode::NOT_FOUND, "it is not held\n".into()));
    }
    Some((StatusCode::OK, Bytes::new()))
}

/// The held suspects, one on each line.
fn page(shared: &Shared) -> String {
    let now = shared.now();
    let state = shared.lock_state();
    let mut page = String::new();
    for (suspect, confirmed) in state.quarantine.held(now) {
        let crashes = state.quarantine.crashes(suspect, now);
        let endpoints = crashes.iter().map(|crash| crash.value.endpoint.as_str());
        let last = crashes.iter().map(|crash| crash.age()).min();
        // Writing to a string does not fail.
        let _ = writeln!(
            page,
            "{suspect} crashes={} confirmed={confirmed} last_s={} endpoints={}",
            state.quarantine.strikes(suspect, now),
            last.unwrap_or_default().as_secs(),
            endpoints.collect::<Vec<_>>().join(",")
        );
    }
    page
}

/// Releases a suspect at all routers, with those that its crashes would count against next. Returns
/// false if it is not held.
fn release(shared: &Shared, suspect: Suspect) -> bool {
    let now = shared.now();
    let mut state = shared.lock_state();
    if !state.quarantine.is_held(suspect, now) {
        return false;
    }
    let others = state.quarantine.sharing(suspect);
    let others = others.into_iter().filter(|other| *other != suspect);
    for other in std::iter::once(suspect).chain(others) {
        if !state.quarantine.is_held(other, now) {
            continue;
        }
        let source = CrashSource::Operator;
        suspect_succeeded(&mut state, shared, "", other, Duration::ZERO, source);
        state.outbox.add_succeeded(other, now);
        let detail = format!("suspect={other} with={suspect}");
        log(Event::QuarantineReleased, &detail);
    }
    true
}
