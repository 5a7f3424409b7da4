//! The object store and its HTTP client.

use crate::StoreFuture;
use crate::platform;
use bytes::Bytes;
use displaydoc::Display;
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_http::Client;
use std::fmt::Write;
use std::net::SocketAddr;

/// Largest object in bytes that the fleet reads.
const MAX_OBJECT: usize = 64 * 1024 * 1024;

/// A call to the object store that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ObjectError {
    /// the object store answered with status {0}
    Status(u16),
    /// the object store did not answer; a write may have taken effect
    Unknown,
}

impl std::error::Error for ObjectError {}

/// The platform's object store. Writing an object again replaces it.
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The store gave no usable answer.
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Bytes>, ObjectError>>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// The object may have been written all the same.
    fn put<'a>(&'a self, name: &'a str, content: Bytes)
    -> StoreFuture<'a, Result<(), ObjectError>>;
}

/// The object store over S3's `GET` and `PUT` of `/{bucket}/{name}`.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    server: SocketAddr,
    bucket: String,
    client: Client,
}

impl HttpObjects {
    /// A client of `bucket` at `server`.
    pub fn new(server: SocketAddr, bucket: impl Into<String>, client: Client) -> HttpObjects {
        HttpObjects {
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
        let path = format!("/{}/{}", path_part(&self.bucket), path_part(name));
        let (client, server, headers) = (&self.client, self.server, HeaderMap::new());
        platform::send(client, server, method, &path, &headers, body, MAX_OBJECT)
            .await
            .map_err(|_| ObjectError::Unknown)
    }
}

impl Objects for HttpObjects {
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

/// Percent-encodes everything but the unreserved characters and the slash. Names hold keys that
/// callers choose, which may contain any character.
fn path_part(name: &str) -> String {
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
