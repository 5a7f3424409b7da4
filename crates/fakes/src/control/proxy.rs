//! The proxy through which every connection to a fake passes, and which cuts or silences it.

use super::Scope;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// Byte in an answer at which its connection is cut. It cannot occur otherwise, because all answers
/// are JSON or event streams of JSON.
pub(crate) const CUT_MARKER: u8 = 0;
/// Delay between attempts to listen again after a crash.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// Whether the proxy accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Yes,
    DownFor(Duration),
    Never,
}

struct Connection {
    closed: watch::Sender<bool>,
    silent: AtomicBool,
    /// Whether it serves `/control`, which is exempt from silence.
    control: AtomicBool,
}

/// Forwards connections to an HTTP server of the same process, and cuts or silences them on demand.
///
/// A connection is identified by the address that the server sees as its peer.
pub(crate) struct Proxy {
    address: SocketAddr,
    upstream: SocketAddr,
    connections: Mutex<BTreeMap<SocketAddr, Arc<Connection>>>,
    silent: AtomicBool,
    listening: watch::Sender<Listening>,
}

impl Proxy {
    /// Forwards connections from `listener` to `upstream`.
    pub(crate) fn start(
        listener: std::net::TcpListener,
        upstream: SocketAddr,
    ) -> io::Result<Arc<Proxy>> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (listening, state) = watch::channel(Listening::Yes);
        let proxy = Arc::new(Proxy {
            address,
            upstream,
            connections: Mutex::default(),
            silent: AtomicBool::new(false),
            listening,
        });
        tokio::spawn(proxy.clone().accept(listener, state));
        Ok(proxy)
    }

    /// Address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts one connection.
    pub(crate) fn cut(&self, peer: SocketAddr) {
        if let Some(connection) = self
            .connections
            .lock()
            .expect("connections lock")
            .get(&peer)
        {
            connection.closed.send_replace(true);
        }
    }

    /// Stops sending on open connections, and with [`Scope::All`] also on new ones.
    pub(crate) fn silence(&self, scope: Scope) {
        for connection in self.connections.lock().expect("connections lock").values() {
            connection.silent.store(true, Ordering::SeqCst);
        }
        if scope == Scope::All {
            self.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Stops silencing new connections; connections that are silent stay so.
    pub(crate) fn heal(&self) {
        self.silent.store(false, Ordering::SeqCst);
    }

    /// Cuts every connection and listens again after `restart`.
    pub(crate) fn crash(&self, restart: Duration) {
        self.listening.send_replace(Listening::DownFor(restart));
        self.cut_all();
    }

    /// Cuts every connection and stops listening.
    pub(crate) fn stop(&self) {
        self.listening.send_replace(Listening::Never);
        self.cut_all();
    }

    /// Waits until a connection is closed, by either side or by the proxy.
    pub(crate) async fn closed(&self, peer: SocketAddr) {
        let connection = self
            .connections
            .lock()
            .expect("connections lock")
            .get(&peer)
            .cloned();
        if let Some(connection) = connection {
            let _ = connection
                .closed
                .subscribe()
                .wait_for(|closed| *closed)
                .await;
        }
    }

    fn cut_all(&self) {
        for connection in self.connections.lock().expect("connections lock").values() {
            connection.closed.send_replace(true);
        }
    }

    async fn accept(
        self: Arc<Proxy>,
        listener: TcpListener,
        mut state: watch::Receiver<Listening>,
    ) {
        let mut listener = Some(listener);
        loop {
            let next = *state.borrow_and_update();
            match next {
                Listening::Never => return,
                Listening::DownFor(restart) => {
                    drop(listener.take());
                    tokio::time::sleep(restart).await;
                    listener = Some(self.listen().await);
                    self.listening.send_if_modified(|state| {
                        let unchanged = *state == next;
                        if unchanged {
                            *state = Listening::Yes;
                        }
                        unchanged
                    });
                }
                Listening::Yes => {
                    let Some(listener) = &listener else { return };
                    tokio::select! {
                        _ = state.changed() => {}
                        Ok((client, _)) = listener.accept() => {
                            tokio::spawn(self.clone().forward(client));
                        }
                    }
                }
            }
        }
    }

    async fn listen(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => tokio::time::sleep(REBIND_DELAY).await,
            }
        }
    }

    async fn forward(self: Arc<Proxy>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.upstream).await else {
            return;
        };
        let Ok(peer) = server.local_addr() else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (closed, mut closed_state) = watch::channel(false);
        let connection = Arc::new(Connection {
            closed,
            silent: AtomicBool::new(false),
            control: AtomicBool::new(false),
        });
        (self.connections.lock().expect("connections lock")).insert(peer, connection.clone());
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            _ = closed_state.wait_for(|closed| *closed) => {}
            _ = self.forward_requests(&connection, from_client, to_server) => {}
            _ = self.forward_answers(&connection, from_server, to_client) => {}
        }
        connection.closed.send_replace(true);
        self.connections
            .lock()
            .expect("connections lock")
            .remove(&peer);
    }

    async fn forward_requests(
        &self,
        connection: &Connection,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut first = true;
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            if std::mem::take(&mut first) {
                let control = [&b"GET /control"[..], b"POST /control"];
                let exempt = control.iter().any(|start| buffer.starts_with(start));
                connection.control.store(exempt, Ordering::SeqCst);
            }
            to.write_all(&buffer[..length]).await?;
        }
    }

    async fn forward_answers(
        &self,
        connection: &Connection,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            // The server may still write an answer after the cut, before this task is cancelled.
            if *connection.closed.borrow() {
                return Ok(());
            }
            if self.silent.load(Ordering::SeqCst) {
                connection.silent.store(true, Ordering::SeqCst);
            }
            // Answers on a silent connection are read and dropped, so that the server does not
            // block and the request still runs.
            let silent = connection.silent.load(Ordering::SeqCst);
            let cut = buffer[..length].iter().position(|byte| *byte == CUT_MARKER);
            if !silent || connection.control.load(Ordering::SeqCst) {
                to.write_all(&buffer[..cut.unwrap_or(length)]).await?;
            }
            if cut.is_some() {
                return Ok(());
            }
        }
    }
}
