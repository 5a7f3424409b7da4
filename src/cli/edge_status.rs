//! The commands `sequoiaridge edge --status` and `--release`.

use super::exit;
use http::{HeaderMap, Method, StatusCode};
use sequoiaridge::edge::Dialect;
use sequoiaridge::http::{Client, ClientConfig, ClientError};
use sequoiaridge::platform::Headers;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the connection, for the head of each answer and for each chunk of its body. A router
/// that takes longer is overloaded.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest metrics page in bytes; a page has some hundred lines.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Prefix of the names of the router's metrics.
const PREFIX: &str = "sequoiaridge_edge_";
/// Suffixes of the series of a histogram. They are not shown, because they are meant for programs.
const HISTOGRAM_SUFFIXES: [&str; 3] = ["_bucket", "_sum", "_count"];

/// Prints whether a running router is ready, its counters and gauges, and what it holds.
pub(crate) async fn show(address: SocketAddr) -> u8 {
    let client = client();
    let ready = send(&client, address, Method::GET, Headers.readiness_path()).await;
    let page = send(&client, address, Method::GET, "/metrics").await;
    let held = send(&client, address, Method::GET, "/quarantine").await;
    match (ready, page) {
        (Ok((ready, _)), Ok((StatusCode::OK, page))) => {
            println!("ready {}", if ready.is_success() { "yes" } else { "no" });
            readable_samples(&page)
                .iter()
                .for_each(|line| println!("{line}"));
            match held {
                Ok((_, held)) => held.lines().for_each(|line| println!("held {line}")),
                Err(error) => eprintln!("error: what {address} holds is not known: {error}"),
            }
            exit::OK
        }
        (_, Ok((status, _))) => {
            eprintln!("error: {address} answers {status} on /metrics");
            exit::REFUSED
        }
        (_, Err(error)) => {
            eprintln!("error: no status from {address}: {error}");
            exit::UNREACHABLE
        }
    }
}

/// Releases a request or a part of prompts that is held.
pub(crate) async fn release(address: SocketAddr, suspect: &str) -> u8 {
    let path = format!("/quarantine/{suspect}");
    match send(&client(), address, Method::DELETE, &path).await {
        Ok((StatusCode::OK, _)) => {
            println!("released {suspect}");
            exit::OK
        }
        Ok((status, reason)) => {
            eprintln!("error: {address} answers {status}: {}", reason.trim_end());
            exit::REFUSED
        }
        Err(error) => {
            eprintln!("error: no answer from {address}: {error}");
            exit::UNREACHABLE
        }
    }
}

fn client() -> Client {
    Client::new(ClientConfig {
        connect_timeout: TIMEOUT,
        head_timeout: TIMEOUT,
        chunk_timeout: TIMEOUT,
        ..ClientConfig::default()
    })
}

async fn send(
    client: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, String), ClientError> {
    let headers = HeaderMap::new();
    let answer = client.send(address, method, path, &headers, Default::default());
    let answer = answer.await?;
    let status = answer.status;
    let body = answer.bytes(MAX_PAGE_BYTES).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the counters and gauges of a metrics page as lines of name, labels and value.
fn readable_samples(page: &str) -> Vec<String> {
    let samples = page.lines().filter_map(|line| line.strip_prefix(PREFIX));
    let lines = samples.filter_map(|sample| {
        let (series, value) = sample.rsplit_once(' ')?;
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        if HISTOGRAM_SUFFIXES
            .iter()
            .any(|suffix| name.ends_with(suffix))
        {
            return None;
        }
        let name = name.strip_suffix("_total").unwrap_or(name);
        let labels = labels.trim_end_matches('}').replace('"', "");
        let words = [name, labels.as_str(), value];
        let words = words.into_iter().filter(|word| !word.is_empty());
        Some(words.collect::<Vec<_>>().join(" "))
    });
    lines.collect()
}
