//! Load that endpoints report with their answers, shared by all routers of a large fleet.
//!
//! Each of hundreds of routers may send an endpoint one request every half a minute, while a
//! request lasts a second. Then no router's own counts show how much work an endpoint has, but each
//! answer does. Every message carries the newest reports that its sender knows, with their ages, so
//! that all routers learn within a few messages what an endpoint reported to one of them.

use crate::pace::{PaceEntry, Paces};
use sequoiaridge_core::id_key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a report counts: an endpoint that has reported nothing for so long has completed
/// its requests.
const REPORT_TTL: Duration = Duration::from_millis(2500);
/// Bytes that the reports in one message may take, so that they fit in a datagram beside its other fields:
/// 88 reports of up to 127 requests each, or 70 of the longest.
const MAX_REPORT_BYTES: usize = 704;
/// Bytes of a report without its number of requests: key, age, pace and age of the pace.
const REPORT_BYTES: usize = 7;
/// Most reports that may fit in a message.
const MAX_REPORTS: usize = MAX_REPORT_BYTES / (REPORT_BYTES + 1);
/// Age of an entry that holds a pace only: beyond that of any report that counts.
const NO_REPORT_AGE: u8 = u8::MAX;
/// Time within which a report reaches most routers of a large fleet.
const NEWS_DELAY: Duration = Duration::from_millis(400);
/// Time in which half of the requests of an endpoint end. They last about a second.
const REQUESTS_HALF_LIFE: Duration = Duration::from_millis(500);
/// Unit of a report's age in a message.
const AGE_UNIT: Duration = Duration::from_millis(20);
/// Transit time assumed for a message.
const TRANSIT: Duration = Duration::from_millis(10);
/// Requests of this router whose start is remembered, per endpoint.
const MAX_STARTS: usize = 64;

/// Identifies an endpoint in messages: the first half of a hash of its id.
pub type ReportKey = [u8; 4];

/// A report in a message: endpoint, outstanding requests, age in units of 20 ms, and the endpoint's pace. The
/// pace has an age of its own, since a stream tells it only some events after the report.
pub type ReportEntry = (ReportKey, u16, u8, PaceEntry);

/// The last report of an endpoint.
#[derive(Clone, Debug, Default)]
struct Report {
    at: Duration,
    requests: u16,
    /// Start times of this router's requests that the report does not include.
    starts: Vec<Duration>,
}

/// The newest report of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    /// By key as a number of the same order, which is compared faster.
    reports: BTreeMap<u32, Report>,
}

/// The load of an endpoint, with the age of the report behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Outstanding requests of all routers.
    pub requests: u32,
    /// Time since the endpoint reported it.
    pub age: Duration,
}

impl LoadReports {
    /// Creates an empty table.
    pub fn new() -> LoadReports {
        LoadReports::default()
    }

    /// Records a request that this router sends.
    pub fn begin(&mut self, id: &str, now: Duration) {
        let report = self.reports.entry(number(id_key(id))).or_default();
        if report.starts.len() >= MAX_STARTS {
            report.starts.remove(0);
        }
        report.starts.push(now);
    }

    /// Records the load that an endpoint reports with an answer.
    pub fn record(&mut self, id: &str, requests: u32, now: Duration) {
        let requests = u16::try_from(requests).unwrap_or(u16::MAX);
        self.replace(id_key(id), requests, now);
    }

    /// Merges the reports of another router.
    pub fn merge(&mut self, entries: &[ReportEntry], now: Duration) {
        for (key, requests, age, _) in entries {
            let age = AGE_UNIT * u32::from(*age) + TRANSIT;
            if age >= REPORT_TTL {
                continue;
            }
            self.replace(*key, *requests, now.saturating_sub(age));
        }
    }

    /// The newest reports, for a message, with the paces of their endpoints.
    pub fn newest(&self, paces: &Paces, now: Duration) -> Vec<ReportEntry> {
        let aged = self.reports.iter().map(|(key, report)| {
            let age = now.saturating_sub(report.at);
            (age, *key, report)
        });
        let counting =
            |(age, _, report): &(Duration, u32, &Report)| !report.at.is_zero() && *age < REPORT_TTL;
        let mut newest: Vec<(Duration, u32, &Report)> = aged.filter(counting).collect();
        let order = |(age, key, _): &(Duration, u32, &Report)| (*age, *key);
        if newest.len() > MAX_REPORTS {
            newest.select_nth_unstable_by_key(MAX_REPORTS, order);
            newest.truncate(MAX_REPORTS);
        }
        newest.sort_unstable_by_key(order);
        let mut bytes = 0;
        let fitting = newest.into_iter().take_while(|(_, _, report)| {
            bytes += REPORT_BYTES + varint_bytes(report.requests);
            bytes <= MAX_REPORT_BYTES
        });
        let entries = fitting.map(|(age, number, report)| {
            let units = age.as_millis() / AGE_UNIT.as_millis();
            let units = u8::try_from(units).unwrap_or(u8::MAX);
            let key = number.to_be_bytes();
            (key, report.requests, units, paces.entry(&key, now))
        });
        entries.collect()
    }

    /// Entries that hold only the paces of the slow endpoints, for a fleet in which routers exchange their
    /// own counts.
    pub fn slowest(paces: &Paces, now: Duration) -> Vec<ReportEntry> {
        let slow = paces.slowest(now).into_iter();
        slow.map(|(key, pace)| (key, 0, NO_REPORT_AGE, pace))
            .collect()
    }

    /// Outstanding requests at an endpoint: those that it reported, and those that this router has
    /// sent since. `None` if the last report is too old.
    pub fn outstanding(&self, id: &str, now: Duration) -> Option<ReportedLoad> {
        self.outstanding_at(id_key(id), now)
    }

    /// The same by the endpoint's key.
    pub(crate) fn outstanding_at(&self, key: ReportKey, now: Duration) -> Option<ReportedLoad> {
        let report = self.reports.get(&number(key))?;
        let age = now.saturating_sub(report.at);
        if report.at.is_zero() || age >= REPORT_TTL {
            return None;
        }
        let since = report.starts.iter().filter(|start| **start > report.at);
        let own = u32::try_from(since.count()).unwrap_or(u32::MAX);
        Some(ReportedLoad {
            requests: remaining(report.requests, age).saturating_add(own),
            age,
        })
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.reports.retain(|_, report| {
            report.starts.retain(|start| now < *start + REPORT_TTL);
            now < report.at + REPORT_TTL || !report.starts.is_empty()
        });
    }

    fn replace(&mut self, key: ReportKey, requests: u16, at: Duration) {
        let report = self.reports.entry(number(key)).or_default();
        if at > report.at {
            report.at = at;
            report.requests = requests;
            report.starts.retain(|start| *start > at);
        }
    }
}

/// Requests of a report that have not ended after `age`. An endpoint reports with each answer that it starts,
/// so that one without a newer report has started none. Without this, endpoints beyond the bound on load,
/// which get no requests, keep their old counts, and with them the mean that the bound follows.
fn remaining(requests: u16, age: Duration) -> u32 {
    if requests == 0 || age <= NEWS_DELAY {
        return u32::from(requests);
    }
    let unheard = age.saturating_sub(NEWS_DELAY).as_secs_f64();
    let halves = unheard / REQUESTS_HALF_LIFE.as_secs_f64();
    (f64::from(requests) * (-halves).exp2()).round() as u32
}

/// Merges the paces in the entries of another router.
pub(crate) fn merge_paces(paces: &mut Paces, entries: &[ReportEntry], now: Duration) {
    for (key, _, _, pace) in entries {
        paces.merge(*key, *pace, now.saturating_sub(TRANSIT));
    }
}

/// A key as a number of the same order.
fn number(key: ReportKey) -> u32 {
    u32::from_be_bytes(key)
}

/// Bytes of a number in the encoding of messages, which writes seven bits in each.
fn varint_bytes(number: u16) -> usize {
    match number {
        0..0x80 => 1,
        0x80..0x4000 => 2,
        _ => 3,
    }
}
