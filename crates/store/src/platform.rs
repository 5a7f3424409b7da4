//! Sends requests to the platform, each with a timeout.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_core::Verdict;
use sequoiaridge_http::{Client, ClientError};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which the platform's whole response must arrive. The connection of a request that
/// timed out is closed, because connections can go silent for good.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request and reads the whole response body, which may have at most `limit` bytes.
///
/// # Errors
///
/// The verdict says whether the request may have taken effect.
pub(crate) async fn send(
    client: &Client,
    server: SocketAddr,
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
    limit: usize,
) -> Result<(StatusCode, Bytes), Verdict> {
    let exchange = async {
        let response = client.send(server, method, path, headers, body).await?;
        let status = response.status;
        Ok::<_, ClientError>((status, response.bytes(limit).await?))
    };
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(result) => result.map_err(|error| error.verdict()),
        Err(_) => Err(Verdict::MayHaveRun),
    }
}
