//! Placement by the owners of several routers, which are asked in turn as in the router process.

use super::router::{Count, REGION, Router};
use super::run::domain;
use super::{Change, Decision, Placer, Request, Wakeups, World};
use rand::RngExt;
use sequoiaridge_core::{EndpointId, RefusalReason, RouterId};
use sequoiaridge_policy::{ChatEntry, Placement, RouterInfo, StartedCall, rank_top};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of endpoints that are ranked for a request.
const RANKED: usize = 3;
/// Largest number of owners that are asked for a request.
const MAX_ASKED: u32 = 3;
/// Delay before a request is sent again because the owner of its engine has changed or cannot be
/// reached.
const OWNER_MOVED_DELAY: Duration = Duration::from_millis(100);

/// Information that reaches a router after a delay.
#[derive(Debug)]
enum Update {
    Counts(RouterId, Vec<Count>),
    Up(RouterInfo),
    Removed { id: RouterId, dead: bool },
    Listed(EndpointId),
}

/// Several routers, each with its own view and its own counts.
#[derive(Debug)]
pub struct Fleet {
    lag: Duration,
    routers: BTreeMap<RouterId, Router>,
    // Router whose owner runs or queues a ticket.
    placed_at: BTreeMap<u64, RouterId>,
    updates: BTreeMap<(Duration, u64), (RouterId, Update)>,
    sequence: u64,
    violations: u64,
}

/// A request to the owner of `engine`.
#[derive(Clone, Debug)]
struct Step {
    engine: EndpointId,
    next: Vec<EndpointId>,
    asked: u32,
    lookup: bool,
}

/// Answer of an owner.
enum Answer {
    Decision(Decision),
    Forward(Step),
    Refused(RefusalReason, Duration),
}

impl Fleet {
    /// Creates a fleet of `routers` routers whose counts reach the others after `lag` on average.
    pub fn new(routers: usize, lag: Duration) -> Fleet {
        let infos = (0..routers).map(|n| router_info(&format!("router-{n}"), n));
        let world = World {
            now: Duration::ZERO,
            engines: BTreeMap::new(),
            rng: rand::SeedableRng::seed_from_u64(0),
        };
        let infos: Vec<RouterInfo> = infos.collect();
        let start = |info: &RouterInfo| {
            let peers = infos.iter().filter(|other| other.id != info.id);
            let router = Router::start(info.clone(), peers.cloned().collect(), &world);
            (info.id.clone(), router)
        };
        Fleet {
            lag,
            routers: infos.iter().map(start).collect(),
            placed_at: BTreeMap::new(),
            updates: BTreeMap::new(),
            sequence: 0,
            violations: 0,
        }
    }

    fn send(&mut self, at: Duration, to: &RouterId, update: Update) {
        self.sequence += 1;
        self.updates
            .insert((at, self.sequence), (to.clone(), update));
    }

    /// Sends an update to all routers except `except`, each after a random delay within `delay`, in
    /// seconds.
    fn broadcast(
        &mut self,
        world: &mut World,
        except: &RouterId,
        delay: (f64, f64),
        update: impl Fn() -> Update,
    ) {
        let ids: Vec<RouterId> = self.routers.keys().cloned().collect();
        for id in ids.iter().filter(|id| *id != except) {
            let delay = world.rng.random_range(delay.0..delay.1);
            self.send(world.now + Duration::from_secs_f64(delay), id, update());
        }
    }

    fn deliver(&mut self, world: &World) {
        while let Some(entry) = self
            .updates
            .first_entry()
            .filter(|e| e.key().0 <= world.now)
        {
            let (to, update) = entry.remove();
            let Some(router) = self.routers.get_mut(&to) else {
                continue;
            };
            match update {
                Update::Counts(from, counts) => {
                    if router.accepts_counts_of(&from) {
                        router.receive(&from, counts, world.now);
                    }
                }
                Update::Up(info) => drop(router.peers.insert(info.id.clone(), info)),
                Update::Removed { id, dead } => router.remove_peer(&id, dead, world.now),
                Update::Listed(id) => router.update_listed(world, &id),
            }
        }
    }

    /// Accepts a request at a random router and asks owners until one decides.
    fn route(&mut self, world: &mut World, request: &Request) -> Decision {
        let serving = self.routers.values().filter(|r| !r.draining);
        let ids: Vec<RouterId> = serving.map(|r| r.info.id.clone()).collect();
        let at = ids[world.rng.random_range(0..ids.len())].clone();
        let accepting = &self.routers[&at];
        let usable = |id: &EndpointId| !request.excluded.contains(id);
        let mut usable: Vec<_> = (accepting.candidates.iter())
            .filter(|c| usable(c.id()))
            .cloned()
            .collect();
        if usable.is_empty() {
            usable = accepting.candidates.clone();
        }
        let ranked = rank_top(request.key, &usable, RANKED);
        let Some((first, next)) = ranked.split_first() else {
            return Decision::Refused(Duration::from_secs(1));
        };
        let initial = Step {
            engine: first.clone(),
            next: next.to_vec(),
            asked: 0,
            lookup: false,
        };
        let mut step = initial.clone();
        loop {
            match self.ask(world, &at, &step, request) {
                Answer::Decision(decision) => return decision,
                Answer::Forward(next) => step = next,
                Answer::Refused(reason, delay) => match after_refusal(&initial, &step, reason) {
                    Some(next) => step = next,
                    None => return Decision::Refused(delay),
                },
            }
        }
    }

    /// Asks the owner of the step's engine, or a substitute if the owner does not answer.
    fn ask(&mut self, world: &World, at: &RouterId, step: &Step, request: &Request) -> Answer {
        let mut unreachable = Vec::new();
        loop {
            let accepting = &self.routers[at];
            let Some(owner) = accepting.owner_excluding(&step.engine, &unreachable) else {
                return Answer::Decision(Decision::Refused(OWNER_MOVED_DELAY));
            };
            let Some(router) = self.routers.get_mut(&owner) else {
                if unreachable.len() >= 2 {
                    return Answer::Decision(Decision::Refused(OWNER_MOVED_DELAY));
                }
                unreachable.push(owner);
                continue;
            };
            if router.owners.get(&step.engine) != Some(&owner) {
                if unreachable.is_empty() {
                    return Answer::Decision(Decision::Refused(OWNER_MOVED_DELAY));
                }
                router.become_substitute(world, &step.engine);
            }
            return self.decide(world, &owner, step, request);
        }
    }

    fn decide(
        &mut self,
        world: &World,
        owner: &RouterId,
        step: &Step,
        request: &Request,
    ) -> Answer {
        let now = world.now;
        let router = self.routers.get_mut(owner).expect("owner runs");
        let call = Router::call(request, step.lookup, now);
        let mut candidates = vec![step.engine.clone()];
        candidates.extend(step.next.iter().cloned());
        candidates.retain(|id| !request.excluded.contains(id));
        match router.owner.place(&call, &candidates, step.asked, now) {
            Placement::Admit { endpoint } => {
                self.violations += u64::from(!router.within_bound(&endpoint, now));
                self.placed_at.insert(request.ticket, owner.clone());
                Answer::Decision(Decision::Run(endpoint))
            }
            Placement::Forward {
                endpoint,
                next,
                cached_only,
            } => {
                if !cached_only {
                    router.owner.record_chat(request.key, &endpoint, now);
                }
                Answer::Forward(Step {
                    engine: endpoint,
                    next,
                    asked: step.asked + 1,
                    lookup: cached_only,
                })
            }
            Placement::Queued { .. } => {
                self.placed_at.insert(request.ticket, owner.clone());
                Answer::Decision(Decision::Queued)
            }
            Placement::NotOwner => Answer::Refused(RefusalReason::PeerBroke, Duration::ZERO),
            Placement::Refused(refusal) => Answer::Refused(refusal.reason, refusal.retry_after),
        }
    }

    fn started(&mut self, owner: &RouterId, started: Vec<StartedCall>, now: Duration) -> Wakeups {
        let router = &self.routers[owner];
        let mut wakeups = Wakeups::default();
        for StartedCall { ticket, endpoint } in started {
            self.violations += u64::from(!router.within_bound(&endpoint, now));
            wakeups.started.push((ticket, endpoint));
        }
        wakeups
    }

    /// Removes the routers that have drained.
    fn stop_drained(&mut self, world: &mut World) {
        let done = |router: &Router| router.draining && router.owner.running() == 0;
        let done = self.routers.values().filter(|router| done(router));
        for id in done.map(|r| r.info.id.clone()).collect::<Vec<_>>() {
            self.routers.remove(&id);
            self.broadcast(world, &id, (2.5, 4.0), || Update::Removed {
                id: id.clone(),
                dead: true,
            });
        }
    }

    /// Sends each entry of a router's chat index to the owner of the chat's first-ranked engine.
    fn hand_over(&mut self, world: &World, id: &RouterId) {
        let leaving = self.routers.get_mut(id).expect("router runs");
        leaving.draining = true;
        leaving.refresh(world);
        let mut entries: BTreeMap<RouterId, Vec<ChatEntry>> = BTreeMap::new();
        for entry in leaving.owner.chat_entries(world.now) {
            let engine = rank_top(entry.chat, &leaving.candidates, 1).pop();
            let owner = engine.and_then(|engine| leaving.owners.get(&engine).cloned());
            if let Some(owner) = owner {
                entries.entry(owner).or_default().push(entry);
            }
        }
        for (owner, entries) in entries {
            if let Some(router) = self.routers.get_mut(&owner) {
                router.owner.merge_chats(&entries, world.now);
            }
        }
    }
}

fn router_info(id: &str, number: usize) -> RouterInfo {
    RouterInfo {
        id: id.to_string(),
        domain: domain(number),
        region: REGION.to_string(),
    }
}

/// Returns the next step after an owner refused, chosen as in the router's dispatch, or `None` if
/// the request is refused.
fn after_refusal(initial: &Step, step: &Step, reason: RefusalReason) -> Option<Step> {
    let elsewhere = step.asked > 0 && step.asked < MAX_ASKED;
    if !elsewhere || reason == RefusalReason::Deadline {
        return None;
    }
    let asked = |asked| Step {
        asked,
        ..initial.clone()
    };
    if step.lookup {
        return Some(asked(1));
    }
    match step.next.split_first() {
        Some((first, rest)) if step.asked + 1 < MAX_ASKED => Some(Step {
            engine: first.clone(),
            next: rest.to_vec(),
            asked: step.asked + 1,
            lookup: false,
        }),
        _ => Some(asked(MAX_ASKED)),
    }
}

impl Placer for Fleet {
    fn place(&mut self, world: &mut World, request: &Request) -> Decision {
        self.deliver(world);
        self.route(world, request)
    }

    fn finish(&mut self, world: &World, ticket: u64) -> Wakeups {
        let Some(id) = self.placed_at.remove(&ticket) else {
            return Wakeups::default();
        };
        let Some(router) = self.routers.get_mut(&id) else {
            return Wakeups::default();
        };
        let started = router.owner.finish(ticket, world.now);
        self.started(&id, started, world.now)
    }

    fn tick(&mut self, world: &mut World) -> Wakeups {
        self.deliver(world);
        self.stop_drained(world);
        if world.now.is_zero() {
            let routers = self.routers.values_mut();
            routers.for_each(|router| router.load_list(world));
        }
        let now = world.now;
        let mut wakeups = Wakeups::default();
        let ids: Vec<RouterId> = self.routers.keys().cloned().collect();
        for id in &ids {
            let router = self.routers.get_mut(id).expect("router runs");
            router.refresh(world);
            router.probe_due(world);
            let ended = router.owner.expire(now);
            let started = router.owner.start_waiting(now);
            let counts = router.report(now);
            let more = self.started(id, started, now);
            wakeups.started.extend(more.started);
            wakeups.ended.extend(ended.into_iter().map(|e| e.ticket));
            let lag = self.lag.as_secs_f64();
            self.broadcast(world, id, (0.5 * lag, 1.5 * lag + 1e-6), || {
                Update::Counts(id.clone(), counts.clone())
            });
        }
        wakeups
    }

    fn change(&mut self, world: &mut World, change: &Change) -> Vec<u64> {
        let none = RouterId::new();
        match change {
            Change::Join(id) | Change::Leave(id) => {
                self.broadcast(world, &none, (1.0, 4.0), || Update::Listed(id.clone()));
            }
            Change::Drain(id) => {
                self.broadcast(world, id, (0.0, 0.2), || Update::Removed {
                    id: id.clone(),
                    dead: false,
                });
                self.hand_over(world, id);
                // Requests that wait at the router are sent again through other routers.
                let router = self.routers.get_mut(id).expect("router runs");
                let waiting = router.owner.take_waiting();
                return waiting.into_iter().map(|w| w.call.ticket).collect();
            }
            Change::Kill(id) => {
                self.routers.remove(id);
                self.broadcast(world, id, (2.5, 4.0), || Update::Removed {
                    id: id.clone(),
                    dead: true,
                });
                let lost = self.placed_at.iter().filter(|(_, router)| *router == id);
                return lost.map(|(ticket, _)| *ticket).collect();
            }
            Change::Start(id, number) => {
                let info = router_info(id, *number);
                self.broadcast(world, id, (0.2, 2.0), || Update::Up(info.clone()));
                let serving = self.routers.values().filter(|r| !r.draining);
                let peers = serving.map(|r| r.info.clone()).collect();
                let router = Router::start(info.clone(), peers, world);
                self.routers.insert(id.clone(), router);
            }
            Change::DeclareDead(by, id) => {
                let (id, dead) = (id.clone(), true);
                self.send(world.now, by, Update::Removed { id, dead });
            }
            Change::DeclareAlive(by, id) => {
                if let Some(info) = self.routers.get(id).map(|r| r.info.clone()) {
                    self.send(world.now, by, Update::Up(info));
                }
            }
            _ => {}
        }
        Vec::new()
    }

    fn unreachable(&mut self, world: &World, engine: &EndpointId, ticket: u64) {
        self.finish(world, ticket);
        let owners = self.routers.values_mut();
        owners.for_each(|router| router.probe(world, engine));
    }

    fn own_violations(&self) -> u64 {
        self.violations
    }
}
