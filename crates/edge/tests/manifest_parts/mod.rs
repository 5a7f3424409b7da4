//! Parts of configurations that several tests have in common.
#![allow(dead_code)]

use sequoiaridge_edge::{CallerLimits, Customer, Kind, Route};
use std::time::Duration;

/// A route of one host to one service.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "a.example".to_string(),
        prefix: prefix.to_string(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        pause: None,
        priority: 0,
        services: vec![("app".to_string(), 1)],
        attempts: 2,
        anonymous: false,
        regions: None,
    }
}

/// A customer with one key.
pub fn customer(name: &str, key: &str) -> Customer {
    Customer {
        name: name.to_string(),
        keys: vec![key.to_string()],
        priority: None,
        regions: None,
    }
}

/// Limits on what callers send.
pub fn limits() -> CallerLimits {
    CallerLimits {
        head: 16_384,
        body: 1 << 20,
        arrival: Duration::from_secs(3),
        idle: Duration::from_secs(15),
    }
}
