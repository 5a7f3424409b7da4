//! HTTP for operators: health, metrics and the administration API (docs/admin-api.md).

pub(crate) mod auth;
pub(crate) mod commands;
pub(crate) mod queries;
pub(crate) mod status;

use crate::shared::{Phase, Shared};
use http::{Method, StatusCode};
use sequoiaridge_http::{BodyError, Handler, Reply, ReplyFuture, Request};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Prefix of the administration API.
const PREFIX: &str = "/admin/v1/";

/// Answers operators.
pub(crate) struct Operators {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Operators {
    fn handle(self: Arc<Self>, request: Request) -> ReplyFuture {
        Box::pin(async move { answer(&self.shared, request).await })
    }
}

/// Reply to a request that breaks a limit of the server.
pub(crate) fn refuse(error: BodyError) -> Reply {
    problem(StatusCode::BAD_REQUEST, "bad-request", &[error.to_string()])
}

async fn answer(shared: &Arc<Shared>, request: Request) -> Reply {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/live") => Reply::new(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => ready(shared),
        (&Method::GET, "/metrics") => metrics(shared),
        (_, path) => match path.strip_prefix(PREFIX) {
            Some(rest) => admin(shared, &request, rest).await,
            None => not_found("this path does not exist; see docs/admin-api.md"),
        },
    }
}

/// All metrics in the OpenMetrics text format.
fn metrics(shared: &Shared) -> Reply {
    shared.metrics.claims(shared.ledger.stats());
    Reply::new(StatusCode::OK, shared.metrics.encode()).with_header(
        "content-type",
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

/// Whether the platform's balancer should send callers here.
fn ready(shared: &Shared) -> Reply {
    let isolated = shared.isolated.load(Ordering::Relaxed);
    match shared.phase() {
        Phase::Serving if isolated => Reply::new(StatusCode::SERVICE_UNAVAILABLE, "isolated\n"),
        // A router that has the configuration but not yet the membership list would refuse every
        // call as one for an unknown model, which callers do not repeat.
        Phase::Serving if shared.view().endpoints.is_empty() => {
            Reply::new(StatusCode::SERVICE_UNAVAILABLE, "no endpoints yet\n")
        }
        Phase::Serving => Reply::new(StatusCode::OK, "ready\n"),
        Phase::Starting => Reply::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        Phase::Draining | Phase::Stopped => {
            Reply::new(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
    }
}

async fn admin(shared: &Arc<Shared>, request: &Request, rest: &str) -> Reply {
    let operator = match auth::authenticate(shared, request) {
        Ok(operator) => operator,
        Err(reply) => return *reply,
    };
    match request.method {
        Method::GET => queries::answer(shared, &operator, request, rest),
        Method::PUT | Method::DELETE => commands::answer(shared, request, rest).await,
        _ => problem(
            StatusCode::METHOD_NOT_ALLOWED,
            "method-not-allowed",
            &["use GET, PUT or DELETE".to_string()],
        )
        .with_header("allow", "GET, PUT, DELETE"),
    }
}

/// A JSON reply.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    Reply::json(status, serde_json::to_vec(value).unwrap_or_default())
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    result: &'a str,
    problems: &'a [String],
}

/// A reply that lists every mistake.
pub(crate) fn problem(status: StatusCode, result: &str, problems: &[String]) -> Reply {
    json(status, &ProblemBody { result, problems })
}

/// A reply for a path or entry that does not exist.
pub(crate) fn not_found(detail: &str) -> Reply {
    problem(StatusCode::NOT_FOUND, "not-found", &[detail.to_string()])
}
