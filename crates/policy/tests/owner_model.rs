//! Random operations on an owner, checked against a model that recomputes all counts and bounds.

mod common;

use common::{call, endpoint, ids, ms, owner};
use proptest::prelude::*;
use sequoiaridge_policy::{
    Call, EndpointState, LoadBound, Owner, OwnerConfig, Placement, StartedCall,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const OWN: [&str; 3] = ["a", "b", "c"];
const ALL: [&str; 5] = ["a", "b", "c", "x", "y"];
const CAPACITY: u64 = 4;

#[derive(Clone, Debug)]
enum Op {
    Place {
        ticket: u64,
        customer: usize,
        first: usize,
        asked: u32,
        suspect: bool,
    },
    Finish(u64),
    Expire,
    Step(u64),
    Probe(usize),
    State(usize, EndpointState),
    Report(usize, u32),
    Readd(usize, bool),
}

fn op() -> impl Strategy<Value = Op> {
    let state = prop_oneof![
        4 => Just(EndpointState::Up),
        1 => Just(EndpointState::Leaving),
        1 => Just(EndpointState::Down),
    ];
    prop_oneof![
        8 => (0u64..60, 0usize..3, 0usize..5, 0u32..4, prop::bool::weighted(0.1)).prop_map(
            |(ticket, customer, first, asked, suspect)| {
                Op::Place { ticket, customer, first, asked, suspect }
            }
        ),
        5 => (0u64..60).prop_map(Op::Finish),
        1 => Just(Op::Expire),
        1 => (1u64..900).prop_map(Op::Step),
        2 => (0usize..3).prop_map(Op::Probe),
        1 => (0usize..5, state).prop_map(|(e, s)| Op::State(e, s)),
        1 => (0usize..5, 0u32..6).prop_map(|(e, n)| Op::Report(e, n)),
        1 => (0usize..3, any::<bool>()).prop_map(|(e, keep)| Op::Readd(e, keep)),
    ]
}

#[derive(Default)]
struct Model {
    running: BTreeMap<u64, (String, bool)>,
    waiting: BTreeSet<u64>,
    reports: BTreeMap<String, u64>,
}

impl Model {
    fn load(&self, id: &str) -> u64 {
        let own = self.running.values().filter(|(e, _)| e == id).count() as u64;
        own + self.reports.get(id).copied().unwrap_or(0)
    }

    /// Most requests that an endpoint may hold, counting one more.
    fn limit(&self, owner: &Owner, now: Duration) -> u64 {
        let open: Vec<&str> = ALL
            .into_iter()
            .filter(|id| owner.is_open(id, now))
            .collect();
        let work: u64 = open.iter().map(|id| self.load(id)).sum();
        let total = CAPACITY * open.len() as u64;
        LoadBound::default()
            .limit(work + 1, CAPACITY, total)
            .min(CAPACITY)
    }

    /// Checks an admission and records it.
    fn admit(&mut self, owner: &Owner, ticket: u64, id: &str, suspect: bool, now: Duration) {
        assert!(
            OWN.contains(&id) && owner.is_open(id, now),
            "{id} admits nothing"
        );
        assert!(
            self.load(id) < self.limit(owner, now),
            "{id} is beyond its bound"
        );
        let mut others = self.running.values().filter(|(e, s)| e == id && *s);
        assert!(!suspect || others.next().is_none(), "two suspects on {id}");
        assert!(
            self.running
                .insert(ticket, (id.to_string(), suspect))
                .is_none()
        );
    }

    /// Checks and records started calls in order.
    fn start(
        &mut self,
        owner: &Owner,
        suspects: &BTreeSet<u64>,
        started: Vec<StartedCall>,
        now: Duration,
    ) {
        for StartedCall { ticket, endpoint } in started {
            assert!(self.waiting.remove(&ticket), "{ticket} did not wait");
            self.admit(owner, ticket, &endpoint, suspects.contains(&ticket), now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against counts that drift on any path (admit, start, finish, repeated finish, expiry,
    /// removal and re-adding of an endpoint), against admissions beyond the bound, and against
    /// calls that wait while an owned endpoint has room.
    #[test]
    fn counts_match_the_model(ops in prop::collection::vec(op(), 1..250)) {
        let config = OwnerConfig::builder().queue_limit(8).settle(ms(0)).build();
        let (mut owner, mut now) = owner(config, &OWN, &["x", "y"], CAPACITY as u32);
        let mut model = Model::default();
        let mut suspects = BTreeSet::new();
        let mut customers = BTreeMap::new();
        for op in ops {
            match op {
                Op::Place { ticket, customer, first, asked, suspect } => {
                    let known = model.running.contains_key(&ticket) || model.waiting.contains(&ticket);
                    if !known {
                        customers.insert(ticket, ["p", "q", "r"][customer]);
                    }
                    let call = Call { suspect, ..call(ticket, ["p", "q", "r"][customer], now) };
                    let mut list = ids(&ALL);
                    list.rotate_left(first);
                    match owner.place(&call, &list[..3], asked, now) {
                        Placement::Admit { endpoint } if known => {
                            prop_assert_eq!(&model.running[&ticket].0, &endpoint);
                        }
                        Placement::Admit { endpoint } => {
                            model.admit(&owner, ticket, &endpoint, suspect, now);
                        }
                        Placement::Queued { shed } => {
                            if let Some(ended) = shed {
                                prop_assert!(model.waiting.remove(&ended.ticket));
                            }
                            prop_assert_ne!(model.waiting.insert(ticket), known);
                            let room = OWN.iter().any(|id| {
                                owner.is_open(id, now) && model.load(id) < model.limit(&owner, now)
                            });
                            prop_assert!(known || suspect || !room || model.waiting.len() > 1);
                            if !known && suspect {
                                suspects.insert(ticket);
                            } else if !known {
                                suspects.remove(&ticket);
                            }
                        }
                        Placement::Forward { endpoint, .. } => {
                            prop_assert!(asked < 2 && !OWN.contains(&endpoint.as_str()));
                        }
                        Placement::Refused(_) => prop_assert!(!known),
                        Placement::NotOwner => prop_assert!(false, "it owns endpoints"),
                    }
                }
                Op::Finish(ticket) => {
                    let started = owner.finish(ticket, now);
                    model.running.remove(&ticket);
                    model.waiting.remove(&ticket);
                    model.start(&owner, &suspects, started, now);
                    prop_assert!(owner.finish(ticket, now).is_empty());
                }
                Op::Expire => {
                    for ended in owner.expire(now) {
                        prop_assert!(model.waiting.remove(&ended.ticket));
                    }
                }
                Op::Step(step) => now += ms(step),
                Op::Probe(at) => {
                    owner.record_probe(OWN[at], 0, now);
                    let started = owner.start_waiting(now);
                    model.start(&owner, &suspects, started, now);
                }
                Op::State(at, state) => owner.set_state(ALL[at], state, now),
                Op::Report(at, count) => {
                    owner.record_report("r2", ALL[at], count, now);
                    model.reports.insert(ALL[at].to_string(), count.into());
                }
                Op::Readd(at, keep) => {
                    let id = OWN[at];
                    if !keep {
                        owner.remove_endpoint(id);
                    }
                    if owner.outstanding(id) == 0 && !keep {
                        model.reports.remove(id);
                    }
                    owner.set_endpoint(endpoint(id, CAPACITY as u32, true), now);
                    owner.record_probe(id, 0, now);
                }
            }
            prop_assert_eq!(owner.running(), model.running.len());
            prop_assert_eq!(owner.waiting(), model.waiting.len());
            for customer in ["p", "q", "r"] {
                let held = model.running.keys().filter(|t| customers[t] == customer).count();
                prop_assert_eq!(owner.held_slots("m", customer) as usize, held);
            }
            for id in ALL {
                let own = model.running.values().filter(|(e, _)| e == id).count();
                prop_assert_eq!(owner.outstanding(id) as usize, own);
                prop_assert_eq!(u64::from(owner.load(id, now)), model.load(id));
            }
        }
    }
}
