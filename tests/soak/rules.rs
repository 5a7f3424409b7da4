//! Rules that are checked from what each server saw of each router.

use super::support::server::{Arrival, Server};
use super::{Asked, Done, Harmed};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after an answer that says that its server leaves in which requests may still reach it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after a refusal from which requests count that reach a server that wants none, and how many may.
const TAKEN_IN: Duration = Duration::from_millis(500);
const MOST: usize = 2;

type Seen = BTreeMap<String, Asked>;

/// Whether something was done to a router, or to the way to a server, between two moments, or lasted then.
fn is_harmed(harms: &[Done], what: Harmed, from: Instant, to: Instant) -> bool {
    let there = harms.iter().filter(|done| done.what == what);
    let (before, later): (Vec<&Done>, Vec<&Done>) = there.partition(|done| done.at < from);
    let lasting = before.last().is_some_and(|done| done.lasts);
    lasting || later.iter().any(|done| done.at <= to)
}

/// Checks that no router sends a server a request that it took later than the bound after it had passed on
/// that the server leaves.
pub fn check_leaving(servers: &[Server], seen: &Seen, harms: &[Done]) {
    for (index, server) in servers.iter().enumerate() {
        let arrivals = server.arrivals();
        for told in arrivals.iter().filter(|arrival| arrival.leaving) {
            let Some(passed) = passed_on(seen, told) else {
                continue;
            };
            for late in arrivals.iter().filter(|late| late.start == told.start) {
                let Some(asked) = seen.get(&late.attempt) else {
                    continue;
                };
                let router = Harmed::Router(passed.0);
                let same = asked.router == passed.0 && asked.sent > passed.1 + DRAIN;
                assert!(
                    !same || is_harmed(harms, router, passed.1, late.at),
                    "{} reached server {index} {:?} after it was told to leave",
                    late.attempt,
                    asked.sent - passed.1
                );
            }
        }
    }
}

/// The router that passed on the answer to a request, and when.
fn passed_on(seen: &Seen, arrival: &Arrival) -> Option<(usize, Instant)> {
    let asked = seen.get(&arrival.attempt)?;
    let answer = asked.answer.as_ref()?;
    let said = answer.header("server-leaving") == "1";
    said.then_some((asked.router, asked.answered?))
}

/// Checks that a server that turned a router away gets next to nothing from it for as long as it said.
pub fn check_rests(servers: &[Server], seen: &Seen, harms: &[Done]) {
    for (index, server) in servers.iter().enumerate() {
        let arrivals = server.arrivals();
        for refused in &arrivals {
            let (Some(seconds), Some(asked)) = (refused.rest, seen.get(&refused.attempt)) else {
                continue;
            };
            let (from, to) = (
                refused.at + TAKEN_IN,
                refused.at + Duration::from_secs_f64(seconds),
            );
            let harm = |what| is_harmed(harms, what, refused.at - TAKEN_IN, to);
            if harm(Harmed::Router(asked.router)) || harm(Harmed::Server(index)) {
                continue;
            }
            let unwanted = arrivals.iter().filter(|arrival| {
                let router = seen.get(&arrival.attempt).map(|asked| asked.router);
                arrival.at > from && arrival.at < to && router == Some(asked.router)
            });
            let unwanted = unwanted.count();
            assert!(
                unwanted <= MOST,
                "{unwanted} requests reached server {index} from router {} in its rest",
                asked.router
            );
        }
    }
}
