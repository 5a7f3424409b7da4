//! Tests the validation of configuration changes.

use sequoiaridge_core::{
    Change, ChangeError, Class, Customer, FleetConfig, MAX_CLASSES, MAX_CUSTOMERS, MAX_TEAMS,
    MAX_TOKENS, Targets, Team, token_digest,
};
use std::collections::BTreeSet;

fn tokens(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| token_digest(name)).collect()
}

fn set_team(name: &str, tokens: BTreeSet<String>, admin: bool) -> Change {
    let name = name.to_string();
    let team = Team { tokens, admin };
    Change::SetTeam { name, team }
}

fn set_customer(name: &str, tokens: BTreeSet<String>) -> Change {
    let name = name.to_string();
    let customer = Customer { tokens };
    Change::SetCustomer { name, customer }
}

fn set_class(name: &str, first_token: f64) -> Change {
    let targets = Targets {
        first_token,
        ..Targets::default()
    };
    let class = Class {
        team: "admins".to_string(),
        targets,
    };
    let name = name.to_string();
    Change::SetClass { name, class }
}

fn config() -> FleetConfig {
    let mut config = FleetConfig::default();
    config.apply(&set_team("admins", tokens(&["a"]), true));
    config.apply(&set_customer("one", tokens(&["1"])));
    config
}

/// Guards against configurations that grow too large for routers, frames and rows, and against
/// limits that also prevent changes of existing entries.
#[test]
fn the_number_of_entries_is_limited() {
    let mut config = config();
    for number in 0..MAX_CUSTOMERS - 1 {
        config.apply(&set_customer(&format!("c{number}"), BTreeSet::new()));
    }
    (0..MAX_CLASSES).for_each(|number| config.apply(&set_class(&format!("c{number}"), 1.0)));
    for number in 0..MAX_TEAMS - 1 {
        config.apply(&set_team(&format!("t{number}"), BTreeSet::new(), false));
    }
    let full = |kind, limit| vec![ChangeError::Full { kind, limit }];
    let problems = |change: Change| change.problems(&config);
    assert_eq!(
        problems(set_customer("new", tokens(&["2"]))),
        full("customers", MAX_CUSTOMERS)
    );
    assert_eq!(
        problems(set_class("new", 1.0)),
        full("classes", MAX_CLASSES)
    );
    assert_eq!(
        problems(set_team("new", tokens(&["2"]), false)),
        full("teams", MAX_TEAMS)
    );
    assert_eq!(problems(set_customer("one", tokens(&["2"]))), []);
    assert_eq!(problems(set_class("c0", 2.0)), []);
    assert_eq!(problems(set_team("t0", tokens(&["2"]), false)), []);
}

/// Guards against tokens given instead of digests, digests that never match because of their case,
/// too many digests, and tokens that identify two entries.
#[test]
fn tokens_are_digests_of_one_entry() {
    let config = config();
    let upper = token_digest("x").to_uppercase();
    let short = token_digest("x")[1..].to_string();
    for wrong in [upper, short, "secret".to_string(), String::new()] {
        let change = set_customer("two", [wrong].into());
        let problems = change.problems(&config);
        assert_eq!(problems, [ChangeError::Digest { at: 1 }]);
    }
    let many: BTreeSet<String> = (0..=MAX_TOKENS)
        .map(|number| token_digest(&number.to_string()))
        .collect();
    let limit = MAX_TOKENS;
    let given = limit + 1;
    // `many` includes the token of the customer `one`.
    assert_eq!(
        set_customer("two", many).problems(&config),
        [
            ChangeError::TooManyTokens { given, limit },
            ChangeError::TokenInUse {
                kind: "customer",
                name: "one".to_string()
            }
        ]
    );
    assert_eq!(
        set_customer("one", tokens(&["1", "2"])).problems(&config),
        []
    );
}

/// Guards against a fleet that nobody can administer any more.
#[test]
fn an_administrator_is_left() {
    let first = FleetConfig::default();
    let no_admin = [ChangeError::NoAdmin];
    assert_eq!(
        set_team("t", tokens(&["t"]), false).problems(&first),
        no_admin
    );
    assert_eq!(
        set_team("t", BTreeSet::new(), true).problems(&first),
        no_admin
    );
    assert_eq!(set_team("t", tokens(&["t"]), true).problems(&first), []);

    let mut config = config();
    let remove = |name: &str| Change::RemoveTeam {
        name: name.to_string(),
    };
    assert_eq!(remove("admins").problems(&config), no_admin);
    config.apply(&set_team("cooks", tokens(&["c"]), false));
    assert_eq!(remove("admins").problems(&config), no_admin);
    assert_eq!(
        set_team("admins", BTreeSet::new(), true).problems(&config),
        no_admin
    );
    assert_eq!(remove("cooks").problems(&config), []);
    config.apply(&set_team("cooks", tokens(&["c"]), true));
    assert_eq!(remove("admins").problems(&config), []);
}

/// Guards against accepting targets that are NaN, infinite or negative. NaN passes a check that
/// only compares with bounds.
#[test]
fn targets_that_are_not_numbers_are_refused() {
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        let problems = set_class("c", value).problems(&config());
        assert!(!problems.is_empty(), "{value}");
    }
}
