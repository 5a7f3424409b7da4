//! Start and stop of one router and its background tasks.

use crate::callers::{self, CallerHandler};
use crate::operators::{self, Operators};
use crate::shared::{Phase, Shared, SharedParts};
use crate::{config_sync, drain, gossip, list_sync, maintain, peer_server, probes};
use displaydoc::Display;
use sequoiaridge_core::{Clock, Event};
use sequoiaridge_http::{Client, ClientConfig, Limits, Server};
use sequoiaridge_log as event;
use sequoiaridge_membership::{Detector, DetectorConfig, MemberInfo};
use sequoiaridge_policy::{LoadBound, Owner, OwnerConfig};
use sequoiaridge_settings::Settings;
use sequoiaridge_store::{ClaimLedger, ConfigLog, HttpObjectStore, HttpTable, MemberList};
use sequoiaridge_wire::{LinkPool, LinkPoolConfig, PeerKeys};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, UdpSocket};

/// Time between two passes that remove expired claims.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(600);
/// Delay between the steps of one pass.
const REMOVAL_STEP_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of the body of an operator's request. These requests are small.
const MAX_OPERATOR_BODY_BYTES: usize = 256 * 1024;

/// Reason why a router could not be started.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen for {0} on {1}: {2}
    Listen(&'static str, SocketAddr, io::Error),
}

impl std::error::Error for StartError {}

/// How a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Every call ended by itself.
    Complete,
    /// The drain limit passed; this many calls were cut.
    Cut(u64),
}

/// A running router.
///
/// [`Router::start`] returns when all addresses are bound. The router becomes ready when it has a
/// configuration, from the platform or from a peer.
pub struct Router {
    shared: Arc<Shared>,
    callers: Server,
    operators: Server,
    peers: SocketAddr,
}

impl Router {
    /// Starts a router on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Router, StartError> {
        let listener = listen_peers(settings.listen.peers).await?;
        let (listener, socket) = listener;
        let peers = listener
            .local_addr()
            .map_err(|error| StartError::Listen("peers", settings.listen.peers, error))?;
        let incarnation = incarnation(clock.as_ref());
        let services = build_services(&settings, clock, incarnation, socket, peers);
        let shared = Arc::new(Shared::new(settings, incarnation, services));
        event::log(Event::RouterStarted, &format!("{} at {peers}", shared.id()));
        let callers = serve_callers(&shared)?;
        let operators = serve_operators(&shared)?;
        tokio::spawn(list_sync::run(shared.clone()));
        tokio::spawn(config_sync::run(shared.clone()));
        tokio::spawn(gossip::run(shared.clone()));
        tokio::spawn(maintain::run(shared.clone()));
        tokio::spawn(probes::run(shared.clone()));
        tokio::spawn(peer_server::run(shared.clone(), listener));
        tokio::spawn(remove_expired_claims(shared.clone()));
        Ok(Router {
            shared,
            callers,
            operators,
            peers,
        })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for other routers, over UDP and TCP.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Drains the router and stops it. See section 4.9 of `docs/design.md`.
    pub async fn drain(self) -> DrainOutcome {
        let outcome = drain::drain(&self.shared).await;
        if let DrainOutcome::Cut(_) = outcome {
            self.callers.abort();
            self.operators.abort();
            self.shared.advance(Phase::Stopped);
            return outcome;
        }
        // Waits for the connections that are still sending the end of an answer.
        let _ = tokio::task::spawn_blocking(|| {
            let _ = self.callers.stop();
            let _ = self.operators.stop();
        })
        .await;
        self.shared.advance(Phase::Stopped);
        outcome
    }
}

/// Returns the start time in milliseconds since the Unix epoch, which distinguishes a router from
/// its predecessors with the same id.
fn incarnation(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Binds TCP and UDP to the same port. With port 0 the chosen TCP port may be in use for UDP, so
/// several ports are tried.
async fn listen_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    const MAX_ATTEMPTS: u32 = 16;
    let bind_error = |error| StartError::Listen("peers", address, error);
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let bound = listener.local_addr().map_err(bind_error)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() == 0 => last_error = Some(error),
            Err(error) => return Err(bind_error(error)),
        }
    }
    Err(bind_error(
        last_error.unwrap_or_else(|| io::Error::other("no free port")),
    ))
}

/// Creates the clients, stores and tables that the settings describe.
fn build_services(
    settings: &Settings,
    clock: Arc<dyn Clock>,
    incarnation: u64,
    socket: UdpSocket,
    peers: SocketAddr,
) -> SharedParts {
    let platform = &settings.platform;
    let platform_client = Client::new(ClientConfig {
        connect_timeout: platform.timeout.min(Duration::from_secs(1)),
        head_timeout: platform.timeout,
        chunk_timeout: platform.timeout,
        ..ClientConfig::default()
    });
    let table = HttpTable::new(
        platform.table,
        &platform.table_name,
        platform_client.clone(),
    );
    let objects = HttpObjectStore::new(platform.objects, &platform.bucket, platform_client.clone());
    let (table, objects) = (Arc::new(table), Arc::new(objects));
    let keys = PeerKeys::from_bytes(
        *settings.peers.key.expose(),
        settings
            .peers
            .previous_key
            .as_ref()
            .map(|key| *key.expose()),
    );
    let links = LinkPoolConfig {
        silence: settings.links.silence,
        idle_timeout: settings.links.idle,
        ..LinkPoolConfig::default()
    };
    SharedParts {
        client: Client::new(ClientConfig::default()),
        config_log: ConfigLog::new(table.clone(), objects.clone(), clock.clone()),
        ledger: ClaimLedger::new(table, objects, clock.clone()),
        member_list: MemberList::new(platform.members, platform_client),
        links: LinkPool::new(keys.clone(), links),
        peer_keys: keys,
        socket,
        detector: new_detector(settings, incarnation, peers),
        owner: Owner::new(owner_config(settings)),
        clock,
    }
}

fn new_detector(settings: &Settings, incarnation: u64, addr: SocketAddr) -> Detector {
    let me = MemberInfo {
        id: settings.id.clone(),
        addr,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    };
    let mut detector = Detector::new(DetectorConfig::new(me, incarnation, rand::random()));
    settings
        .peers
        .seeds
        .iter()
        .for_each(|seed| detector.add_seed(*seed));
    detector
}

fn owner_config(settings: &Settings) -> OwnerConfig {
    OwnerConfig::builder()
        .bound(LoadBound {
            multiple: settings.load.multiple,
        })
        .leave_bound(settings.health.leave_bound)
        .settle(settings.load.settle)
        .lookback(settings.cache.lookback)
        .queue_limit(settings.limits.waiting)
        .chat_limit(settings.cache.chats)
        .build()
}

fn serve_callers(shared: &Arc<Shared>) -> Result<Server, StartError> {
    let settings = &shared.settings;
    let limits = Limits {
        max_body: settings.limits.body,
        body_timeout: settings.limits.arrival,
        threads: settings.limits.threads,
    };
    let address = settings.listen.callers;
    let handler = Arc::new(CallerHandler {
        shared: shared.clone(),
    });
    Server::start(address, limits, handler, callers::refuse)
        .map_err(|error| StartError::Listen("callers", address, error))
}

fn serve_operators(shared: &Arc<Shared>) -> Result<Server, StartError> {
    let limits = Limits {
        max_body: MAX_OPERATOR_BODY_BYTES,
        body_timeout: shared.settings.limits.arrival,
        threads: 1,
    };
    let address = shared.settings.listen.operators;
    let handler = Arc::new(Operators {
        shared: shared.clone(),
    });
    Server::start(address, limits, handler, operators::refuse)
        .map_err(|error| StartError::Listen("operators", address, error))
}

/// Periodically removes claims that are older than the retention time. Only the live router with
/// the lowest id does this, so that not all routers scan the table.
async fn remove_expired_claims(shared: Arc<Shared>) {
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            () = tokio::time::sleep(REMOVAL_INTERVAL) => {}
        }
        let first = shared
            .view()
            .routers
            .keys()
            .next()
            .is_none_or(|peer| shared.id() < peer);
        if !first {
            continue;
        }
        let mut after: Option<String> = None;
        let retention = shared.settings.claims.retention;
        while let Ok(step) = shared
            .ledger
            .remove_expired(retention, after.as_deref())
            .await
        {
            after = step.next;
            if after.is_none() {
                break;
            }
            tokio::time::sleep(REMOVAL_STEP_DELAY).await;
        }
    }
}
