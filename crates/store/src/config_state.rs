//! The configuration that is in force at one router.

use sequoiaridge_core::{Change, FleetConfig, Version};
use std::sync::{Arc, RwLock};

/// Outcome of applying a change or a whole configuration to a [`ConfigState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is now in force.
    Applied,
    /// It was ignored, because it is not newer than the configuration in force.
    Stale,
    /// It was not applied, because changes before it are missing.
    Gap,
}

/// Holds the configuration in force. Its version never decreases.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: RwLock<Option<Arc<FleetConfig>>>,
}

impl ConfigState {
    /// Creates a state without a configuration. A router in this state is not ready.
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    /// The configuration in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<FleetConfig>> {
        self.current.read().expect("configuration lock").clone()
    }

    /// Version in force; `None` before the first configuration.
    pub fn version(&self) -> Option<Version> {
        self.current().map(|config| config.version)
    }

    /// Applies the change that leads to `version`, if `version` directly follows the one in force.
    pub fn apply(&self, version: Version, change: &Change) -> ApplyOutcome {
        let mut current = self.current.write().expect("configuration lock");
        let Some(config) = current.as_ref() else {
            return ApplyOutcome::Gap;
        };
        if version <= config.version {
            return ApplyOutcome::Stale;
        }
        if version != config.version + 1 {
            return ApplyOutcome::Gap;
        }
        let mut next = FleetConfig::clone(config);
        next.apply(change);
        *current = Some(Arc::new(next));
        ApplyOutcome::Applied
    }

    /// Replaces the configuration with a newer one.
    pub fn replace(&self, config: FleetConfig) -> ApplyOutcome {
        let mut current = self.current.write().expect("configuration lock");
        if current
            .as_ref()
            .is_some_and(|current| config.version <= current.version)
        {
            return ApplyOutcome::Stale;
        }
        *current = Some(Arc::new(config));
        ApplyOutcome::Applied
    }
}
