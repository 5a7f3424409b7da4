//! What routing decisions read, behind one lock.

use crate::admission::Admission;
use crate::brittle_services::BrittleServices;
use crate::cache_map::CacheMap;
use crate::constraints::{ColdStarts, Evacuations, KnownRouters};
use crate::departures::Departures;
use crate::endpoint_limits::{LimitSenders, NamedLimits};
use crate::follower::{Follower, Revision};
use crate::health::Health;
use crate::hot_subjects::HotSubjects;
use crate::load::Loads;
use crate::manifest::SoftwareVersion;
use crate::network::Isolation;
use crate::open_runs::OpenRuns;
use crate::peer_message::Outbox;
use crate::quarantine_probe::QuarantineProbes;
use crate::registry::{Position, Table};
use crate::rest::Rests;
use crate::retry_window::RetryWindow;
use crate::roster::Roster;
use crate::routes::RouteTable;
use crate::run_times::RunTimes;
use crate::schedule::ReaderRank;
use crate::settings::EdgeSettings;
use crate::stream_news::StreamNews;
use crate::stream_versions::{StreamId, StreamVersions};
use crate::terminations::Terminations;
use crate::version_history::VersionHistory;
use sequoiaridge_core::{DomainId, RouterId, Version};
use sequoiaridge_policy::Quarantine;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Crashes after which a request, or a part of prompts, is quarantined.
const QUARANTINE_STRIKES: u32 = 3;
/// Length of a quarantine after the last crash. The operators' limit on further attempts never resets, so
/// each quarantine that ends may count against it; callers keep retrying for up to a day.
const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time for which crashes are not attributed to a request that succeeded.
const TRUST_TIME: Duration = Duration::from_secs(60);
/// Time for which crashes are not attributed to a part that succeeded. A success reaches hundreds of
/// routers within it; a part that crashes endpoints from some moment on is held that much later.
const PART_TRUST_TIME: Duration = Duration::from_secs(2);
/// Number of other routers from which on a fleet counts as large. In smaller fleets every router sends its
/// full state to every other one ten times a second; in larger ones such messages cost more than they are
/// worth.
pub(crate) const SMALL_FLEET: usize = 24;
/// Largest number of requests and parts that the quarantine tracks.
const MAX_SUSPECTS: usize = 4096;

/// Everything that routing decisions read, behind one lock.
pub(crate) struct RoutingState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) roster: Roster,
    pub(crate) endpoints: Follower,
    pub(crate) configuration: Follower,
    /// Registry position at which the configuration was read.
    pub(crate) config_position: Position,
    /// When the registry last became reachable again after an outage for the whole fleet.
    pub(crate) registry_returned: Option<Duration>,
    /// All other known routers.
    pub(crate) contacts: BTreeMap<RouterId, Contact>,
    /// The same routers, as those among which the budgets of cold endpoints are divided.
    pub(crate) known_routers: KnownRouters,
    /// The failure domains that operators evacuate.
    pub(crate) evacuations: Evacuations,
    /// Requests to cold endpoints; `None` if the operators set no limit.
    pub(crate) cold_starts: Option<ColdStarts>,
    pub(crate) loads: Loads,
    /// Division of the services' room among requests.
    pub(crate) admission: Admission,
    pub(crate) hot_subjects: HotSubjects,
    pub(crate) health: Health,
    /// Whether the links to the endpoints are lost.
    pub(crate) isolation: Isolation,
    pub(crate) cache: CacheMap,
    pub(crate) outbox: Outbox,
    pub(crate) retries: RetryWindow,
    pub(crate) quarantine: Quarantine,
    pub(crate) probes: QuarantineProbes,
    pub(crate) terminations: Terminations,
    pub(crate) rests: Rests,
    /// Services whose endpoints must not have to reject requests.
    pub(crate) brittle: BrittleServices,
    /// Limits that endpoints named in answers.
    pub(crate) limits: NamedLimits,
    /// Requests to the endpoints that named one.
    pub(crate) limit_senders: LimitSenders,
    pub(crate) departures: Departures,
    pub(crate) open_runs: OpenRuns,
    pub(crate) run_times: RunTimes,
    /// Versions that began the streams of late.
    pub(crate) streams: StreamVersions,
    /// Streams that other routers are to be told of.
    pub(crate) stream_news: StreamNews,
    /// Streams whose version other routers are to be asked for.
    pub(crate) asked_streams: BTreeSet<StreamId>,
    /// Software versions that the services had of late.
    pub(crate) versions: VersionHistory,
    /// Number of routers that save the streams of all in a large fleet, and whether this one does.
    pub(crate) stream_keepers: usize,
    pub(crate) keeps_streams: bool,
}

impl RoutingState {
    /// Creates the state of a router that has just started.
    pub(super) fn new(settings: &EdgeSettings) -> RoutingState {
        let retries = RetryWindow::new(
            settings.retry_share,
            settings.retry_window,
            settings.retry_extra,
        );
        let mut loads = Loads::new();
        loads.paces_mut().learn_all(settings.shares_room);
        RoutingState {
            routes: None,
            roster: Roster::with_bound(settings.leave_bound),
            endpoints: Follower::new(&settings.id),
            configuration: Follower::new(&settings.id),
            config_position: Position::default(),
            registry_returned: None,
            contacts: BTreeMap::new(),
            known_routers: KnownRouters::new(&settings.id),
            evacuations: Evacuations::new(),
            cold_starts: settings.cold.map(ColdStarts::new),
            loads,
            admission: Admission::new(settings.shares_room),
            hot_subjects: HotSubjects::new(),
            health: Health::new(),
            isolation: Isolation::new(),
            cache: CacheMap::with_window(settings.reuse_window),
            outbox: Outbox::default(),
            retries,
            quarantine: Quarantine::new(QUARANTINE_STRIKES, QUARANTINE_TIME, MAX_SUSPECTS)
                .with_trust_window(TRUST_TIME)
                .with_part_trust_window(PART_TRUST_TIME),
            probes: QuarantineProbes::new(),
            terminations: Terminations::new(),
            rests: Rests::new(),
            brittle: BrittleServices::new(),
            limits: NamedLimits::new(),
            limit_senders: LimitSenders::new(),
            departures: Departures::new(),
            open_runs: OpenRuns::default(),
            run_times: RunTimes::new(),
            streams: StreamVersions::default(),
            stream_news: StreamNews::default(),
            asked_streams: BTreeSet::new(),
            versions: VersionHistory::new(),
            stream_keepers: 0,
            keeps_streams: false,
        }
    }

    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.manifest().version)
    }

    /// How far this router knows a table.
    pub(crate) fn follower(&mut self, table: Table) -> &mut Follower {
        match table {
            Table::Configuration => &mut self.configuration,
            Table::Endpoints | Table::Routers => &mut self.endpoints,
        }
    }

    /// Whether the fleet is so large that messages go to some of the routers only.
    pub(crate) fn is_large(&self) -> bool {
        self.contacts.len() >= SMALL_FLEET
    }

    /// Number of routers in the fleet, including this one.
    pub(crate) fn routers(&self) -> usize {
        (self.contacts.len() + 1).max(self.loads.router_count())
    }

    /// The version of a service, if it had no other one for as long as a stream can have run that
    /// began before `begun`. The list of endpoints must be known as of then: another router may have
    /// begun the stream at a version that this one has not heard of.
    pub(crate) fn sole_version(
        &self,
        service: &str,
        begun: Duration,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let is_known = self.endpoints.is_known_as_of(begun);
        let sole = self.versions.sole(service, now).filter(|_| is_known);
        sole.cloned()
    }

    /// Rank of this router by link bandwidth, the fastest first, then by name: among all routers that are
    /// heard in a small fleet, among those of its failure domain in a large one.
    pub(crate) fn reader_rank(&self, settings: &EdgeSettings) -> ReaderRank {
        let own = (Reverse(settings.link), &settings.id);
        let large = self.is_large();
        let before = if large {
            let contacts = self.contacts.iter();
            let near = contacts.filter(|(_, contact)| contact.domain == settings.domain);
            near.filter(|(id, contact)| (Reverse(contact.link), *id) < own)
                .count()
        } else {
            let heard = self.loads.peers();
            heard
                .filter(|peer| (Reverse(peer.link_mbps), peer.id) < own)
                .count()
        };
        ReaderRank {
            before,
            routers: self.routers(),
            large,
        }
    }
}

/// What this router knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    /// Address at which it listens for other routers.
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    /// Bandwidth of its link in Mbit/s; 0 until it is heard.
    pub(crate) link: u32,
    /// How far it knows the endpoints.
    pub(crate) endpoints: Option<Revision>,
    /// Version of the configuration that it has in force.
    pub(crate) configuration: Option<Version>,
    /// When it was last heard.
    pub(crate) heard: Option<Duration>,
    /// Whether it said that it is draining, and that it has lost its links to the endpoints.
    pub(crate) draining: bool,
    pub(crate) isolated: bool,
}
