//! Exchange of work and capacity sums per group: publishes the sums of this router and passes those
//! of the other owners to the admission state (`Owner`). See section 4.1 of `docs/design.md`.

use crate::shared::{Shared, lock};
use crate::view::View;
use sequoiaridge_core::{EndpointId, MemberState, Role, RouterId};
use sequoiaridge_membership::{
    CountScope, EndpointState, FleetSums, GroupSum, MAX_COUNTED_ENDPOINTS,
};
use sequoiaridge_policy::RemoteTotals;
use std::collections::BTreeSet;

/// Publishes the sums of this router and applies those received from other owners.
pub(crate) fn exchange(shared: &Shared) {
    let now = shared.now();
    let view = shared.view();
    // In a small fleet the count of every endpoint is known. Counts are more precise than sums,
    // because an endpoint that has just changed its owner is never missing, so sums would only cost
    // bytes.
    let large = view.endpoints.len() > MAX_COUNTED_ENDPOINTS;
    let own = large.then(|| lock(&shared.owner).sums(now));
    let own: Vec<GroupSum> = own
        .into_iter()
        .flatten()
        .map(|(group, total)| GroupSum {
            group,
            outstanding: saturating_u32(total.work),
            capacity: saturating_u32(total.capacity),
        })
        .collect();
    let scope = CountScope::for_fleet(view.endpoints.len(), service_endpoints(&view));
    let sums = {
        let mut detector = lock(&shared.detector);
        detector.set_sums(&own, scope);
        detector.sums(now)
    };
    let others = large.then(|| totals(&view, &sums, shared.id()));
    lock(&shared.owner).set_remote_totals(others);
}

/// Returns the largest ratio of the load of one of this router's endpoints to the mean of its
/// group, which is the endpoint's share of the group's work by capacity.
///
/// In a large fleet the counts of other owners' endpoints are not known, so the skew of the fleet
/// is the largest value of all routers.
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

/// Converts a count to 32 bits; larger values become `u32::MAX`.
fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns the endpoints of services, among which routers choose by least outstanding work.
fn service_endpoints(view: &View) -> impl Iterator<Item = EndpointId> {
    let endpoints = view.endpoints.iter();
    let services = endpoints.filter(|(_, endpoint)| endpoint.member.role == Role::Service);
    services.map(|(id, _)| id.clone())
}

/// Returns the work and capacity of all other owners. Endpoints whose owner is in no sum count as
/// idle.
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
