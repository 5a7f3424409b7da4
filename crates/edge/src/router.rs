//! The process: listeners, readers of the registry, and the planned stop.

use crate::answer_deadline::AnswerDeadline;
use crate::endpoint_notices::expire_rests;
use crate::ingress;
use crate::peers;
use crate::reader;
use crate::registry::{Dialect, Registry};
use crate::settings::EdgeSettings;
use crate::shared::Shared;
use crate::stream_body::StreamBody;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// Head of a request that is read before the first configuration is known.
const MAX_HEAD: usize = 16 * 1024;
/// Time for which an idle connection of a caller is kept, and in which a head must arrive, before the
/// first configuration is known.
const IDLE: Duration = Duration::from_secs(15);
/// Time after SIGTERM in which the balancer may still send connections: it asks for readiness once a
/// second and needs two misses.
const BALANCER: Duration = Duration::from_millis(3500);
/// Time after SIGTERM from which idle connections of callers are closed. Until then each is closed
/// with its next answer, so that no request crosses the close.
const CLOSE_IDLE: Duration = Duration::from_millis(3200);
/// Time without a request after which a drained router ends.
const QUIET: Duration = Duration::from_millis(500);
/// Time between the end of a planned stop and the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Pause between checks of a drain, and between cleanings of idle connections.
const CHECK: Duration = Duration::from_millis(100);
const CLEAN: Duration = Duration::from_millis(500);
/// Free ports that are tried where the settings leave the choice to the system.
const FREE_PORT_TRIES: u32 = 8;
/// Pause after an accept that failed, for instance because all descriptors are in use.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One router on the platform.
pub struct EdgeRouter {
    shared: Arc<Shared>,
}

impl EdgeRouter {
    /// Starts a router: it listens, follows the registry, and is ready once it knows a configuration
    /// and the endpoints.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(
        mut settings: EdgeSettings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        registry: Arc<dyn Registry>,
    ) -> io::Result<EdgeRouter> {
        let callers = TcpListener::bind(settings.callers).await?;
        let readiness = TcpListener::bind(settings.readiness).await?;
        let (socket, lists) = bind_peers(settings.peers).await?;
        // A port of 0 takes a free one.
        settings.callers = callers.local_addr()?;
        settings.readiness = readiness.local_addr()?;
        settings.peers = socket.local_addr()?;
        let (feeds, to_tell) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(settings, clock, dialect, feeds));
        tokio::spawn(accept(callers, shared.clone(), Port::Callers));
        tokio::spawn(accept(readiness, shared.clone(), Port::Readiness));
        tokio::spawn(reader::run(shared.clone(), registry.clone()));
        tokio::spawn(peers::run(shared.clone(), registry, socket, lists, to_tell));
        tokio::spawn(clean(shared.clone()));
        log(
            Event::RouterStarted,
            &format!(
                "router={} callers={}",
                shared.settings.id, shared.settings.callers
            ),
        );
        Ok(EdgeRouter { shared })
    }

    /// Settings of the router, with the addresses that it listens on.
    pub fn settings(&self) -> &EdgeSettings {
        &self.shared.settings
    }

    /// Stops the router: it is no longer ready, serves what still arrives, asks callers to go
    /// elsewhere, and returns once nothing is in flight or the grace period is nearly over. Returns
    /// the number of requests that are cut.
    pub async fn drain(&self) -> usize {
        let shared = &self.shared;
        shared.drain();
        log(
            Event::DrainStarted,
            &format!("in_flight={}", shared.in_flight()),
        );
        let start = shared.now();
        let end = start + shared.settings.grace.saturating_sub(STOP_MARGIN);
        let mut busy = start;
        loop {
            let now = shared.now();
            let left = shared.in_flight();
            if left > 0 {
                busy = now;
            }
            if now >= start + CLOSE_IDLE {
                shared.close_idle();
            }
            let quiet = now >= start + BALANCER && now >= busy + QUIET;
            if quiet || now >= end {
                let event = if left == 0 {
                    Event::DrainFinished
                } else {
                    Event::DrainLimit
                };
                log(event, &format!("cut={left}"));
                return left;
            }
            tokio::time::sleep(CHECK).await;
        }
    }
}

/// Binds the address for other routers, for datagrams and for connections.
async fn bind_peers(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = if address.port() == 0 {
        FREE_PORT_TRIES
    } else {
        1
    };
    loop {
        let socket = UdpSocket::bind(address).await?;
        // A port that is free for datagrams may be taken for connections.
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
    Readiness,
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

/// Serves one connection. Its error only says that the caller has gone.
async fn serve(stream: TcpStream, shared: Arc<Shared>, port: Port) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let routes = shared.board().routes.clone();
    let limits = routes.map(|routes| routes.manifest().limits.clone());
    let (head, idle) = limits.map_or((MAX_HEAD, IDLE), |limits| {
        (limits.head, limits.idle.max(limits.arrival))
    });
    let closing = shared.closing();
    let due = AnswerDeadline::default();
    let answered = due.clone();
    let service = service_fn(move |request| {
        let (shared, due) = (shared.clone(), answered.clone());
        async move { Ok::<_, Infallible>(answer(shared, request, port, due).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MAX_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = closing;
    let served = async {
        // A connection that opens while idle ones are closed still gets an answer, with which it closes.
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
        () = due.overdue() => log(Event::CallerStalled, "its answer is overdue"),
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    port: Port,
    due: AnswerDeadline,
) -> Response<StreamBody> {
    let path = request.uri().path();
    if path == shared.dialect.readiness_path() {
        return plain(readiness(&shared), Bytes::new());
    }
    match port {
        Port::Callers => ingress::answer(shared, request, due).await,
        Port::Readiness if path == "/metrics" => {
            plain(StatusCode::OK, shared.metrics.encode().into())
        }
        Port::Readiness => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn readiness(shared: &Shared) -> StatusCode {
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<StreamBody> {
    let mut response = Response::new(StreamBody::whole(body));
    *response.status_mut() = status;
    response
}

async fn clean(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CLEAN).await;
        let now = shared.now();
        shared.upstream.expire(now);
        let mut board = shared.board();
        board.cache.expire(now);
        board.ends.expire(now);
        expire_rests(&mut board, &shared);
        let ended = board.quarantine.expire(now);
        let held = board.quarantine.held(now).len();
        drop(board);
        for fingerprint in ended {
            let detail = format!("fingerprint={fingerprint:016x}");
            log(Event::QuarantineEnded, &detail);
        }
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        shared.metrics.quarantined.set(held);
    }
}
