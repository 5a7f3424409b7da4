//! The configuration in force at one router.

use sequoiaridge_core::{Change, FleetConfig, Version};
use std::sync::{Arc, RwLock};

/// What became of a change or a configuration that was offered to a [`ConfigState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    Applied,
    /// It is not newer than the configuration in force.
    Old,
    /// Changes before it are missing.
    Missing,
}

/// Holds the configuration in force. Its version never goes back.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: RwLock<Option<Arc<FleetConfig>>>,
}

impl ConfigState {
    /// A state without a configuration, with which a router is not ready.
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

    /// Applies the change that leads to `version`, if it is the next one.
    pub fn apply(&self, version: Version, change: &Change) -> Applied {
        let mut current = self.current.write().expect("configuration lock");
        let Some(config) = current.as_ref() else {
            return Applied::Missing;
        };
        if version <= config.version {
            return Applied::Old;
        }
        if version != config.version + 1 {
            return Applied::Missing;
        }
        let mut next = FleetConfig::clone(config);
        next.apply(change);
        *current = Some(Arc::new(next));
        Applied::Applied
    }

    /// Replaces the configuration by a newer one.
    pub fn replace(&self, config: FleetConfig) -> Applied {
        let mut current = self.current.write().expect("configuration lock");
        if current
            .as_ref()
            .is_some_and(|current| config.version <= current.version)
        {
            return Applied::Old;
        }
        *current = Some(Arc::new(config));
        Applied::Applied
    }
}
