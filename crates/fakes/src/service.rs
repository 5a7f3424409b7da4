//! Stand-in for a plain JSON service.

mod journal;

use crate::control::{Control, Host, Identity, json};
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
    /// Time that a call takes, in seconds in files.
    #[serde(with = "crate::control::seconds")]
    pub delay: Duration,
    /// Age of the counts in load reports, in seconds in files.
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

/// A running service stand-in. Dropping it stops it.
pub struct Service {
    inner: Arc<Inner>,
}

struct Inner {
    config: ServiceConfig,
    host: Arc<Host>,
    journal: Mutex<Journal>,
}

impl Service {
    /// Serves on `address`; port 0 takes a free port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr, config: ServiceConfig) -> io::Result<Service> {
        let host = Arc::new(Host::new(Identity {
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
            host,
            journal: Mutex::default(),
        });
        inner.host.serve(address, inner.clone())?;
        Ok(Service { inner })
    }

    /// Address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.host.address()
    }

    /// Client for orders to this service.
    pub fn control(&self) -> Control {
        Control::new(self.address())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.inner.host.stop();
    }
}

/// The body with which the service `name` answers a call; it depends on nothing else.
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
            let mut counters = self.host.counters();
            counters.journal = self.journal.lock().expect("journal lock").entries();
            return json(StatusCode::OK, &counters);
        }
        if let Some(reply) = self.host.answer_load(&request) {
            return reply;
        }
        let result = self.run(&request).await;
        let id = request.header("x-request-id");
        result.unwrap_or_else(|reply| self.host.identify(id, reply))
    }

    async fn run(&self, request: &Request) -> Result<Reply, Reply> {
        let _slot = self.host.admit(request).await?;
        // The call counts as executed from here on, whatever becomes of its answer.
        self.journal.lock().expect("journal lock").count(request);
        let plan = self.host.start_run(request).await?;
        tokio::time::sleep(self.config.delay + plan.slow).await;
        let method = request.method.as_str();
        let own = expected_answer(&self.config.name, method, &request.path, &request.body);
        let body = if plan.crossed {
            expected_answer(&self.config.name, method, "/crossed", &own)
        } else {
            own
        };
        let head = self.host.head(request, &plan, "application/json");
        Ok(self.host.deliver(request, &plan, head, body).await)
    }
}
