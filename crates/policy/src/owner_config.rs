//! Settings of an [`Owner`](crate::Owner).

use crate::LoadBound;
use std::time::Duration;

/// Settings of an [`Owner`](crate::Owner); built by an [`OwnerConfigBuilder`].
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerConfig {
    pub(crate) bound: LoadBound,
    pub(crate) leave_bound: Duration,
    pub(crate) settle: Duration,
    pub(crate) lookback: Duration,
    pub(crate) max_owners: u32,
    pub(crate) queue_limit: usize,
    pub(crate) chat_limit: usize,
}

impl OwnerConfig {
    /// Returns a builder with the defaults of `docs/design.md`.
    pub fn builder() -> OwnerConfigBuilder {
        OwnerConfigBuilder {
            config: OwnerConfig::default(),
        }
    }
}

impl Default for OwnerConfig {
    fn default() -> OwnerConfig {
        OwnerConfig {
            bound: LoadBound::default(),
            leave_bound: Duration::from_secs(3),
            settle: Duration::from_secs(3),
            lookback: Duration::from_secs(30 * 60),
            max_owners: 3,
            queue_limit: 1024,
            // About three times the 19,000 chats of an owner at the target size.
            chat_limit: 60_000,
        }
    }
}

/// Builds an [`OwnerConfig`].
#[derive(Clone, Debug)]
pub struct OwnerConfigBuilder {
    config: OwnerConfig,
}

impl OwnerConfigBuilder {
    /// Sets the bound on the load of an endpoint (`load.multiple`).
    pub fn bound(mut self, bound: LoadBound) -> OwnerConfigBuilder {
        self.config.bound = bound;
        self
    }

    /// Sets the age of the last successful probe beyond which an endpoint admits nothing
    /// (`health.leave_bound`).
    pub fn leave_bound(mut self, age: Duration) -> OwnerConfigBuilder {
        self.config.leave_bound = age;
        self
    }

    /// Sets the time for which a new owner counts load that only the engine reports
    /// (`load.settle`).
    pub fn settle(mut self, time: Duration) -> OwnerConfigBuilder {
        self.config.settle = time;
        self
    }

    /// Sets the time after a join or a change of ownership during which the second-ranked owner is
    /// asked for an unknown chat (`cache.lookback`).
    pub fn lookback(mut self, time: Duration) -> OwnerConfigBuilder {
        self.config.lookback = time;
        self
    }

    /// Sets the most owners that are asked for one call.
    pub fn max_owners(mut self, owners: u32) -> OwnerConfigBuilder {
        self.config.max_owners = owners;
        self
    }

    /// Sets the most calls that wait in each group.
    pub fn queue_limit(mut self, calls: usize) -> OwnerConfigBuilder {
        self.config.queue_limit = calls;
        self
    }

    /// Sets the most chats in the index.
    pub fn chat_limit(mut self, chats: usize) -> OwnerConfigBuilder {
        self.config.chat_limit = chats;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> OwnerConfig {
        self.config
    }
}
