//! The interface to the object store, and its HTTP client.

use crate::StoreFuture;
use crate::platform;
use bytes::Bytes;
use displaydoc::Display;
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_http::Client;
use std::fmt::Write;
use std::net::SocketAddr;

/// Maximum size in bytes of an object that is read.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Why a call to the object store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ObjectError {
    /// the object store responded with status {0}
    Status(u16),
    /// the object store did not respond; a write may have taken effect
    Unknown,
}

impl std::error::Error for ObjectError {}

/// The platform's object store. Writing an object that exists replaces it.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The store gave no usable response.
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Bytes>, ObjectError>>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// The object may have been written even so.
    fn put<'a>(&'a self, name: &'a str, content: Bytes)
    -> StoreFuture<'a, Result<(), ObjectError>>;
}

/// An object store that speaks S3's `GET` and `PUT` of `/{bucket}/{name}`.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    server: SocketAddr,
    bucket: String,
    client: Client,
}

impl HttpObjectStore {
    /// Creates a client of `bucket` at `server`.
    pub fn new(server: SocketAddr, bucket: impl Into<String>, client: Client) -> HttpObjectStore {
        HttpObjectStore {
            server,
            bucket: bucket.into(),
            client,
        }
    }

    async fn call(
        &self,
        method: Method,
        name: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ObjectError> {
        let path = format!("/{}/{}", encode_path(&self.bucket), encode_path(name));
        let (client, server, headers) = (&self.client, self.server, HeaderMap::new());
        platform::send(
            client,
            server,
            method,
            &path,
            &headers,
            body,
            MAX_OBJECT_BYTES,
        )
        .await
        .map_err(|_| ObjectError::Unknown)
    }
}

impl ObjectStore for HttpObjectStore {
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Bytes>, ObjectError>> {
        Box::pin(async move {
            match self.call(Method::GET, name, Bytes::new()).await? {
                (StatusCode::OK, content) => Ok(Some(content)),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, _) => Err(ObjectError::Status(status.as_u16())),
            }
        })
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
    ) -> StoreFuture<'a, Result<(), ObjectError>> {
        Box::pin(async move {
            match self.call(Method::PUT, name, content).await? {
                (status, _) if status.is_success() => Ok(()),
                (status, _) => Err(ObjectError::Status(status.as_u16())),
            }
        })
    }
}

/// Percent-encodes all bytes but the unreserved characters and the slash. Object names contain
/// idempotency keys, which callers choose and which may hold any character.
fn encode_path(name: &str) -> String {
    let mut path = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            path.push(char::from(byte));
        } else {
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}
