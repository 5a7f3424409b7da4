//! Who an operator is and what the operator may do.

use super::problem;
use crate::shared::Shared;
use http::StatusCode;
use sequoiaridge_core::{Change, Class, Event, FleetConfig, TeamId, token_digest};
use sequoiaridge_http::{Reply, Request};
use sequoiaridge_log as event;

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operator {
    /// Holds the bootstrap token, which works while no team exists.
    Bootstrap,
    /// Member of a team.
    Team { name: TeamId, admin: bool },
}

impl Operator {
    /// Whether the operator may make a change: teams change their own classes, administrators
    /// everything.
    pub(crate) fn may(&self, change: &Change, config: &FleetConfig) -> bool {
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

    /// Whether the operator sees customers and teams.
    pub(crate) fn is_admin(&self) -> bool {
        matches!(
            self,
            Operator::Bootstrap | Operator::Team { admin: true, .. }
        )
    }

    /// Whether the operator sees a class: administrators see all, teams their own.
    pub(crate) fn sees(&self, class: &Class) -> bool {
        match self {
            Operator::Team { name, admin: false } => &class.team == name,
            _ => true,
        }
    }
}

/// Finds the operator by the digest of the bearer token. The token itself is neither kept nor logged.
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

/// Finds the operator in the given configuration.
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

fn unauthorized(request: &Request, detail: &str) -> Box<Reply> {
    log_refusal(request, detail);
    let problems = [detail.to_string()];
    Box::new(problem(StatusCode::UNAUTHORIZED, "unauthorized", &problems))
}

/// The reply to an operator who may not do or see something.
pub(crate) fn forbidden(request: &Request, detail: &str) -> Reply {
    log_refusal(request, detail);
    problem(StatusCode::FORBIDDEN, "refused", &[detail.to_string()])
}

/// Logs a refusal without the token. The path is chosen by the client, so it is escaped and cut.
fn log_refusal(request: &Request, detail: &str) {
    const LONGEST_PATH: usize = 200;
    let path: String = request.path.chars().take(LONGEST_PATH).collect();
    let (method, peer) = (&request.method, request.peer);
    event::log(
        Event::AdminRefused,
        &format!("{method} {path:?} from {peer}: {detail}"),
    );
}
