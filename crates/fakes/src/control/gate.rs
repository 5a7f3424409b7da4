//! The relay through which every connection passes.

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

/// Size of a relayed piece in bytes.
const PIECE: usize = 16 * 1024;
/// Byte in an answer at which its connection is cut. Answers are JSON and event streams of JSON, in
/// which it cannot occur otherwise.
pub(crate) const CUT_MARK: u8 = 0;
/// Pause between attempts to listen again after a crash.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Whether the relay listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Yes,
    DownFor(Duration),
    Never,
}

struct Link {
    closed: watch::Sender<bool>,
    silent: AtomicBool,
    control: AtomicBool,
}

/// Relays connections to an HTTP server of the same process, and cuts or silences them on demand.
///
/// A connection is named by the address that the server sees as its peer.
pub(crate) struct Gate {
    address: SocketAddr,
    upstream: SocketAddr,
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
    silent: AtomicBool,
    listening: watch::Sender<Listening>,
}

impl Gate {
    /// Relays from `listener` to `upstream`.
    pub(crate) fn start(
        listener: std::net::TcpListener,
        upstream: SocketAddr,
    ) -> io::Result<Arc<Gate>> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (listening, state) = watch::channel(Listening::Yes);
        let gate = Arc::new(Gate {
            address,
            upstream,
            links: Mutex::default(),
            silent: AtomicBool::new(false),
            listening,
        });
        tokio::spawn(gate.clone().accept(listener, state));
        Ok(gate)
    }

    /// Address on which the relay listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts one connection.
    pub(crate) fn cut(&self, peer: SocketAddr) {
        if let Some(link) = self.links.lock().expect("links lock").get(&peer) {
            link.closed.send_replace(true);
        }
    }

    /// Stops sending on open connections, and with [`Scope::All`] also on new ones.
    pub(crate) fn silence(&self, scope: Scope) {
        for link in self.links.lock().expect("links lock").values() {
            link.silent.store(true, Ordering::SeqCst);
        }
        if scope == Scope::All {
            self.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Lets new connections work again.
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

    /// Waits until a connection has ended, at either side.
    pub(crate) async fn closed(&self, peer: SocketAddr) {
        let link = self.links.lock().expect("links lock").get(&peer).cloned();
        if let Some(link) = link {
            let _ = link.closed.subscribe().wait_for(|closed| *closed).await;
        }
    }

    fn cut_all(&self) {
        for link in self.links.lock().expect("links lock").values() {
            link.closed.send_replace(true);
        }
    }

    async fn accept(self: Arc<Gate>, listener: TcpListener, mut state: watch::Receiver<Listening>) {
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
                            tokio::spawn(self.clone().relay(client));
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
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            }
        }
    }

    async fn relay(self: Arc<Gate>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.upstream).await else {
            return;
        };
        let Ok(peer) = server.local_addr() else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (closed, mut ended) = watch::channel(false);
        let link = Arc::new(Link {
            closed,
            silent: AtomicBool::new(false),
            control: AtomicBool::new(false),
        });
        (self.links.lock().expect("links lock")).insert(peer, link.clone());
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            _ = ended.wait_for(|closed| *closed) => {}
            _ = self.requests(&link, from_client, to_server) => {}
            _ = self.answers(&link, from_server, to_client) => {}
        }
        link.closed.send_replace(true);
        self.links.lock().expect("links lock").remove(&peer);
    }

    async fn requests(
        &self,
        link: &Link,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut piece = vec![0; PIECE];
        let mut first = true;
        loop {
            let length = from.read(&mut piece).await?;
            if length == 0 {
                return Ok(());
            }
            if std::mem::take(&mut first) {
                let control = [&b"GET /control"[..], b"POST /control"];
                let exempt = control.iter().any(|start| piece.starts_with(start));
                link.control.store(exempt, Ordering::SeqCst);
            }
            to.write_all(&piece[..length]).await?;
        }
    }

    async fn answers(
        &self,
        link: &Link,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut piece = vec![0; PIECE];
        loop {
            let length = from.read(&mut piece).await?;
            if length == 0 {
                return Ok(());
            }
            // An answer that is made after the cut may be read before this task learns of the cut.
            if *link.closed.borrow() {
                return Ok(());
            }
            if self.silent.load(Ordering::SeqCst) {
                link.silent.store(true, Ordering::SeqCst);
            }
            // Bytes of a silent connection are read and dropped, so that the request still runs.
            let silent = link.silent.load(Ordering::SeqCst);
            let cut = piece[..length].iter().position(|byte| *byte == CUT_MARK);
            if !silent || link.control.load(Ordering::SeqCst) {
                to.write_all(&piece[..cut.unwrap_or(length)]).await?;
            }
            if cut.is_some() {
                return Ok(());
            }
        }
    }
}
