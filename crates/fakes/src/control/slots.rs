//! Slots in which requests run, and the queue in front of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Priority and sequence number of arrival.
type QueueKey = (u8, u64);

/// Numbers of running and waiting requests at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Occupancy {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

#[derive(Default)]
struct State {
    running: usize,
    highest: usize,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
    arrivals: u64,
    boots: u64,
    history: VecDeque<(Instant, Occupancy)>,
}

/// A fixed number of slots with a bounded queue, served by priority and then by arrival.
pub(crate) struct Slots {
    capacity: usize,
    queue: usize,
    lag: Duration,
    state: Mutex<State>,
}

/// Permit to run one request; dropping it frees the slot.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    boot: u64,
    held: bool,
}

impl Slots {
    /// Creates free slots. `lag` is the age of the counts that [`Slots::delayed`] returns.
    pub(crate) fn new(capacity: usize, queue: usize, lag: Duration) -> Arc<Slots> {
        Arc::new(Slots {
            capacity,
            queue,
            lag,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot; returns `None` if the queue is full.
    pub(crate) async fn acquire(self: &Arc<Slots>, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut state = self.lock();
            if state.running < self.capacity {
                state.running += 1;
                state.highest = state.highest.max(state.running);
                self.record(&mut state);
                return Some(self.slot(state.boots));
            }
            state.waiting.retain(|_, waiter| !waiter.is_closed());
            if state.waiting.len() >= self.queue {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let key = (priority, state.arrivals);
            state.waiting.insert(key, sender);
            self.record(&mut state);
            receiver
        };
        receiver.await.ok()
    }

    /// Drops every running and waiting request, as a restart does.
    pub(crate) fn reset(&self) {
        let mut state = self.lock();
        state.boots += 1;
        state.running = 0;
        let waiting = std::mem::take(&mut state.waiting);
        self.record(&mut state);
        drop(state);
        drop(waiting);
    }

    /// Returns the present counts.
    pub(crate) fn current(&self) -> Occupancy {
        occupancy(&self.lock())
    }

    /// Returns the counts as they were one lag ago.
    pub(crate) fn delayed(&self) -> Occupancy {
        let state = self.lock();
        if self.lag.is_zero() {
            return occupancy(&state);
        }
        let mut newest_first = state.history.iter().rev();
        let now = Instant::now();
        newest_first
            .find(|(at, _)| now.duration_since(*at) >= self.lag)
            .map_or(Occupancy::default(), |(_, counts)| *counts)
    }

    /// Returns the highest number of requests that ran at the same time.
    pub(crate) fn highest(&self) -> usize {
        self.lock().highest
    }

    fn release(self: &Arc<Slots>, boot: u64) {
        loop {
            let mut state = self.lock();
            if state.boots != boot {
                return;
            }
            let Some((_, waiter)) = state.waiting.pop_first() else {
                state.running -= 1;
                self.record(&mut state);
                return;
            };
            self.record(&mut state);
            drop(state);
            match waiter.send(self.slot(boot)) {
                Ok(()) => return,
                Err(mut unclaimed) => unclaimed.held = false,
            }
        }
    }

    fn slot(self: &Arc<Slots>, boot: u64) -> Slot {
        Slot {
            slots: self.clone(),
            boot,
            held: true,
        }
    }

    fn record(&self, state: &mut State) {
        if self.lag.is_zero() {
            return;
        }
        let now = Instant::now();
        let counts = occupancy(state);
        state.history.push_back((now, counts));
        // The newest entry that is older than the lag stays, because `delayed` returns it.
        while (state.history.get(1)).is_some_and(|(at, _)| now.duration_since(*at) >= self.lag) {
            state.history.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("slots lock")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.held {
            self.slots.release(self.boot);
        }
    }
}

fn occupancy(state: &State) -> Occupancy {
    let waiting = state.waiting.values().filter(|w| !w.is_closed()).count();
    Occupancy {
        running: state.running,
        waiting,
    }
}
