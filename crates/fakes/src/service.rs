//! A fake JSON service.

mod journal;

use crate::control::{Control, FakeServer, Identity, json};
use hyper::{Method, StatusCode};
use journal::Journal;
use sequoiaridge_core::hash_parts;
use sequoiaridge_http::{Handler, Reply, Request};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Settings of a [`Service`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the instance.
    pub id: String,
    /// Name of the service.
    pub name: String,
    /// Calls that run at the same time.
    pub capacity: usize,
    /// Calls that may wait for a slot; any further call is refused as not run.
    pub queue: usize,
    /// Time that a call takes; files give it in seconds.
    #[serde(with = "crate::control::seconds")]
    pub delay: Duration,
    /// Age of the counts in load reports; files give it in seconds.
    #[serde(with = "crate::control::seconds")]
    pub load_lag: Duration,
    /// Whether a crash aborts the process; only for a service in a process of its own.
    pub abort: bool,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            id: "service-1".to_string(),
            name: "service".to_string(),
            capacity: 8,
            queue: 8,
            delay: Duration::from_millis(1),
            load_lag: Duration::ZERO,
            abort: false,
        }
    }
}

/// A running fake service. Dropping it stops it.
pub struct Service {
    inner: Arc<Inner>,
}

struct Inner {
    config: ServiceConfig,
    server: Arc<FakeServer>,
    journal: Mutex<Journal>,
}

impl Service {
    /// Serves on `address`; port 0 takes a free port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr, config: ServiceConfig) -> io::Result<Service> {
        let server = Arc::new(FakeServer::new(Identity {
            id: config.id.clone(),
            id_header: "x-service-id",
            models: vec![config.name.clone()],
            capacity: config.capacity,
            queue: config.queue,
            load_lag: config.load_lag,
            abort: config.abort,
        }));
        let inner = Arc::new(Inner {
            config,
            server,
            journal: Mutex::default(),
        });
        inner.server.serve(address, inner.clone())?;
        Ok(Service { inner })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.server.address()
    }

    /// Returns a client for fault commands to this service.
    pub fn control(&self) -> Control {
        Control::new(self.address())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.inner.server.stop();
    }
}

/// Returns the body with which the service `name` answers a call; it depends only on the arguments.
pub fn expected_answer(name: &str, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let hash = hash_parts(&[method.as_bytes(), path.as_bytes(), body]);
    let answer = serde_json::json!({
        "service": name,
        "path": path,
        "answer": format!("{hash:016x}"),
    });
    answer.to_string().into_bytes()
}

impl Handler for Inner {
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.answer(request))
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        if request.method == Method::GET && request.path == "/control" {
            let mut counters = self.server.counters();
            counters.journal = self.journal.lock().expect("journal lock").entries();
            return json(StatusCode::OK, &counters);
        }
        if let Some(reply) = self.server.answer_common(&request) {
            return reply;
        }
        let result = self.run(&request).await;
        let id = request.header("x-request-id");
        result.unwrap_or_else(|reply| self.server.identify(id, reply))
    }

    async fn run(&self, request: &Request) -> Result<Reply, Reply> {
        let _slot = self.server.admit(request).await?;
        // From here on the call counts as executed, whether or not its answer arrives.
        self.journal.lock().expect("journal lock").count(request);
        let faults = self.server.start_run(request).await?;
        tokio::time::sleep(self.config.delay + faults.slow).await;
        let method = request.method.as_str();
        let own = expected_answer(&self.config.name, method, &request.path, &request.body);
        let body = if faults.crossed {
            expected_answer(&self.config.name, method, "/crossed", &own)
        } else {
            own
        };
        let head = self.server.head(request, &faults, "application/json");
        Ok(self.server.send_body(request, &faults, head, body).await)
    }
}
