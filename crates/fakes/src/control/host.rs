//! What engines and services have in common: orders, load reports, slots and faulty delivery.

use super::faults::{Faults, Plan};
use super::gate::{CUT_MARK, Gate};
use super::slots::{Slot, Slots};
use super::{Counters, Load, LoadState, Order, Stage};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use sequoiaridge_http::{BodyError, BodyStream, Handler, Limits, Reply, Request, Server};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Largest request body in bytes: long chats are several megabytes.
const MAX_BODY: usize = 32 * 1024 * 1024;
/// Priority of a request without the header `x-priority`; 9 is the lowest.
const DEFAULT_PRIORITY: u8 = 9;

/// What a stand-in reports about itself.
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

    /// A reply with a body that is produced while it is sent.
    pub(crate) fn stream(&self, body: BodyStream) -> Reply {
        self.dress(Reply::stream(self.status, body))
    }

    fn dress(&self, reply: Reply) -> Reply {
        let headers = self.headers.iter();
        headers.fold(reply, |reply, (name, value)| reply.with_header(name, value))
    }
}

/// Common part of a stand-in.
pub(crate) struct Host {
    identity: Identity,
    gate: OnceLock<Arc<Gate>>,
    server: Mutex<Option<Server>>,
    faults: Mutex<Faults>,
    boot: Mutex<String>,
    last_id: Mutex<String>,
    slots: Arc<Slots>,
    runs: AtomicU64,
    refused: AtomicU64,
}

impl Host {
    pub(crate) fn new(identity: Identity) -> Host {
        Host {
            slots: Slots::new(identity.capacity, identity.queue, identity.load_lag),
            identity,
            gate: OnceLock::new(),
            server: Mutex::default(),
            faults: Mutex::default(),
            boot: Mutex::new(new_boot()),
            last_id: Mutex::default(),
            runs: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Serves `handler` behind a relay on `address`.
    pub(crate) fn serve(&self, address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let limits = Limits {
            max_body: MAX_BODY,
            threads: 1,
            ..Limits::default()
        };
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::start(inner, limits, handler, refuse_broken)?;
        let gate = Gate::start(listener, server.address())?;
        let _ = self.gate.set(gate);
        *self.server.lock().expect("server lock") = Some(server);
        Ok(())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.gate().address()
    }

    /// Cuts all connections and stops listening. The server's threads end in the background.
    pub(crate) fn stop(&self) {
        self.gate().stop();
        if let Some(server) = self.server.lock().expect("server lock").take() {
            std::thread::spawn(move || server.stop());
        }
    }

    /// Answers `/load`, and orders at `/control`; `None` for every other request.
    pub(crate) fn answer_load(&self, request: &Request) -> Option<Reply> {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/load") => Some(json(StatusCode::OK, &self.load())),
            (&Method::POST, "/control") => Some(self.take_order(&request.body)),
            _ => None,
        }
    }

    /// Counters without those of the engine's cache and the service's journal.
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
    /// The reply to a request that does not run.
    pub(crate) async fn admit(&self, request: &Request) -> Result<Slot, Reply> {
        if self.faults().refuses() {
            return Err(self.refuse("refused by order"));
        }
        let priority = request.header("x-priority");
        let priority = priority.and_then(|value| value.parse().ok());
        tokio::select! {
            slot = self.slots.acquire(priority.unwrap_or(DEFAULT_PRIORITY)) => {
                slot.ok_or_else(|| self.refuse("all slots and the queue are taken"))
            }
            () = self.gone(request) => Err(self.refuse("the client has gone")),
        }
    }

    /// Counts a run and returns its failures. The request crashes the stand-in here if an order
    /// says so; then the returned error is never sent.
    pub(crate) async fn start_run(&self, request: &Request) -> Result<Plan, Reply> {
        self.runs.fetch_add(1, Ordering::SeqCst);
        let crash = self.faults().crash.clone();
        if let Some(crash) = crash {
            let text = crash.text.as_bytes();
            if request.body.windows(text.len()).any(|part| part == text) {
                tokio::time::sleep(crash.after).await;
                if self.identity.abort {
                    std::process::abort();
                }
                *self.boot.lock().expect("boot lock") = new_boot();
                self.slots.reset();
                self.gate().crash(crash.restart);
                return Err(Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "crashed"));
            }
        }
        Ok(self.plan())
    }

    /// Failures of the next answer.
    pub(crate) fn plan(&self) -> Plan {
        self.faults().plan()
    }

    /// Head of the answer to `request`, with the ids that identify request and instance.
    pub(crate) fn head(&self, request: &Request, plan: &Plan, content: &'static str) -> Head {
        let own = request.header("x-request-id").unwrap_or_default();
        let before = self.swap_id(own);
        let id = if plan.crossed {
            before
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

    /// Sends a whole body with the failures of `plan`. A cut answer is sent in chunked encoding, so
    /// that the missing end can be noticed.
    pub(crate) async fn deliver(
        &self,
        request: &Request,
        plan: &Plan,
        head: Head,
        body: Vec<u8>,
    ) -> Reply {
        tokio::time::sleep(plan.late).await;
        let body = if plan.duplicate { body.repeat(2) } else { body };
        let length = match plan.cut {
            None => return head.dress(Reply::new(head.status, body)),
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
            sender.send(cut_mark()).await;
        });
        head.stream(stream)
    }

    /// Cuts the connection of `request`.
    pub(crate) fn cut(&self, request: &Request) {
        self.gate().cut(request.peer);
    }

    /// Waits until the client of `request` has gone.
    pub(crate) async fn gone(&self, request: &Request) {
        self.gate().closed(request.peer).await;
    }

    /// Adds the ids that identify request and instance to a reply that is not a full answer.
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

    fn take_order(&self, body: &[u8]) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return Reply::new(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match &order {
            Order::Silent { scope } => self.gate().silence(*scope),
            Order::Heal => self.gate().heal(),
            _ => {}
        }
        self.faults().take(&order);
        Reply::new(StatusCode::NO_CONTENT, "")
    }

    fn load(&self) -> Load {
        let counts = self.slots.lagging();
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

    fn swap_id(&self, id: &str) -> String {
        let mut last = self.last_id.lock().expect("id lock");
        let before = std::mem::replace(&mut *last, id.to_string());
        if before.is_empty() || before == id {
            format!("not-{id}")
        } else {
            before
        }
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("faults lock")
    }

    fn gate(&self) -> &Gate {
        self.gate.get().expect("the stand-in has been started")
    }
}

/// Piece of a body at which the relay cuts the connection, after everything before it was sent.
pub(crate) fn cut_mark() -> Bytes {
    Bytes::from_static(&[CUT_MARK])
}

/// A JSON reply.
pub(crate) fn json(status: StatusCode, body: &impl serde::Serialize) -> Reply {
    Reply::json(status, serde_json::to_vec(body).expect("plain data"))
}

fn refuse_broken(error: BodyError) -> Reply {
    Reply::new(StatusCode::BAD_REQUEST, error.to_string())
}

fn new_boot() -> String {
    format!("{:016x}", rand::random::<u64>())
}
