//! Transfers of whole tables between routers, and returns of the registry from a copy.

use super::{Event, Fleet, REGISTRY_LATENCY, START_POSITION};
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use sequoiaridge_edge::Position;
use std::time::Duration;

/// Whole tables that a router sends to others at the same time, and how long they take: 60 KB each
/// over a link of 20 Mbit/s.
const MAX_TRANSFERS: usize = 4;
const TRANSFER_TIME: Duration = Duration::from_millis(100);
/// Longest pause between two requests of a router for a whole table.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);

impl Fleet {
    /// The registry comes back as it was some time ago. What was written since is gone.
    pub fn restore(&mut self, copy_age: Duration, now: Duration) {
        let copied_at = now.saturating_sub(copy_age);
        let kept = self.changes.iter().filter(|(_, at)| *at <= copied_at);
        let version = kept.map(|(position, _)| position.version).max();
        let version = version.unwrap_or(START_POSITION);
        self.position = Position::new(self.position.era + 1, version);
        self.changes.retain(|(_, at)| *at <= copied_at);
    }

    /// A router asks another one for the whole table.
    pub fn send_table(&mut self, router: usize, by: usize, now: Duration) {
        let own = &self.routers[router];
        let tail = own.follower.tail().expect("a revision");
        let age = own.follower.age(now).expect("an age");
        let is_fresh = age <= self.settings.leave_bound / 2;
        if self.is_cut_off(router, now) || !is_fresh || own.transfers >= MAX_TRANSFERS {
            return;
        }
        self.routers[router].transfers += 1;
        let received = Event::TableReceived(by, router, tail, now.saturating_sub(age));
        self.schedule(now + TRANSFER_TIME, received);
    }

    /// A whole table shows all changes up to its position.
    pub fn note_table(&mut self, router: usize, position: Position, now: Duration) {
        let own = &mut self.routers[router];
        if own.follower.revision() < Some(position) {
            own.learned_at.entry(position).or_insert(now);
        }
    }

    /// Requests the whole table from a router that has a later state, if changes do not lead there.
    pub fn request_table(&mut self, router: usize, now: Duration) {
        let repair_time = self.read_schedule().repair_time();
        let own = &self.routers[router];
        if !own.follower.needs_table(repair_time, now) || now < own.requested_table {
            return;
        }
        let revision = own.follower.revision().expect("a revision");
        let later: Vec<usize> = own
            .revisions
            .iter()
            .filter(|(_, known)| **known > revision)
            .map(|(other, _)| *other)
            .collect();
        let domain = own.domain;
        let near = later
            .iter()
            .filter(|other| self.routers[**other].domain == domain);
        let near = near.choose(&mut self.rng).copied();
        if let Some(other) = near.or_else(|| later.choose(&mut self.rng).copied()) {
            let pause = REQUEST_PAUSE.mul_f64(self.rng.random_range(0.5..1.0));
            self.routers[router].requested_table = now + pause;
            let requested = Event::TableRequested(other, router);
            self.schedule(now + REGISTRY_LATENCY, requested);
        }
    }
}
