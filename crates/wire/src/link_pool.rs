//! A pool of idle connections to peers.

use crate::{Frame, FrameStream, LinkError, PeerKeys, StreamConfig};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Limits of the connection pool.
#[derive(Clone, Debug)]
pub struct LinkPoolConfig {
    /// Timeout for sending or receiving one frame, after which the connection counts as silent.
    /// Default: 3 s.
    pub silence: Duration,
    /// Time after which an idle connection is not reused. Default: 5 s. The accepting side must
    /// wait for a call for longer than this, or it closes connections that are about to be reused.
    pub idle_timeout: Duration,
    /// Timeout for opening a TCP connection. Default: 1 s.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections per peer. Default: 16.
    pub per_peer: usize,
    /// Maximum number of idle connections to all peers. Default: 512.
    pub total: usize,
    /// Limits of each connection.
    pub stream: StreamConfig,
}

impl Default for LinkPoolConfig {
    fn default() -> LinkPoolConfig {
        LinkPoolConfig {
            silence: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            per_peer: 16,
            total: 512,
            stream: StreamConfig::default(),
        }
    }
}

/// A connection that is checked out for one call. Dropping it closes the connection.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    silence: Duration,
    reused: bool,
    stream: FrameStream<TcpStream>,
}

impl Link {
    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection has carried a call before.
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Sends one frame within the silence limit. The limit is needed because a peer that no longer
    /// reads blocks the sender once the socket buffers are full.
    ///
    /// # Errors
    ///
    /// As [`FrameStream::send`], and [`LinkError::Silent`] past the limit.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let result = timeout(self.silence, self.stream.send(frame)).await;
        result.map_err(|_| LinkError::Silent(self.silence))?
    }

    /// Receives one frame within the silence limit.
    ///
    /// # Errors
    ///
    /// As [`FrameStream::recv_within`].
    pub async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        self.stream.recv_within(self.silence).await
    }

    /// Takes the stream out of the link; it can no longer be returned to the pool.
    pub fn into_stream(self) -> FrameStream<TcpStream> {
        self.stream
    }
}

/// An idle connection in the pool.
#[derive(Debug)]
struct Idle {
    link: Link,
    since: Instant,
}

/// A pool of idle authenticated connections to peers. Each connection carries one call at a time.
#[derive(Debug)]
pub struct LinkPool {
    keys: PeerKeys,
    config: LinkPoolConfig,
    /// In order of return, oldest first.
    idle: Mutex<VecDeque<Idle>>,
}

impl LinkPool {
    /// Creates an empty pool.
    pub fn new(keys: PeerKeys, config: LinkPoolConfig) -> LinkPool {
        LinkPool {
            keys,
            config,
            idle: Mutex::default(),
        }
    }

    /// Returns the most recently used idle connection to `addr`, or a new one.
    ///
    /// # Errors
    ///
    /// As [`LinkPool::connect`].
    pub async fn checkout(&self, addr: SocketAddr) -> Result<Link, LinkError> {
        while let Some(mut link) = self.take(addr) {
            if is_quiet(&mut link.stream).await {
                return Ok(link);
            }
        }
        self.connect(addr).await
    }

    /// Opens a new connection to `addr`.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened in time, or the handshake fails. The verdict of these
    /// errors is always "not run".
    pub async fn connect(&self, addr: SocketAddr) -> Result<Link, LinkError> {
        let failed = |cause: String| LinkError::Connect { addr, cause };
        let limit = self.config.connect_timeout;
        let io = match timeout(limit, TcpStream::connect(addr)).await {
            Ok(result) => result.map_err(|error| failed(error.to_string()))?,
            Err(_) => return Err(failed(format!("no answer within {limit:?}"))),
        };
        // Each token is a small frame that must be sent without delay.
        io.set_nodelay(true)
            .map_err(|error| failed(error.to_string()))?;
        Ok(Link {
            addr,
            silence: self.config.silence,
            reused: false,
            stream: FrameStream::connect(io, &self.keys, &self.config.stream).await?,
        })
    }

    /// Returns a connection to the pool after the last frame of its call was received. Any other
    /// connection must be dropped instead, or the next call would receive the rest of this one's
    /// response.
    pub fn checkin(&self, mut link: Link) {
        link.reused = true;
        let addr = link.addr;
        let mut idle = self.lock();
        let since = Instant::now();
        idle.push_back(Idle { link, since });
        let same = |entry: &Idle| entry.link.addr == addr;
        if idle.iter().filter(|entry| same(entry)).count() > self.config.per_peer
            && let Some(oldest) = idle.iter().position(same)
        {
            idle.remove(oldest);
        }
        while idle.len() > self.config.total {
            idle.pop_front();
        }
    }

    /// Closes the idle connections to `addr`. Used when one connection to it has gone silent.
    pub fn forget(&self, addr: SocketAddr) {
        self.lock().retain(|entry| entry.link.addr != addr);
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        let mut idle = self.lock();
        self.expire(&mut idle);
        idle.len()
    }

    fn take(&self, addr: SocketAddr) -> Option<Link> {
        let mut idle = self.lock();
        self.expire(&mut idle);
        let at = idle.iter().rposition(|entry| entry.link.addr == addr)?;
        idle.remove(at).map(|entry| entry.link)
    }

    fn expire(&self, idle: &mut VecDeque<Idle>) {
        while idle
            .front()
            .is_some_and(|entry| entry.since.elapsed() >= self.config.idle_timeout)
        {
            idle.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Idle>> {
        // The queue is valid after each operation, so a poisoned lock does no harm.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an idle connection is open and has nothing to receive. A frame that arrives between
/// calls belongs to no call, so such a connection is not reused.
async fn is_quiet(stream: &mut FrameStream<TcpStream>) -> bool {
    let mut recv = pin!(stream.recv());
    poll_fn(|context| Poll::Ready(recv.as_mut().poll(context).is_pending())).await
}
