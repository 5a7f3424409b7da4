//! Queries of the administration API.

use super::auth::{self, Operator};
use super::status::status;
use super::{json, not_found, problem};
use crate::shared::Shared;
use http::StatusCode;
use sequoiaridge_core::{
    Class, ClassName, Customer, CustomerId, FleetConfig, Team, TeamId, Version,
};
use sequoiaridge_http::{Reply, Request};
use serde::Serialize;
use std::collections::BTreeMap;

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

/// A customer without its token digests.
#[derive(Serialize)]
struct CustomerView {
    tokens: usize,
}

impl From<&Customer> for CustomerView {
    fn from(customer: &Customer) -> CustomerView {
        CustomerView {
            tokens: customer.tokens.len(),
        }
    }
}

/// A team without its token digests.
#[derive(Serialize)]
struct TeamView {
    tokens: usize,
    admin: bool,
}

impl From<&Team> for TeamView {
    fn from(team: &Team) -> TeamView {
        TeamView {
            tokens: team.tokens.len(),
            admin: team.admin,
        }
    }
}

#[derive(Serialize)]
struct Customers<'a> {
    version: Version,
    customers: BTreeMap<&'a CustomerId, CustomerView>,
}

#[derive(Serialize)]
struct OneCustomer<'a> {
    version: Version,
    name: &'a str,
    customer: CustomerView,
}

#[derive(Serialize)]
struct Teams<'a> {
    version: Version,
    teams: BTreeMap<&'a TeamId, TeamView>,
}

#[derive(Serialize)]
struct OneTeam<'a> {
    version: Version,
    name: &'a str,
    team: TeamView,
}

/// The whole configuration in force, without token digests.
#[derive(Serialize)]
struct Config<'a> {
    version: Version,
    classes: &'a BTreeMap<ClassName, Class>,
    customers: BTreeMap<&'a CustomerId, CustomerView>,
    teams: BTreeMap<&'a TeamId, TeamView>,
}

/// Handles a query.
pub(crate) fn handle(shared: &Shared, operator: &Operator, request: &Request, rest: &str) -> Reply {
    let Some(config) = shared.config.current() else {
        let detail = "the router has no configuration yet".to_string();
        return problem(StatusCode::SERVICE_UNAVAILABLE, "not-ready", &[detail]);
    };
    let admin_only = matches!(
        rest.split('/').next(),
        Some("customers" | "teams" | "config")
    );
    if admin_only && !operator.is_admin() {
        return auth::forbidden(request, "only teams with 'admin' may see this");
    }
    let version = config.version;
    match rest.split_once('/').unwrap_or((rest, "")) {
        ("status", "") => json(StatusCode::OK, &status(shared, operator, &config)),
        ("config", "") => json(StatusCode::OK, &config_view(&config)),
        ("classes", "") => {
            let visible = |(_, class): &(&ClassName, &Class)| operator.can_see(class);
            let classes = config.classes.iter().filter(visible).collect();
            json(StatusCode::OK, &Classes { version, classes })
        }
        ("classes", name) => one_class(&config, operator, request, name),
        ("customers", "") => {
            let customers = views(&config.customers);
            json(StatusCode::OK, &Customers { version, customers })
        }
        ("customers", name) => match config.customers.get(name) {
            Some(customer) => {
                let customer = customer.into();
                let body = OneCustomer {
                    version,
                    name,
                    customer,
                };
                json(StatusCode::OK, &body)
            }
            None => missing(version, "customer", name),
        },
        ("teams", "") => {
            let teams = views(&config.teams);
            json(StatusCode::OK, &Teams { version, teams })
        }
        ("teams", name) => match config.teams.get(name) {
            Some(team) => {
                let team = team.into();
                let body = OneTeam {
                    version,
                    name,
                    team,
                };
                json(StatusCode::OK, &body)
            }
            None => missing(version, "team", name),
        },
        _ => not_found("this path does not exist; see docs/admin-api.md"),
    }
}

/// Returns the reply to a query for one class.
fn one_class(config: &FleetConfig, operator: &Operator, request: &Request, name: &str) -> Reply {
    let version = config.version;
    match config.classes.get(name) {
        Some(class) if !operator.can_see(class) => {
            auth::forbidden(request, "the class belongs to another team")
        }
        Some(class) => {
            let body = OneClass {
                version,
                name,
                class,
            };
            json(StatusCode::OK, &body)
        }
        None => missing(version, "class", name),
    }
}

/// Body of the reply for an entry that does not exist.
#[derive(Serialize)]
struct Missing<'a> {
    result: &'a str,
    version: Version,
    problems: [String; 1],
}

/// Returns the reply for an entry that does not exist, with the version on which its creation can
/// be based.
fn missing(version: Version, kind: &str, name: &str) -> Reply {
    let problems = [format!("{kind} {name:?} does not exist")];
    let body = Missing {
        result: "not-found",
        version,
        problems,
    };
    json(StatusCode::NOT_FOUND, &body)
}

/// Returns the whole configuration without token digests.
fn config_view(config: &FleetConfig) -> Config<'_> {
    Config {
        version: config.version,
        classes: &config.classes,
        customers: views(&config.customers),
        teams: views(&config.teams),
    }
}

/// Converts the entries of a table to their views.
fn views<'a, T, V: From<&'a T>>(entries: &'a BTreeMap<String, T>) -> BTreeMap<&'a String, V> {
    let entries = entries.iter();
    entries.map(|(name, entry)| (name, entry.into())).collect()
}
