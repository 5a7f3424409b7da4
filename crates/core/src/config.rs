//! The fleet configuration, shared by all routers. See section 4.4 of `docs/design.md`.

use crate::{ClassName, CustomerId, TargetError, Targets, TeamId, Version};
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Longest name of a class, customer or team, in bytes.
const MAX_NAME: usize = 64;

/// A class of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Team that may change the class.
    pub team: TeamId,
    /// What the class must achieve.
    pub targets: Targets,
}

/// A customer, on whose behalf callers send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Digests of the tokens that callers may present; see [`token_digest`](crate::token_digest).
    pub tokens: BTreeSet<String>,
}

/// A team of operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Digests of the tokens of the team's operators.
    pub tokens: BTreeSet<String>,
    /// Whether the team administers customers, teams and all classes.
    #[serde(default)]
    pub admin: bool,
}

/// The configuration of the whole fleet at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of changes that led here.
    pub version: Version,
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces a class.
    SetClass {
        /// Name of the class.
        name: ClassName,
        /// Its new content.
        class: Class,
    },
    /// Removes a class.
    RemoveClass {
        /// Name of the class.
        name: ClassName,
    },
    /// Creates or replaces a customer.
    SetCustomer {
        /// Name of the customer.
        name: CustomerId,
        /// Its new content.
        customer: Customer,
    },
    /// Removes a customer.
    RemoveCustomer {
        /// Name of the customer.
        name: CustomerId,
    },
    /// Creates or replaces a team.
    SetTeam {
        /// Name of the team.
        name: TeamId,
        /// Its new content.
        team: Team,
    },
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        name: TeamId,
    },
}

/// A change that cannot be applied.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum ChangeError {
    /// the name {0:?} must have 1 to 64 characters of a-z, 0-9, '-', '_' and '.'
    Name(String),
    /// {0}
    Target(TargetError),
    /// {kind} {name:?} does not exist
    Missing {
        /// Kind of the entry.
        kind: &'static str,
        /// Name that was given.
        name: String,
    },
    /// class {0:?} names a team that does not exist
    UnknownTeam(ClassName),
    /// team {0:?} still owns classes
    TeamInUse(TeamId),
}

impl std::error::Error for ChangeError {}

impl Change {
    /// Every mistake in the change when applied to `base`; empty if it is valid.
    pub fn problems(&self, base: &FleetConfig) -> Vec<ChangeError> {
        let mut problems = Vec::new();
        if !valid_name(self.name()) {
            problems.push(ChangeError::Name(self.name().to_string()));
        }
        let missing = |kind, name: &String| ChangeError::Missing {
            kind,
            name: name.clone(),
        };
        match self {
            Change::SetClass { name, class } => {
                problems.extend(
                    class
                        .targets
                        .problems()
                        .into_iter()
                        .map(ChangeError::Target),
                );
                if !base.teams.contains_key(&class.team) {
                    problems.push(ChangeError::UnknownTeam(name.clone()));
                }
            }
            Change::RemoveClass { name } if !base.classes.contains_key(name) => {
                problems.push(missing("class", name));
            }
            Change::RemoveCustomer { name } if !base.customers.contains_key(name) => {
                problems.push(missing("customer", name));
            }
            Change::RemoveTeam { name } if !base.teams.contains_key(name) => {
                problems.push(missing("team", name));
            }
            Change::RemoveTeam { name } if base.classes.values().any(|c| &c.team == name) => {
                problems.push(ChangeError::TeamInUse(name.clone()));
            }
            _ => {}
        }
        problems
    }

    /// Name of the entry that the change is about.
    pub fn name(&self) -> &str {
        match self {
            Change::SetClass { name, .. }
            | Change::RemoveClass { name }
            | Change::SetCustomer { name, .. }
            | Change::RemoveCustomer { name }
            | Change::SetTeam { name, .. }
            | Change::RemoveTeam { name } => name,
        }
    }
}

impl FleetConfig {
    /// Applies a change that was accepted before and moves to the next version.
    pub fn apply(&mut self, change: &Change) {
        match change.clone() {
            Change::SetClass { name, class } => drop(self.classes.insert(name, class)),
            Change::RemoveClass { name } => drop(self.classes.remove(&name)),
            Change::SetCustomer { name, customer } => drop(self.customers.insert(name, customer)),
            Change::RemoveCustomer { name } => drop(self.customers.remove(&name)),
            Change::SetTeam { name, team } => drop(self.teams.insert(name, team)),
            Change::RemoveTeam { name } => drop(self.teams.remove(&name)),
        }
        self.version += 1;
    }
}

fn valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(allowed)
}
