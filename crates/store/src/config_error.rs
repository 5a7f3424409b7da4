//! Errors of the configuration log.

use crate::{Key, ObjectError, TableError};
use displaydoc::Display;
use sequoiaridge_core::Version;

/// Why the configuration could not be read. Nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// the configuration log cannot be read: {0}
    Table(TableError),
    /// the configuration snapshot cannot be read: {0}
    ObjectStore(ObjectError),
    /// the row or object {0:?} is not valid
    Unreadable(Key),
    /// the configuration log has no row of version {0}
    Gap(Version),
    /// version {asked} is newer than the head of the configuration log, {head}
    Ahead {
        /// The requested version.
        asked: Version,
        /// The version at the head of the log.
        head: Version,
    },
}

impl std::error::Error for ConfigError {}

impl From<TableError> for ConfigError {
    fn from(error: TableError) -> ConfigError {
        ConfigError::Table(error)
    }
}

impl From<ObjectError> for ConfigError {
    fn from(error: ObjectError) -> ConfigError {
        ConfigError::ObjectStore(error)
    }
}
