//! The routers and endpoints that a router currently knows, from the membership list, gossip and
//! probes.

use sequoiaridge_core::{
    DomainId, EndpointId, Fingerprint, Member, ModelName, RouterId, hash_parts,
};
use sequoiaridge_membership::{EndpointState, LoadReport, PeerView};
use sequoiaridge_policy::{Candidate, RouterInfo, owner_of};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One endpoint in a [`View`].
#[derive(Clone, Debug)]
pub(crate) struct EndpointView {
    pub(crate) member: Member,
    /// The router that owns the endpoint.
    pub(crate) owner: RouterId,
    /// State that the owner reports, or another router if the owner has not yet; `Unknown` without
    /// a report.
    pub(crate) state: EndpointState,
}

/// A consistent snapshot of the fleet.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) routers: BTreeMap<RouterId, SocketAddr>,
    infos: Vec<RouterInfo>,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointView>,
    groups: BTreeMap<ModelName, Vec<Candidate>>,
}

impl View {
    /// Builds the view. `this_router` is `None` while this router may not own endpoints.
    pub(crate) fn build(
        this_router: Option<RouterInfo>,
        peers: &[PeerView],
        members: &BTreeMap<EndpointId, Member>,
        loads: &[LoadReport],
    ) -> View {
        let live = peers.iter().filter(|peer| peer.state.owns());
        let routers = live
            .clone()
            .map(|peer| (peer.id.clone(), peer.addr))
            .collect();
        let mut infos: Vec<RouterInfo> = live
            .map(|peer| RouterInfo {
                id: peer.id.clone(),
                domain: peer.domain.clone(),
                region: peer.region.clone(),
            })
            .collect();
        infos.extend(this_router);
        let mut view = View {
            routers,
            infos,
            ..View::default()
        };
        view.add_endpoints(members, loads);
        view
    }

    fn add_endpoints(&mut self, members: &BTreeMap<EndpointId, Member>, loads: &[LoadReport]) {
        let mut reported: BTreeMap<&EndpointId, Vec<&LoadReport>> = BTreeMap::new();
        for load in loads {
            reported.entry(&load.endpoint).or_default().push(load);
        }
        for (id, member) in members {
            let owner = owner_of(id, &member.domain, &member.region, &self.infos);
            let Some(owner) = owner else { continue };
            let reports = reported.remove(id).unwrap_or_default();
            let by_owner = reports.iter().find(|report| report.owner == owner);
            let state = by_owner
                .or(reports.last())
                .map_or(EndpointState::Unknown, |report| report.state);
            let usable = matches!(state, EndpointState::Unknown | EndpointState::Up)
                && member.state == sequoiaridge_core::MemberState::Live;
            if usable {
                let candidate = Candidate::new(id.clone(), member.capacity);
                for group in &member.serves {
                    self.groups
                        .entry(group.clone())
                        .or_default()
                        .push(candidate.clone());
                }
            }
            let entry = EndpointView {
                member: member.clone(),
                owner,
                state,
            };
            self.endpoints.insert(id.clone(), entry);
        }
    }

    /// Returns the failure domains of the routers that may own endpoints.
    pub(crate) fn domains(&self) -> BTreeMap<&RouterId, &DomainId> {
        let infos = self.infos.iter();
        infos.map(|info| (&info.id, &info.domain)).collect()
    }

    /// Returns the endpoints of a group that may admit calls.
    pub(crate) fn candidates(&self, group: &str) -> &[Candidate] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Whether any endpoint serves the group, whatever its state.
    pub(crate) fn knows_group(&self, group: &str) -> bool {
        self.groups.contains_key(group)
            || self
                .endpoints
                .values()
                .any(|e| e.member.serves.iter().any(|name| name == group))
    }

    /// Returns the router that grants the turns to run copies of a suspect, by rendezvous hashing
    /// over the routers that can be reached.
    pub(crate) fn arbiter(
        &self,
        fingerprint: Fingerprint,
        unreachable: &[RouterId],
    ) -> Option<RouterId> {
        let score = |id: &RouterId| hash_parts(&[id.as_bytes(), &fingerprint.to_le_bytes()]);
        let ids = self.infos.iter().map(|info| &info.id);
        ids.filter(|id| !unreachable.contains(id))
            .max_by_key(|id| (score(id), *id))
            .cloned()
    }

    /// Returns the owner of an endpoint among the routers that can be reached.
    pub(crate) fn owner_without(
        &self,
        endpoint: &str,
        unreachable: &[RouterId],
    ) -> Option<RouterId> {
        let member = &self.endpoints.get(endpoint)?.member;
        let reachable: Vec<RouterInfo> = self
            .infos
            .iter()
            .filter(|info| !unreachable.contains(&info.id))
            .cloned()
            .collect();
        owner_of(endpoint, &member.domain, &member.region, &reachable)
    }
}
