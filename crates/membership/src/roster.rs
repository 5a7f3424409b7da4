//! The members that a router knows and their states.

use crate::{MemberEvent, MemberInfo, Update};
use sequoiaridge_core::{RouterId, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a router in the view of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It did not answer the last probe.
    Suspect,
    /// It drains.
    Leaving,
    /// It did not answer for the time of suspicion.
    Dead,
}

impl PeerState {
    /// Whether the router owns endpoints. A suspect does until it is dead, so that a lost datagram
    /// moves no endpoint.
    pub fn owns(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }
}

/// What the platform's list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// The member was learned from gossip only.
    Never,
    /// The last list has the member.
    Listed,
    /// An earlier list had the member.
    Removed,
}

/// Course of a suspicion.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the member is dead unless it refutes.
    pub(crate) deadline: Duration,
    /// When to tell the suspect next, so that it can refute.
    pub(crate) probe_at: Option<Duration>,
    /// The own probe failed; other routers' suspicions are only checked once.
    pub(crate) first_hand: bool,
}

/// A known router.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) info: MemberInfo,
    /// Zero until the member was heard of.
    pub(crate) incarnation: u64,
    /// Incarnation at the start of the member's process; zero until it was heard directly.
    pub(crate) started: u64,
    pub(crate) state: PeerState,
    /// When the state began.
    pub(crate) since: Duration,
    pub(crate) listing: Listing,
    /// The member knows how to reach this router.
    pub(crate) introduced: bool,
    /// Highest configuration version that the member had in force.
    pub(crate) version: Version,
    pub(crate) last_heard: Option<Duration>,
    pub(crate) suspicion: Option<Suspicion>,
}

impl Peer {
    pub(crate) fn new(info: MemberInfo, listing: Listing, now: Duration) -> Peer {
        Peer {
            info,
            incarnation: 0,
            started: 0,
            state: PeerState::Alive,
            since: now,
            listing,
            introduced: false,
            version: 0,
            last_heard: None,
            suspicion: None,
        }
    }

    /// The statement that describes the member's state.
    pub(crate) fn update(&self) -> Update {
        let (id, incarnation) = (self.info.id.clone(), self.incarnation);
        match self.state {
            PeerState::Alive | PeerState::Leaving => Update::Present {
                info: self.info.clone(),
                incarnation,
                leaving: self.state == PeerState::Leaving,
            },
            PeerState::Suspect => Update::Suspect { id, incarnation },
            PeerState::Dead => Update::Dead { id, incarnation },
        }
    }

    /// Takes over a statement if it prevails over what is known; returns whether it did.
    pub(crate) fn apply(&mut self, update: &Update, now: Duration) -> bool {
        let state = stated(update);
        if (update.incarnation(), state) <= (self.incarnation, self.state) {
            return false;
        }
        if let Update::Present { info, .. } = update {
            self.info = info.clone();
        }
        self.incarnation = update.incarnation();
        self.enter(state, now);
        true
    }

    /// Changes the state; the caller starts a suspicion if there is one.
    pub(crate) fn enter(&mut self, state: PeerState, now: Duration) {
        if state != self.state {
            self.state = state;
            self.since = now;
        }
        self.suspicion = None;
    }
}

fn stated(update: &Update) -> PeerState {
    match update {
        Update::Present { leaving: false, .. } => PeerState::Alive,
        Update::Present { leaving: true, .. } => PeerState::Leaving,
        Update::Suspect { .. } => PeerState::Suspect,
        Update::Dead { .. } => PeerState::Dead,
    }
}

/// The event that a change of state is reported as.
pub(crate) fn event(id: &RouterId, old: PeerState, new: PeerState) -> Option<MemberEvent> {
    let id = id.clone();
    match (old, new) {
        _ if old == new => None,
        (PeerState::Suspect, PeerState::Alive) => Some(MemberEvent::Refuted { id }),
        (_, PeerState::Alive) => Some(MemberEvent::Up { id }),
        (_, PeerState::Suspect) => Some(MemberEvent::Suspect { id }),
        (_, PeerState::Leaving) => Some(MemberEvent::Leaving { id }),
        (_, PeerState::Dead) => Some(MemberEvent::Dead { id }),
    }
}

/// All known routers but the own one.
pub(crate) type Roster = BTreeMap<RouterId, Peer>;
