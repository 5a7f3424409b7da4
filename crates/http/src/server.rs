//! An HTTP server with limits on the size and arrival time of request bodies.

use crate::BodyStream;
use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

/// Size of the read buffer of a connection in bytes, which limits the size of request heads.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Address of the client.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the value of a header if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the token of an `Authorization: Bearer` header.
    pub fn bearer(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }
}

/// Body of a reply.
#[derive(Debug)]
enum ReplyBody {
    Whole(Bytes),
    Stream(BodyStream),
}

/// Response of a [`Handler`].
#[derive(Debug)]
pub struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: ReplyBody,
}

impl Reply {
    /// Creates a reply with a complete body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Reply {
        Reply {
            status,
            headers: HeaderMap::new(),
            body: ReplyBody::Whole(body.into()),
        }
    }

    /// Creates a reply with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
        Reply::new(status, body).with_header("content-type", "application/json")
    }

    /// Creates a reply whose body is produced while it is sent.
    pub fn stream(status: StatusCode, body: BodyStream) -> Reply {
        Reply {
            status,
            headers: HeaderMap::new(),
            body: ReplyBody::Stream(body),
        }
    }

    /// Sets a header. The header is omitted if HTTP does not allow its name or value.
    pub fn with_header(mut self, name: &str, value: &str) -> Reply {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_str(value),
        ) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Status of the reply.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    fn into_response(self) -> WebResponse {
        let body = match self.body {
            ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
            ReplyBody::Stream(stream) => ResponseBody::boxed(StreamDataBody::new(stream)),
        };
        let mut response = WebResponse::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Future that resolves to a reply.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the client disconnects.
    fn handle(self: Arc<Self>, request: Request) -> ReplyFuture;
}

/// Why the body of a request was not received. Such a request does not reach the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum BodyError {
    /// the body is larger than the limit of {0} bytes
    TooLarge(usize),
    /// the body did not arrive within {0:?}
    TooSlow(Duration),
    /// the connection broke before the body was complete
    Broken,
}

impl std::error::Error for BodyError {}

/// Limits on requests, and the number of threads that serve them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Time within which the whole body must arrive.
    pub body_timeout: Duration,
    /// Number of threads that serve connections.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            threads: 2,
        }
    }
}

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Server {
    /// Serves `handler` on `address`. Port 0 selects a free port.
    ///
    /// `refuse` creates the reply to a request that exceeds `limits`. The handler runs on the
    /// runtime of the caller, so the server's own threads only do I/O.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(
        address: SocketAddr,
        limits: Limits,
        handler: Arc<dyn Handler>,
        refuse: fn(BodyError) -> Reply,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let runtime = Handle::current();
        let threads = limits.threads;
        let service = fn_service(move |request: WebRequest| {
            let (handler, runtime, limits) = (handler.clone(), runtime.clone(), limits.clone());
            async move { Ok::<_, Infallible>(respond(request, handler, runtime, limits, refuse).await) }
        });
        let mut server = xitca_web::HttpServer::serve(service)
            .disable_signal()
            .worker_threads(threads)
            .max_read_buf_size::<MAX_HEAD_BYTES>()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        let thread = std::thread::Builder::new()
            .name("http-accept".to_string())
            .spawn(move || server.wait())?;
        Ok(Server {
            address,
            handle,
            thread: Some(thread),
        })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for its connections.
    pub fn abort(&self) {
        self.handle.stop(false);
    }

    /// Stops accepting connections, waits for the open ones, and stops the server's threads.
    ///
    /// # Errors
    ///
    /// The server's thread failed.
    pub fn stop(mut self) -> io::Result<()> {
        self.handle.stop(true);
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the server's thread panicked")),
            None => Ok(()),
        }
    }
}

async fn respond(
    request: WebRequest,
    handler: Arc<dyn Handler>,
    runtime: Handle,
    limits: Limits,
    refuse: fn(BodyError) -> Reply,
) -> WebResponse {
    let (head, body) = request.into_parts();
    let (extension, body) = body.replace_body(());
    let body = match read_body(body, &limits).await {
        Ok(body) => body,
        Err(error) => {
            return refuse(error)
                .with_header("connection", "close")
                .into_response();
        }
    };
    let request = Request {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        headers: head.headers,
        body,
        peer: *extension.socket_addr(),
    };
    let (sender, receiver) = oneshot::channel();
    let task = runtime.spawn(async move {
        let mut sender = sender;
        tokio::select! {
            reply = handler.handle(request) => drop(sender.send(reply)),
            _ = sender.closed() => {}
        }
    });
    match receiver.await {
        Ok(reply) => reply.into_response(),
        Err(_) => {
            let _ = task.await;
            Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "the handler failed").into_response()
        }
    }
}

async fn read_body(body: RequestBody, limits: &Limits) -> Result<Bytes, BodyError> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    let read = async {
        while let Some(data) = body.as_mut().data().await {
            let data = data.map_err(|_| BodyError::Broken)?;
            if whole.len() + data.len() > limits.max_body {
                return Err(BodyError::TooLarge(limits.max_body));
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    tokio::time::timeout(limits.body_timeout, read)
        .await
        .unwrap_or(Err(BodyError::TooSlow(limits.body_timeout)))
}
