//! An HTTP client that never repeats a request by itself.

use crate::BodyStream;
use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use sequoiaridge_core::Verdict;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Number of unread chunks of a response at which reading from the connection pauses.
const MAX_UNREAD_CHUNKS: usize = 16;

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for the head of a response.
    pub head_timeout: Duration,
    /// Timeout for each chunk of a response body.
    pub chunk_timeout: Duration,
    /// Time after which an idle connection in the pool is not reused.
    pub idle_timeout: Duration,
}

impl Default for ClientConfig {
    fn default() -> ClientConfig {
        ClientConfig {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(2),
            chunk_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
        }
    }
}

/// Why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum ClientError {
    /// could not connect to {0}
    Connect(SocketAddr),
    /// the request is not valid HTTP
    Invalid,
    /// the connection to {0} broke
    Broken(SocketAddr),
    /// {0} sent nothing within the timeout
    Silent(SocketAddr),
    /// the response of {0} is larger than {1} bytes
    TooLarge(SocketAddr, usize),
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Whether the server may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            ClientError::Connect(_) | ClientError::Invalid => Verdict::NotRun,
            ClientError::Broken(_) | ClientError::Silent(_) | ClientError::TooLarge(..) => {
                Verdict::MayHaveRun
            }
        }
    }
}

/// Head of a response with its unread body.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    server: SocketAddr,
    chunk_timeout: Duration,
}

impl Response {
    /// Returns the value of a header if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Receives the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke, or no chunk arrived within the timeout.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            let frame = tokio::time::timeout(self.chunk_timeout, self.body.frame())
                .await
                .map_err(|_| ClientError::Silent(self.server))?;
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(ClientError::Broken(self.server)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Ok(Some(data)),
                    _ => continue,
                },
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As for [`Response::chunk`], or the body is larger than `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Bytes, ClientError> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            if whole.len() + chunk.len() > limit {
                return Err(ClientError::TooLarge(self.server, limit));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.into())
    }

    /// Converts the body into a stream, which a spawned task fills.
    pub fn into_stream(mut self) -> BodyStream {
        let (sender, stream) = BodyStream::new(MAX_UNREAD_CHUNKS);
        tokio::spawn(async move {
            loop {
                match self.chunk().await {
                    Ok(None) => return,
                    Ok(Some(chunk)) => {
                        if !sender.send(chunk).await {
                            return;
                        }
                    }
                    Err(_) => return sender.fail("the response was cut off").await,
                }
            }
        });
        stream
    }
}

/// HTTP client that never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    config: ClientConfig,
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client.
    pub fn new(config: ClientConfig) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(config.idle_timeout)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { config, pool }
    }

    /// Sends a request on a pooled connection. Only for idempotent requests: the server may have
    /// closed a pooled connection unnoticed, and then the verdict is "may have run".
    ///
    /// # Errors
    ///
    /// No head of a response arrived. The error says whether the request may have run.
    pub async fn send(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response, ClientError> {
        let request = build_request(
            &format!("http://{server}{path}"),
            server,
            method,
            headers,
            body,
        )?;
        let sent = tokio::time::timeout(self.config.head_timeout, self.pool.request(request)).await;
        match sent {
            Err(_) => Err(ClientError::Silent(server)),
            Ok(Err(error)) if error.is_connect() => Err(ClientError::Connect(server)),
            Ok(Err(_)) => Err(ClientError::Broken(server)),
            Ok(Ok(response)) => {
                Ok(self.build_response(server, response, self.config.chunk_timeout))
            }
        }
    }

    /// Sends a request on a new connection, so that "not run" is certain if connecting fails.
    /// `head_timeout` limits the wait for the head of the response, `chunk_timeout` the wait for
    /// each chunk of its body.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`].
    pub async fn send_fresh(
        &self,
        server: SocketAddr,
        request: http::Request<Bytes>,
        head_timeout: Duration,
        chunk_timeout: Duration,
    ) -> Result<Response, ClientError> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let request = build_request(path, server, parts.method, &parts.headers, body)?;
        let stream =
            tokio::time::timeout(self.config.connect_timeout, TcpStream::connect(server)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(ClientError::Connect(server));
        };
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ClientError::Connect(server))?;
        tokio::spawn(connection);
        match tokio::time::timeout(head_timeout, sender.send_request(request)).await {
            Err(_) => Err(ClientError::Silent(server)),
            Ok(Err(_)) => Err(ClientError::Broken(server)),
            Ok(Ok(response)) => Ok(self.build_response(server, response, chunk_timeout)),
        }
    }

    fn build_response(
        &self,
        server: SocketAddr,
        response: http::Response<Incoming>,
        chunk_timeout: Duration,
    ) -> Response {
        let (parts, body) = response.into_parts();
        Response {
            status: parts.status,
            headers: parts.headers,
            body,
            server,
            chunk_timeout,
        }
    }
}

fn build_request(
    uri: &str,
    server: SocketAddr,
    method: Method,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<http::Request<Full<Bytes>>, ClientError> {
    let mut request = http::Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::HOST, server.to_string())
        .body(Full::new(body))
        .map_err(|_| ClientError::Invalid)?;
    for (name, value) in headers {
        request.headers_mut().append(name, value.clone());
    }
    Ok(request)
}
