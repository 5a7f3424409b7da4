//! Connections to endpoints.

use crate::bounded_io::{BoundedIo, ReadBudget};
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
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// Times in which a connection must open, one for each try. Links take some ms, and a lost opening
/// packet is sent again only after a second; a second connection opens sooner.
const CONNECT: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(250)];
/// Time after which unacknowledged bytes end a connection: two retransmissions at the usual timeouts
/// of TCP.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);
/// Time without a byte from an endpoint after which it is asked whether it is reachable. Events come
/// every 30 ms or so, and most answers of plain services within this time.
pub(crate) const SILENCE: Duration = Duration::from_millis(500);
/// Pause after which an idle peer is probed, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Idle connections kept for one endpoint.
const IDLE_PER_ENDPOINT: usize = 16;
/// Time for which an idle connection is kept if the endpoint does not say.
const IDLE: Duration = Duration::from_secs(4);
/// Part of an endpoint's own idle time that is used; the rest covers clocks and links.
const IDLE_PART: f64 = 0.6;
/// Idle time up to which a connection carries a request that must not be repeated: an endpoint may
/// close an idle connection while the request is on its way.
const FRESH: Duration = Duration::from_millis(700);

/// Why an endpoint gave no head of an answer.
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
pub(crate) struct Link {
    endpoint: EndpointId,
    sender: SendRequest<Full<Bytes>>,
    budget: ReadBudget,
    /// Whether the connection carried a request before.
    pub(crate) used: bool,
}

impl Link {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.budget.expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.budget.lift();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broke,
        })
    }
}

struct Idle {
    link: Link,
    since: Duration,
    until: Duration,
}

/// Idle connections by endpoint. The mutex is held for a few instructions.
#[derive(Default)]
pub(crate) struct Upstream {
    idle: Mutex<BTreeMap<EndpointId, Vec<Idle>>>,
}

impl Upstream {
    /// A connection to an endpoint: the idle one that was used last, or a new one. `once` says that
    /// the request must not be repeated.
    pub(crate) async fn link(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        once: bool,
        now: Duration,
    ) -> Result<Link, SendError> {
        while let Some(mut link) = self.take(endpoint, once, now) {
            if link.sender.ready().await.is_ok() {
                return Ok(link);
            }
        }
        connect(endpoint, address).await
    }

    /// Keeps a connection whose answer is whole.
    pub(crate) fn park(&self, mut link: Link, idle: Option<Duration>, now: Duration) {
        if link.sender.is_closed() {
            return;
        }
        link.used = true;
        let until = now + idle.map_or(IDLE, |idle| idle.mul_f64(IDLE_PART).min(IDLE));
        let mut table = self.table();
        let links = table.entry(link.endpoint.clone()).or_default();
        if links.len() >= IDLE_PER_ENDPOINT {
            links.remove(0);
        }
        links.push(Idle {
            link,
            since: now,
            until,
        });
    }

    /// Closes the idle connections of an endpoint.
    pub(crate) fn forget(&self, endpoint: &str) {
        self.table().remove(endpoint);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: Duration) {
        let mut table = self.table();
        for links in table.values_mut() {
            links.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
        }
        table.retain(|_, links| !links.is_empty());
    }

    fn take(&self, endpoint: &str, once: bool, now: Duration) -> Option<Link> {
        let mut table = self.table();
        let links = table.get_mut(endpoint)?;
        while let Some(idle) = links.pop() {
            if now >= idle.until || idle.link.sender.is_closed() {
                continue;
            }
            if once && now >= idle.since + FRESH {
                links.push(idle);
                return None;
            }
            return Some(idle.link);
        }
        None
    }

    fn table(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an endpoint accepts connections. An endpoint that is silent and cannot be reached is gone,
/// while one that can be reached only takes its time.
pub(crate) async fn is_reachable(address: SocketAddr) -> bool {
    open(address).await.is_some()
}

/// Opens a connection, trying again after a time without an answer but not after a refusal.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    for time in CONNECT {
        if let Ok(opened) = tokio::time::timeout(time, TcpStream::connect(address)).await {
            return opened.ok();
        }
    }
    None
}

async fn connect(endpoint: &EndpointId, address: SocketAddr) -> Result<Link, SendError> {
    let stream = open(address).await.ok_or(SendError::Connect)?;
    bound_silence(&stream).map_err(|_| SendError::Connect)?;
    let (stream, budget) = BoundedIo::new(stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::Connect)?;
    // The error of a connection reaches the request that it carries.
    tokio::spawn(connection);
    Ok(Link {
        endpoint: endpoint.clone(),
        sender,
        budget,
        used: false,
    })
}

/// Makes the kernel end a connection whose peer is gone without a word.
fn bound_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
