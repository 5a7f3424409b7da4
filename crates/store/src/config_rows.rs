//! Keys, names and encodings of the rows and objects of the configuration log.

use crate::claim::nonce_text;
use crate::{Attribute, Cond, ConfigError, Key, Op, Row};
use sequoiaridge_core::{Change, Nonce, Version};

/// Key of the row that holds the newest version.
pub(crate) const HEAD: &str = "config/head";
/// Key of the row that holds the versions of the last two snapshots.
pub(crate) const SNAPSHOTS: &str = "config/snapshots";
/// Prefix of the keys of the log rows.
pub(crate) const LOG_PREFIX: &str = "config/log/";

const VERSION: &str = "version";
const PREVIOUS: &str = "previous";
const NONCE: &str = "nonce";
const CHANGE: &str = "change";

/// Key of the log row of a version. Versions are padded with zeros, so that keys sort by version.
pub(crate) fn log_key(version: Version) -> Key {
    format!("{LOG_PREFIX}{version:020}")
}

/// Name of the object that holds the snapshot of a version.
pub(crate) fn snapshot_name(version: Version) -> String {
    format!("config/snapshots/{version:020}")
}

/// One change of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Version after the change.
    pub version: Version,
    /// Random value that identifies the write.
    pub nonce: Nonce,
    /// The change.
    pub change: Change,
}

/// Decodes a log row.
pub(crate) fn log_entry(key: &Key, row: &Row) -> Result<LogEntry, ConfigError> {
    let read = || {
        let version = key.strip_prefix(LOG_PREFIX)?.parse().ok()?;
        let nonce = Nonce::from_str_radix(row.text(NONCE)?, 16).ok()?;
        let change = serde_json::from_str(row.text(CHANGE)?).ok()?;
        Some(LogEntry {
            version,
            nonce,
            change,
        })
    };
    read().ok_or_else(|| ConfigError::Unreadable(key.clone()))
}

/// The two operations that append a change to the log at version `base`: they move the head and
/// insert the log row.
pub(crate) fn append_ops(base: Version, change: &Change, nonce: Nonce) -> Vec<Op> {
    let change = serde_json::to_string(change).expect("a change is valid JSON");
    let entry = Row::new()
        .with_text(NONCE, nonce_text(nonce))
        .with_text(CHANGE, change);
    vec![
        Op::Put {
            key: HEAD.to_string(),
            value: Row::new().with_number(VERSION, base + 1),
            cond: unchanged(base),
        },
        Op::Put {
            key: log_key(base + 1),
            value: entry,
            cond: Cond::Absent,
        },
    ]
}

/// Decodes the head row. A missing row means version 0.
pub(crate) fn head_version(row: Option<&Row>) -> Result<Version, ConfigError> {
    let unreadable = || ConfigError::Unreadable(HEAD.to_string());
    row.map_or(Ok(0), |row| row.number(VERSION).ok_or_else(unreadable))
}

/// Versions of the last two snapshots; zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Snapshots {
    pub(crate) last: Version,
    pub(crate) previous: Version,
}

impl Snapshots {
    /// Decodes the snapshots row.
    pub(crate) fn read(row: Option<&Row>) -> Result<Snapshots, ConfigError> {
        let Some(row) = row else {
            return Ok(Snapshots::default());
        };
        match (row.number(VERSION), row.number(PREVIOUS)) {
            (Some(last), Some(previous)) => Ok(Snapshots { last, previous }),
            _ => Err(ConfigError::Unreadable(SNAPSHOTS.to_string())),
        }
    }

    /// The operation that records a newer snapshot, if no other router has done so.
    pub(crate) fn advance(self, version: Version) -> Op {
        Op::Put {
            key: SNAPSHOTS.to_string(),
            value: Row::new()
                .with_number(VERSION, version)
                .with_number(PREVIOUS, self.last),
            cond: unchanged(self.last),
        }
    }
}

/// The condition that a row still has this version. Version 0 means that there is no row.
fn unchanged(version: Version) -> Cond {
    match version {
        0 => Cond::Absent,
        version => Cond::Equals {
            attribute: VERSION,
            value: Attribute::Number(version),
        },
    }
}
