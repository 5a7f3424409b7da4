//! A pass over the endpoints with what placement and admission read of each.

use crate::health::{EndpointHealth, Health};
use crate::load::{Loads, Work};
use crate::load_reports::ReportKey;
use crate::manifest::EndpointEntry;
use crate::rest::Rests;
use crate::roster::Roster;
use crate::sorted_walk::SortedWalk;
use std::time::Duration;

/// The tables that a pass reads.
#[derive(Clone, Copy, Debug)]
pub struct EndpointTables<'a> {
    /// Endpoints that the registry lists.
    pub roster: &'a Roster,
    /// Outstanding work.
    pub loads: &'a Loads,
    /// Failures and error rates.
    pub health: &'a Health,
    /// Endpoints that rest.
    pub rests: &'a Rests,
}

/// One endpoint in a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScannedEndpoint<'a> {
    /// The endpoint as the registry lists it.
    pub entry: &'a EndpointEntry,
    /// Its key in load reports and paces.
    pub key: ReportKey,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Work of all routers there.
    pub work: Work,
    /// What this router's requests showed of its health.
    pub health: EndpointHealth,
    /// Whether it asked this router to send nothing for a while.
    pub resting: bool,
}

impl<'a> EndpointTables<'a> {
    /// The endpoints in use that `is_wanted` selects, in the order of their ids.
    pub fn scan(
        self,
        is_wanted: impl Fn(&EndpointEntry) -> bool + 'a,
        now: Duration,
    ) -> impl Iterator<Item = ScannedEndpoint<'a>> {
        let mut works = self.loads.walk(now);
        let mut records = self.health.walk();
        let mut rests = SortedWalk::new(self.rests.ends());
        let listed = self.roster.listed(is_wanted, now);
        listed.map(move |listed| ScannedEndpoint {
            entry: listed.entry,
            key: listed.key,
            leaving: listed.leaving,
            work: works.outstanding(&listed.entry.id, listed.key),
            health: records.find(&listed.entry.id).copied().unwrap_or_default(),
            resting: rests
                .find(&listed.entry.id)
                .is_some_and(|until| now < *until),
        })
    }
}
