//! A fake model engine.

mod cache;
mod chat;
mod config;
mod generate;
mod streams;

pub use config::EngineConfig;

use crate::control::{Control, FakeServer, Identity, json};
use cache::PrefixCache;
use chat::Chat;
use hyper::{Method, StatusCode};
use sequoiaridge_http::{Handler, Reply, Request};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use streams::Streams;

/// A running fake engine. Dropping it stops it.
///
/// It answers `POST /v1/chat/completions` with text that is derived from a hash of model and
/// messages; see [`expected_text`].
pub struct Engine {
    inner: Arc<Inner>,
}

struct Inner {
    config: EngineConfig,
    server: Arc<FakeServer>,
    volatile: Mutex<VolatileState>,
    resumed: AtomicU64,
    prompt_tokens: AtomicU64,
    cached_tokens: AtomicU64,
    output_tokens: AtomicU64,
}

/// State that a restart loses.
struct VolatileState {
    boot: String,
    cache: PrefixCache,
    streams: Streams,
}

impl Engine {
    /// Serves on `address`; port 0 takes a free port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr, config: EngineConfig) -> io::Result<Engine> {
        let server = Arc::new(FakeServer::new(Identity {
            id: config.id.clone(),
            id_header: "x-engine-id",
            models: config.models.clone(),
            capacity: config.capacity,
            queue: config.queue,
            load_lag: config.load_lag,
            abort: config.abort,
        }));
        let volatile = VolatileState {
            boot: server.boot(),
            cache: PrefixCache::new(config.cache_tokens),
            streams: Streams::default(),
        };
        let inner = Arc::new(Inner {
            config,
            server,
            volatile: Mutex::new(volatile),
            resumed: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            cached_tokens: AtomicU64::new(0),
            output_tokens: AtomicU64::new(0),
        });
        inner.server.serve(address, inner.clone())?;
        Ok(Engine { inner })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.server.address()
    }

    /// Returns a client for fault commands to this engine.
    pub fn control(&self) -> Control {
        Control::new(self.address())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.inner.server.stop();
    }
}

/// Returns the text with which every engine answers a request with this body, or `None` if the body
/// is not a valid request.
pub fn expected_text(body: &[u8]) -> Option<String> {
    Some(Chat::parse(body).ok()?.text())
}

/// Returns the whole event stream with which every engine answers a request with this body,
/// provided that the request does not ask for usage, or `None` if the body is not a valid request.
pub fn expected_events(body: &[u8]) -> Option<Vec<u8>> {
    let chat = Chat::parse(body).ok()?;
    let events = 0..chat.event_count();
    Some(
        events
            .flat_map(|i| chat.event(i, chat::Usage::default()))
            .collect(),
    )
}

impl Handler for Inner {
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.answer(request))
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.server.answer_common(&request) {
            return reply;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/control") => json(StatusCode::OK, &self.counters()),
            (&Method::POST, "/v1/chat/completions") => {
                let id = request.header("x-request-id").map(str::to_string);
                let result = self.clone().complete(request).await;
                result.unwrap_or_else(|reply| self.server.identify(id.as_deref(), reply))
            }
            _ => error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Runs `work` on the volatile state, which is cleared first if the engine has restarted.
    fn with_volatile<T>(&self, work: impl FnOnce(&mut VolatileState) -> T) -> T {
        let boot = self.server.boot();
        let mut volatile = self.volatile.lock().expect("engine lock");
        if volatile.boot != boot {
            volatile.boot = boot;
            volatile.cache.clear();
            volatile.streams.clear();
        }
        work(&mut volatile)
    }

    fn counters(&self) -> crate::control::Counters {
        crate::control::Counters {
            resumed: self.resumed.load(Ordering::SeqCst),
            prompt_tokens: self.prompt_tokens.load(Ordering::SeqCst),
            cached_tokens: self.cached_tokens.load(Ordering::SeqCst),
            output_tokens: self.output_tokens.load(Ordering::SeqCst),
            ..self.server.counters()
        }
    }
}

fn error(status: StatusCode, message: &str) -> Reply {
    let body = serde_json::json!({
        "error": { "message": message, "type": "invalid_request_error" },
    });
    json(status, &body)
}
