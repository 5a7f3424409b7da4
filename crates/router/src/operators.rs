//! HTTP server for operators: health checks, metrics and the administration API
//! (docs/admin-api.md).

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
const API_PREFIX: &str = "/admin/v1/";

/// Handler of operators' requests.
pub(crate) struct Operators {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Operators {
    fn handle(self: Arc<Self>, request: Request) -> ReplyFuture {
        Box::pin(async move { route(&self.shared, request).await })
    }
}

/// Returns the reply to a request whose body could not be read within the server's limits.
pub(crate) fn refuse(error: BodyError) -> Reply {
    problem(StatusCode::BAD_REQUEST, "bad-request", &[error.to_string()])
}

/// Routes a request by method and path.
async fn route(shared: &Arc<Shared>, request: Request) -> Reply {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/live") => Reply::new(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => ready(shared),
        (&Method::GET, "/metrics") => metrics(shared),
        (_, path) => match path.strip_prefix(API_PREFIX) {
            Some(rest) => admin(shared, &request, rest).await,
            None => not_found("this path does not exist; see docs/admin-api.md"),
        },
    }
}

/// Returns all metrics in the OpenMetrics text format.
fn metrics(shared: &Shared) -> Reply {
    shared.metrics.set_claims(shared.ledger.stats());
    Reply::new(StatusCode::OK, shared.metrics.encode()).with_header(
        "content-type",
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

/// Returns the readiness, by which the platform's load balancer decides whether to send callers to
/// this router.
fn ready(shared: &Shared) -> Reply {
    let isolated = shared.isolated.load(Ordering::Relaxed);
    match shared.phase() {
        Phase::Serving if isolated => Reply::new(StatusCode::SERVICE_UNAVAILABLE, "isolated\n"),
        // Without the membership list, the router would refuse every call as one for an unknown
        // model, and callers do not retry after that.
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

/// Handles a request to the administration API; `rest` is the path after the prefix.
async fn admin(shared: &Arc<Shared>, request: &Request, rest: &str) -> Reply {
    let operator = match auth::authenticate(shared, request) {
        Ok(operator) => operator,
        Err(reply) => return *reply,
    };
    match request.method {
        Method::GET => queries::handle(shared, &operator, request, rest),
        Method::PUT | Method::DELETE => commands::handle(shared, request, rest).await,
        _ => problem(
            StatusCode::METHOD_NOT_ALLOWED,
            "method-not-allowed",
            &["use GET, PUT or DELETE".to_string()],
        )
        .with_header("allow", "GET, PUT, DELETE"),
    }
}

/// Returns a JSON reply.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    Reply::json(status, serde_json::to_vec(value).unwrap_or_default())
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    result: &'a str,
    problems: &'a [String],
}

/// Returns a reply that lists all problems.
pub(crate) fn problem(status: StatusCode, result: &str, problems: &[String]) -> Reply {
    json(status, &ProblemBody { result, problems })
}

/// Returns a reply for a path or entry that does not exist.
pub(crate) fn not_found(detail: &str) -> Reply {
    problem(StatusCode::NOT_FOUND, "not-found", &[detail.to_string()])
}
