//! Outstanding work by endpoint: what this router sent, and what the others tell.

use sequoiaridge_core::{EndpointId, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Work outstanding at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests without a whole answer.
    pub requests: u32,
    /// Prompt tokens that the endpoint has yet to read, of requests without a first event.
    pub unread: u32,
}

impl Work {
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
    work: BTreeMap<EndpointId, Work>,
}

/// Work of all routers by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: BTreeMap<EndpointId, Work>,
    peers: BTreeMap<RouterId, Peer>,
}

impl Loads {
    /// Creates an empty table.
    pub fn new() -> Loads {
        Loads::default()
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, id: &str, unread: u32) {
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
        work.requests = work.requests.saturating_sub(1);
        work.unread = work.unread.saturating_sub(unread);
        if *work == Work::default() {
            self.own.remove(id);
        }
    }

    /// Work of this router, for the others.
    pub fn own(&self) -> &BTreeMap<EndpointId, Work> {
        &self.own
    }

    /// Takes over the work that another router tells.
    pub fn hear(
        &mut self,
        router: &str,
        work: BTreeMap<EndpointId, Work>,
        draining: bool,
        now: Duration,
    ) {
        let peer = Peer {
            heard: now,
            draining,
            work,
        };
        self.peers.insert(router.to_string(), peer);
    }

    /// Routers heard that do not drain.
    pub fn peers(&self) -> impl Iterator<Item = &RouterId> {
        let staying = self.peers.iter().filter(|(_, peer)| !peer.draining);
        staying.map(|(id, _)| id)
    }

    /// Drops routers that were not heard for `life`; their load no longer counts.
    pub fn expire(&mut self, now: Duration, life: Duration) {
        self.peers.retain(|_, peer| now < peer.heard + life);
    }

    /// Routers heard, with this one.
    pub fn routers(&self) -> usize {
        self.peers.len() + 1
    }

    /// Work of all routers at one endpoint.
    pub fn at(&self, id: &str) -> Work {
        let mut sum = self.own.get(id).copied().unwrap_or_default();
        for peer in self.peers.values() {
            sum.add(peer.work.get(id).copied().unwrap_or_default());
        }
        sum
    }
}
