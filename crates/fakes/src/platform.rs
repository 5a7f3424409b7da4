//! A fake platform: table service, object store and membership list on one HTTP server.
//!
//! The table implements the subset of DynamoDB's JSON protocol that section 5 of `docs/design.md`
//! names, the object store S3's `GET` and `PUT`, and the list Prometheus's HTTP service discovery
//! format. `POST /control` takes a [`PlatformCommand`]; `GET /control` returns [`Counters`].
//! Injected faults affect neither.
//!
//! A cut answer breaks off after its head, because the HTTP server cannot close a connection before
//! the head. A client that reads whole answers cannot tell the difference.

mod command;
mod list;
mod rows;

pub use command::PlatformCommand;
pub use list::list_entry;

use bytes::Bytes;
use command::{Faults, Mode, RateLimit, WriteOutcome};
use list::ListHistory;
use rows::{Rows, TableError};
use sequoiaridge_core::hash64;
use sequoiaridge_http::{BodyStream, Handler, Limits, Reply, Request, Server};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xitca_web::http::{Method, StatusCode};

/// Largest request body in bytes: room for a transaction of 25 answers of 64 KiB, encoded.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Initial state of a [`Platform`].
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    /// Entries of the membership list; see [`list_entry`].
    pub members: Vec<Value>,
    /// Limit of table writes per second, if any; a transaction counts as one.
    pub writes: Option<u32>,
    /// Limit of table reads per second, if any.
    pub reads: Option<u32>,
}

/// What the platform has served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Table reads answered: `GetItem` and `Query`.
    pub reads: u64,
    /// Rows written or deleted by transactions that took effect.
    pub writes: u64,
    /// Transactions that were evaluated, including those that were cancelled.
    pub transactions: u64,
    /// Table operations refused by the limits.
    pub throttled: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Objects written.
    pub object_writes: u64,
}

/// A running fake platform.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Serves an empty table and an empty object store on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr, config: PlatformConfig) -> io::Result<Platform> {
        let shared = Arc::new(Shared::new(config));
        let limits = Limits {
            max_body: MAX_BODY_BYTES,
            ..Limits::default()
        };
        let refuse = |_| Reply::new(StatusCode::BAD_REQUEST, "the request exceeds a limit");
        let server = Server::start(address, limits, shared.clone(), refuse)?;
        Ok(Platform { server, shared })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Carries out a command, as `POST /control` does.
    pub fn apply(&self, command: PlatformCommand) {
        self.shared.apply(command);
    }

    /// Returns the counts of what the platform has served so far.
    pub fn counters(&self) -> Counters {
        self.shared.data().counters
    }
}

struct Data {
    rows: Rows,
    objects: BTreeMap<String, Bytes>,
    list: ListHistory,
    faults: Faults,
    writes: RateLimit,
    reads: RateLimit,
    counters: Counters,
}

struct Shared {
    data: Mutex<Data>,
}

impl Shared {
    fn new(config: PlatformConfig) -> Shared {
        Shared {
            data: Mutex::new(Data {
                rows: Rows::default(),
                objects: BTreeMap::new(),
                list: ListHistory::new(config.members),
                faults: Faults::none(),
                writes: RateLimit::new(config.writes),
                reads: RateLimit::new(config.reads),
                counters: Counters::default(),
            }),
        }
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("platform lock")
    }

    fn apply(&self, command: PlatformCommand) {
        let mut data = self.data();
        data.faults.apply(&command);
        match command {
            PlatformCommand::Members { members } => data.list.set(members),
            PlatformCommand::ListLag { ms } => data.list.set_lag(Duration::from_millis(ms)),
            PlatformCommand::Limits { writes, reads } => {
                data.writes = RateLimit::new(writes);
                data.reads = RateLimit::new(reads);
            }
            _ => {}
        }
    }

    fn control(&self, request: &Request) -> Reply {
        if request.method == Method::GET {
            let counters = serde_json::to_vec(&self.data().counters).expect("counters are JSON");
            return Reply::json(StatusCode::OK, counters);
        }
        match serde_json::from_slice(&request.body) {
            Ok(command) => {
                self.apply(command);
                Reply::json(StatusCode::OK, "{}")
            }
            Err(error) => Reply::new(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn serve(self: Arc<Self>, request: Request) -> Reply {
        if request.path == "/control" {
            return self.control(&request);
        }
        let mode = self.data().faults.mode;
        match mode {
            Mode::Normal => {}
            Mode::Outage => return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Mode::Silent => std::future::pending().await,
            Mode::Slow(wait) => tokio::time::sleep(wait).await,
        }
        let target = request.header("x-amz-target").unwrap_or_default();
        let operation = target.rsplit('.').next().unwrap_or_default().to_string();
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/") if operation == "TransactWriteItems" => self.write(request).await,
            (&Method::POST, "/") => self.data().read(&operation, &request.body),
            (&Method::GET, "/v1/members") => {
                let list = json!(self.data().list.served()).to_string();
                let tag = format!("\"{:016x}\"", hash64(list.as_bytes()));
                if request.header("if-none-match") == Some(&tag) {
                    return Reply::new(StatusCode::NOT_MODIFIED, "");
                }
                Reply::json(StatusCode::OK, list).with_header("etag", &tag)
            }
            (&Method::GET, path) => self.data().get_object(path),
            (&Method::PUT, _) => self.write(request).await,
            _ => Reply::new(StatusCode::NOT_FOUND, "no such operation"),
        }
    }

    async fn write(self: Arc<Self>, request: Request) -> Reply {
        let outcome = self.data().faults.next_write();
        match outcome {
            WriteOutcome::Normal => self.data().write(&request),
            WriteOutcome::Drop => truncated(),
            WriteOutcome::LoseAnswer => {
                self.data().write(&request);
                truncated()
            }
            WriteOutcome::Delay(delay) => {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    self.data().write(&request);
                });
                truncated()
            }
        }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.serve(request))
    }
}

impl Data {
    fn read(&mut self, operation: &str, body: &[u8]) -> Reply {
        if !self.reads.take() {
            return self.throttled();
        }
        self.counters.reads += 1;
        let answer = match operation {
            "GetItem" => self.rows.get(body),
            "Query" => self.rows.query(body),
            _ => Err(TableError::new("UnknownOperationException")),
        };
        match answer {
            Ok(answer) => Reply::json(StatusCode::OK, answer.to_string()),
            Err(error) => Reply::json(StatusCode::BAD_REQUEST, error.body()),
        }
    }

    fn write(&mut self, request: &Request) -> Reply {
        if request.method == Method::PUT {
            self.counters.object_writes += 1;
            self.objects
                .insert(request.path.clone(), request.body.clone());
            return Reply::new(StatusCode::OK, "");
        }
        if !self.writes.take() {
            return self.throttled();
        }
        self.counters.transactions += 1;
        match self.rows.transact(&request.body) {
            Ok(rows) => {
                self.counters.writes += rows as u64;
                Reply::json(StatusCode::OK, "{}")
            }
            Err(error) => Reply::json(StatusCode::BAD_REQUEST, error.body()),
        }
    }

    fn get_object(&mut self, path: &str) -> Reply {
        self.counters.object_reads += 1;
        match self.objects.get(path) {
            Some(object) => Reply::new(StatusCode::OK, object.clone()),
            None => Reply::new(StatusCode::NOT_FOUND, "NoSuchKey"),
        }
    }

    fn throttled(&mut self) -> Reply {
        self.counters.throttled += 1;
        let error = TableError::new("ProvisionedThroughputExceededException");
        Reply::json(StatusCode::BAD_REQUEST, error.body())
    }
}

/// Returns a reply whose body breaks off, which closes the connection.
fn truncated() -> Reply {
    let (sender, body) = BodyStream::new(1);
    tokio::spawn(async move { sender.fail("cut by an injected fault").await });
    Reply::stream(StatusCode::OK, body)
}
