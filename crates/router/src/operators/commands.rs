//! Commands of the administration API: changes of the fleet configuration.

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

/// Pause between two looks at which routers have a version in force.
const LOOK: Duration = Duration::from_millis(50);

/// Answer to a change that was made.
#[derive(Serialize)]
struct Committed {
    result: &'static str,
    version: Version,
    in_force: Vec<RouterId>,
    pending: Vec<RouterId>,
}

#[derive(Serialize)]
struct Conflict {
    result: &'static str,
    version: Version,
}

/// Makes a change.
///
/// The operator is looked up in the newest configuration, not only in the one in force here: a
/// router that is behind would otherwise accept a token that was just removed, or give a team a
/// class that another team just created.
pub(crate) async fn answer(shared: &Arc<Shared>, request: &Request, rest: &str) -> Reply {
    let (base, change) = match parse(request, rest) {
        Ok(parsed) => parsed,
        Err(reply) => return *reply,
    };
    let newest = match shared.log.load().await {
        Ok(newest) => newest,
        Err(error) => return unavailable(shared, &error.to_string()),
    };
    let operator = match auth::identify(shared, request, &newest) {
        Ok(operator) => operator,
        Err(reply) => return *reply,
    };
    if !operator.may(&change, &newest) {
        return auth::forbidden(request, "the token's team may not change this entry");
    }
    if newest.version != base {
        return conflict(base, newest.version);
    }
    accept(shared, base, &change).await
}

/// Answer to a change that was not made because the configuration could not be read. The cause goes
/// to the log: it speaks of requests to the platform and would read as if the change were in doubt.
fn unavailable(shared: &Shared, cause: &str) -> Reply {
    shared.platform_failed(cause);
    let detail = "the change was not made, because the platform does not answer".to_string();
    problem(StatusCode::SERVICE_UNAVAILABLE, "refused", &[detail]).with_header("retry-after", "5")
}

/// Answer to a change that is not based on the newest version.
fn conflict(base: Version, version: Version) -> Reply {
    event::log(
        Event::ConfigConflict,
        &format!("based on {base}, now {version}"),
    );
    let result = "conflict";
    json(StatusCode::CONFLICT, &Conflict { result, version })
}

async fn accept(shared: &Arc<Shared>, base: Version, change: &Change) -> Reply {
    match shared.log.append(base, change).await {
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

/// Waits until all routers have the version in force, at most for the time in which they must. A
/// router that was live at the start and dies meanwhile is not waited for, but named as pending.
async fn wait_in_force(shared: &Shared, version: Version) -> (Vec<RouterId>, Vec<RouterId>) {
    let end = shared.now() + shared.settings.config.in_force;
    let live = |peer: &PeerView| peer.state.owns();
    let asked: BTreeSet<RouterId> = peers(shared).filter(live).map(|peer| peer.id).collect();
    loop {
        let known: Vec<PeerView> = peers(shared)
            .filter(|peer| asked.contains(&peer.id))
            .collect();
        let (done, pending): (Vec<_>, Vec<_>) = known.iter().partition(|p| p.version >= version);
        if !pending.iter().any(|peer| live(peer)) || shared.now() >= end {
            let names = |peers: Vec<&PeerView>| peers.into_iter().map(|p| p.id.clone()).collect();
            let mut in_force: Vec<RouterId> = names(done);
            in_force.push(shared.id().clone());
            in_force.sort();
            return (in_force, names(pending));
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn peers(shared: &Shared) -> impl Iterator<Item = PeerView> {
    lock(&shared.detector).view().into_iter()
}

/// Reads the version that the change is based on, and the change.
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
            class: body::<Class>(request).map_err(bad)?,
        },
        ("classes", _) => Change::RemoveClass { name },
        ("customers", &Method::PUT) => Change::SetCustomer {
            name,
            customer: body::<Customer>(request).map_err(bad)?,
        },
        ("customers", _) => Change::RemoveCustomer { name },
        ("teams", &Method::PUT) => Change::SetTeam {
            name,
            team: body::<Team>(request).map_err(bad)?,
        },
        ("teams", _) => Change::RemoveTeam { name },
        _ => return Err(Box::new(problem(StatusCode::NOT_FOUND, "not-found", &[]))),
    };
    Ok((base, change))
}

fn body<T: DeserializeOwned>(request: &Request) -> Result<T, String> {
    serde_json::from_slice(&request.body).map_err(|error| format!("the body is not valid: {error}"))
}
