//! Queries of the administration API.

use super::auth::Operator;
use super::{json, problem};
use crate::shared::{Phase, Shared, lock};
use http::StatusCode;
use sequoiaridge_core::{Class, ClassName, CustomerId, EndpointId, RouterId, TeamId, Version};
use sequoiaridge_http::Reply;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

#[derive(Serialize)]
struct Classes<'a> {
    version: Version,
    classes: BTreeMap<&'a ClassName, &'a Class>,
}

#[derive(Serialize)]
struct OneClass<'a> {
    version: Version,
    name: &'a str,
    class: &'a Class,
}

#[derive(Serialize)]
struct Names<'a, N> {
    version: Version,
    names: Vec<&'a N>,
}

/// State of the fleet as this router sees it.
#[derive(Serialize)]
struct Status {
    router: RouterId,
    domain: String,
    phase: &'static str,
    isolated: bool,
    version: Version,
    platform: &'static str,
    routers: Vec<RouterStatus>,
    endpoints: Vec<EndpointStatus>,
    refusals: BTreeMap<&'static str, u64>,
    retries: BTreeMap<&'static str, u64>,
}

#[derive(Serialize)]
struct RouterStatus {
    id: RouterId,
    domain: String,
    state: String,
    version: Version,
}

#[derive(Serialize)]
struct EndpointStatus {
    id: EndpointId,
    domain: String,
    serves: Vec<String>,
    owner: RouterId,
    state: String,
    outstanding: u32,
    capacity: u32,
}

/// Answers a query.
pub(crate) fn answer(shared: &Shared, operator: &Operator, rest: &str) -> Reply {
    let Some(config) = shared.config.current() else {
        return problem(StatusCode::SERVICE_UNAVAILABLE, "not-ready", &[]);
    };
    let version = config.version;
    let not_found = || problem(StatusCode::NOT_FOUND, "not-found", &[]);
    let admin_only = || {
        let detail = "only teams with 'admin' may see this".to_string();
        problem(StatusCode::FORBIDDEN, "refused", &[detail])
    };
    match rest.split_once('/').unwrap_or((rest, "")) {
        ("status", "") => json(StatusCode::OK, &status(shared, version)),
        ("classes", "") => {
            let classes = config.classes.iter().collect();
            json(StatusCode::OK, &Classes { version, classes })
        }
        ("classes", name) => match config.classes.get(name) {
            Some(class) => json(
                StatusCode::OK,
                &OneClass {
                    version,
                    name,
                    class,
                },
            ),
            None => not_found(),
        },
        ("customers" | "teams", _) if !operator.is_admin() => admin_only(),
        ("customers", "") => {
            let names: Vec<&CustomerId> = config.customers.keys().collect();
            json(StatusCode::OK, &Names { version, names })
        }
        ("teams", "") => {
            let names: Vec<&TeamId> = config.teams.keys().collect();
            json(StatusCode::OK, &Names { version, names })
        }
        _ => not_found(),
    }
}

fn status(shared: &Shared, version: Version) -> Status {
    let view = shared.view();
    let outstanding = shared.outstanding();
    let endpoints = view.endpoints.iter().map(|(id, endpoint)| EndpointStatus {
        id: id.clone(),
        domain: endpoint.member.domain.clone(),
        serves: endpoint.member.serves.clone(),
        owner: endpoint.owner.clone(),
        state: format!("{:?}", endpoint.state).to_lowercase(),
        outstanding: outstanding.get(id).copied().unwrap_or(0),
        capacity: endpoint.member.capacity,
    });
    let peers = lock(&shared.detector).view();
    let routers = peers.into_iter().map(|peer| RouterStatus {
        id: peer.id,
        domain: peer.domain,
        state: format!("{:?}", peer.state).to_lowercase(),
        version: peer.version,
    });
    let refusals = shared.metrics.refusal_counts().into_iter();
    let retries = shared.metrics.retry_counts().into_iter();
    Status {
        router: shared.id().clone(),
        domain: shared.settings.domain.clone(),
        phase: phase_name(shared.phase()),
        isolated: shared.isolated.load(Ordering::Relaxed),
        version,
        platform: if lock(&shared.platform_heard).is_some() {
            "up"
        } else {
            "down"
        },
        routers: routers.collect(),
        endpoints: endpoints.collect(),
        refusals: refusals
            .map(|(reason, count)| (reason.as_str(), count))
            .collect(),
        retries: retries
            .map(|(reason, count)| (reason.as_str(), count))
            .collect(),
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::Stopped => "stopped",
    }
}
