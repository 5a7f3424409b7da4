//! Client that sends fault commands to a fake and reads its counters.

use super::{Counters, FaultCommand, JournalEntry, Load, Scope, Stage};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use sequoiaridge_http::{Client, ClientConfig};
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which a fake must answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer in bytes; a journal contains the bodies of all calls.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Client of one fake. It opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct Control {
    address: SocketAddr,
    client: Client,
}

impl Control {
    /// Creates a client for the fake at `address`.
    pub fn new(address: SocketAddr) -> Control {
        Control {
            address,
            client: Client::new(ClientConfig::default()),
        }
    }

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// The fake cannot be reached or does not accept the command. The same holds for every other
    /// method of this type.
    pub async fn send(&self, command: &FaultCommand) -> io::Result<()> {
        let body = serde_json::to_vec(command)?;
        self.call(Method::POST, "/control", body).await.map(drop)
    }

    /// See [`FaultCommand::Slow`].
    pub async fn slow(&self, delay: Duration) -> io::Result<()> {
        let ms = millis(delay);
        self.send(&FaultCommand::Slow { ms }).await
    }

    /// See [`FaultCommand::Silent`].
    pub async fn silent(&self, scope: Scope) -> io::Result<()> {
        self.send(&FaultCommand::Silent { scope }).await
    }

    /// See [`FaultCommand::Refuse`].
    pub async fn refuse(&self, count: u32) -> io::Result<()> {
        self.send(&FaultCommand::Refuse { count }).await
    }

    /// See [`FaultCommand::CrashOn`].
    pub async fn crash_on(&self, text: &str, restart: Duration) -> io::Result<()> {
        self.crash_after(text, restart, Duration::ZERO).await
    }

    /// Like [`Control::crash_on`], but the crash occurs at time `after` from the start of the run.
    pub async fn crash_after(
        &self,
        text: &str,
        restart: Duration,
        after: Duration,
    ) -> io::Result<()> {
        let (text, restart_ms, after_ms) = (text.to_string(), millis(restart), millis(after));
        let command = FaultCommand::CrashOn {
            text,
            restart_ms,
            after_ms,
        };
        self.send(&command).await
    }

    /// See [`FaultCommand::Cut`].
    pub async fn cut(&self, stage: Stage, count: u32) -> io::Result<()> {
        self.send(&FaultCommand::Cut { stage, count }).await
    }

    /// See [`FaultCommand::Leave`].
    pub async fn leave(&self) -> io::Result<()> {
        self.send(&FaultCommand::Leave).await
    }

    /// See [`FaultCommand::Unleave`].
    pub async fn unleave(&self) -> io::Result<()> {
        self.send(&FaultCommand::Unleave).await
    }

    /// See [`FaultCommand::Crossed`].
    pub async fn crossed(&self, count: u32) -> io::Result<()> {
        self.send(&FaultCommand::Crossed { count }).await
    }

    /// See [`FaultCommand::Duplicate`].
    pub async fn duplicate(&self, count: u32) -> io::Result<()> {
        self.send(&FaultCommand::Duplicate { count }).await
    }

    /// See [`FaultCommand::Late`].
    pub async fn late(&self, delay: Duration, count: u32) -> io::Result<()> {
        let ms = millis(delay);
        self.send(&FaultCommand::Late { ms, count }).await
    }

    /// See [`FaultCommand::Heal`].
    pub async fn heal(&self) -> io::Result<()> {
        self.send(&FaultCommand::Heal).await
    }

    /// Reads the fake's counters.
    pub async fn counters(&self) -> io::Result<Counters> {
        self.get("/control").await
    }

    /// Reads the fake's load report.
    pub async fn load(&self) -> io::Result<Load> {
        self.get("/load").await
    }

    /// Reads the executed calls of a service.
    pub async fn journal(&self) -> io::Result<Vec<JournalEntry>> {
        Ok(self.counters().await?.journal)
    }

    /// Returns how often a service executed calls with this idempotency key.
    pub async fn runs_of(&self, key: &str) -> io::Result<u64> {
        let journal = self.journal().await?;
        let matching = journal.iter().filter(|entry| entry.key == key);
        Ok(matching.map(|entry| entry.runs).sum())
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
        let body = answer
            .bytes(MAX_ANSWER_BYTES)
            .await
            .map_err(io::Error::other)?;
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
