//! Builders shared by the tests of the queue and the owner.

#![allow(dead_code)]

use sequoiaridge_core::Targets;
use sequoiaridge_policy::{
    Call, ClassPolicy, EndpointInfo, EndpointState, Owner, OwnerConfig, Placement,
};
use std::time::Duration;

/// Converts milliseconds to a duration.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A call of the class "chat" (first token within 2 s, so it may wait 1 s) for the group "m".
pub fn call(ticket: u64, customer: &str, arrival: Duration) -> Call {
    let targets = Targets {
        first_token: 2.0,
        ..Targets::default()
    };
    Call {
        ticket,
        customer: customer.to_string(),
        class: "chat".to_string(),
        policy: ClassPolicy::from_targets(&targets),
        group: "m".to_string(),
        chat: Some(ticket),
        fingerprint: ticket,
        suspect: false,
        cached_only: false,
        cost: 1,
        arrival,
        deadline: arrival + targets.deadline(),
    }
}

/// Description of an endpoint of the group "m".
pub fn endpoint(id: &str, capacity: u32, own: bool) -> EndpointInfo {
    EndpointInfo {
        id: id.to_string(),
        capacity,
        groups: vec!["m".to_string()],
        state: EndpointState::Up,
        owned: own,
        joined: None,
    }
}

/// Creates an owner of the endpoints in `own` that also knows those in `other`. Returns it with a
/// time after the settling and lookback times, at which the owned endpoints were probed.
pub fn owner(
    config: OwnerConfig,
    own: &[&str],
    other: &[&str],
    capacity: u32,
) -> (Owner, Duration) {
    let mut owner = Owner::new(config);
    for id in own {
        owner.set_endpoint(endpoint(id, capacity, true), ms(0));
    }
    for id in other {
        owner.set_endpoint(endpoint(id, capacity, false), ms(0));
    }
    let now = Duration::from_secs(3_600);
    own.iter().for_each(|id| owner.record_probe(id, 0, now));
    (owner, now)
}

/// Converts names to endpoint ids.
pub fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

/// The placement that admits to `id`.
pub fn admit(id: &str) -> Placement {
    Placement::Admit {
        endpoint: id.to_string(),
    }
}

/// The placement that forwards to the owner of `id`.
pub fn forward(id: &str, next: &[&str], cached_only: bool) -> Placement {
    Placement::Forward {
        endpoint: id.to_string(),
        next: ids(next),
        cached_only,
    }
}
