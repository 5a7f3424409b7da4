//! Brings the view of the fleet and the owner's table up to date with list, gossip and probes.

use crate::probes;
use crate::shared::{ListedEndpoints, Phase, Shared, lock};
use crate::view::View;
use sequoiaridge_core::{EndpointId, Member, MemberState, RouterId, hash64};
use sequoiaridge_membership::{
    EndpointState as Reported, LoadReport, MAX_COUNTED_ENDPOINTS, PeerView,
};
use sequoiaridge_policy::{EndpointInfo, EndpointState, Owner, RouterInfo};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Time between two looks, in a large fleet, at reports that endpoints are up.
const CONFIRM_EVERY: Duration = Duration::from_secs(5);

/// State in the terms of the owner's table.
pub(crate) fn policy_state(state: Reported) -> EndpointState {
    match state {
        Reported::Up => EndpointState::Up,
        Reported::Leaving => EndpointState::Leaving,
        Reported::Unknown | Reported::Down | Reported::Released => EndpointState::Down,
    }
}

/// Description of an endpoint for the owner's table.
pub(crate) fn endpoint_info(
    member: &Member,
    own: bool,
    state: Reported,
    joined: Option<Duration>,
) -> EndpointInfo {
    EndpointInfo {
        id: member.id.clone(),
        capacity: member.capacity,
        groups: member.serves.clone(),
        state: policy_state(state),
        owned: own,
        joined,
    }
}

/// Refreshes view and owner's table. Most of the time only counts change; then the view, whose cost
/// grows with the number of endpoints, stays as it is.
pub(crate) fn refresh(shared: &Shared) {
    let mut last = lock(&shared.last_refresh);
    let members = lock(&shared.members).clone();
    let (peers, loads) = {
        let detector = lock(&shared.detector);
        (detector.view(), detector.loads())
    };
    report_counts(shared, &loads);
    // A draining router gives its endpoints up, unless nobody else could take them.
    let alone = !peers.iter().any(|peer| peer.state.owns());
    let owns = shared.phase() == Phase::Serving || (shared.phase() == Phase::Draining && alone);
    let adopted = adopted(shared);
    let signature = Signature::new(&members, &peers, &loads, &adopted, owns);
    if last.covers(&signature, members.endpoints.len(), shared.now()) {
        refresh_own(shared);
        return;
    }
    *last = LastRefresh {
        signature,
        at: shared.now(),
    };
    let me = owns.then(|| RouterInfo {
        id: shared.id().clone(),
        domain: shared.settings.domain.clone(),
        region: shared.settings.region.clone(),
    });
    let view = Arc::new(View::build(me, &peers, &members.endpoints, &loads));
    *shared.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
    refresh_owner(shared, &view, &adopted);
}

/// Endpoints that this router admits to as a substitute.
fn adopted(shared: &Shared) -> BTreeSet<EndpointId> {
    let now = shared.now();
    let mut adopted = lock(&shared.adopted);
    adopted.retain(|_, end| *end > now);
    adopted.keys().cloned().collect()
}

/// What the view was built from, and when.
#[derive(Debug, Default)]
pub(crate) struct LastRefresh {
    signature: Signature,
    at: Duration,
}

impl LastRefresh {
    /// Whether the view may stay as it is. In a large fleet, in which reports come and go all the
    /// time, reports that only confirm that an endpoint is up are taken in every few seconds.
    fn covers(&self, now: &Signature, endpoints: usize, time: Duration) -> bool {
        let patient = endpoints > MAX_COUNTED_ENDPOINTS && time < self.at + CONFIRM_EVERY;
        self.signature.urgent == now.urgent && (patient || self.signature.whole == now.whole)
    }
}

/// Hashes of what shapes the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signature {
    /// List, peers, ownership, and the endpoints that take no work.
    urgent: u64,
    /// All of that, and the endpoints that are reported up.
    whole: u64,
}

impl Signature {
    fn new(
        members: &ListedEndpoints,
        peers: &[PeerView],
        loads: &[LoadReport],
        adopted: &BTreeSet<EndpointId>,
        owns: bool,
    ) -> Signature {
        let mut bytes = members.generation.to_le_bytes().to_vec();
        bytes.push(u8::from(owns));
        for peer in peers.iter().filter(|peer| peer.state.owns()) {
            push(&mut bytes, &peer.id, 1);
            push(&mut bytes, &peer.addr.to_string(), 1);
        }
        adopted.iter().for_each(|id| push(&mut bytes, id, 2));
        let works = |load: &&LoadReport| matches!(load.state, Reported::Up | Reported::Unknown);
        let report = |bytes: &mut Vec<u8>, load: &LoadReport| {
            push(bytes, &load.endpoint, 3);
            push(bytes, &load.owner, load.state as u8);
        };
        let idle = loads.iter().filter(|load| !works(load));
        idle.for_each(|load| report(&mut bytes, load));
        let urgent = hash64(&bytes);
        loads
            .iter()
            .filter(works)
            .for_each(|load| report(&mut bytes, load));
        Signature {
            urgent,
            whole: hash64(&bytes),
        }
    }
}

/// Adds a text and a mark to bytes that are hashed; the zero keeps neighbours apart.
fn push(bytes: &mut Vec<u8>, text: &str, mark: u8) {
    bytes.extend_from_slice(text.as_bytes());
    bytes.extend_from_slice(&[0, mark]);
}

/// Hands the counts of other routers to the owner's table.
fn report_counts(shared: &Shared, loads: &[LoadReport]) {
    let mut outstanding: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for load in loads {
        *outstanding.entry(load.endpoint.clone()).or_default() += load.outstanding;
    }
    let others = loads.iter().filter(|load| &load.owner != shared.id());
    let reports = others.map(|load| (&load.owner, &load.endpoint, load.outstanding));
    lock(&shared.owner).set_reports(reports, shared.now());
    *shared
        .outstanding
        .write()
        .unwrap_or_else(PoisonError::into_inner) = Arc::new(outstanding);
}

/// Brings health and owner's table up to date with a new view.
fn refresh_owner(shared: &Shared, view: &View, adopted: &BTreeSet<EndpointId>) {
    let now = shared.now();
    let mut health = lock(&shared.health);
    let joined = lock(&shared.joined).clone();
    let mut owner = lock(&shared.owner);
    let is_own = |id: &EndpointId, of: &RouterId| of == shared.id() || adopted.contains(id);
    let before = health.len();
    health.retain(|id, _| view.endpoints.get(id).is_some_and(|e| is_own(id, &e.owner)));
    let moved = health.len() < before;
    for (id, endpoint) in &view.endpoints {
        let member = &endpoint.member;
        let own = is_own(id, &endpoint.owner);
        let mut state = endpoint.state;
        if own {
            let entry = health.entry(id.clone());
            let entry = entry.or_insert_with(|| probes::new_health(shared));
            entry.set_listed_leaving(member.state == MemberState::Leaving, now);
            state = entry.state(now).into();
        } else if state == Reported::Unknown {
            // Before the owner's first report the endpoint may be tried; its owner decides.
            state = Reported::Up;
        }
        owner.set_endpoint(
            endpoint_info(member, own, state, joined.get(id).copied()),
            now,
        );
    }
    remove_unlisted(&mut owner, view);
    drop((owner, health));
    if moved {
        shared.move_waiting();
    }
}

fn remove_unlisted(owner: &mut Owner, view: &View) {
    let unlisted = owner
        .endpoint_ids()
        .into_iter()
        .filter(|id| !view.endpoints.contains_key(id));
    unlisted.for_each(|id| owner.remove_endpoint(&id));
}

/// Carries the health of the own endpoints over, which also changes by the passing of time.
fn refresh_own(shared: &Shared) {
    let now = shared.now();
    let health = lock(&shared.health);
    let mut owner = lock(&shared.owner);
    for (id, health) in health.iter() {
        owner.set_state(id, policy_state(health.state(now).into()), now);
    }
}
