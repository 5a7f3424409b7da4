//! The fleet configuration, shared by all routers. See section 4.4 of `docs/design.md`.

use crate::{ClassName, CustomerId, TargetError, Targets, TeamId, Version};
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum length of the name of a class, customer or team, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of classes. Each class has its own histograms at every router.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of customers: eight times as many as in a fleet of the target size.
pub const MAX_CUSTOMERS: usize = 16_384;
/// Maximum number of teams.
pub const MAX_TEAMS: usize = 1024;
/// Maximum number of tokens of a customer or team. A change has to fit in one frame and in one row
/// of the table.
pub const MAX_TOKENS: usize = 64;
/// Length of a token's digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// A class of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Team that may change the class.
    pub team: TeamId,
    /// Targets for the calls of the class.
    pub targets: Targets,
}

/// A customer on whose behalf callers send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Digests of the tokens with which callers may authenticate; see
    /// [`token_digest`](crate::token_digest).
    pub tokens: BTreeSet<String>,
}

/// A team of operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Digests of the tokens of the team's operators.
    pub tokens: BTreeSet<String>,
    /// Whether the team may change customers, teams and all classes.
    #[serde(default)]
    pub admin: bool,
}

/// The configuration of the whole fleet at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of changes that led to this configuration.
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

/// Why a change cannot be applied.
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
        /// The name that was given.
        name: String,
    },
    /// class {0:?} names a team that does not exist
    UnknownTeam(ClassName),
    /// team {0:?} still owns classes
    TeamInUse(TeamId),
    /// there may be at most {limit} {kind}; remove one that is not used
    Full {
        /// Kind of the entries.
        kind: &'static str,
        /// Maximum number of entries.
        limit: usize,
    },
    /// {given} tokens are given; there may be at most {limit}
    TooManyTokens {
        /// Number of tokens that were given.
        given: usize,
        /// Maximum number of tokens.
        limit: usize,
    },
    /// token digest {at} of the sorted list must have 64 hexadecimal digits 0-9, a-f
    Digest {
        /// Position in the sorted list, from 1. The text itself is not shown, since it may be a
        /// token.
        at: usize,
    },
    /// a token is already in use by the {kind} {name:?}
    TokenInUse {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: String,
    },
    /// no team with 'admin' and a token would be left, so nobody could change teams any more
    NoAdmin,
}

impl std::error::Error for ChangeError {}

impl Change {
    /// Checks the change against `base` and returns every problem; empty if the change is valid.
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
                let targets = class.targets.problems().into_iter();
                problems.extend(targets.map(ChangeError::Target));
                if !base.teams.contains_key(&class.team) {
                    problems.push(ChangeError::UnknownTeam(name.clone()));
                }
                problems.extend(check_count("classes", &base.classes, name, MAX_CLASSES));
            }
            Change::SetCustomer { name, customer } => {
                problems.extend(check_count(
                    "customers",
                    &base.customers,
                    name,
                    MAX_CUSTOMERS,
                ));
                problems.extend(check_digests(&customer.tokens));
                let others = base.customers.iter().filter(|(other, _)| *other != name);
                let others = others.map(|(other, entry)| (other, &entry.tokens));
                problems.extend(check_unique("customer", &customer.tokens, others));
            }
            Change::SetTeam { name, team } => {
                problems.extend(check_count("teams", &base.teams, name, MAX_TEAMS));
                problems.extend(check_digests(&team.tokens));
                let others = base.teams.iter().filter(|(other, _)| *other != name);
                let others = others.map(|(other, entry)| (other, &entry.tokens));
                problems.extend(check_unique("team", &team.tokens, others));
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
        if problems.is_empty() && self.leaves_no_admin(base) {
            problems.push(ChangeError::NoAdmin);
        }
        problems
    }

    /// Whether no administrator with a token would be left after the change. Then nobody could
    /// change teams, because the bootstrap token may not be in the settings any more.
    fn leaves_no_admin(&self, base: &FleetConfig) -> bool {
        let (name, new) = match self {
            Change::SetTeam { name, team } => (name, Some(team)),
            Change::RemoveTeam { name } => (name, None),
            _ => return false,
        };
        let others = base.teams.iter().filter(|(other, _)| *other != name);
        let mut left = others.map(|(_, team)| team).chain(new);
        !left.any(|team| team.admin && !team.tokens.is_empty())
    }

    /// Name of the entry that the change sets or removes.
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
    /// Applies a change that has been checked and increments the version.
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

/// Whether `name` is valid for a class, customer or team.
pub fn valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Returns an error if `name` is a new entry and `limit` entries exist.
fn check_count<T>(
    kind: &'static str,
    entries: &BTreeMap<String, T>,
    name: &str,
    limit: usize,
) -> Option<ChangeError> {
    let fits = entries.len() < limit || entries.contains_key(name);
    (!fits).then_some(ChangeError::Full { kind, limit })
}

/// Checks the number and the format of the digests.
fn check_digests(tokens: &BTreeSet<String>) -> Vec<ChangeError> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let valid = |digest: &str| digest.len() == DIGEST_DIGITS && digest.bytes().all(hex);
    let digests = tokens.iter().take(MAX_TOKENS).enumerate();
    let mut problems: Vec<ChangeError> = digests
        .filter(|(_, digest)| !valid(digest))
        .map(|(at, _)| ChangeError::Digest { at: at + 1 })
        .collect();
    if tokens.len() > MAX_TOKENS {
        let (given, limit) = (tokens.len(), MAX_TOKENS);
        problems.push(ChangeError::TooManyTokens { given, limit });
    }
    problems
}

/// Returns an error if another entry has one of the tokens. A token must identify a single entry.
fn check_unique<'a>(
    kind: &'static str,
    tokens: &BTreeSet<String>,
    mut others: impl Iterator<Item = (&'a String, &'a BTreeSet<String>)>,
) -> Option<ChangeError> {
    let found = others.find(|(_, other)| !tokens.is_disjoint(other));
    found.map(|(name, _)| ChangeError::TokenInUse {
        kind,
        name: name.clone(),
    })
}
