//! A server with slots and a bounded queue.

use std::collections::VecDeque;
use std::time::Duration;

/// An attempt that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub call: usize,
    pub router: usize,
    pub since: Duration,
    pub started: Option<Duration>,
    pub tries: u32,
}

#[derive(Debug)]
pub struct Server {
    slots: u32,
    running: u32,
    bound: usize,
    waiting: VecDeque<Job>,
}

impl Server {
    pub fn new(slots: u32, bound: usize) -> Server {
        Server {
            slots,
            running: 0,
            bound,
            waiting: VecDeque::new(),
        }
    }

    /// Takes a job, unless slots and queue are full.
    pub fn offer(&mut self, job: Job) -> bool {
        let free = self.running < self.slots || self.waiting.len() < self.bound;
        if free {
            self.waiting.push_back(job);
        }
        free
    }

    /// The next job, if a slot is free.
    pub fn start(&mut self) -> Option<Job> {
        let job = (self.running < self.slots).then(|| self.waiting.pop_front())??;
        self.running += 1;
        Some(job)
    }

    pub fn end(&mut self) {
        self.running -= 1;
    }

    pub fn requests(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}
