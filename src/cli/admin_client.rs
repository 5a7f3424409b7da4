//! Client of the administration API (docs/admin-api.md).

use super::admin_args::{Connection, Output};
use super::exit;
use http::{Method, Request, StatusCode};
use sequoiaridge::core::{Verdict, Version};
use sequoiaridge::http::{Client, ClientConfig};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// Environment variable that contains the operator's token.
const TOKEN_VARIABLE: &str = "SEQUOIARIDGE_TOKEN";
/// Timeout of the head of an answer, and of each chunk of its body. A change waits up to 8 s for
/// its write and then up to `config.in_force` (4 s) for the other routers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer in bytes: a configuration of the target size takes a few hundred KB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a command failed.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Exit code of the process.
    pub(crate) code: u8,
    /// What happened and what to do, one line each.
    pub(crate) messages: Vec<String>,
}

impl Failure {
    /// Creates a failure with one message.
    pub(crate) fn new(code: u8, message: impl Into<String>) -> Failure {
        Failure {
            code,
            messages: vec![message.into()],
        }
    }
}

/// A successful answer.
pub(crate) struct Answer {
    text: String,
}

impl Answer {
    /// Parses the answer.
    ///
    /// # Errors
    ///
    /// The answer is not of the type `T`.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_str(&self.text).map_err(|error| {
            Failure::new(
                exit::FAILED,
                format!("the router's answer is not understood: {error}"),
            )
        })
    }

    /// Returns the JSON as it was received.
    pub(crate) fn json(&self) -> &str {
        &self.text
    }
}

/// Answer to a change that was committed.
#[derive(Deserialize)]
pub(crate) struct Committed {
    version: Version,
    in_force: Vec<String>,
    pending: Vec<String>,
}

impl Committed {
    /// Returns the answer as text.
    pub(crate) fn describe(&self) -> String {
        let mut text = format!(
            "committed as version {}, in force on {}",
            self.version,
            self.in_force.join(", ")
        );
        if !self.pending.is_empty() {
            text.push_str(&format!(
                "\nnot yet in force on {}; these apply it as soon as they receive it",
                self.pending.join(", ")
            ));
        }
        text
    }
}

/// Answer to a request that failed.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Problem {
    problems: Vec<String>,
    version: Option<Version>,
}

/// Client of one router's administration API with one operator's token.
pub(crate) struct AdminClient<'a> {
    connection: &'a Connection,
    token: String,
    client: Client,
}

impl AdminClient<'_> {
    /// Creates a client with the token from the file or from the environment.
    ///
    /// # Errors
    ///
    /// The token file cannot be read, or there is no token.
    pub(crate) fn new(connection: &Connection) -> Result<AdminClient<'_>, Failure> {
        let token = match &connection.token_file {
            Some(file) => read_token(file)?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
                Failure::new(
                    exit::INVALID,
                    format!("no token: give --token-file FILE or set {TOKEN_VARIABLE}"),
                )
            })?,
        };
        let client = Client::new(ClientConfig::default());
        Ok(AdminClient {
            connection,
            token: token.trim().to_string(),
            client,
        })
    }

    /// Returns whether answers are shown as JSON.
    pub(crate) fn json(&self) -> bool {
        self.connection.output == Output::Json
    }

    /// Reads a resource.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer, Failure> {
        match self.send(Method::GET, path, None, String::new()).await? {
            (StatusCode::OK, text) => Ok(Answer { text }),
            (status, text) => Err(self.failure(status, &text, false)),
        }
    }

    /// Reads a resource. If it does not exist, returns the version on which its creation can be
    /// based.
    pub(crate) async fn find(&self, path: &str) -> Result<Result<Answer, Version>, Failure> {
        match self.send(Method::GET, path, None, String::new()).await? {
            (StatusCode::OK, text) => Ok(Ok(Answer { text })),
            (status, text) => match serde_json::from_str(&text) {
                Ok(Problem {
                    version: Some(version),
                    ..
                }) if status == StatusCode::NOT_FOUND => Ok(Err(version)),
                _ => Err(self.failure(status, &text, false)),
            },
        }
    }

    /// Changes a resource if the configuration still has the version `base`.
    pub(crate) async fn change(
        &self,
        method: Method,
        path: &str,
        base: Version,
        body: String,
    ) -> Result<Answer, Failure> {
        match self.send(method, path, Some(base), body).await? {
            (StatusCode::OK, text) => Ok(Answer { text }),
            (status, text) => Err(self.failure(status, &text, true)),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        base: Option<Version>,
        body: String,
    ) -> Result<(StatusCode, String), Failure> {
        let write = method != Method::GET;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/admin/v1/{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        if let Some(base) = base {
            request = request.header("if-match", base.to_string());
        }
        let request = request.body(body.into()).map_err(|_| {
            let message = "the token contains characters that are not allowed in an HTTP header";
            Failure::new(exit::INVALID, message)
        })?;
        let server = self.connection.operators;
        let failed = |error: sequoiaridge::http::ClientError| {
            if write && error.verdict() != Verdict::NotRun {
                return Failure {
                    code: exit::UNKNOWN,
                    messages: vec![error.to_string(), UNKNOWN_ADVICE.to_string()],
                };
            }
            let advice = "check --operators, or ask another router";
            Failure::new(exit::UNREACHABLE, format!("{error}; {advice}"))
        };
        let sent = self
            .client
            .send_fresh(server, request, ANSWER_TIMEOUT, ANSWER_TIMEOUT)
            .await;
        let answer = sent.map_err(failed)?;
        let status = answer.status;
        let body = answer.bytes(MAX_ANSWER_BYTES).await.map_err(failed)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns the failure that an error answer reports.
    fn failure(&self, status: StatusCode, text: &str, write: bool) -> Failure {
        let problem: Problem = serde_json::from_str(text).unwrap_or_default();
        let mut messages = problem.problems;
        if messages.is_empty() {
            messages.push(format!("the router answered {status}"));
        }
        let code = match status {
            StatusCode::CONFLICT => {
                let version = problem.version.unwrap_or_default();
                messages = vec![
                    format!(
                        "conflict: another operator changed the configuration, which is now at version {version}"
                    ),
                    "nothing was changed; look at the entry again and repeat the command"
                        .to_string(),
                ];
                exit::CONFLICT
            }
            StatusCode::UNAUTHORIZED => {
                messages.push("check --token-file or SEQUOIARIDGE_TOKEN".to_string());
                exit::REFUSED
            }
            StatusCode::SERVICE_UNAVAILABLE => exit::UNREACHABLE,
            StatusCode::GATEWAY_TIMEOUT => {
                messages.push(UNKNOWN_ADVICE.to_string());
                exit::UNKNOWN
            }
            status if status.is_client_error() => exit::REFUSED,
            _ if write => {
                messages.push(UNKNOWN_ADVICE.to_string());
                exit::UNKNOWN
            }
            _ => exit::UNREACHABLE,
        };
        Failure { code, messages }
    }
}

/// Advice if it is not known whether a change was made.
const UNKNOWN_ADVICE: &str = "it is not known whether the change was made; look at the entry, and repeat the command if it was not";

/// Reads a token from a file.
pub(crate) fn read_token(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| {
        let message = format!("cannot read the token file {}: {error}", file.display());
        Failure::new(exit::INVALID, message)
    })
}
