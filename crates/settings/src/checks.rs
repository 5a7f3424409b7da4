//! Checks that involve several fields. Each is left out if one of its fields has a mistake.

use crate::reader::Reader;
use crate::{Mistake, Settings};
use std::net::SocketAddr;

/// Addresses on which a process listens.
const LISTEN: [&str; 3] = ["listen.callers", "listen.operators", "listen.peers"];
/// Addresses of the platform.
const PLATFORM: [&str; 3] = ["platform.table", "platform.objects", "platform.members"];

impl Reader {
    /// Runs all checks.
    pub(crate) fn check_all(&mut self) {
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
            let mistake = Mistake::Conflict("it is equal to peers.key".to_string());
            let at = self.values.place("peers.previous_key");
            self.report(
                at,
                "peers.previous_key",
                mistake,
                "remove it, or set the key before",
            );
        }
    }

    /// Turns checked values into settings.
    pub(crate) fn finish(self) -> Result<Settings, Vec<crate::Problem>> {
        match Settings::assemble(&self.values) {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(self.problems),
        }
    }

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
        // The place of whichever of the two is in the file.
        let at = match self.values.place(upper) {
            (None, None) => self.values.place(lower),
            place => place,
        };
        let remedy = format!("raise {upper} or lower {lower}");
        self.report(at, upper, Mistake::Conflict(text), &remedy);
    }

    fn check_addresses(&mut self) {
        for (i, path) in LISTEN.into_iter().enumerate() {
            let Some(address) = self.values.address(path) else {
                continue;
            };
            for other in LISTEN[..i].iter().chain(&PLATFORM) {
                let Some(taken) = self.values.address(other) else {
                    continue;
                };
                // The platform is usually on another host, where only an equal address conflicts.
                let conflict = if PLATFORM.contains(other) {
                    address == taken
                } else {
                    overlap(address, taken)
                };
                if conflict {
                    let text = format!("{address} is in conflict with {other}, which is {taken}");
                    let remedy = format!("give {path} and {other} different addresses or ports");
                    let at = self.values.place(path);
                    self.report(at, path, Mistake::Conflict(text), &remedy);
                }
            }
        }
    }
}

/// Whether two addresses cannot both be listened on; 0.0.0.0 and :: stand for every address, and
/// port 0 for any free port.
fn overlap(one: SocketAddr, two: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || two.ip().is_unspecified();
    one.port() == two.port() && one.port() != 0 && (any || one.ip() == two.ip())
}
