//! Authentication and authorization of operators.

use super::problem;
use crate::shared::Shared;
use http::StatusCode;
use sequoiaridge_core::{Change, Class, Event, FleetConfig, TeamId, token_digest};
use sequoiaridge_http::{Reply, Request};
use sequoiaridge_log as event;

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operator {
    /// The holder of the bootstrap token, which is valid while no team exists.
    Bootstrap,
    /// A member of a team.
    Team { name: TeamId, admin: bool },
}

impl Operator {
    /// Returns whether the operator may make a change. Teams may change their own classes;
    /// administrators may change everything.
    pub(crate) fn can_change(&self, change: &Change, config: &FleetConfig) -> bool {
        let Operator::Team { name, admin } = self else {
            return true;
        };
        let owns = |class: &str| {
            config
                .classes
                .get(class)
                .is_none_or(|class| &class.team == name)
        };
        match change {
            _ if *admin => true,
            Change::SetClass {
                name: class,
                class: new,
            } => &new.team == name && owns(class),
            Change::RemoveClass { name: class } => owns(class),
            _ => false,
        }
    }

    /// Returns whether the operator may see customers and teams.
    pub(crate) fn is_admin(&self) -> bool {
        matches!(
            self,
            Operator::Bootstrap | Operator::Team { admin: true, .. }
        )
    }

    /// Returns whether the operator may see a class. Teams see their own classes; administrators
    /// see all.
    pub(crate) fn can_see(&self, class: &Class) -> bool {
        match self {
            Operator::Team { name, admin: false } => &class.team == name,
            _ => true,
        }
    }
}

/// Identifies the operator in the configuration in force here.
///
/// # Errors
///
/// The reply to an unknown operator, or the reply that there is no configuration yet.
pub(crate) fn authenticate(shared: &Shared, request: &Request) -> Result<Operator, Box<Reply>> {
    let Some(config) = shared.config.current() else {
        let detail = "the router has no configuration yet".to_string();
        return Err(Box::new(problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            &[detail],
        )));
    };
    identify(shared, request, &config)
}

/// Identifies the operator in `config` by the digest of the bearer token. The token itself is
/// neither stored nor logged.
///
/// # Errors
///
/// The reply to an unknown operator.
pub(crate) fn identify(
    shared: &Shared,
    request: &Request,
    config: &FleetConfig,
) -> Result<Operator, Box<Reply>> {
    let Some(digest) = request.bearer().map(token_digest) else {
        return Err(unauthorized(
            request,
            "the header 'authorization: Bearer TOKEN' is missing",
        ));
    };
    let team = config
        .teams
        .iter()
        .find(|(_, team)| team.tokens.contains(&digest));
    if let Some((name, team)) = team {
        return Ok(Operator::Team {
            name: name.clone(),
            admin: team.admin,
        });
    }
    let bootstrap = shared.settings.bootstrap.operator_token_digest.as_ref();
    if config.teams.is_empty() && bootstrap == Some(&digest) {
        return Ok(Operator::Bootstrap);
    }
    Err(unauthorized(request, "the token is not known"))
}

/// Logs and returns the reply to a missing or unknown token.
fn unauthorized(request: &Request, detail: &str) -> Box<Reply> {
    log_refusal(request, detail);
    let problems = [detail.to_string()];
    Box::new(problem(StatusCode::UNAUTHORIZED, "unauthorized", &problems))
}

/// Logs and returns the reply to an operator without the permission for a request.
pub(crate) fn forbidden(request: &Request, detail: &str) -> Reply {
    log_refusal(request, detail);
    problem(StatusCode::FORBIDDEN, "refused", &[detail.to_string()])
}

/// Logs a refusal, without the token. The path comes from the client, so it is escaped and
/// truncated.
fn log_refusal(request: &Request, detail: &str) {
    const MAX_PATH_CHARS: usize = 200;
    let path: String = request.path.chars().take(MAX_PATH_CHARS).collect();
    let (method, peer) = (&request.method, request.peer);
    event::log(
        Event::AdminRefused,
        &format!("{method} {path:?} from {peer}: {detail}"),
    );
}
