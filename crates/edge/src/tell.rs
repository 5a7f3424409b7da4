//! Messages between routers, and what waits to be told.

use crate::cache_map::PrefixKey;
use crate::feed::Feed;
use crate::follower::{Known, Mark};
use crate::heat::HotSubject;
use crate::load::Work;
use crate::reports::ToldReport;
use sequoiaridge_core::{DomainId, EndpointId, Fingerprint, RouterId};
use sequoiaridge_policy::{Aged, Crash};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a message for work and prefixes together, and of these the most for work. The other fields
/// take up to 300, and a datagram holds 1,200.
const ENTRY_BYTES: usize = 800;
const MAX_WORK_BYTES: usize = 600;
/// Most bytes of an entry of each kind beside the endpoint's id.
const WORK_BYTES: usize = 11;
const PREFIX_BYTES: usize = 11;
/// Crashes and failed endpoints that one message tells.
const MAX_CRASHES: usize = 2;
const MAX_FAILED: usize = 4;
/// Messages that repeat a crash or a failed endpoint, since datagrams are lost at times.
const REPEATS: u8 = 3;
/// Items that wait to be told; older ones are dropped.
const MAX_WAITING: usize = 512;

/// One message from a router to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tell {
    /// Address at which the sender hears.
    pub address: Option<SocketAddr>,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Bandwidth of the sender's link in Mbit/s.
    pub link: u32,
    /// Another router that the sender hears, so that routers that started together meet.
    pub introduces: Option<(RouterId, SocketAddr, DomainId)>,
    /// How far the sender knows the configuration; `None` if it has none.
    pub configuration: Option<Known>,
    /// How far the sender knows the endpoints; `None` if it does not know them.
    pub endpoints: Option<Known>,
    /// Whether the sender drains.
    pub draining: bool,
    /// Work that the sender has outstanding; `None` if the message does not tell it.
    pub work: Option<Vec<(EndpointId, Work)>>,
    /// Prefixes that endpoints read.
    pub prefixes: Vec<(PrefixKey, EndpointId)>,
    /// Crashes that the sender saw.
    pub crashes: Vec<Aged<Crash>>,
    /// Requests that succeeded about the time of a crash.
    pub ran: Vec<Aged<Fingerprint>>,
    /// Endpoints that said to the sender that they leave, with their boot ids.
    pub departed: Vec<Aged<(EndpointId, String)>>,
    /// Stands for the crashes that all routers must know, as far as the sender does.
    pub crash_digest: u32,
    /// Endpoints that the sender could not reach.
    pub failed: Vec<EndpointId>,
    /// Load that endpoints told, the newest reports that the sender knows.
    pub reports: Vec<ToldReport>,
    /// Hot subjects with the endpoints that they need.
    pub hot: Vec<HotSubject>,
    /// Changes of endpoints.
    pub feed: Option<Feed>,
    /// Mark after which the sender lacks changes of endpoints.
    pub ask: Option<Mark>,
    /// Whether the hearer passes feed and news on to the routers of its own domain.
    pub relay: bool,
}

impl Tell {
    /// Tells work, of as many endpoints as fit: those with the most requests.
    pub fn with_work(mut self, mut work: Vec<(EndpointId, Work)>) -> Tell {
        if work_bytes(&work) > MAX_WORK_BYTES {
            work.sort_by_key(|(_, work)| std::cmp::Reverse(work.requests));
        }
        while work_bytes(&work) > MAX_WORK_BYTES {
            work.pop();
        }
        self.work = Some(work);
        self
    }

    /// Whether the message tells anything that all routers should know.
    pub(crate) fn has_news(&self) -> bool {
        !(self.prefixes.is_empty()
            && self.crashes.is_empty()
            && self.ran.is_empty()
            && self.departed.is_empty()
            && self.failed.is_empty())
    }

    /// What a relay passes on, under its own name, after the time for which it waited there.
    pub(crate) fn passed_on(&self, waited: Duration, base: Tell) -> Tell {
        Tell {
            prefixes: self.prefixes.clone(),
            crashes: older(&self.crashes, waited),
            ran: older(&self.ran, waited),
            departed: older(&self.departed, waited),
            failed: self.failed.clone(),
            feed: self.feed.clone(),
            ..base
        }
    }
}

/// An endpoint that left, with its boot id.
type Departed = (EndpointId, String);

/// What waits to be told.
#[derive(Debug, Default)]
pub(crate) struct News {
    prefixes: VecDeque<(PrefixKey, EndpointId)>,
    /// With the time at which each happened.
    crashes: VecDeque<((Crash, Duration), u8)>,
    ran: VecDeque<((Fingerprint, Duration), u8)>,
    departed: VecDeque<((Departed, Duration), u8)>,
    /// Whether something waits that must not wait for the next message.
    urgent: bool,
    failed: VecDeque<(EndpointId, u8)>,
}

impl News {
    /// Adds prefixes that an endpoint reads.
    pub(crate) fn prefixes(&mut self, keys: Vec<PrefixKey>, id: &str) {
        let entries = keys.into_iter().map(|key| (key, id.to_string()));
        self.prefixes.extend(entries);
        trim(&mut self.prefixes);
    }

    /// Adds a crash. A grave one goes before the others.
    pub(crate) fn crash(&mut self, crash: Crash, at: Duration, grave: bool) {
        let item = ((crash, at), REPEATS);
        trim(&mut self.crashes);
        if grave {
            self.urgent = true;
            self.crashes.push_front(item);
        } else {
            self.crashes.push_back(item);
        }
    }

    /// Adds an endpoint that said that it leaves.
    pub(crate) fn departed(&mut self, id: &str, boot: &str, at: Duration) {
        let departed = (id.to_string(), boot.to_string());
        self.departed.push_back(((departed, at), REPEATS));
        trim(&mut self.departed);
        self.urgent = true;
    }

    /// Whether something must be told at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Adds a request that succeeded.
    pub(crate) fn ran(&mut self, fingerprint: Fingerprint, at: Duration) {
        let waiting = |((known, _), _): &((Fingerprint, Duration), u8)| *known == fingerprint;
        if !self.ran.iter().any(waiting) {
            self.ran.push_back(((fingerprint, at), REPEATS));
            trim(&mut self.ran);
        }
    }

    /// Adds an endpoint that could not be reached.
    pub(crate) fn failed(&mut self, id: &str) {
        if self.failed.iter().all(|(known, _)| known != id) {
            self.failed.push_back((id.to_string(), REPEATS));
            trim(&mut self.failed);
        }
    }

    /// Moves what fits into a message.
    pub(crate) fn fill(&mut self, tell: &mut Tell, now: Duration) {
        let work = tell.work.as_deref().map_or(0, work_bytes);
        let mut room = ENTRY_BYTES.saturating_sub(work);
        while let Some((key, id)) = self.prefixes.pop_front() {
            let Some(left) = room.checked_sub(id.len() + PREFIX_BYTES) else {
                self.prefixes.push_front((key, id));
                break;
            };
            room = left;
            tell.prefixes.push((key, id));
        }
        self.urgent = false;
        tell.crashes = aged(take(&mut self.crashes, MAX_CRASHES), now);
        tell.ran = aged(take(&mut self.ran, MAX_CRASHES), now);
        tell.departed = aged(take(&mut self.departed, MAX_FAILED), now);
        tell.failed = take(&mut self.failed, MAX_FAILED);
    }
}

fn aged<T>(items: Vec<(T, Duration)>, now: Duration) -> Vec<Aged<T>> {
    let items = items.into_iter();
    items
        .map(|(what, at)| Aged::new(what, now.saturating_sub(at)))
        .collect()
}

fn older<T: Clone>(items: &[Aged<T>], waited: Duration) -> Vec<Aged<T>> {
    let items = items.iter();
    items
        .map(|item| Aged::new(item.value.clone(), item.age() + waited))
        .collect()
}

fn work_bytes(work: &[(EndpointId, Work)]) -> usize {
    work.iter().map(|(id, _)| id.len() + WORK_BYTES).sum()
}

fn trim<T>(queue: &mut VecDeque<T>) {
    while queue.len() > MAX_WAITING {
        queue.pop_front();
    }
}

/// Takes items that are told several times; those with tellings left go to the back.
fn take<T: Clone>(queue: &mut VecDeque<(T, u8)>, count: usize) -> Vec<T> {
    let count = queue.len().min(count);
    let taken: Vec<(T, u8)> = queue.drain(..count).collect();
    let again = taken.iter().filter(|(_, left)| *left > 1);
    queue.extend(again.map(|(item, left)| (item.clone(), left - 1)));
    taken.into_iter().map(|(item, _)| item).collect()
}
