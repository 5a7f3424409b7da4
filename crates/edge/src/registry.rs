//! The platform's registry as the routers use it, and the dialect of its callers and endpoints.
//!
//! Both are traits used as trait objects, so that nothing in this crate depends on the platform's
//! names.

use crate::call::{AnswerHead, Attempt, Call};
use crate::entry_bounds;
use crate::manifest::{EndpointEntry, Manifest, RouterEntry};
use displaydoc::Display;
use http::HeaderMap;
use sequoiaridge_core::{DomainId, RouterId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Future of a call to the registry.
pub type RegistryFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, RegistryError>> + Send + 'a>>;

/// Longest reason why a row cannot be read, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Key that authenticates the messages between the routers of a fleet.
pub type PeerKey = [u8; 32];

/// Number of times that the registry has come back from a copy of itself.
pub type Era = u32;

/// Position in the history of the registry.
///
/// When the registry comes back from a copy, it has lost its latest versions and gives them out
/// again, so a version only orders what belongs to the same era. A later era orders after all
/// positions of an earlier one; see "Eras" in docs/platform.md.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the registry.
    pub era: Era,
    /// Version of the registry within the era.
    pub version: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: Era, version: u64) -> Position {
        Position { era, version }
    }

    /// The position after this one.
    pub(crate) fn next(self) -> Position {
        Position::new(self.era, self.version + 1)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}

/// Tables of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Table {
    /// The operators' configuration.
    Configuration,
    /// The endpoints, which register themselves.
    Endpoints,
    /// Routers of the fleet.
    Routers,
}

impl Table {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Endpoints => "endpoints",
            Table::Routers => "routers",
        }
    }
}

/// State that a fleet saves for routers that start, or for all of them after a power cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Saved {
    /// The prompt prefixes that endpoints have cached.
    Cache,
    /// The requests that are held back because they crashed endpoints.
    Crashes,
    /// The software versions that the services had of late.
    Versions,
    /// The versions that began the streams of a router.
    Streams(RouterId),
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A version of the configuration.
    Configuration(Arc<Manifest>),
    /// An operator evacuates a failure domain.
    Evacuation(DomainId),
    /// The row of an evacuation was removed. It names the domain, since only the platform's names say
    /// which keys are those of evacuations.
    EvacuationEnded(DomainId),
    /// An endpoint.
    Endpoint(EndpointEntry),
    /// A router.
    Router(RouterEntry),
    /// The peer key of the fleet.
    PeerKey(PeerKey),
    /// State that a router saved for routers that start.
    Saved(Saved, Vec<u8>),
    /// A row that cannot be read, with the reason. It is not used.
    Malformed(String),
    /// The row was removed.
    Removed,
}

impl Entry {
    /// An endpoint, or [`Entry::Malformed`] if no endpoint can be as the row says.
    pub fn endpoint(entry: EndpointEntry) -> Entry {
        match entry_bounds::check(&entry) {
            Ok(()) => Entry::Endpoint(entry),
            Err(reason) => Entry::Malformed(reason),
        }
    }

    /// A row that cannot be read. A long reason, which may quote the row, is cut.
    pub fn malformed(reason: &str) -> Entry {
        Entry::Malformed(reason.chars().take(MAX_REASON_CHARS).collect())
    }
}

/// A row with its position in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key within the table.
    pub key: String,
    /// Position of the last change of the row.
    pub position: Position,
    /// Content of the row.
    pub entry: Entry,
}

/// Rows that one call returned.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The rows: those of a page of the whole table, or those that changed.
    pub rows: Vec<Row>,
    /// Position up to which the rows are complete.
    pub position: Position,
    /// Key after which the next page of a whole table starts; `None` if there is no further page.
    pub next: Option<String>,
}

/// A call to the registry that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RegistryError {
    /// the history from the given position is gone
    HistoryLost,
    /// another router changed the row first
    Conflict,
    /// the registry refused the call with status {0}
    Refused(u16),
    /// the registry did not answer
    Unreachable,
    /// the registry's answer cannot be read
    Invalid,
}

impl std::error::Error for RegistryError {}

/// The platform's registry.
pub trait Registry: Send + Sync {
    /// Reads a page of a whole table: the first, or the one after the key `after`. It has at most
    /// `limit` rows, if that is set, and never more than the registry allows.
    ///
    /// # Errors
    ///
    /// The registry gave no usable answer.
    fn read(
        &self,
        table: Table,
        after: Option<String>,
        limit: Option<usize>,
    ) -> RegistryFuture<'_, Rows>;

    /// Reads the rows of a table that changed after `position`, waiting up to `wait` for the first.
    /// The version counts in the era that the registry has when it answers; if that is another one
    /// than that of `position`, the rows are not the changes after it.
    ///
    /// # Errors
    ///
    /// As for [`Registry::read`], or the history is gone.
    fn changes(&self, table: Table, position: Position, wait: Duration)
    -> RegistryFuture<'_, Rows>;

    /// Writes the row of a router and, if `key` is given, creates the fleet's peer key.
    fn announce(&self, router: RouterEntry, key: Option<PeerKey>) -> RegistryFuture<'_, ()>;

    /// Reads the fleet's peer key; `None` if there is none.
    ///
    /// # Errors
    ///
    /// As for [`Registry::read`], or the key cannot be read.
    fn peer_key(&self) -> RegistryFuture<'_, Option<PeerKey>>;

    /// Saves state for routers that start. A later save replaces it.
    fn save(&self, saved: Saved, bytes: Vec<u8>) -> RegistryFuture<'_, ()>;
}

/// A caller's request that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum CallError {
    /// header {0} is missing
    Missing(&'static str),
    /// header {0} is malformed
    Malformed(&'static str),
}

impl std::error::Error for CallError {}

/// The headers and paths that callers and endpoints use.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// A header that is needed is missing or malformed.
    fn call(&self, head: &http::request::Parts) -> Result<Call, CallError>;

    /// The headers of a request to an endpoint: those of the caller that are not specific to one
    /// connection, and those that routers set.
    fn attempt(&self, caller: &HeaderMap, attempt: &Attempt) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn answer(&self, head: &http::response::Parts) -> AnswerHead;

    /// The id of the last complete event in `events`, if one of them has an id.
    fn last_event(&self, events: &[u8]) -> Option<u64>;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}
