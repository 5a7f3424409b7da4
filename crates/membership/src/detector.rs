//! The failure detector: its state and its interface.

use crate::config::DetectorConfig;
use crate::crash::CrashBook;
use crate::load::LoadTable;
use crate::probe::{Announced, Pending, Relay};
use crate::roster::{Listing, Peer, Roster, event};
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
    /// A suspect showed that it runs.
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
    /// A router's process was replaced by a new one.
    Restarted {
        /// Name of the router.
        id: RouterId,
    },
    /// A dead router that the list does not have is no longer remembered.
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
    /// Its incarnation; zero until it was heard of.
    pub incarnation: u64,
    /// Highest configuration version that it reported as in force.
    pub version: Version,
    /// When it was last heard directly.
    pub last_heard: Option<Duration>,
}

/// Probes other routers and spreads what routers must know of each other.
///
/// The caller runs [`Detector::tick`] about every 50 ms, passes on each received message, and sends
/// what either returns.
#[derive(Debug)]
pub struct Detector {
    pub(crate) config: DetectorConfig,
    pub(crate) rng: StdRng,
    /// Rises above the configured incarnation with each refutation.
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) version: Version,
    pub(crate) roster: Roster,
    pub(crate) seeds: BTreeSet<SocketAddr>,
    pub(crate) rumors: RumorQueue,
    pub(crate) crashes: CrashBook,
    pub(crate) loads: LoadTable,
    pub(crate) sums: SumTable,
    /// Sums of whole domains.
    pub(crate) domains: SumTable,
    /// Short ids of the owners of the own domain, if the fleet is large.
    pub(crate) near_owners: Option<BTreeSet<u32>>,
    pub(crate) plan: ProbeSchedule,
    pub(crate) events: Vec<MemberEvent>,
    pub(crate) pending: BTreeMap<u64, Pending>,
    pub(crate) relays: BTreeMap<u64, Relay>,
    pub(crate) seq: u64,
    pub(crate) periods: u64,
    pub(crate) next_period: Option<Duration>,
    pub(crate) last_tick: Option<Duration>,
    pub(crate) last_heard: Option<Duration>,
    /// Routers that wait for word that a version is in force here.
    pub(crate) owed: Vec<(RouterId, SocketAddr, Version)>,
    /// The last configuration notice that was broadcast.
    pub(crate) announced: Option<Announced>,
    pub(crate) outbox: Vec<Outgoing>,
}

impl Detector {
    /// Creates the detector of one router, which knows no other router yet.
    pub fn new(config: DetectorConfig) -> Detector {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let offset = rng.random_range(0..config.far_every.max(1));
        let mut detector = Detector {
            rng,
            incarnation: config.incarnation,
            leaving: false,
            version: 0,
            roster: Roster::new(),
            seeds: BTreeSet::new(),
            rumors: RumorQueue::default(),
            crashes: CrashBook::default(),
            loads: LoadTable::new(config.local.id.clone(), config.incarnation),
            sums: SumTable::new(&config.local.id, config.incarnation),
            domains: SumTable::new(&config.local.domain, config.incarnation),
            near_owners: None,
            plan: ProbeSchedule::new(config.far_every, offset),
            events: Vec::new(),
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            seq: 0,
            periods: offset,
            next_period: None,
            last_tick: None,
            last_heard: None,
            owed: Vec::new(),
            announced: None,
            outbox: Vec::new(),
            config,
        };
        detector.rumors.tell(detector.own_update());
        detector
    }

    /// Adds an address at which a router may be found whose name is not known yet.
    pub fn add_seed(&mut self, addr: SocketAddr) {
        if addr != self.config.local.addr {
            self.seeds.insert(addr);
        }
    }

    /// Takes over the routers of the platform's list. New ones are introduced. Those that are no
    /// longer listed stay while they answer, and are forgotten some time after they are dead.
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
                    // A router that answers knows its address better than the list, which lags.
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

    /// Sets the configuration version that is in force here.
    pub fn set_version(&mut self, version: Version) {
        self.version = self.version.max(version);
        let own = self.version;
        let (ready, owed) = std::mem::take(&mut self.owed)
            .into_iter()
            .partition(|(_, _, wanted)| *wanted <= own);
        self.owed = owed;
        for (id, to, _) in ready {
            let digest = self.brief_digest(Some(&id));
            let message = Message::Ack { seq: 0, digest };
            self.outbox.push(Outgoing { to, message });
        }
    }

    /// The highest configuration version that is known, and the router that was last heard to have
    /// it in force; `None` if no other router has a higher one than this.
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

    /// The newest load reports of this router and of all routers that are not dead.
    pub fn loads(&self) -> Vec<LoadReport> {
        self.loads.reports(|owner| {
            let peer = self.roster.get(owner);
            peer.is_some_and(|peer| peer.state != PeerState::Dead)
        })
    }

    /// When any peer was last heard.
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }

    /// Changes of the view since the last call.
    pub fn events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Crash notices of other routers since the last call, each once.
    pub fn take_crashes(&mut self) -> Vec<CrashNotice> {
        self.crashes.take()
    }

    /// All known routers but the own one, by name.
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

    /// Marks this router as leaving and tells all others at once. It still takes part in probes.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.leaving = true;
        self.rumors.tell(self.own_update());
        let digest = crate::Digest::default();
        self.broadcast(Message::Leaving { digest }, now)
    }

    /// Sends a notice to all routers at once. Crash notices and versions also travel on the next
    /// probes, so that a lost datagram only delays them. A configuration notice is repeated to the
    /// routers that do not confirm it; [`PeerView::version`] says which ones did.
    pub fn broadcast(&mut self, message: Message, now: Duration) -> Vec<Outgoing> {
        if let Message::CrashNotice { notice, .. } = &message
            && self.crashes.record(notice, now)
        {
            self.rumors.tell_crash(notice.clone());
        }
        if let Message::ConfigNotice { version, .. } = message {
            self.announced = Some(Announced::new(version, now));
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

    /// The statement of this router about itself.
    pub(crate) fn own_update(&self) -> Update {
        Update::Present {
            info: self.config.local.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }

    /// Routers that are not dead, counting this one.
    pub(crate) fn fleet_size(&self) -> usize {
        let live = self.roster.values();
        1 + live.filter(|peer| peer.state != PeerState::Dead).count()
    }

    /// Reports a change of state.
    pub(crate) fn note(&mut self, id: &RouterId, old: PeerState, new: PeerState) {
        self.events.extend(event(id, old, new));
    }

    /// The next probe number.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}
