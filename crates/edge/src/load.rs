//! Outstanding work by endpoint: what this router sent, and what other routers report.

use crate::call::EndpointLoad;
use crate::load_reports::{LoadReports, ReportEntry, ReportKey, ReportedLoad, merge_paces};
use crate::pace::Paces;
use crate::sorted_walk::SortedWalk;
use sequoiaridge_core::{DomainId, EndpointId, RouterId, id_key};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age up to which the load that an endpoint reports with an answer counts beside the counts of the
/// routers. Requests last about a second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// Work outstanding at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests without a complete answer.
    pub requests: u32,
    /// Prompt tokens that the endpoint has yet to read, of requests without a first event.
    pub unread: u32,
}

impl Work {
    /// Removes the work of another router, or of a request that ended.
    fn sub(&mut self, other: Work) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
    }

    /// Adds the work of another router, or of a new request.
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

/// Another router that reports its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRouter<'a> {
    /// Id of the router.
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
    /// Sum of the work of all other routers, so that a placement decision need not add it up.
    others: BTreeMap<EndpointId, Work>,
    reports: LoadReports,
    paces: Paces,
    /// Whether routers exchange load reports of endpoints instead of their own counts.
    reports_only: bool,
}

/// Lookups of ascending ids among the outstanding work.
pub(crate) struct WorkWalk<'a> {
    loads: &'a Loads,
    own: SortedWalk<'a, EndpointId, Work>,
    others: SortedWalk<'a, EndpointId, Work>,
    now: Duration,
}

impl WorkWalk<'_> {
    /// Work of all routers at one endpoint; see [`Loads::outstanding`].
    pub(crate) fn outstanding(&mut self, id: &str, key: ReportKey) -> Work {
        let (own, others) = (self.own.find(id), self.others.find(id));
        self.loads.sum(own, others, key, self.now)
    }
}

impl Loads {
    /// Creates an empty table.
    pub fn new() -> Loads {
        Loads::default()
    }

    /// Sets whether only the reports of endpoints tell what other routers sent. In a large fleet,
    /// no router receives the counts of all others in time.
    pub fn rely_on_reports(&mut self, reports_only: bool) {
        self.reports_only = reports_only;
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
    pub fn first_event(&mut self, id: &str, unread: u32) {
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

    /// Records the load that an endpoint reports, of all routers.
    pub fn record_report(&mut self, id: &str, load: EndpointLoad, now: Duration) {
        let requests = load.running.saturating_add(load.waiting);
        self.reports.record(id, requests, now);
    }

    /// The newest load reports of endpoints, for the other routers.
    pub fn newest_reports(&self, now: Duration) -> Vec<ReportEntry> {
        self.reports.newest(&self.paces, now)
    }

    /// The paces of slow endpoints, for the other routers of a small fleet.
    pub fn slowest(&self, now: Duration) -> Vec<ReportEntry> {
        LoadReports::slowest(&self.paces, now)
    }

    /// Paces of the endpoints, which messages carry beside load reports.
    pub fn paces(&self) -> &Paces {
        &self.paces
    }

    /// Paces of the endpoints, to record samples.
    pub fn paces_mut(&mut self) -> &mut Paces {
        &mut self.paces
    }

    /// Merges load reports from another router.
    pub fn merge_reports(&mut self, entries: &[ReportEntry], now: Duration) {
        self.reports.merge(entries, now);
        merge_paces(&mut self.paces, entries, now);
    }

    /// The work of this router, for the other routers.
    pub fn own_work(&self) -> &BTreeMap<EndpointId, Work> {
        &self.own
    }

    /// Replaces the work that another router has reported.
    pub fn set_peer_work(
        &mut self,
        router: PeerRouter<'_>,
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

    /// Known routers that are not draining.
    pub fn peers(&self) -> impl Iterator<Item = PeerRouter<'_>> {
        let staying = self.peers.iter().filter(|(_, peer)| !peer.draining);
        staying.map(|(id, peer)| PeerRouter {
            id,
            domain: &peer.domain,
            link_mbps: peer.link_mbps,
        })
    }

    /// Drops routers that have been silent for `timeout`, and reports that are too old to count.
    pub fn expire(&mut self, now: Duration, timeout: Duration) {
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| now >= peer.heard + timeout);
        let silent: Vec<RouterId> = silent.map(|(id, _)| id.clone()).collect();
        for router in silent {
            self.forget(&router);
        }
        self.reports.expire(now);
        self.paces.expire(now);
    }

    /// Number of known routers, including this one.
    pub fn router_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Work of all routers at one endpoint. If the endpoint reported more requests a short time ago
    /// than the routers' counts add up to, its report counts.
    pub fn outstanding(&self, id: &str, now: Duration) -> Work {
        let (own, others) = (self.own.get(id), self.others.get(id));
        self.sum(own, others, id_key(id), now)
    }

    /// Looks up the outstanding work of ascending ids.
    pub(crate) fn walk(&self, now: Duration) -> WorkWalk<'_> {
        WorkWalk {
            loads: self,
            own: SortedWalk::new(&self.own),
            others: SortedWalk::new(&self.others),
            now,
        }
    }

    fn sum(
        &self,
        own: Option<&Work>,
        others: Option<&Work>,
        key: ReportKey,
        now: Duration,
    ) -> Work {
        let mut sum = others.copied().unwrap_or_default();
        sum.add(own.copied().unwrap_or_default());
        if let Some(report) = self.reports.outstanding_at(key, now)
            && (self.reports_only || report.age < MAX_REPORT_AGE)
        {
            sum.requests = sum.requests.max(report.requests);
        }
        sum
    }

    /// The newest report of an endpoint, with what this router has sent since.
    pub fn reported(&self, id: &str, now: Duration) -> Option<ReportedLoad> {
        self.reports.outstanding(id, now)
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
