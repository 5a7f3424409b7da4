//! Requests to the platform, each with a timeout.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_core::Verdict;
use sequoiaridge_http::{Client, ClientError};
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which the platform must answer a request whole. A connection whose request timed out is
/// closed with the request, because connections can go silent for good.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request and reads the whole answer, at most `limit` bytes.
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
        let answer = client.send(server, method, path, headers, body).await?;
        let status = answer.status;
        Ok::<_, ClientError>((status, answer.whole(limit).await?))
    };
    match tokio::time::timeout(TIMEOUT, exchange).await {
        Ok(result) => result.map_err(|error| error.verdict()),
        Err(_) => Err(Verdict::MayHaveRun),
    }
}
