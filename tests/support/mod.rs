//! Starts the commands of the binary as separate processes on free ports, and ends them by process
//! id.

#![allow(dead_code)] // each test file uses only some of these helpers

pub mod fleet;
pub mod history;
#[path = "../../platform/tests/support/signal.rs"]
mod signal;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use sequoiaridge_http::{Client, ClientConfig, ClientError};
use signal::send_signal;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a process to start or for a condition to hold.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// A child process that is killed when the value is dropped.
pub struct Process {
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts `sequoiaridge ARGS` and reads its addresses from its first line of output, which has
    /// the form `listening name=address name=address`.
    pub fn start(args: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sequoiaridge"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log_output())
            .spawn()
            .expect("the binary starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let line = lines
            .next()
            .expect("a first line")
            .expect("readable output");
        let words = line
            .strip_prefix("listening ")
            .unwrap_or_else(|| panic!("first line: {line}"));
        let addresses = words
            .split(' ')
            .map(|word| word.split_once('=').expect("name=address"))
            .map(|(name, address)| (name.to_string(), address.parse().expect("an address")))
            .collect();
        std::thread::spawn(move || lines.for_each(drop));
        Process { child, addresses }
    }

    /// Returns the address that the process printed under this name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Waits until the process exits, and panics if it takes longer than `WAIT_LIMIT`.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "process {} did not exit within {WAIT_LIMIT:?}",
                self.child.id()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether the process still runs.
    pub fn running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be waited for")
            .is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns where the log of a process goes: to the test's standard error if `TEST_LOGS` is set.
fn log_output() -> Stdio {
    if std::env::var_os("TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}

/// An answer whose body was read to its end, or until an error.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Error that ended the body early; `None` if the body is complete.
    pub body_error: Option<ClientError>,
}

impl Reply {
    /// Returns the value of a header, or an empty string if the header is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }

    /// Returns the verdict in the headers: `done`, `not-run` or `may-have-run`.
    pub fn verdict(&self) -> &str {
        self.header("x-verdict")
    }

    /// Checks that the call was answered with 200, the verdict `done` and a complete body.
    #[track_caller]
    pub fn assert_done(&self) {
        let seen = (self.status, self.verdict(), self.body_error.clone());
        assert_eq!(seen, (200, "done", None), "{}", self.text());
    }

    /// Checks that the call was refused as not run, with this status and reason, and that the
    /// caller is told when to try again.
    #[track_caller]
    pub fn assert_refused(&self, status: u16, reason: &str) {
        let seen = (self.status, self.verdict(), self.header("x-refusal"));
        assert_eq!(seen, (status, "not-run", reason), "{}", self.text());
        assert!(
            !self.header("retry-after").is_empty(),
            "the refusal has no retry-after header"
        );
    }

    /// Returns the body as text; bytes that are not UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| panic!("not JSON: {}", self.text()))
    }
}

/// Sends requests with the token of a customer or an operator.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    token: String,
}

impl Caller {
    /// Creates a caller with this token.
    pub fn new(token: &str) -> Caller {
        let config = ClientConfig {
            head_timeout: Duration::from_secs(60),
            chunk_timeout: Duration::from_secs(60),
            ..ClientConfig::default()
        };
        Caller {
            client: Client::new(config),
            token: token.to_string(),
        }
    }

    /// Sends a request on a new connection and reads the answer to its end.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, ClientError> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .body(body.into())
            .unwrap();
        let bearer = format!("Bearer {}", self.token);
        let all = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        for (name, value) in all.into_iter().chain(headers.iter().copied()) {
            let name: HeaderName = name.parse().unwrap();
            request
                .headers_mut()
                .insert(name, HeaderValue::from_str(value).unwrap());
        }
        let minute = Duration::from_secs(60);
        let mut answer = self
            .client
            .send_fresh(address, request, minute, minute)
            .await?;
        let mut body = Vec::new();
        let body_error = loop {
            match answer.chunk().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        Ok(Reply {
            status: answer.status.as_u16(),
            headers: answer.headers,
            body: body.into(),
            body_error,
        })
    }

    /// Sends a chat. The `turns` are the user's messages; each but the last is followed by the
    /// answer `ok`.
    pub async fn chat(&self, address: SocketAddr, id: &str, turns: &[&str], stream: bool) -> Reply {
        let body = chat_body(turns, stream);
        self.send_chat(address, id, body).await.expect("an answer")
    }

    /// Sends a chat with this body.
    pub async fn send_chat(
        &self,
        address: SocketAddr,
        id: &str,
        body: String,
    ) -> Result<Reply, ClientError> {
        let headers = [("x-chat-id", id), ("x-work-class", "chat")];
        self.send(
            address,
            Method::POST,
            "/v1/chat/completions",
            &headers,
            body,
        )
        .await
    }

    /// Calls the booking service under an idempotency key.
    pub async fn book(
        &self,
        address: SocketAddr,
        key: &str,
        body: &str,
    ) -> Result<Reply, ClientError> {
        let headers = [("idempotency-key", key), ("x-work-class", "booking")];
        self.send(
            address,
            Method::POST,
            "/services/booking/orders",
            &headers,
            body.to_string(),
        )
        .await
    }
}

/// Returns the body of a chat request for the model `small` with an answer of 8 tokens.
pub fn chat_body(turns: &[&str], stream: bool) -> String {
    long_chat_body(turns, stream, 8)
}

/// Returns the body of a chat request whose answer has this many tokens. The engines of a test
/// fleet take 3 ms for each.
pub fn long_chat_body(turns: &[&str], stream: bool, tokens: u32) -> String {
    let mut messages = vec![serde_json::json!({"role": "system", "content": "You scale recipes."})];
    for (at, turn) in turns.iter().enumerate() {
        messages.push(serde_json::json!({"role": "user", "content": turn}));
        if at + 1 < turns.len() {
            messages.push(serde_json::json!({"role": "assistant", "content": "ok"}));
        }
    }
    serde_json::json!({
        "model": "small", "messages": messages, "stream": stream, "max_tokens": tokens,
    })
    .to_string()
}

/// Waits until `check` returns true, and panics if it takes longer than `WAIT_LIMIT`.
pub async fn eventually<F, Fut>(what: &str, mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = Instant::now();
    while !check().await {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "not true within {WAIT_LIMIT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Writes a file in Cargo's temporary folder for tests and returns its path.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-{}", std::process::id(), name));
    std::fs::write(&path, text).expect("the temporary folder is writable");
    path
}
