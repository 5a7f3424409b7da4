//! State and interface of the failure detector.

use crate::config::DetectorConfig;
use crate::crash::CrashNotices;
use crate::load::LoadTable;
use crate::probe::{PendingNotice, PendingProbe, RelayedProbe};
use crate::roster::{Listing, Peer, Roster, state_event};
use crate::rumor::RumorQueue;
use crate::sum::SumTable;
use crate::{
    CrashNotice, EndpointLoad, LoadReport, MemberInfo, Message, Outgoing, PeerState, ProbeSchedule,
    Update,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sequoiaridge_core::{DomainId, RegionId, RouterId, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A change in the view of the routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A router joined, or a dead one answers again.
    Up {
        /// Name of the router.
        id: RouterId,
    },
    /// A router does not answer.
    Suspect {
        /// Name of the router.
        id: RouterId,
    },
    /// A suspect proved that it runs.
    Refuted {
        /// Name of the router.
        id: RouterId,
    },
    /// A router is dead.
    Dead {
        /// Name of the router.
        id: RouterId,
    },
    /// A router drains.
    Leaving {
        /// Name of the router.
        id: RouterId,
    },
    /// A new process of a router replaced the old one.
    Restarted {
        /// Name of the router.
        id: RouterId,
    },
    /// A dead router that is not in the list was forgotten.
    Forgotten {
        /// Name of the router.
        id: RouterId,
    },
}

/// One router in the view of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the router.
    pub id: RouterId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Address of its peer links, UDP and TCP.
    pub addr: SocketAddr,
    /// Its state.
    pub state: PeerState,
    /// Its incarnation; zero until an update about it or a message from it was received.
    pub incarnation: u64,
    /// Highest configuration version that it reported as in force.
    pub version: Version,
    /// When a message from it was last received.
    pub last_heard: Option<Duration>,
}

/// Probes other routers and disseminates their states, loads, sums and crash notices.
///
/// The caller runs [`Detector::tick`] about every 50 ms, passes each received message to
/// [`Detector::receive`], and sends the messages that either returns.
#[derive(Debug)]
pub struct Detector {
    pub(crate) config: DetectorConfig,
    pub(crate) rng: StdRng,
    /// Starts at the configured incarnation and rises with each refutation.
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) version: Version,
    pub(crate) roster: Roster,
    pub(crate) seeds: BTreeSet<SocketAddr>,
    pub(crate) rumors: RumorQueue,
    pub(crate) crashes: CrashNotices,
    pub(crate) loads: LoadTable,
    pub(crate) sums: SumTable,
    /// Sums of whole domains.
    pub(crate) domain_sums: SumTable,
    /// Short ids of the owners in this router's domain, if the fleet is large.
    pub(crate) domain_owners: Option<BTreeSet<u32>>,
    pub(crate) schedule: ProbeSchedule,
    pub(crate) events: Vec<MemberEvent>,
    pub(crate) pending_probes: BTreeMap<u64, PendingProbe>,
    pub(crate) relays: BTreeMap<u64, RelayedProbe>,
    pub(crate) seq: u64,
    pub(crate) periods: u64,
    pub(crate) next_period: Option<Duration>,
    pub(crate) last_tick: Option<Duration>,
    pub(crate) last_heard: Option<Duration>,
    /// Routers to notify once a version is in force here.
    pub(crate) version_waiters: Vec<(RouterId, SocketAddr, Version)>,
    /// The last configuration notice that was broadcast, while it is repeated.
    pub(crate) pending_notice: Option<PendingNotice>,
    pub(crate) outbox: Vec<Outgoing>,
}

impl Detector {
    /// Creates a detector that knows no other router yet.
    pub fn new(config: DetectorConfig) -> Detector {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let offset = rng.random_range(0..config.remote_every.max(1));
        let mut detector = Detector {
            rng,
            incarnation: config.incarnation,
            leaving: false,
            version: 0,
            roster: Roster::new(),
            seeds: BTreeSet::new(),
            rumors: RumorQueue::default(),
            crashes: CrashNotices::default(),
            loads: LoadTable::new(config.local.id.clone(), config.incarnation),
            sums: SumTable::new(&config.local.id, config.incarnation),
            domain_sums: SumTable::new(&config.local.domain, config.incarnation),
            domain_owners: None,
            schedule: ProbeSchedule::new(config.remote_every, offset),
            events: Vec::new(),
            pending_probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            seq: 0,
            periods: offset,
            next_period: None,
            last_tick: None,
            last_heard: None,
            version_waiters: Vec::new(),
            pending_notice: None,
            outbox: Vec::new(),
            config,
        };
        detector.rumors.push(detector.own_update());
        detector
    }

    /// Adds an address at which a router with a yet unknown name may be reached.
    pub fn add_seed(&mut self, addr: SocketAddr) {
        if addr != self.config.local.addr {
            self.seeds.insert(addr);
        }
    }

    /// Applies the platform's list of routers. New ones are added. Those that are no longer listed
    /// are kept while they answer, and forgotten some time after they are dead.
    pub fn set_list(&mut self, list: &[MemberInfo], now: Duration) {
        let listed: BTreeSet<&RouterId> = list.iter().map(|info| &info.id).collect();
        for (id, peer) in &mut self.roster {
            if peer.listing == Listing::Listed && !listed.contains(id) {
                peer.listing = Listing::Removed;
            }
        }
        for info in list.iter().filter(|info| info.id != self.config.local.id) {
            match self.roster.get_mut(&info.id) {
                Some(peer) => {
                    peer.listing = Listing::Listed;
                    // The list lags, so the address that a router itself announced takes
                    // precedence.
                    if peer.incarnation == 0 || peer.state == PeerState::Dead {
                        peer.info = info.clone();
                    }
                }
                None => {
                    let peer = Peer::new(info.clone(), Listing::Listed, now);
                    self.roster.insert(info.id.clone(), peer);
                    let id = info.id.clone();
                    self.events.push(MemberEvent::Up { id });
                }
            }
        }
    }

    /// Sets the configuration version that is in force here, and notifies the routers that wait for
    /// it.
    pub fn set_version(&mut self, version: Version) {
        self.version = self.version.max(version);
        let own = self.version;
        let (ready, waiting) = std::mem::take(&mut self.version_waiters)
            .into_iter()
            .partition(|(_, _, wanted)| *wanted <= own);
        self.version_waiters = waiting;
        for (id, to, _) in ready {
            let digest = self.brief_digest(Some(&id));
            let message = Message::Ack { seq: 0, digest };
            self.outbox.push(Outgoing { to, message });
        }
    }

    /// Returns the highest known configuration version and a router that has it in force,
    /// preferably one that is not dead and was heard recently; `None` if no other router has a
    /// higher version than this one.
    pub fn highest_version(&self) -> (Version, Option<RouterId>) {
        let best = self
            .roster
            .values()
            .max_by_key(|peer| (peer.version, peer.state != PeerState::Dead, peer.last_heard));
        match best {
            Some(peer) if peer.version > self.version => (peer.version, Some(peer.info.id.clone())),
            _ => (self.version, None),
        }
    }

    /// Replaces the load reports about the endpoints that this router owns.
    pub fn set_loads(&mut self, loads: &[EndpointLoad], now: Duration) {
        self.loads.set(loads, now);
    }

    /// Returns the newest load reports of this router and of all routers that are not dead.
    pub fn loads(&self) -> Vec<LoadReport> {
        self.loads.reports(|owner| {
            let peer = self.roster.get(owner);
            peer.is_some_and(|peer| peer.state != PeerState::Dead)
        })
    }

    /// Returns when a message from any peer was last received.
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }

    /// Takes the changes of the view since the last call.
    pub fn events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the crash notices of other routers since the last call, each once.
    pub fn take_crashes(&mut self) -> Vec<CrashNotice> {
        self.crashes.take()
    }

    /// Returns all known routers except this one, ordered by name.
    pub fn view(&self) -> Vec<PeerView> {
        let peers = self.roster.values();
        peers
            .map(|peer| PeerView {
                id: peer.info.id.clone(),
                domain: peer.info.domain.clone(),
                region: peer.info.region.clone(),
                addr: peer.info.addr,
                state: peer.state,
                incarnation: peer.incarnation,
                version: peer.version,
                last_heard: peer.last_heard,
            })
            .collect()
    }

    /// Marks this router as leaving and notifies all others at once. It still takes part in probes.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.leaving = true;
        self.rumors.push(self.own_update());
        let digest = crate::Digest::default();
        self.broadcast(Message::Leaving { digest }, now)
    }

    /// Sends a notice to all routers at once. Crash notices and versions are also piggybacked on
    /// the next probes, so that a lost datagram only delays them. A configuration notice is
    /// repeated to the routers that do not confirm it; [`PeerView::version`] shows which ones did.
    pub fn broadcast(&mut self, message: Message, now: Duration) -> Vec<Outgoing> {
        if let Message::CrashNotice { notice, .. } = &message
            && self.crashes.record(notice, now)
        {
            self.rumors.push_crash(notice.clone());
        }
        if let Message::ConfigNotice { version, .. } = message {
            self.pending_notice = Some(PendingNotice::new(version, now));
        }
        self.send_to_live(&message, |_| true)
    }

    /// Sends a message to all routers that are not dead and for which `wanted` holds.
    pub(crate) fn send_to_live(
        &self,
        message: &Message,
        wanted: impl Fn(&Peer) -> bool,
    ) -> Vec<Outgoing> {
        let live = self.roster.values();
        let live = live.filter(|peer| peer.state != PeerState::Dead && wanted(peer));
        let mut sent = Vec::new();
        for peer in live {
            let id = peer.info.id.clone();
            let mut digest = self.brief_digest(Some(&id));
            if matches!(message, Message::Leaving { .. }) {
                digest.updates = vec![self.own_update()];
            }
            let message = message.clone().with_digest(digest);
            let to = peer.info.addr;
            sent.push(Outgoing { to, message });
        }
        sent
    }

    /// The update of this router about itself.
    pub(crate) fn own_update(&self) -> Update {
        Update::Present {
            info: self.config.local.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }

    /// Number of routers that are not dead, counting this one.
    pub(crate) fn fleet_size(&self) -> usize {
        let live = self.roster.values();
        1 + live.filter(|peer| peer.state != PeerState::Dead).count()
    }

    /// Queues the event of a change of state, if there is one.
    pub(crate) fn push_event(&mut self, id: &RouterId, old: PeerState, new: PeerState) {
        self.events.extend(state_event(id, old, new));
    }

    /// The next probe number.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}
