//! Sums of work and capacity per group: publishes the own ones, and gives those of the others to the
//! owner's table. See section 4.1 of `docs/design.md`.

use crate::shared::{Shared, lock};
use crate::view::View;
use sequoiaridge_core::{EndpointId, MemberState, Role, RouterId};
use sequoiaridge_membership::{
    CountScope, EndpointState, FleetSums, GroupSum, MAX_COUNTED_ENDPOINTS,
};
use sequoiaridge_policy::RemoteTotals;
use std::collections::BTreeSet;

/// Publishes the own sums and takes over those of the others.
pub(crate) fn exchange(shared: &Shared) {
    let now = shared.now();
    let view = shared.view();
    // With few endpoints every count is known, which says more than sums do: an endpoint that has
    // just changed its owner is never missing. Sums would then only cost bytes.
    let large = view.endpoints.len() > MAX_COUNTED_ENDPOINTS;
    let own = large.then(|| lock(&shared.owner).sums(now));
    let own: Vec<GroupSum> = own
        .into_iter()
        .flatten()
        .map(|(group, total)| GroupSum {
            group,
            outstanding: saturated(total.work),
            capacity: saturated(total.capacity),
        })
        .collect();
    let spread = CountScope::for_fleet(view.endpoints.len(), services(&view));
    let sums = {
        let mut detector = lock(&shared.detector);
        detector.set_sums(&own, spread);
        detector.sums(now)
    };
    let others = large.then(|| totals(&view, &sums, shared.id()));
    lock(&shared.owner).set_remote_totals(others);
}

/// Largest load of an own endpoint over the mean of its group, by capacity. In a large fleet the
/// counts of other owners' endpoints are not known; the largest value of all routers is the fleet's.
pub(crate) fn own_skew(shared: &Shared, view: &View) -> f64 {
    let owner = lock(&shared.owner);
    let own = view
        .endpoints
        .iter()
        .filter(|(_, e)| &e.owner == shared.id());
    let up = own.filter(|(_, endpoint)| endpoint.state == EndpointState::Up);
    let skews = up.flat_map(|(id, endpoint)| {
        let (load, slots) = (owner.outstanding(id), endpoint.member.capacity);
        let totals = endpoint
            .member
            .serves
            .iter()
            .map(|name| owner.group_total(name));
        let busy = totals.filter(|total| total.work > 0);
        busy.map(move |total| {
            let mean = total.work as f64 * f64::from(slots) / total.capacity.max(1) as f64;
            f64::from(load) / mean.max(f64::MIN_POSITIVE)
        })
    });
    skews.fold(0.0, f64::max)
}

fn saturated(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Instances of services, of which routers choose the least used one.
fn services(view: &View) -> impl Iterator<Item = EndpointId> {
    let endpoints = view.endpoints.iter();
    let services = endpoints.filter(|(_, endpoint)| endpoint.member.role == Role::Service);
    services.map(|(id, _)| id.clone())
}

/// Work and capacity of all other owners. The endpoints of owners that are in no sum count as idle.
fn totals(view: &View, sums: &FleetSums, me: &RouterId) -> RemoteTotals {
    let mut others = RemoteTotals::default();
    let owners = sums.owners.iter().flat_map(|sum| &sum.groups);
    let domains = sums.domains.iter().flat_map(|sum| &sum.groups);
    for sum in owners.chain(domains) {
        others.add(&sum.group, sum.outstanding, sum.capacity);
    }
    let mut known: BTreeSet<&RouterId> = sums.owners.iter().map(|sum| &sum.owner).collect();
    known.insert(me);
    let domains: BTreeSet<_> = sums.domains.iter().map(|sum| &sum.domain).collect();
    let of_domains = view.domains();
    let of_domains = of_domains
        .into_iter()
        .filter(|(_, domain)| domains.contains(domain));
    known.extend(of_domains.map(|(router, _)| router));
    for endpoint in view.endpoints.values() {
        let open = matches!(endpoint.state, EndpointState::Unknown | EndpointState::Up)
            && endpoint.member.state == MemberState::Live;
        if open && !known.contains(&endpoint.owner) {
            for group in &endpoint.member.serves {
                others.add_idle(group, endpoint.member.capacity);
            }
        }
    }
    others
}
