//! The server that fake engines and services share: fault commands, load reports, slots, and
//! answers with injected faults.

use super::faults::{Faults, RequestFaults};
use super::proxy::{CUT_MARKER, Proxy};
use super::slots::{Slot, Slots};
use super::{Counters, FaultCommand, Load, LoadState, Stage};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use sequoiaridge_http::{BodyError, BodyStream, Handler, Limits, Reply, Request, Server};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Largest request body in bytes; long chats take several megabytes.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Priority of a request without the header `x-priority`; 9 is the lowest.
const DEFAULT_PRIORITY: u8 = 9;

/// Name and limits of a fake.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) id: String,
    pub(crate) id_header: &'static str,
    pub(crate) models: Vec<String>,
    pub(crate) capacity: usize,
    pub(crate) queue: usize,
    pub(crate) load_lag: Duration,
    pub(crate) abort: bool,
}

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
}

impl Head {
    /// Adds a header.
    pub(crate) fn with(mut self, name: &'static str, value: impl Into<String>) -> Head {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns a reply whose body is produced while it is sent.
    pub(crate) fn stream(&self, body: BodyStream) -> Reply {
        self.apply(Reply::stream(self.status, body))
    }

    fn apply(&self, reply: Reply) -> Reply {
        let headers = self.headers.iter();
        headers.fold(reply, |reply, (name, value)| reply.with_header(name, value))
    }
}

/// HTTP server of a fake behind a [`Proxy`], with the fake's slots and faults.
pub(crate) struct FakeServer {
    identity: Identity,
    proxy: OnceLock<Arc<Proxy>>,
    server: Mutex<Option<Server>>,
    faults: Mutex<Faults>,
    boot: Mutex<String>,
    last_id: Mutex<String>,
    slots: Arc<Slots>,
    runs: AtomicU64,
    refused: AtomicU64,
}

impl FakeServer {
    pub(crate) fn new(identity: Identity) -> FakeServer {
        FakeServer {
            slots: Slots::new(identity.capacity, identity.queue, identity.load_lag),
            identity,
            proxy: OnceLock::new(),
            server: Mutex::default(),
            faults: Mutex::default(),
            boot: Mutex::new(new_boot_id()),
            last_id: Mutex::default(),
            runs: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Serves `handler` behind a proxy on `address`.
    pub(crate) fn serve(&self, address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let limits = Limits {
            max_body: MAX_BODY_BYTES,
            threads: 1,
            ..Limits::default()
        };
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::start(inner, limits, handler, reply_to_body_error)?;
        let proxy = Proxy::start(listener, server.address())?;
        let _ = self.proxy.set(proxy);
        *self.server.lock().expect("server lock") = Some(server);
        Ok(())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.proxy().address()
    }

    /// Cuts all connections and stops listening. The server's threads stop in the background.
    pub(crate) fn stop(&self) {
        self.proxy().stop();
        if let Some(server) = self.server.lock().expect("server lock").take() {
            std::thread::spawn(move || server.stop());
        }
    }

    /// Answers `GET /load` and `POST /control`; returns `None` for every other request.
    pub(crate) fn answer_common(&self, request: &Request) -> Option<Reply> {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/load") => Some(json(StatusCode::OK, &self.load())),
            (&Method::POST, "/control") => Some(self.accept_command(&request.body)),
            _ => None,
        }
    }

    /// Returns the counters that all fakes share, without those of an engine and the journal of a
    /// service.
    pub(crate) fn counters(&self) -> Counters {
        let now = self.slots.current();
        Counters {
            id: self.identity.id.clone(),
            boot: self.boot(),
            runs: self.runs.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            running: now.running,
            waiting: now.waiting,
            highest: self.slots.highest(),
            ..Counters::default()
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The reply to a request that is refused as not run.
    pub(crate) async fn admit(&self, request: &Request) -> Result<Slot, Reply> {
        if self.faults().take_refusal() {
            return Err(self.refuse("refused by a fault command"));
        }
        let priority = request.header("x-priority");
        let priority = priority.and_then(|value| value.parse().ok());
        tokio::select! {
            slot = self.slots.acquire(priority.unwrap_or(DEFAULT_PRIORITY)) => {
                slot.ok_or_else(|| self.refuse("all slots are in use and the queue is full"))
            }
            () = self.disconnected(request) => Err(self.refuse("the client closed the connection")),
        }
    }

    /// Counts a run and returns its faults. If [`FaultCommand::CrashOn`] matches the request, the
    /// fake crashes here; the connection is cut then, so the returned error never reaches the
    /// client.
    pub(crate) async fn start_run(&self, request: &Request) -> Result<RequestFaults, Reply> {
        self.runs.fetch_add(1, Ordering::SeqCst);
        let crash = self.faults().crash.clone();
        if let Some(crash) = crash {
            let text = crash.text.as_bytes();
            if request.body.windows(text.len()).any(|part| part == text) {
                tokio::time::sleep(crash.after).await;
                if self.identity.abort {
                    std::process::abort();
                }
                *self.boot.lock().expect("boot lock") = new_boot_id();
                self.slots.reset();
                self.proxy().crash(crash.restart);
                return Err(Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "crashed"));
            }
        }
        Ok(self.request_faults())
    }

    /// Returns the faults of the next answer.
    pub(crate) fn request_faults(&self) -> RequestFaults {
        self.faults().take_request()
    }

    /// Returns the head of the answer to `request`, with the ids of request and instance.
    pub(crate) fn head(
        &self,
        request: &Request,
        faults: &RequestFaults,
        content: &'static str,
    ) -> Head {
        let own = request.header("x-request-id").unwrap_or_default();
        let previous = self.swap_last_id(own);
        let id = if faults.crossed {
            previous
        } else {
            own.to_string()
        };
        let head = Head {
            status: StatusCode::OK,
            headers: Vec::new(),
        };
        let head = if id.is_empty() {
            head
        } else {
            head.with("x-request-id", id)
        };
        head.with("content-type", content)
            .with(self.identity.id_header, &self.identity.id)
            .with("x-boot-id", self.boot())
    }

    /// Returns the answer with a whole body, subject to `faults`. An answer that is cut uses
    /// chunked encoding, so that the client can detect the missing end.
    pub(crate) async fn send_body(
        &self,
        request: &Request,
        faults: &RequestFaults,
        head: Head,
        body: Vec<u8>,
    ) -> Reply {
        tokio::time::sleep(faults.late).await;
        let body = if faults.duplicate {
            body.repeat(2)
        } else {
            body
        };
        let length = match faults.cut {
            None => return head.apply(Reply::new(head.status, body)),
            Some(Stage::BeforeHead) => {
                self.cut(request);
                return Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "cut");
            }
            Some(Stage::AfterHead) => 0,
            Some(Stage::MidBody) => body.len() / 2,
            Some(Stage::BeforeEnd) => body.len(),
        };
        let (sender, stream) = BodyStream::new(1);
        let part = Bytes::from(body).slice(..length);
        tokio::spawn(async move {
            if !part.is_empty() {
                sender.send(part).await;
            }
            sender.send(cut_marker()).await;
        });
        head.stream(stream)
    }

    /// Cuts the connection of `request`.
    pub(crate) fn cut(&self, request: &Request) {
        self.proxy().cut(request.peer);
    }

    /// Waits until the connection of `request` is closed.
    pub(crate) async fn disconnected(&self, request: &Request) {
        self.proxy().closed(request.peer).await;
    }

    /// Adds the ids of request and instance to a reply that has no [`Head`].
    pub(crate) fn identify(&self, request_id: Option<&str>, reply: Reply) -> Reply {
        let reply = match request_id {
            Some(id) => reply.with_header("x-request-id", id),
            None => reply,
        };
        reply
            .with_header(self.identity.id_header, &self.identity.id)
            .with_header("x-boot-id", &self.boot())
    }

    /// Refuses a request as not run.
    pub(crate) fn refuse(&self, reason: &str) -> Reply {
        self.refused.fetch_add(1, Ordering::SeqCst);
        let body = serde_json::json!({ "error": { "message": reason } });
        json(StatusCode::SERVICE_UNAVAILABLE, &body).with_header("x-not-run", "1")
    }

    pub(crate) fn boot(&self) -> String {
        self.boot.lock().expect("boot lock").clone()
    }

    fn accept_command(&self, body: &[u8]) -> Reply {
        let command: FaultCommand = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(error) => return Reply::new(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match &command {
            FaultCommand::Silent { scope } => self.proxy().silence(*scope),
            FaultCommand::Heal => self.proxy().heal(),
            _ => {}
        }
        self.faults().apply(&command);
        Reply::new(StatusCode::NO_CONTENT, "")
    }

    fn load(&self) -> Load {
        let counts = self.slots.delayed();
        let state = if self.faults().leaving {
            LoadState::Leaving
        } else {
            LoadState::Up
        };
        Load {
            id: self.identity.id.clone(),
            boot: self.boot(),
            state,
            running: counts.running,
            waiting: counts.waiting,
            capacity: self.identity.capacity,
            models: self.identity.models.clone(),
        }
    }

    /// Remembers `id` and returns the request id before it, or another id if there was none or it
    /// is the same.
    fn swap_last_id(&self, id: &str) -> String {
        let mut last = self.last_id.lock().expect("id lock");
        let previous = std::mem::replace(&mut *last, id.to_string());
        if previous.is_empty() || previous == id {
            format!("not-{id}")
        } else {
            previous
        }
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("faults lock")
    }

    fn proxy(&self) -> &Proxy {
        self.proxy.get().expect("the fake has been started")
    }
}

/// Part of a body at which the proxy cuts the connection, after it has forwarded everything before.
pub(crate) fn cut_marker() -> Bytes {
    Bytes::from_static(&[CUT_MARKER])
}

/// Returns a JSON reply.
pub(crate) fn json(status: StatusCode, body: &impl serde::Serialize) -> Reply {
    Reply::json(status, serde_json::to_vec(body).expect("plain data"))
}

fn reply_to_body_error(error: BodyError) -> Reply {
    Reply::new(StatusCode::BAD_REQUEST, error.to_string())
}

fn new_boot_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
