//! The membership list, which can be served with a lag.

use sequoiaridge_core::{Member, MemberState, Role};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns an entry of the list in Prometheus's HTTP service discovery format.
pub fn list_entry(member: &Member) -> Value {
    let role = match member.role {
        Role::Router => "router",
        Role::Engine => "engine",
        Role::Service => "service",
    };
    let state = match member.state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
    };
    json!({
        "targets": [member.address.to_string()],
        "labels": {
            "id": member.id,
            "role": role,
            "domain": member.domain,
            "region": member.region,
            "state": state,
            "serves": member.serves.join(","),
            "capacity": member.capacity.to_string(),
            "deduplicates": member.deduplicates.to_string(),
        },
    })
}

/// The list with the versions that a lagging reader may still see.
#[derive(Debug)]
pub(super) struct ListHistory {
    versions: Vec<(Instant, Vec<Value>)>,
    lag: Duration,
}

impl ListHistory {
    /// Creates a list with `members` as its only version.
    pub(super) fn new(members: Vec<Value>) -> ListHistory {
        ListHistory {
            versions: vec![(Instant::now(), members)],
            lag: Duration::ZERO,
        }
    }

    /// Replaces the list from now on.
    pub(super) fn set(&mut self, members: Vec<Value>) {
        self.versions.push((Instant::now(), members));
    }

    /// Makes the list be served as it was `lag` ago.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the list that is served now.
    pub(super) fn served(&self) -> &[Value] {
        let version = self
            .versions
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.lag);
        &version.unwrap_or(&self.versions[0]).1
    }
}
