//! Changes of the fleet configuration through the administration API.

use super::{auth, json, problem};
use crate::config_sync;
use crate::shared::{Shared, lock};
use http::{Method, StatusCode};
use sequoiaridge_core::{Change, Class, Customer, Event, RouterId, Team, Version};
use sequoiaridge_http::{Reply, Request};
use sequoiaridge_log as event;
use sequoiaridge_membership::PeerView;
use sequoiaridge_store::AppendOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks of which routers have a version in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Body of the reply to a change that was committed.
#[derive(Serialize)]
struct Committed {
    result: &'static str,
    version: Version,
    in_force: Vec<RouterId>,
    pending: Vec<RouterId>,
}

/// Body of the reply to a change that is not based on the newest version.
#[derive(Serialize)]
struct Conflict {
    result: &'static str,
    version: Version,
}

/// Handles a request to change the configuration.
///
/// The operator is authorized against the newest configuration, not only against the one in force
/// here. A router that is behind would otherwise accept a token that was just removed, or give a
/// team a class that another team has just created.
pub(crate) async fn handle(shared: &Arc<Shared>, request: &Request, rest: &str) -> Reply {
    let (base, change) = match parse(request, rest) {
        Ok(parsed) => parsed,
        Err(reply) => return *reply,
    };
    let newest = match shared.config_log.load().await {
        Ok(newest) => newest,
        Err(error) => return unavailable(shared, &error.to_string()),
    };
    let operator = match auth::identify(shared, request, &newest) {
        Ok(operator) => operator,
        Err(reply) => return *reply,
    };
    if !operator.can_change(&change, &newest) {
        return auth::forbidden(request, "the token's team may not change this entry");
    }
    if newest.version != base {
        return conflict(base, newest.version);
    }
    commit(shared, base, &change).await
}

/// Returns the reply to a change that was not made because the platform failed. The cause goes
/// only to the log: it describes requests to the platform and would suggest that the outcome of the
/// change is unknown.
fn unavailable(shared: &Shared, cause: &str) -> Reply {
    shared.platform_failed(cause);
    let detail = "the change was not made, because the platform does not answer".to_string();
    problem(StatusCode::SERVICE_UNAVAILABLE, "refused", &[detail]).with_header("retry-after", "5")
}

/// Logs and returns the reply to a change that is not based on the newest version.
fn conflict(base: Version, version: Version) -> Reply {
    event::log(
        Event::ConfigConflict,
        &format!("based on {base}, now {version}"),
    );
    let result = "conflict";
    json(StatusCode::CONFLICT, &Conflict { result, version })
}

/// Appends a change to the configuration log, announces it, and waits until it is in force.
async fn commit(shared: &Arc<Shared>, base: Version, change: &Change) -> Reply {
    match shared.config_log.append(base, change).await {
        Ok(AppendOutcome::Committed(version)) => {
            shared.platform_answered();
            event::log(
                Event::ConfigAccepted,
                &format!("version {version}: {}", change.name()),
            );
            let before = shared.config.version();
            config_sync::apply(shared, version, change);
            config_sync::publish_version(shared, before);
            config_sync::announce(shared, version).await;
            let (in_force, pending) = wait_in_force(shared, version).await;
            json(
                StatusCode::OK,
                &Committed {
                    result: "committed",
                    version,
                    in_force,
                    pending,
                },
            )
        }
        Ok(AppendOutcome::Conflict(version)) => conflict(base, version),
        Ok(AppendOutcome::Refused(problems)) => {
            let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
            problem(StatusCode::UNPROCESSABLE_ENTITY, "refused", &problems)
        }
        Ok(AppendOutcome::Unknown) => {
            event::log(
                Event::ConfigUnknown,
                &format!("based on {base}: {}", change.name()),
            );
            let detail = "the change may have been made; read the entry again".to_string();
            problem(StatusCode::GATEWAY_TIMEOUT, "unknown-read-again", &[detail])
        }
        Err(error) => unavailable(shared, &error.to_string()),
    }
}

/// Waits until all live routers have the version in force, at most for `config.in_force`. Returns
/// the routers that have it in force and those that do not. A router that was live at the
/// start and dies in the meantime is not waited for, but is listed as pending.
async fn wait_in_force(shared: &Shared, version: Version) -> (Vec<RouterId>, Vec<RouterId>) {
    let end = shared.now() + shared.settings.config.in_force;
    let live = |peer: &PeerView| peer.state.owns();
    let expected: BTreeSet<RouterId> = peers(shared).filter(live).map(|peer| peer.id).collect();
    loop {
        let known: Vec<PeerView> = peers(shared)
            .filter(|peer| expected.contains(&peer.id))
            .collect();
        let (done, pending): (Vec<_>, Vec<_>) = known.iter().partition(|p| p.version >= version);
        if !pending.iter().any(|peer| live(peer)) || shared.now() >= end {
            let names = |peers: Vec<&PeerView>| peers.into_iter().map(|p| p.id.clone()).collect();
            let mut in_force: Vec<RouterId> = names(done);
            in_force.push(shared.id().clone());
            in_force.sort();
            return (in_force, names(pending));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the peers in the detector's current view.
fn peers(shared: &Shared) -> impl Iterator<Item = PeerView> {
    lock(&shared.detector).view().into_iter()
}

/// Parses the version on which the change is based, and the change.
///
/// # Errors
///
/// The reply to a request that is not valid.
fn parse(request: &Request, rest: &str) -> Result<(Version, Change), Box<Reply>> {
    let bad = |detail: String| Box::new(problem(StatusCode::BAD_REQUEST, "bad-request", &[detail]));
    let base = request
        .header("if-match")
        .and_then(|value| value.trim_matches('"').parse().ok());
    let base = base.ok_or_else(|| {
        let detail = "the header 'if-match: VERSION' must give the version that was read";
        let problems = [detail.to_string()];
        Box::new(problem(
            StatusCode::PRECONDITION_REQUIRED,
            "bad-request",
            &problems,
        ))
    })?;
    let (kind, name) = rest
        .split_once('/')
        .ok_or_else(|| Box::new(problem(StatusCode::NOT_FOUND, "not-found", &[])))?;
    let name = name.to_string();
    let change = match (kind, &request.method) {
        ("classes", &Method::PUT) => Change::SetClass {
            name,
            class: parse_body::<Class>(request).map_err(bad)?,
        },
        ("classes", _) => Change::RemoveClass { name },
        ("customers", &Method::PUT) => Change::SetCustomer {
            name,
            customer: parse_body::<Customer>(request).map_err(bad)?,
        },
        ("customers", _) => Change::RemoveCustomer { name },
        ("teams", &Method::PUT) => Change::SetTeam {
            name,
            team: parse_body::<Team>(request).map_err(bad)?,
        },
        ("teams", _) => Change::RemoveTeam { name },
        _ => return Err(Box::new(problem(StatusCode::NOT_FOUND, "not-found", &[]))),
    };
    Ok((base, change))
}

/// Parses the JSON body of a request.
fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, String> {
    serde_json::from_slice(&request.body).map_err(|error| format!("the body is not valid: {error}"))
}
