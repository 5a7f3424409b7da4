//! Outstanding work by endpoint: what this router sent, and what the others tell.

use crate::call::EndpointLoad;
use crate::reports::{Reports, ToldReport};
use sequoiaridge_core::{DomainId, EndpointId, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the load that an endpoint tells with an answer counts beside the counts of all routers.
/// Requests last about a second.
const REPORT_LIFE: Duration = Duration::from_millis(700);

/// Work outstanding at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests without a whole answer.
    pub requests: u32,
    /// Prompt tokens that the endpoint has yet to read, of requests without a first event.
    pub unread: u32,
}

impl Work {
    /// Removes work that is no longer told.
    fn sub(&mut self, other: Work) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
    }

    /// Adds the work of another router.
    fn add(&mut self, other: Work) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread = self.unread.saturating_add(other.unread);
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Duration,
    draining: bool,
    domain: DomainId,
    link_mbps: u32,
    work: BTreeMap<EndpointId, Work>,
}

/// A router that tells its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender<'a> {
    /// Name of the router.
    pub id: &'a RouterId,
    /// Failure domain of the router.
    pub domain: &'a DomainId,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: u32,
}

/// Work of all routers by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: BTreeMap<EndpointId, Work>,
    peers: BTreeMap<RouterId, Peer>,
    /// Sum of the work of all other routers, so that a choice need not add it up.
    others: BTreeMap<EndpointId, Work>,
    reports: Reports,
    /// Whether routers tell reports of endpoints in place of their own counts.
    reported: bool,
}

impl Loads {
    /// Creates an empty table.
    pub fn new() -> Loads {
        Loads::default()
    }

    /// Chooses whether the reports of endpoints alone say what other routers sent. In a large fleet no
    /// router hears the counts of all others in time.
    pub fn rely_on_reports(&mut self, reported: bool) {
        self.reported = reported;
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, id: &str, unread: u32, now: Duration) {
        self.reports.begin(id, now);
        let work = self.own.entry(id.to_string()).or_default();
        work.add(Work {
            requests: 1,
            unread,
        });
    }

    /// Counts the first event of a request.
    pub fn read(&mut self, id: &str, unread: u32) {
        if let Some(work) = self.own.get_mut(id) {
            work.unread = work.unread.saturating_sub(unread);
        }
    }

    /// Counts the end of a request; `unread` is 0 if its first event arrived.
    pub fn end(&mut self, id: &str, unread: u32) {
        let Some(work) = self.own.get_mut(id) else {
            return;
        };
        work.sub(Work {
            requests: 1,
            unread,
        });
        if *work == Work::default() {
            self.own.remove(id);
        }
    }

    /// Takes over the load that an endpoint tells, of all callers.
    pub fn report(&mut self, id: &str, load: EndpointLoad, now: Duration) {
        let requests = load.running.saturating_add(load.waiting);
        self.reports.note(id, requests, now);
    }

    /// The newest reports of endpoints, for the other routers.
    pub fn reports(&self, now: Duration) -> Vec<ToldReport> {
        self.reports.tell(now)
    }

    /// Takes over reports that another router tells.
    pub fn hear_reports(&mut self, told: &[ToldReport], now: Duration) {
        self.reports.hear(told, now);
    }

    /// Work of this router, for the others.
    pub fn own(&self) -> &BTreeMap<EndpointId, Work> {
        &self.own
    }

    /// Takes over the work that another router tells.
    pub fn hear(
        &mut self,
        router: Sender<'_>,
        work: BTreeMap<EndpointId, Work>,
        draining: bool,
        now: Duration,
    ) {
        self.forget(router.id);
        for (id, work) in &work {
            self.others.entry(id.clone()).or_default().add(*work);
        }
        let peer = Peer {
            heard: now,
            draining,
            domain: router.domain.clone(),
            link_mbps: router.link_mbps,
            work,
        };
        self.peers.insert(router.id.clone(), peer);
    }

    /// Routers heard that do not drain.
    pub fn peers(&self) -> impl Iterator<Item = Sender<'_>> {
        let staying = self.peers.iter().filter(|(_, peer)| !peer.draining);
        staying.map(|(id, peer)| Sender {
            id,
            domain: &peer.domain,
            link_mbps: peer.link_mbps,
        })
    }

    /// Drops routers that were not heard for `life`, and reports that are too old to count.
    pub fn expire(&mut self, now: Duration, life: Duration) {
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| now >= peer.heard + life);
        let silent: Vec<RouterId> = silent.map(|(id, _)| id.clone()).collect();
        for router in silent {
            self.forget(&router);
        }
        self.reports.expire(now);
    }

    /// Routers heard, with this one.
    pub fn routers(&self) -> usize {
        self.peers.len() + 1
    }

    /// Work of all routers at one endpoint: what they tell, or what the endpoint itself told a short
    /// time ago, if that is more.
    pub fn at(&self, id: &str, now: Duration) -> Work {
        let own = self.own.get(id).copied().unwrap_or_default();
        let mut sum = self.others.get(id).copied().unwrap_or_default();
        sum.add(own);
        if let Some(report) = self.reports.at(id, now)
            && (self.reported || report.age < REPORT_LIFE)
        {
            sum.requests = sum.requests.max(report.requests);
        }
        sum
    }

    fn forget(&mut self, router: &str) {
        let Some(peer) = self.peers.remove(router) else {
            return;
        };
        for (id, work) in peer.work {
            let Some(sum) = self.others.get_mut(&id) else {
                continue;
            };
            sum.sub(work);
            if *sum == Work::default() {
                self.others.remove(&id);
            }
        }
    }
}
