//! Updates the view of the fleet and the admission state (`Owner`) from the membership list, gossip
//! and probes.

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

/// Time between two view updates, in a large fleet, that only take in reports of usable endpoints.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);

/// Converts a reported state to that of the policy crate.
pub(crate) fn policy_state(state: Reported) -> EndpointState {
    match state {
        Reported::Up => EndpointState::Up,
        Reported::Leaving => EndpointState::Leaving,
        Reported::Unknown | Reported::Down | Reported::Released => EndpointState::Down,
    }
}

/// Returns the description of an endpoint for the admission state.
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

/// Refreshes the view and the admission state.
///
/// Most of the time only counts change. The view is then kept, because the cost of building it
/// grows with the number of endpoints.
pub(crate) fn refresh(shared: &Shared) {
    let mut last = lock(&shared.last_refresh);
    let members = lock(&shared.listed_endpoints).clone();
    let (peers, loads) = {
        let detector = lock(&shared.detector);
        (detector.view(), detector.loads())
    };
    update_counts(shared, &loads);
    // A draining router gives up its endpoints unless no other router can take them over.
    let alone = !peers.iter().any(|peer| peer.state.owns());
    let owns = shared.phase() == Phase::Serving || (shared.phase() == Phase::Draining && alone);
    let adopted = adopted(shared);
    let signature = Signature::new(&members, &peers, &loads, &adopted, owns);
    if last.is_current(&signature, members.endpoints.len(), shared.now()) {
        refresh_own_states(shared);
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

/// Removes expired adoptions and returns the endpoints that this router admits to as a substitute
/// for their owner.
fn adopted(shared: &Shared) -> BTreeSet<EndpointId> {
    let now = shared.now();
    let mut adopted = lock(&shared.adopted);
    adopted.retain(|_, end| *end > now);
    adopted.keys().cloned().collect()
}

/// Inputs and time of the last build of the view.
#[derive(Debug, Default)]
pub(crate) struct LastRefresh {
    signature: Signature,
    at: Duration,
}

impl LastRefresh {
    /// Returns whether the view can be kept.
    ///
    /// In a large fleet reports appear and expire all the time. Changes that only concern reports
    /// of usable endpoints then wait for [`CONFIRM_INTERVAL`].
    fn is_current(&self, now: &Signature, endpoints: usize, time: Duration) -> bool {
        let deferred = endpoints > MAX_COUNTED_ENDPOINTS && time < self.at + CONFIRM_INTERVAL;
        self.signature.urgent == now.urgent && (deferred || self.signature.full == now.full)
    }
}

/// Hashes of the inputs of the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signature {
    /// The membership list, peers, ownership, and the reports of endpoints that take no work.
    urgent: u64,
    /// All of that, and the reports of the other endpoints.
    full: u64,
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
            push_tagged(&mut bytes, &peer.id, 1);
            push_tagged(&mut bytes, &peer.addr.to_string(), 1);
        }
        adopted.iter().for_each(|id| push_tagged(&mut bytes, id, 2));
        let takes_work =
            |load: &&LoadReport| matches!(load.state, Reported::Up | Reported::Unknown);
        let report = |bytes: &mut Vec<u8>, load: &LoadReport| {
            push_tagged(bytes, &load.endpoint, 3);
            push_tagged(bytes, &load.owner, load.state as u8);
        };
        let unavailable = loads.iter().filter(|load| !takes_work(load));
        unavailable.for_each(|load| report(&mut bytes, load));
        let urgent = hash64(&bytes);
        loads
            .iter()
            .filter(takes_work)
            .for_each(|load| report(&mut bytes, load));
        Signature {
            urgent,
            full: hash64(&bytes),
        }
    }
}

/// Appends a string and a tag to the bytes to hash. The zero byte separates adjacent entries.
fn push_tagged(bytes: &mut Vec<u8>, text: &str, tag: u8) {
    bytes.extend_from_slice(text.as_bytes());
    bytes.extend_from_slice(&[0, tag]);
}

/// Passes the counts that other routers report to the admission state, and stores the sum of all
/// counts of each endpoint.
fn update_counts(shared: &Shared, loads: &[LoadReport]) {
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

/// Updates the health table and the admission state from a new view.
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
            // Before the owner's first report the endpoint counts as up; the owner decides on
            // admission.
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

/// Removes endpoints that are not in the view from the admission state.
fn remove_unlisted(owner: &mut Owner, view: &View) {
    let unlisted = owner
        .endpoint_ids()
        .into_iter()
        .filter(|id| !view.endpoints.contains_key(id));
    unlisted.for_each(|id| owner.remove_endpoint(&id));
}

/// Copies the health of this router's endpoints to the admission state. Health also changes with
/// time, without a new probe.
fn refresh_own_states(shared: &Shared) {
    let now = shared.now();
    let health = lock(&shared.health);
    let mut owner = lock(&shared.owner);
    for (id, health) in health.iter() {
        owner.set_state(id, policy_state(health.state(now).into()), now);
    }
}
