//! A token bucket that also bounds the requests in a window.

use super::LimitRoom;
use super::share::{LimitShare, WINDOW};
use std::collections::VecDeque;
use std::time::Duration;

/// Time by which the delivery of two requests may differ.
const JITTER: Duration = Duration::from_millis(100);

/// Tokens that a bucket holds beyond the requests of a window. They return while the router has no request for
/// the endpoint, and the window still bounds what it sends at the same time.
const SPARE_TOKENS: usize = 1;

/// The requests that one router may send to one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Tokens {
    share: LimitShare,
    /// Tokens at the time `at`.
    left: f64,
    at: Duration,
    /// Times of the requests within the window.
    sent: VecDeque<Duration>,
}

impl Tokens {
    /// Creates a bucket with one token: all routers begin at about the same time.
    pub(super) fn new(share: LimitShare, now: Duration) -> Tokens {
        Tokens {
            share,
            left: 1.0,
            at: now,
            sent: VecDeque::new(),
        }
    }

    /// Changes the share; what was sent counts.
    pub(super) fn set_share(&mut self, share: LimitShare, now: Duration) {
        self.refill(now);
        self.share = share;
        self.refill(now);
    }

    /// What a request may use now.
    pub(super) fn room(&mut self, now: Duration) -> LimitRoom {
        self.refill(now);
        if self.sent.len() >= self.share.burst {
            LimitRoom::Exhausted
        } else if self.left >= 1.0 {
            LimitRoom::Share
        } else {
            LimitRoom::Overdraft
        }
    }

    /// Counts a request that is sent. One beyond the share uses no token, so that the share is there for
    /// the requests that follow.
    pub(super) fn take(&mut self, now: Duration) {
        self.refill(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
        }
        self.sent.push_back(now);
    }

    fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        let full = (self.share.burst + SPARE_TOKENS) as f64;
        self.left = (self.left + time * self.share.per_second).min(full);
        self.at = self.at.max(now);
        let window = WINDOW + JITTER;
        while self.sent.front().is_some_and(|at| now >= *at + window) {
            self.sent.pop_front();
        }
    }
}
