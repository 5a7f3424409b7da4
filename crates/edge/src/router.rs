//! One router: its listeners, background tasks, and graceful shutdown.

use crate::answer_deadline::AnswerDeadline;
use crate::endpoint_notices::{expire_limits, expire_rests};
use crate::idle_timer::{IdleTimer, idle_limit};
use crate::ingress;
use crate::network::{Dialer, SystemDialer};
use crate::peers;
use crate::quarantine_page;
use crate::reader;
use crate::registry::{Dialect, Registry};
use crate::room_watch::watch_room;
use crate::saved_versions::note_versions;
use crate::settings::EdgeSettings;
use crate::shared::Shared;
use crate::stream_body::StreamBody;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sequoiaridge_core::{Clock, Event};
use sequoiaridge_log::log;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

/// Limit on the head of a request in bytes before the first configuration is known. Configured limits
/// below it do not shrink the read buffer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time after SIGTERM during which the load balancer may still open connections: it checks readiness once a
/// second and stops after two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(3500);
/// Time after SIGTERM at which idle connections of callers are closed. Until then each connection is closed
/// with its next answer, so that no request arrives on a connection that is being closed.
const CLOSE_IDLE_DELAY: Duration = Duration::from_millis(3200);
/// Time without a request in flight after which a drain ends, once the load balancer has stopped.
const DRAIN_QUIET_TIME: Duration = Duration::from_millis(500);
/// Interval between checks of a drain, and between removals of expired state.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of free ports that are tried where the settings leave the choice to the system.
const FREE_PORT_TRIES: u32 = 8;
/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One router on the platform.
pub struct EdgeRouter {
    shared: Arc<Shared>,
}

impl EdgeRouter {
    /// Starts a router: it opens its listeners, follows the registry, and becomes ready once it has read a
    /// configuration and the endpoints.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(
        settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
    ) -> io::Result<EdgeRouter> {
        let dialer = Arc::new(SystemDialer);
        EdgeRouter::start_with_dialer(settings, clock, dialect, registry, dialer).await
    }

    /// Starts a router that opens its connections to endpoints with a dialer.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start_with_dialer(
        mut settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
        dialer: Arc<dyn Dialer>,
    ) -> io::Result<EdgeRouter> {
        let callers = TcpListener::bind(settings.callers).await?;
        // Port 0 in the settings means any free port, so it names no address.
        let is_shared = settings.callers == settings.readiness && settings.callers.port() != 0;
        let readiness = if is_shared {
            None
        } else {
            Some(TcpListener::bind(settings.readiness).await?)
        };
        let (socket, lists) = bind_peers(settings.peers).await?;
        settings.callers = callers.local_addr()?;
        if let Some(readiness) = &readiness {
            settings.readiness = readiness.local_addr()?;
        }
        settings.peers = socket.local_addr()?;
        let (feeds, to_tell) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(settings, clock, dialect, dialer, feeds));
        if let Some(readiness) = readiness {
            tokio::spawn(accept(callers, shared.clone(), Port::Callers));
            tokio::spawn(accept(readiness, shared.clone(), Port::Readiness));
        } else {
            tokio::spawn(accept(callers, shared.clone(), Port::Shared));
        }
        tokio::spawn(reader::run(shared.clone(), registry.clone()));
        tokio::spawn(peers::run(shared.clone(), registry, socket, lists, to_tell));
        tokio::spawn(watch_room(shared.clone()));
        tokio::spawn(remove_expired(shared.clone()));
        log(
            Event::RouterStarted,
            &format!(
                "router={} callers={}",
                shared.settings.id, shared.settings.callers
            ),
        );
        Ok(EdgeRouter { shared })
    }

    /// Settings of the router, with the addresses that it actually listens on.
    pub fn settings(&self) -> &EdgeSettings {
        &self.shared.settings
    }

    /// Drains the router: it reports that it is not ready, still serves requests that end in time, and
    /// makes callers close their connections. Returns once nothing is in flight or the grace period is
    /// nearly over, with the number of requests that were given up.
    pub async fn drain(&self) -> usize {
        let shared = &self.shared;
        let drain = shared.start_drain();
        log(
            Event::DrainStarted,
            &format!("in_flight={}", shared.in_flight()),
        );
        let start = drain.start();
        let mut busy = start;
        while shared.now() < drain.last_answer() {
            let now = shared.now();
            if shared.in_flight() > 0 {
                busy = now;
            }
            if now >= start + CLOSE_IDLE_DELAY {
                shared.close_idle();
            }
            if now >= start + BALANCER_DELAY && now >= busy + DRAIN_QUIET_TIME {
                log(Event::DrainFinished, "cut=0");
                return 0;
            }
            let left = drain.last_answer().saturating_sub(now);
            tokio::time::sleep(left.min(DRAIN_CHECK_INTERVAL)).await;
        }
        let cut = shared.in_flight();
        shared.give_up();
        while shared.now() < drain.end() {
            let left = drain.end().saturating_sub(shared.now());
            tokio::time::sleep(left).await;
        }
        let event = if cut == 0 {
            Event::DrainFinished
        } else {
            Event::DrainLimit
        };
        log(event, &format!("cut={cut}"));
        cut
    }
}

/// Binds the address for other routers, both for UDP and for TCP.
async fn bind_peers(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = if address.port() == 0 {
        FREE_PORT_TRIES
    } else {
        1
    };
    loop {
        let socket = UdpSocket::bind(address).await?;
        // A port that is free for UDP may be in use for TCP.
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if tries == 1 => return Err(error),
            Err(_) => tries -= 1,
        }
    }
}

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Callers,
    /// Callers, and the readiness path, because the settings name one address for both.
    Shared,
    Readiness,
    /// The readiness address, reached from this instance.
    Local,
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, shared.clone(), port));
            }
            Err(error) => {
                log(Event::AcceptFailed, &error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection. Its errors are ignored, since they only say that the caller is gone.
async fn serve(stream: TcpStream, shared: Arc<Shared>, port: Port) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let routes = shared.lock_state().routes.clone();
    let head = routes.map_or(MAX_HEAD_BYTES, |routes| routes.manifest().limits.head);
    let idle = idle_limit(&shared);
    let timer = IdleTimer::new(shared.clone());
    let closing = shared.closing();
    let due = AnswerDeadline::default();
    let answered = due.clone();
    let port = match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(own)) if port == Port::Readiness && peer.ip() == own.ip() => Port::Local,
        _ => port,
    };
    let service = service_fn(move |request| {
        let (shared, due) = (shared.clone(), answered.clone());
        async move { Ok::<_, Infallible>(answer(shared, request, port, due).await) }
    });
    let connection = http1::Builder::new()
        .timer(timer)
        .header_read_timeout(idle)
        .max_buf_size(head.max(MAX_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = closing;
    let served = async {
        // A connection that opens after idle ones were closed still gets one answer, which closes it.
        if !*closing.borrow() {
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
            }
        }
        let _ = connection.await;
    };
    tokio::select! {
        () = served => {}
        () = due.overdue() => log(Event::CallerStalled, "the caller did not read its answer in time"),
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    port: Port,
    due: AnswerDeadline,
) -> Response<StreamBody> {
    let path = request.uri().path();
    let asks_readiness = path == shared.dialect.readiness_path();
    match port {
        Port::Shared | Port::Readiness | Port::Local if asks_readiness => {
            response(readiness(&shared), Bytes::new())
        }
        Port::Callers | Port::Shared => ingress::answer(shared, request, due).await,
        Port::Readiness | Port::Local if path == "/metrics" => {
            response(StatusCode::OK, shared.metrics.encode().into())
        }
        Port::Readiness | Port::Local => {
            let is_local = port == Port::Local;
            let answered = quarantine_page::answer(&shared, request.method(), path, is_local);
            let (status, body) = answered.unwrap_or((StatusCode::NOT_FOUND, Bytes::new()));
            response(status, body)
        }
    }
}

fn readiness(shared: &Shared) -> StatusCode {
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<StreamBody> {
    let mut response = Response::new(StreamBody::whole(body));
    *response.status_mut() = status;
    response
}

/// Periodically removes expired state.
async fn remove_expired(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let now = shared.now();
        shared.pool.expire(now);
        let mut state = shared.lock_state();
        state.cache.expire(now);
        state.streams.expire(now);
        state.terminations.expire(now);
        state.departures.expire(now);
        state.run_times.expire(now);
        state.admission.expire(now);
        if state.endpoints.revision().is_some() {
            note_versions(&mut state, now);
        }
        expire_rests(&mut state, &shared);
        expire_limits(&mut state, &shared);
        let ended = state.quarantine.expire(now);
        let held = state.quarantine.held(now);
        state.probes.retain(|suspect| held.contains_key(&suspect));
        drop(state);
        for suspect in ended {
            log(Event::QuarantineEnded, &format!("suspect={suspect}"));
        }
        let held = i64::try_from(held.len()).unwrap_or(i64::MAX);
        shared.metrics.quarantined.set(held);
    }
}
