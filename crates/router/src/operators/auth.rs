//! Who an operator is and what the operator may do.

use super::problem;
use crate::event;
use crate::shared::Shared;
use http::StatusCode;
use sequoiaridge_core::{Change, Event, FleetConfig, TeamId, token_digest};
use sequoiaridge_http::{Reply, Request};

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
}

/// Finds the operator by the digest of the bearer token. The token itself is neither kept nor logged.
pub(crate) fn authenticate(shared: &Shared, request: &Request) -> Result<Operator, Box<Reply>> {
    let refused = |detail: &str| {
        event::log(
            Event::AdminRefused,
            &format!("{} from {}: {detail}", request.path, request.peer),
        );
        Box::new(problem(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            &[detail.to_string()],
        ))
    };
    let Some(digest) = request.bearer().map(token_digest) else {
        return Err(refused(
            "the header 'authorization: Bearer TOKEN' is missing",
        ));
    };
    let Some(config) = shared.config.current() else {
        let detail = "the router has no configuration yet".to_string();
        return Err(Box::new(problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            &[detail],
        )));
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
    Err(refused("the token is not known"))
}
