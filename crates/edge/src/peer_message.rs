//! Messages between routers, and the queue of events that later messages carry.

use crate::admission::DemandReport;
use crate::cache_map::PrefixKey;
use crate::constraints::{DomainKey, EvacuatedDomains};
use crate::crash_sync::encoded_bytes;
use crate::endpoint_limits::LimitReport;
use crate::feed::Feed;
use crate::follower::{Revision, TableDigest};
use crate::hot_subjects::HotSubject;
use crate::load::Work;
use crate::load_reports::ReportEntry;
use crate::stream_versions::{StreamId, StreamOrigin};
use sequoiaridge_core::{DomainId, EndpointId, RouterId};
use sequoiaridge_policy::{Aged, Crash, Suspect};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a message for work and prefixes together, and the most that work may take of them. The
/// other fields take up to 300 bytes, and a datagram holds 1,200.
const MAX_ENTRY_BYTES: usize = 800;
const MAX_WORK_BYTES: usize = 600;
/// Most bytes of an entry of each kind, without the endpoint's id.
const WORK_ENTRY_BYTES: usize = 11;
const PREFIX_ENTRY_BYTES: usize = 11;
const SUCCESS_ENTRY_BYTES: usize = 16;
/// Bytes of a message for crashes, ahead of prefixes. The smaller number, and one crash, fit in any
/// message.
const MAX_CRASH_BYTES: usize = 400;
const MIN_CRASH_BYTES: usize = 120;
/// Most per message: queued successes, and endpoints (leaving, limited or unreachable, each).
const MAX_SUCCESSES: usize = 2;
const MAX_ENDPOINTS: usize = 4;
/// Bytes for these endpoints among the other fields. Longer ids take from the bytes for prefixes.
const ENDPOINT_BYTES: usize = 160;
/// Most bytes of such an endpoint without its id and boot id: their lengths, and an age.
const ENDPOINT_ENTRY_BYTES: usize = 10;
/// Bytes of a limit without the ids and the age.
const LIMIT_BYTES: usize = 9;
/// Bytes of a load report that holds a pace only.
const PACE_ENTRY_BYTES: usize = 8;
/// Load reports that make room for the success of a part.
const REPORTS_PER_SUCCESS: usize = 2;
/// Bytes of a load report in a message.
const REPORT_BYTES: usize = 7;
/// Messages that carry each event other than a prefix, because datagrams get lost.
const SENDS_PER_EVENT: u8 = 3;
/// Time after which a report of an unreachable endpoint is dropped. A router that was paused sends and
/// reads old ones when it runs on, when the endpoint may be back.
const UNREACHABLE_TTL: Duration = Duration::from_secs(1);
/// Most items of each kind in the queue; beyond that, the oldest are dropped.
const MAX_QUEUED: usize = 512;

/// A message from one router to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Address at which the sender receives messages; `None` in a message that carries nothing but
    /// versions that began streams.
    pub address: Option<SocketAddr>,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Bandwidth of the sender's link in Mbit/s.
    pub link_mbps: u32,
    /// Another router that the sender receives messages from, so that routers that started together
    /// learn of each other.
    pub known_peer: Option<(RouterId, SocketAddr, DomainId)>,
    /// The sender's state of the configuration; `None` if it has none.
    pub configuration: Option<TableDigest>,
    /// The sender's state of the endpoint table; `None` if it does not have the table.
    pub endpoints: Option<TableDigest>,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Whether the sender has lost its links to the endpoints.
    pub isolated: bool,
    /// The sender's outstanding work; `None` if the message does not report it.
    pub work: Option<Vec<(EndpointId, Work)>>,
    /// Prompt prefixes with the endpoints that cached them.
    pub prefixes: Vec<(PrefixKey, EndpointId)>,
    /// Crashes of endpoints, each with one suspect.
    pub crashes: Vec<Aged<Crash>>,
    /// Suspects that succeeded around the time of a crash.
    pub succeeded: Vec<Aged<Suspect>>,
    /// Endpoints, with their boot ids, that announced in an answer that they are leaving.
    pub leaving: Vec<Aged<(EndpointId, String)>>,
    /// Limits that endpoints named in answers, or that have ended.
    pub limits: Vec<Aged<LimitReport>>,
    /// Digest of the crashes that all routers must know, as far as the sender knows them.
    pub crash_digest: u32,
    /// Endpoints that could not be reached.
    pub unreachable: Vec<EndpointId>,
    /// The newest load reports of endpoints that the sender knows.
    pub load_reports: Vec<ReportEntry>,
    /// Hot subjects, with the number of endpoints that each needs.
    pub hot_subjects: Vec<HotSubject>,
    /// Versions that began streams.
    pub origins: Vec<StreamOrigin>,
    /// Streams whose versions the sender asks for.
    pub asked_streams: Vec<StreamId>,
    /// Changes of the endpoint table.
    pub feed: Option<Feed>,
    /// Requests a repair: the sender lacks the endpoint changes after this revision.
    pub repair_after: Option<Revision>,
    /// Whether the receiver forwards the feed and the events to the routers of its own failure
    /// domain.
    pub relay: bool,
    /// The evacuated domains as the sender knows them; `None` if it knows no set yet.
    pub evacuations: Option<EvacuatedDomains>,
    /// Demand on services that are near their room or short of it, as the sender meters it.
    pub demand: Vec<DemandReport>,
}

impl PeerMessage {
    /// Whether the message carries the sender's state. One that tells a stream to its holders carries none,
    /// since its sender may begin dozens of streams a second.
    pub fn has_state(&self) -> bool {
        self.address.is_some()
    }

    /// Adds outstanding work. If not all endpoints fit, those with the most requests are kept.
    pub fn with_work(mut self, mut work: Vec<(EndpointId, Work)>) -> PeerMessage {
        if work_bytes(&work) > MAX_WORK_BYTES {
            work.sort_by_key(|(_, work)| std::cmp::Reverse(work.requests));
        }
        while work_bytes(&work) > MAX_WORK_BYTES {
            work.pop();
        }
        self.work = Some(work);
        self
    }

    /// Adds successes of parts of prompts, in place of a few load reports.
    pub(crate) fn with_part_successes(mut self, successes: Vec<Aged<Suspect>>) -> PeerMessage {
        let reports = self.load_reports.len();
        let dropped = successes.len() * REPORTS_PER_SUCCESS;
        self.load_reports.truncate(reports.saturating_sub(dropped));
        self.succeeded.extend(successes);
        self
    }

    /// Makes room for the evacuated domains, in place of a few load reports.
    pub(crate) fn with_room_for_evacuations(mut self) -> PeerMessage {
        let dropped = self.evacuation_bytes().div_ceil(REPORT_BYTES);
        let reports = self.load_reports.len();
        self.load_reports.truncate(reports.saturating_sub(dropped));
        self
    }

    /// Bytes that the evacuated domains take.
    fn evacuation_bytes(&self) -> usize {
        let set = self.evacuations.as_ref();
        set.map_or(0, |set| set.domains.len() * size_of::<DomainKey>())
    }

    /// Whether the message carries events that all routers should know.
    pub(crate) fn has_events(&self) -> bool {
        !(self.prefixes.is_empty()
            && self.crashes.is_empty()
            && self.succeeded.is_empty()
            && self.leaving.is_empty()
            && self.limits.is_empty()
            && self.unreachable.is_empty())
    }

    /// The endpoints that could not be reached, unless the message waited for too long before it was read.
    pub(crate) fn unreachable_after(&self, delay: Duration) -> &[EndpointId] {
        if delay < UNREACHABLE_TTL {
            &self.unreachable
        } else {
            &[]
        }
    }

    /// The part of the message that a relay forwards under its own name. `delay` is how long the
    /// message waited at the relay; it is added to the age of each event.
    pub(crate) fn forwarded(&self, delay: Duration, base: PeerMessage) -> PeerMessage {
        PeerMessage {
            prefixes: self.prefixes.clone(),
            crashes: aged_by(&self.crashes, delay),
            succeeded: aged_by(&self.succeeded, delay),
            leaving: aged_by(&self.leaving, delay),
            limits: aged_by(&self.limits, delay),
            unreachable: self.unreachable_after(delay).to_vec(),
            feed: self.feed.clone(),
            ..base
        }
    }
}

/// A start of an endpoint that is leaving: the endpoint and its boot id.
type LeavingStart = (EndpointId, String);

/// Events that wait to be sent to the other routers.
#[derive(Debug, Default)]
pub struct Outbox {
    prefixes: VecDeque<(PrefixKey, EndpointId)>,
    /// Each crash with the time at which it happened, and the number of messages still to carry it.
    crashes: VecDeque<((Crash, Duration), u8)>,
    succeeded: VecDeque<((Suspect, Duration), u8)>,
    leaving: VecDeque<((LeavingStart, Duration), u8)>,
    /// Each limit with the time at which the answer arrived.
    limits: VecDeque<((LimitReport, Duration), u8)>,
    /// Whether an event must be sent at once, ahead of the next regular message.
    is_urgent: bool,
    /// Each endpoint with the time at which it could not be reached.
    unreachable: VecDeque<((EndpointId, Duration), u8)>,
}

impl Outbox {
    /// Queues prefixes that an endpoint caches.
    pub(crate) fn add_prefixes(&mut self, keys: Vec<PrefixKey>, id: &str) {
        let entries = keys.into_iter().map(|key| (key, id.to_string()));
        self.prefixes.extend(entries);
        trim(&mut self.prefixes);
    }

    /// Queues a crash. An urgent one goes first, and at once.
    pub(crate) fn add_crash(&mut self, crash: Crash, at: Duration, is_urgent: bool) {
        let item = ((crash, at), SENDS_PER_EVENT);
        trim(&mut self.crashes);
        if is_urgent {
            self.is_urgent = true;
            self.crashes.push_front(item);
        } else {
            self.crashes.push_back(item);
        }
    }

    /// Queues the announcement of an endpoint that it is leaving. It is urgent.
    pub(crate) fn add_leaving(&mut self, id: &str, boot: &str, at: Duration) {
        let start = (id.to_string(), boot.to_string());
        self.leaving.push_back(((start, at), SENDS_PER_EVENT));
        trim(&mut self.leaving);
        self.is_urgent = true;
    }

    /// Queues the limit of an endpoint, in place of an earlier one of the same endpoint.
    pub(crate) fn add_limit(&mut self, report: LimitReport, at: Duration) {
        let other = |queued: &LimitReport| queued.endpoint != report.endpoint;
        self.limits.retain(|((queued, _), _)| other(queued));
        self.limits.push_back(((report, at), SENDS_PER_EVENT));
        trim(&mut self.limits);
    }

    /// Drops a queued limit that another router has told.
    pub(crate) fn drop_limit(&mut self, report: &LimitReport) {
        self.limits.retain(|((queued, _), _)| queued != report);
    }

    /// Whether an event must be sent at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Queues a suspect that succeeded.
    pub(crate) fn add_succeeded(&mut self, suspect: Suspect, at: Duration) {
        let queued = |((known, _), _): &((Suspect, Duration), u8)| *known == suspect;
        if !self.succeeded.iter().any(queued) {
            self.succeeded.push_back(((suspect, at), SENDS_PER_EVENT));
            trim(&mut self.succeeded);
        }
    }

    /// Queues an endpoint that could not be reached.
    pub fn add_unreachable(&mut self, id: &str, now: Duration) {
        let mut queued = self.unreachable.iter_mut();
        if let Some(((_, at), _)) = queued.find(|((known, _), _)| known == id) {
            *at = now;
        } else {
            let item = ((id.to_string(), now), SENDS_PER_EVENT);
            self.unreachable.push_back(item);
            trim(&mut self.unreachable);
        }
    }

    /// Adds queued events to a message, as many as fit.
    pub fn fill(&mut self, message: &mut PeerMessage, now: Duration) {
        let work = message.work.as_deref().map_or(0, work_bytes);
        let successes = message.succeeded.len() * SUCCESS_ENTRY_BYTES;
        let mut free_bytes =
            MAX_ENTRY_BYTES.saturating_sub(work + successes + message.evacuation_bytes());
        let for_crashes = if self.crashes.is_empty() {
            0
        } else {
            MIN_CRASH_BYTES
        };
        let for_paces = free_bytes.saturating_sub(for_crashes);
        message.load_reports.truncate(for_paces / PACE_ENTRY_BYTES);
        free_bytes -= message.load_reports.len() * PACE_ENTRY_BYTES;
        let crashes = self.next_crashes(free_bytes.min(MAX_CRASH_BYTES));
        let crash_bytes = crashes.iter().map(|(crash, _)| encoded_bytes(crash)).sum();
        let mut endpoint_bytes = (ENDPOINT_BYTES + free_bytes).saturating_sub(crash_bytes);
        free_bytes = free_bytes.saturating_sub(crash_bytes);
        message.crashes = aged(crashes, now);
        let leaving = take_fitting(&mut self.leaving, &mut endpoint_bytes, |((id, boot), _)| {
            id.len() + boot.len()
        });
        message.leaving = aged(leaving, now);
        let limits = take_fitting(&mut self.limits, &mut endpoint_bytes, |(report, _)| {
            report.endpoint.len() + report.boot.len() + LIMIT_BYTES
        });
        message.limits = aged(limits, now);
        self.unreachable
            .retain(|((_, at), _)| now < *at + UNREACHABLE_TTL);
        let unreachable = take_fitting(&mut self.unreachable, &mut endpoint_bytes, |(id, _)| {
            id.len()
        });
        message.unreachable = unreachable.into_iter().map(|(id, _)| id).collect();
        free_bytes = free_bytes.min(endpoint_bytes);
        while let Some((key, id)) = self.prefixes.pop_front() {
            let Some(left) = free_bytes.checked_sub(id.len() + PREFIX_ENTRY_BYTES) else {
                self.prefixes.push_front((key, id));
                break;
            };
            free_bytes = left;
            message.prefixes.push((key, id));
        }
        self.is_urgent = false;
        let succeeded = take_next(&mut self.succeeded, MAX_SUCCESSES);
        message.succeeded.extend(aged(succeeded, now));
    }

    /// Takes the next crashes, as many as fit in a number of bytes.
    fn next_crashes(&mut self, max_bytes: usize) -> Vec<(Crash, Duration)> {
        let mut bytes = 0;
        let fits = |((crash, _), _): &&((Crash, Duration), u8)| {
            bytes += encoded_bytes(crash);
            bytes <= max_bytes.max(MIN_CRASH_BYTES)
        };
        let count = self.crashes.iter().take_while(fits).count();
        take_next(&mut self.crashes, count.max(1))
    }
}

fn aged<T>(items: Vec<(T, Duration)>, now: Duration) -> Vec<Aged<T>> {
    let items = items.into_iter();
    items
        .map(|(what, at)| Aged::new(what, now.saturating_sub(at)))
        .collect()
}

fn aged_by<T: Clone>(items: &[Aged<T>], delay: Duration) -> Vec<Aged<T>> {
    let items = items.iter();
    items
        .map(|item| Aged::new(item.value.clone(), item.age() + delay))
        .collect()
}

fn work_bytes(work: &[(EndpointId, Work)]) -> usize {
    work.iter().map(|(id, _)| id.len() + WORK_ENTRY_BYTES).sum()
}

fn trim<T>(queue: &mut VecDeque<T>) {
    while queue.len() > MAX_QUEUED {
        queue.pop_front();
    }
}

/// Takes the next items of the queue. Those that more messages must carry go to its back.
fn take_next<T: Clone>(queue: &mut VecDeque<(T, u8)>, count: usize) -> Vec<T> {
    let count = queue.len().min(count);
    let taken: Vec<(T, u8)> = queue.drain(..count).collect();
    let remaining = taken.iter().filter(|(_, left)| *left > 1);
    queue.extend(remaining.map(|(item, left)| (item.clone(), left - 1)));
    taken.into_iter().map(|(item, _)| item).collect()
}

/// Takes the next endpoints of the queue, as many as fit in the free bytes.
fn take_fitting<T: Clone>(
    queue: &mut VecDeque<(T, u8)>,
    free_bytes: &mut usize,
    name_bytes: impl Fn(&T) -> usize,
) -> Vec<T> {
    let mut left = *free_bytes;
    let fits = |(item, _): &&(T, u8)| {
        let bytes = name_bytes(item) + ENDPOINT_ENTRY_BYTES;
        let after = left.checked_sub(bytes);
        left = after.unwrap_or(left);
        after.is_some()
    };
    let count = queue.iter().take(MAX_ENDPOINTS).take_while(fits).count();
    *free_bytes = left;
    take_next(queue, count)
}
