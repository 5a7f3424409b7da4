//! Checks that involve several fields. A check is skipped if one of its fields has no valid value.

use crate::reader::Reader;
use crate::{ProblemKind, Settings};
use std::net::SocketAddr;

/// Fields with addresses on which the process listens.
const LISTEN_FIELDS: [&str; 3] = ["listen.callers", "listen.operators", "listen.peers"];
/// Fields with addresses of the platform.
const PLATFORM_FIELDS: [&str; 3] = ["platform.table", "platform.objects", "platform.members"];

impl Reader {
    /// Runs all checks.
    pub(crate) fn check_conflicts(&mut self) {
        self.check_order("links.silence", "links.keepalive", true);
        self.check_order("health.leave_bound", "health.interval", false);
        self.check_order("health.leave_bound", "health.silence", false);
        self.check_addresses();
        let keys = (
            self.values.key("peers.key"),
            self.values.key("peers.previous_key"),
        );
        if let (Some(key), Some(previous)) = keys
            && key == previous
        {
            let kind = ProblemKind::Conflict("it is equal to peers.key".to_string());
            let at = self.values.position("peers.previous_key");
            self.report(
                at,
                "peers.previous_key",
                kind,
                "remove it, or set the key before",
            );
        }
    }

    /// Converts checked values to settings.
    ///
    /// # Errors
    ///
    /// All problems that were found.
    pub(crate) fn finish(self) -> Result<Settings, Vec<crate::Problem>> {
        match Settings::from_values(&self.values) {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(self.problems),
        }
    }

    /// Checks that one duration is at least as long as another, or longer if `strict`. Values are
    /// in seconds.
    fn check_order(&mut self, upper: &'static str, lower: &'static str, strict: bool) {
        let (high, low) = (self.values.number(upper), self.values.number(lower));
        let (Some(high), Some(low)) = (high, low) else {
            return;
        };
        if high > low || (high == low && !strict) {
            return;
        }
        let relation = if strict { "above" } else { "at least" };
        let text = format!("{high} s was given; it must be {relation} {lower}, which is {low} s");
        // The position of one of the two that is in the file; `upper` is preferred.
        let at = match self.values.position(upper) {
            (None, None) => self.values.position(lower),
            position => position,
        };
        let remedy = format!("raise {upper} or lower {lower}");
        self.report(at, upper, ProblemKind::Conflict(text), &remedy);
    }

    /// Checks that the listen addresses conflict neither with each other nor with the platform.
    fn check_addresses(&mut self) {
        for (i, path) in LISTEN_FIELDS.into_iter().enumerate() {
            let Some(address) = self.values.address(path) else {
                continue;
            };
            for other in LISTEN_FIELDS[..i].iter().chain(&PLATFORM_FIELDS) {
                let Some(taken) = self.values.address(other) else {
                    continue;
                };
                // The platform is usually on another host, so only an equal address conflicts.
                let conflict = if PLATFORM_FIELDS.contains(other) {
                    address == taken
                } else {
                    overlap(address, taken)
                };
                if conflict {
                    let text = format!("{address} is in conflict with {other}, which is {taken}");
                    let remedy = format!("give {path} and {other} different addresses or ports");
                    let at = self.values.position(path);
                    self.report(at, path, ProblemKind::Conflict(text), &remedy);
                }
            }
        }
    }
}

/// Returns whether a process cannot listen on both addresses. 0.0.0.0 and :: stand for every
/// address, and port 0 for any free port.
fn overlap(one: SocketAddr, two: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || two.ip().is_unspecified();
    one.port() == two.port() && one.port() != 0 && (any || one.ip() == two.ip())
}
