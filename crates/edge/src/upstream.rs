//! Connections to endpoints, with a pool of idle ones.

use crate::bounded_io::{BoundedIo, ReadBudget};
use crate::call::AttemptId;
use crate::network::open;
use crate::shared::Shared;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sequoiaridge_core::EndpointId;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest silence of an endpoint to which connections do not open that may still go on.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(1500);
/// TCP user timeout, after which unacknowledged data ends a connection. An endpoint that pauses acknowledges nothing.
const UNACKED_TIMEOUT: Duration = MAX_PAUSE;
/// Time without data from an endpoint after which the router checks whether it is reachable. Streams send
/// an event about every 30 ms, and most answers of plain services arrive within this time.
pub(crate) const SILENCE: Duration = Duration::from_millis(500);
/// Time without a byte after which TCP probes a peer. The user timeout is shorter, so a single probe that is lost in a
/// pause ends the connection, whatever the number of probes: it is sent only once the pause must be over.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Time for which TCP waits for the answer to a probe.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Time for which an idle connection is kept if the endpoint announces no timeout, and at most.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Fraction of an endpoint's announced idle timeout that is used; the rest is a margin for clock differences
/// and network latency.
const IDLE_FRACTION: f64 = 0.6;
/// Longest idle time of a connection that is used for a request which must not be retried. An endpoint may
/// close a connection that was idle for longer while the request is in transit.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(700);
/// Largest read buffer of a connection in bytes, and so the longest head of an answer. The buffer grows to
/// it while an endpoint sends faster than its answer is passed on.
const MAX_READ_BUFFER: usize = 64 * 1024;
/// Time for which a request waits until a connection from the pool can carry it. An endpoint that answered
/// before it had read the whole request may read on for long; a new connection opens sooner.
const READY_TIME: Duration = Duration::from_millis(10);
/// Refused attempts up to which a connection is used again, because it remembers each of them.
const MAX_REFUSALS: usize = 64;

/// Why no head of an answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection opened; the request was not sent.
    Connect,
    /// The connection was closed before any byte of the request was written.
    Unsent,
    /// The connection broke after the request was sent.
    Broke,
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    endpoint: EndpointId,
    sender: SendRequest<Full<Bytes>>,
    budget: ReadBudget,
    /// Attempts that the endpoint refused on this connection.
    refused: Vec<AttemptId>,
    /// Whether the connection carried a request before.
    pub(crate) used: bool,
    /// Whether it does not pass through another router.
    pub(crate) direct: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The connection was closed; the error says whether the request was sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.budget.expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.budget.remove_limit();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broke,
        })
    }

    /// Records that the endpoint refused an attempt. Returns false if it did so on this connection
    /// before: then the refusal may be the earlier one once more, and promises nothing.
    pub(crate) fn record_refusal(&mut self, attempt: &str) -> bool {
        let is_first = self.refused.iter().all(|known| known != attempt);
        if is_first {
            self.refused.push(attempt.to_string());
        }
        is_first
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
    until: Duration,
}

/// Pool of idle connections by endpoint. The mutex is held only briefly.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<BTreeMap<EndpointId, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Returns a connection to an endpoint: the most recently used idle one, or a new one. `once` says that
    /// the request must not be retried.
    ///
    /// # Errors
    ///
    /// There is no idle connection and no new one opened.
    pub(crate) async fn acquire(
        &self,
        shared: &Arc<Shared>,
        endpoint: &EndpointId,
        address: SocketAddr,
        once: bool,
    ) -> Result<Connection, SendError> {
        let now = shared.now();
        while let Some(mut connection) = self.take(endpoint, once, now) {
            let ready = tokio::time::timeout(READY_TIME, connection.sender.ready());
            if matches!(ready.await, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        connect(shared, endpoint, address).await
    }

    /// Returns a connection to the pool after its answer was read completely. `idle` is the idle timeout
    /// that the endpoint announced.
    pub(crate) fn release(
        &self,
        mut connection: Connection,
        idle: Option<Duration>,
        now: Duration,
    ) {
        if connection.sender.is_closed() || connection.refused.len() >= MAX_REFUSALS {
            return;
        }
        connection.used = true;
        let until = now
            + idle.map_or(MAX_IDLE_TIME, |idle| {
                idle.mul_f64(IDLE_FRACTION).min(MAX_IDLE_TIME)
            });
        let mut table = self.table();
        let connections = table.entry(connection.endpoint.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(Idle {
            connection,
            since: now,
            until,
        });
    }

    /// Closes the idle connections of an endpoint.
    pub(crate) fn forget(&self, endpoint: &str) {
        self.table().remove(endpoint);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.table().clear();
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Duration) {
        let mut table = self.table();
        for connections in table.values_mut() {
            connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        table.retain(|_, connections| !connections.is_empty());
    }

    fn take(&self, endpoint: &str, once: bool, now: Duration) -> Option<Connection> {
        let mut table = self.table();
        let connections = table.get_mut(endpoint)?;
        while let Some(idle) = connections.pop() {
            if now >= idle.until || idle.connection.sender.is_closed() {
                continue;
            }
            if once && now >= idle.since + MAX_IDLE_ONCE {
                connections.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    fn table(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(
    shared: &Arc<Shared>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<Connection, SendError> {
    let link = open(shared, address).await.ok_or(SendError::Connect)?;
    let direct = link.is_direct();
    let (stream, budget) = BoundedIo::new(link);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::Connect)?;
    // An error of the connection is also returned to the request that it carries.
    tokio::spawn(connection);
    Ok(Connection {
        endpoint: endpoint.clone(),
        sender,
        budget,
        refused: Vec::new(),
        used: false,
        direct,
    })
}

/// Makes the kernel end a connection whose peer has vanished without closing it.
pub(crate) fn set_tcp_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
