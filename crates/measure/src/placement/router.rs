//! One simulated router: its owner, and its view of engines and other routers.

use super::{CAPACITY, MODEL, Request, World};
use sequoiaridge_core::{DomainId, EndpointId, RouterId, Targets};
use sequoiaridge_membership::{EndpointHealth, EndpointReport, HealthConfig, HealthEvent};
use sequoiaridge_membership::{EndpointState as Reported, HealthState};
use sequoiaridge_policy::{
    Call, Candidate, ClassPolicy, EndpointInfo, EndpointState, Owner, OwnerConfig, RouterInfo,
    owner_of,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Region of all routers and engines.
pub(super) const REGION: &str = "region";
/// Time for which a router remains a substitute owner after it has taken a call as one.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(5);

/// Load count and state of one engine, as one owner reports them.
#[derive(Clone, Debug)]
pub(super) struct Count {
    pub(super) engine: EndpointId,
    pub(super) outstanding: u32,
    pub(super) state: Reported,
}

#[derive(Clone, Debug)]
struct Listed {
    domain: DomainId,
    leaving: bool,
}

/// A simulated router.
#[derive(Debug)]
pub(super) struct Router {
    pub(super) info: RouterInfo,
    pub(super) owner: Owner,
    pub(super) draining: bool,
    /// Live routers except this one.
    pub(super) peers: BTreeMap<RouterId, RouterInfo>,
    /// Other routers that are draining.
    leaving: BTreeSet<RouterId>,
    /// Owner of each engine, derived from the membership list and the live routers.
    pub(super) owners: BTreeMap<EndpointId, RouterId>,
    /// Engines that may take work.
    pub(super) candidates: Vec<Candidate>,
    list: BTreeMap<EndpointId, Listed>,
    counts: BTreeMap<RouterId, BTreeMap<EndpointId, Count>>,
    health: BTreeMap<EndpointId, EndpointHealth>,
    /// Engines for which this router is a substitute owner, with the time at which that ends.
    substituting: BTreeMap<EndpointId, Duration>,
    /// Times at which engines joined, failed or restarted.
    joined: BTreeMap<EndpointId, Duration>,
}

impl Router {
    /// Starts a router that has read the membership list.
    pub(super) fn start(info: RouterInfo, peers: Vec<RouterInfo>, world: &World) -> Router {
        let mut router = Router {
            info,
            owner: Owner::new(OwnerConfig::default()),
            draining: false,
            peers: peers.into_iter().map(|p| (p.id.clone(), p)).collect(),
            leaving: BTreeSet::new(),
            owners: BTreeMap::new(),
            candidates: Vec::new(),
            list: BTreeMap::new(),
            counts: BTreeMap::new(),
            health: BTreeMap::new(),
            substituting: BTreeMap::new(),
            joined: BTreeMap::new(),
        };
        router.load_list(world);
        router
    }

    /// Reads the first list. Its engines do not count as newly joined, because they were there
    /// before this router.
    pub(super) fn load_list(&mut self, world: &World) {
        for id in world.engines.keys() {
            self.update_listed(world, id);
        }
        self.joined.clear();
    }

    /// Reads the list's entry of an engine.
    pub(super) fn update_listed(&mut self, world: &World, id: &EndpointId) {
        let engine = &world.engines[id];
        let entry = Listed {
            domain: engine.domain.clone(),
            leaving: engine.leaving,
        };
        if self.list.insert(id.clone(), entry).is_none() {
            self.joined.insert(id.clone(), world.now);
        }
    }

    /// Removes another router from the live ones because it is dead or leaving.
    pub(super) fn remove_peer(&mut self, id: &RouterId, dead: bool, now: Duration) {
        self.peers.remove(id);
        if !dead {
            self.leaving.insert(id.clone());
        } else {
            self.leaving.remove(id);
            self.counts.remove(id);
            self.owner.forget_router(id, now);
        }
    }

    /// Returns whether the counts of a router are accepted, which they are unless it is considered
    /// dead.
    pub(super) fn accepts_counts_of(&self, id: &RouterId) -> bool {
        self.peers.contains_key(id) || self.leaving.contains(id)
    }

    /// Records the counts of another router and passes all known counts to the owner.
    pub(super) fn receive(&mut self, from: &RouterId, counts: Vec<Count>, now: Duration) {
        let of_router = self.counts.entry(from.clone()).or_default();
        let counts = counts.into_iter().map(|c| (c.engine.clone(), c));
        *of_router = counts.collect();
        let all = self.counts.iter();
        let all = all.flat_map(|(from, of)| of.values().map(move |c| (from, c)));
        let reports = all.map(|(from, c)| (from, &c.engine, c.outstanding));
        self.owner.set_reports(reports, now);
    }

    /// Returns the counts that this router sends to the others.
    pub(super) fn report(&self, now: Duration) -> Vec<Count> {
        let counts: BTreeMap<EndpointId, u32> = self.owner.counts().into_iter().collect();
        let ids: BTreeSet<&EndpointId> = self.health.keys().chain(counts.keys()).collect();
        let state = |id: &EndpointId| {
            let health = self.health.get(id);
            health.map_or(Reported::Unknown, |health| health.state(now).into())
        };
        let ids = ids.into_iter();
        ids.map(|id| Count {
            engine: id.clone(),
            outstanding: counts.get(id).copied().unwrap_or(0),
            state: state(id),
        })
        .collect()
    }

    /// Returns the owner of an engine if the routers in `excluded` cannot be reached.
    pub(super) fn owner_excluding(
        &self,
        id: &EndpointId,
        excluded: &[RouterId],
    ) -> Option<RouterId> {
        let mut live: Vec<RouterInfo> = self.peers.values().cloned().collect();
        live.extend((!self.draining).then(|| self.info.clone()));
        live.retain(|router| !excluded.contains(&router.id));
        owner_of(id, &self.list.get(id)?.domain, REGION, &live)
    }

    /// Updates view, owner and health, as the router process does several times a second.
    pub(super) fn refresh(&mut self, world: &World) {
        let now = world.now;
        self.owners.clear();
        self.candidates.clear();
        self.substituting.retain(|_, end| *end > now);
        let mut live: Vec<RouterInfo> = self.peers.values().cloned().collect();
        live.extend((!self.draining).then(|| self.info.clone()));
        let ids: Vec<EndpointId> = self.list.keys().cloned().collect();
        for id in &ids {
            let listed = &self.list[id];
            let Some(owner) = owner_of(id, &listed.domain, REGION, &live) else {
                continue;
            };
            let own = owner == self.info.id || self.substituting.contains_key(id);
            let mut state = self.reported(id, &owner);
            if own {
                let health = (self.health.entry(id.clone()))
                    .or_insert_with(|| EndpointHealth::new(HealthConfig::default()));
                health.set_listed_leaving(listed.leaving, now);
                state = health.state(now).into();
            } else {
                self.health.remove(id);
            }
            let usable = matches!(state, Reported::Unknown | Reported::Up);
            if usable && !listed.leaving {
                self.candidates.push(Candidate::new(id.clone(), CAPACITY));
            }
            let known = if !own && state == Reported::Unknown {
                Reported::Up
            } else {
                state
            };
            self.set_endpoint(id, own, known, now);
            self.owners.insert(id.clone(), owner);
        }
    }

    /// Returns the state of an engine as its owner reports it, or else as any other live router
    /// does.
    fn reported(&self, id: &EndpointId, owner: &RouterId) -> Reported {
        let of = |router: &RouterId| self.counts.get(router).and_then(|c| c.get(id));
        let other = || {
            let live = self.counts.iter();
            let live = live.filter(|(router, _)| self.peers.contains_key(*router));
            live.filter_map(|(_, c)| c.get(id)).next_back()
        };
        of(owner)
            .or_else(other)
            .map_or(Reported::Unknown, |c| c.state)
    }

    fn set_endpoint(&mut self, id: &EndpointId, own: bool, state: Reported, now: Duration) {
        let state = match state {
            Reported::Up => EndpointState::Up,
            Reported::Leaving => EndpointState::Leaving,
            _ => EndpointState::Down,
        };
        let info = EndpointInfo {
            id: id.clone(),
            capacity: CAPACITY,
            groups: World::groups(),
            state,
            owned: own,
            joined: self.joined.get(id).copied(),
        };
        self.owner.set_endpoint(info, now);
    }

    /// Probes the engines that are due.
    pub(super) fn probe_due(&mut self, world: &World) {
        let now = world.now;
        let due = self.health.iter_mut();
        let due: Vec<EndpointId> = due
            .filter_map(|(id, health)| health.probe_due(now).then(|| id.clone()))
            .collect();
        due.iter().for_each(|id| self.probe(world, id));
    }

    /// Probes one engine now.
    pub(super) fn probe(&mut self, world: &World, id: &EndpointId) {
        let Some(health) = self.health.get_mut(id) else {
            return;
        };
        let (now, engine) = (world.now, &world.engines[id]);
        if engine.reachable {
            let report = EndpointReport {
                boot: engine.boot,
                leaving: engine.leaving,
                running: engine.running,
                capacity: CAPACITY,
            };
            health.probe_ok(report, now);
        } else {
            health.probe_failed(now, true);
        }
        let state = health.state(now);
        for event in health.events() {
            if matches!(event, HealthEvent::Down | HealthEvent::Restarted { .. }) {
                self.joined.insert(id.clone(), now);
            }
        }
        let policy = match state {
            HealthState::Up => EndpointState::Up,
            HealthState::Leaving => EndpointState::Leaving,
            _ => EndpointState::Down,
        };
        self.owner.set_state(id, policy, now);
        if state == HealthState::Up {
            self.owner.record_probe(id, engine.running, now);
        }
    }

    /// Makes this router a substitute for the owner of an engine.
    pub(super) fn become_substitute(&mut self, world: &World, id: &EndpointId) {
        let end = world.now + SUBSTITUTE_TIME;
        let old = self.substituting.insert(id.clone(), end);
        if old.is_some_and(|old| old > world.now) || !self.list.contains_key(id) {
            return;
        }
        self.health
            .entry(id.clone())
            .or_insert_with(|| EndpointHealth::new(HealthConfig::default()));
        self.set_endpoint(id, true, Reported::Up, world.now);
        self.probe(world, id);
    }

    /// Returns whether `engine`, to which this router has just admitted a request, is within the
    /// load bound by the counts that this router has.
    pub(super) fn within_bound(&self, engine: &EndpointId, now: Duration) -> bool {
        let open = self.list.keys().filter(|id| self.owner.is_open(id, now));
        let (mut work, mut total) = (0, 0);
        for id in open {
            work += u64::from(self.owner.load(id, now));
            total += u64::from(CAPACITY);
        }
        let bound = sequoiaridge_policy::LoadBound::default();
        u64::from(self.owner.load(engine, now)) <= bound.limit(work, CAPACITY.into(), total)
    }

    /// Converts a request into the call that is passed to the owner.
    pub(super) fn call(request: &Request, cached_only: bool, now: Duration) -> Call {
        let policy = ClassPolicy::from_targets(&Targets::default());
        Call {
            ticket: request.ticket,
            customer: request.customer.clone(),
            class: "chat".to_string(),
            group: MODEL.to_string(),
            chat: Some(request.key),
            fingerprint: request.ticket,
            suspect: false,
            cached_only,
            cost: (1 + request.prompt / 1024) as u32,
            arrival: now,
            deadline: now + policy.deadline,
            policy,
        }
    }
}
