//! Client for orders and counters.

use super::{Counters, JournalEntry, Load, Order, Scope, Stage};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use sequoiaridge_http::{Client, ClientConfig};
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which a stand-in must answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer in bytes; a journal holds the bodies of all calls.
const MAX_ANSWER: usize = 256 * 1024 * 1024;

/// Sends orders to one stand-in, each on a connection of its own.
#[derive(Clone, Debug)]
pub struct Control {
    address: SocketAddr,
    client: Client,
}

impl Control {
    /// Creates a client for the stand-in at `address`.
    pub fn new(address: SocketAddr) -> Control {
        Control {
            address,
            client: Client::new(ClientConfig::default()),
        }
    }

    /// Sends any order.
    ///
    /// # Errors
    ///
    /// The stand-in cannot be reached or does not accept the order. The same holds for every other
    /// method of this type.
    pub async fn order(&self, order: &Order) -> io::Result<()> {
        let body = serde_json::to_vec(order)?;
        self.call(Method::POST, "/control", body).await.map(drop)
    }

    /// See [`Order::Slow`].
    pub async fn slow(&self, delay: Duration) -> io::Result<()> {
        let ms = millis(delay);
        self.order(&Order::Slow { ms }).await
    }

    /// See [`Order::Silent`].
    pub async fn silent(&self, scope: Scope) -> io::Result<()> {
        self.order(&Order::Silent { scope }).await
    }

    /// See [`Order::Refuse`].
    pub async fn refuse(&self, count: u32) -> io::Result<()> {
        self.order(&Order::Refuse { count }).await
    }

    /// See [`Order::CrashOn`].
    pub async fn crash_on(&self, text: &str, restart: Duration) -> io::Result<()> {
        self.crash_after(text, restart, Duration::ZERO).await
    }

    /// As [`Control::crash_on`], with the crash `after` the start of the run.
    pub async fn crash_after(
        &self,
        text: &str,
        restart: Duration,
        after: Duration,
    ) -> io::Result<()> {
        let (text, restart_ms, after_ms) = (text.to_string(), millis(restart), millis(after));
        let order = Order::CrashOn {
            text,
            restart_ms,
            after_ms,
        };
        self.order(&order).await
    }

    /// See [`Order::Cut`].
    pub async fn cut(&self, stage: Stage, count: u32) -> io::Result<()> {
        self.order(&Order::Cut { stage, count }).await
    }

    /// See [`Order::Leave`].
    pub async fn leave(&self) -> io::Result<()> {
        self.order(&Order::Leave).await
    }

    /// See [`Order::Unleave`].
    pub async fn unleave(&self) -> io::Result<()> {
        self.order(&Order::Unleave).await
    }

    /// See [`Order::Crossed`].
    pub async fn crossed(&self, count: u32) -> io::Result<()> {
        self.order(&Order::Crossed { count }).await
    }

    /// See [`Order::Duplicate`].
    pub async fn duplicate(&self, count: u32) -> io::Result<()> {
        self.order(&Order::Duplicate { count }).await
    }

    /// See [`Order::Late`].
    pub async fn late(&self, delay: Duration, count: u32) -> io::Result<()> {
        let ms = millis(delay);
        self.order(&Order::Late { ms, count }).await
    }

    /// See [`Order::Heal`].
    pub async fn heal(&self) -> io::Result<()> {
        self.order(&Order::Heal).await
    }

    /// The stand-in's counters.
    pub async fn counters(&self) -> io::Result<Counters> {
        self.get("/control").await
    }

    /// The stand-in's load report.
    pub async fn load(&self) -> io::Result<Load> {
        self.get("/load").await
    }

    /// The executed calls of a service.
    pub async fn journal(&self) -> io::Result<Vec<JournalEntry>> {
        Ok(self.counters().await?.journal)
    }

    /// How often a service executed calls with this idempotency key.
    pub async fn runs_of(&self, key: &str) -> io::Result<u64> {
        let journal = self.journal().await?;
        let of_key = journal.iter().filter(|entry| entry.key == key);
        Ok(of_key.map(|entry| entry.runs).sum())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> io::Result<T> {
        let body = self.call(Method::GET, path, Vec::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> io::Result<Bytes> {
        let request = Request::builder().method(method).uri(path);
        let request = request.body(body.into()).map_err(io::Error::other)?;
        let answer = self
            .client
            .send_fresh(self.address, request, TIMEOUT, TIMEOUT);
        let answer = answer.await.map_err(io::Error::other)?;
        let status = answer.status;
        let body = answer.bytes(MAX_ANSWER).await.map_err(io::Error::other)?;
        if status != StatusCode::OK && status != StatusCode::NO_CONTENT {
            let text = String::from_utf8_lossy(&body);
            return Err(io::Error::other(format!("{path}: {status}: {text}")));
        }
        Ok(body)
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}
