//! Size of one configuration change, and of the whole configuration.

use sequoiaridge_core::{Change, Class, Customer, FleetConfig, Targets, Team, token_digest};

/// Number of classes and of teams in the configuration, beside the customers.
const CLASSES: usize = 40;
const TEAMS: usize = 20;
/// Configuration changes a day at the target size.
const CHANGES_PER_DAY: f64 = 6_700.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of versions from one snapshot to the next.
pub const SNAPSHOT_EVERY: u64 = 64;

/// Sizes in bytes as JSON, the form in which a configuration is stored and sent.
#[derive(Clone, Copy, Debug)]
pub struct ConfigBytes {
    /// The whole document.
    pub document: usize,
    /// A change of a class's targets.
    pub class_change: usize,
    /// A change of a customer's tokens.
    pub customer_change: usize,
}

impl ConfigBytes {
    /// Returns the bytes per second and router if the whole document is sent at each change.
    pub fn full_rate(&self) -> f64 {
        self.document as f64 * CHANGES_PER_DAY / SECONDS_PER_DAY
    }

    /// Returns the bytes per second and router if only the changes are sent.
    pub fn change_rate(&self) -> f64 {
        self.class_change.max(self.customer_change) as f64 * CHANGES_PER_DAY / SECONDS_PER_DAY
    }

    /// Returns the number of missed changes beyond which a snapshot is smaller than the changes.
    pub fn break_even(&self) -> usize {
        self.document / self.class_change.max(self.customer_change)
    }
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// Measures a configuration that has `customers` customers with one token each.
pub fn measure(customers: usize) -> ConfigBytes {
    let mut config = FleetConfig::default();
    let team = |n: usize| format!("team-{n:02}");
    for number in 0..TEAMS {
        config.apply(&Change::SetTeam {
            name: team(number),
            team: Team {
                tokens: [token_digest(&team(number))].into(),
                admin: number == 0,
            },
        });
    }
    let class_change = |number: usize| Change::SetClass {
        name: format!("class-{number:02}"),
        class: Class {
            team: team(number % TEAMS),
            targets: Targets::default(),
        },
    };
    (0..CLASSES).for_each(|number| config.apply(&class_change(number)));
    let customer_change = |number: usize| {
        let name = format!("customer-{number:04}");
        let tokens = [token_digest(&name)].into();
        let customer = Customer { tokens };
        Change::SetCustomer { name, customer }
    };
    (0..customers).for_each(|number| config.apply(&customer_change(number)));
    ConfigBytes {
        document: json_bytes(&config),
        class_change: json_bytes(&class_change(7)),
        customer_change: json_bytes(&customer_change(7)),
    }
}
