//! Members that a router knows, and their states.

use crate::{MemberEvent, MemberInfo, Update};
use sequoiaridge_core::{RouterId, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a router as another router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It did not answer the last probe.
    Suspect,
    /// It drains.
    Leaving,
    /// It did not answer before the suspicion timeout.
    Dead,
}

impl PeerState {
    /// Returns whether a router in this state owns endpoints. A suspect does until it is dead, so
    /// that a lost datagram does not change the ownership of endpoints.
    pub fn owns(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }
}

/// Whether the platform's list contains a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// The member is only known from gossip.
    Unlisted,
    /// The last list contains the member.
    Listed,
    /// Only an earlier list contained the member.
    Removed,
}

/// Progress of a suspicion.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the member counts as dead unless it refutes before.
    pub(crate) deadline: Duration,
    /// When to probe the suspect next, so that it can refute.
    pub(crate) probe_at: Option<Duration>,
    /// Whether this router's own probe failed. Suspicions of other routers are checked only once.
    pub(crate) direct: bool,
}

/// A known router.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) info: MemberInfo,
    /// Zero until an update about the member or a message from it was received.
    pub(crate) incarnation: u64,
    /// Incarnation at the start of the member's process; zero until a message from it was received.
    pub(crate) process_incarnation: u64,
    pub(crate) state: PeerState,
    /// When the state began.
    pub(crate) state_since: Duration,
    pub(crate) listing: Listing,
    /// Whether the member knows how to reach this router.
    pub(crate) knows_local: bool,
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
            process_incarnation: 0,
            state: PeerState::Alive,
            state_since: now,
            listing,
            knows_local: false,
            version: 0,
            last_heard: None,
            suspicion: None,
        }
    }

    /// The update that describes the member's state.
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

    /// Applies an update if it overrides what is known. Returns whether it did.
    pub(crate) fn apply(&mut self, update: &Update, now: Duration) -> bool {
        let state = claimed_state(update);
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

    /// Changes the state and ends any suspicion. The caller starts a new suspicion if needed.
    pub(crate) fn enter(&mut self, state: PeerState, now: Duration) {
        if state != self.state {
            self.state = state;
            self.state_since = now;
        }
        self.suspicion = None;
    }
}

fn claimed_state(update: &Update) -> PeerState {
    match update {
        Update::Present { leaving: false, .. } => PeerState::Alive,
        Update::Present { leaving: true, .. } => PeerState::Leaving,
        Update::Suspect { .. } => PeerState::Suspect,
        Update::Dead { .. } => PeerState::Dead,
    }
}

/// Returns the event that reports a change of state.
pub(crate) fn state_event(id: &RouterId, old: PeerState, new: PeerState) -> Option<MemberEvent> {
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

/// All known routers except this one.
pub(crate) type Roster = BTreeMap<RouterId, Peer>;
