//! The platform's registry as the routers use it, and the dialect of its callers and endpoints.
//!
//! Both are traits used as trait objects, so that nothing in this crate depends on the platform's
//! names.

use crate::call::{AnswerHead, Attempt, Call};
use crate::manifest::{EndpointEntry, Manifest, RouterEntry};
use displaydoc::Display;
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Future of a call to the registry.
pub type RegistryFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, RegistryError>> + Send + 'a>>;

/// Key that authenticates the messages between the routers of a fleet.
pub type PeerKey = [u8; 32];

/// Position in a table's history.
pub type Position = u64;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saved {
    /// The prompt prefixes that endpoints have cached.
    Cache,
    /// The requests that are held back because they crashed endpoints.
    Crashes,
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A version of the configuration.
    Configuration(Arc<Manifest>),
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
    ///
    /// # Errors
    ///
    /// As for [`Registry::read`], or the history is gone.
    fn changes(&self, table: Table, position: Position, wait: Duration)
    -> RegistryFuture<'_, Rows>;

    /// Writes the row of a router and, if `key` is given, creates the fleet's peer key.
    fn announce(&self, router: RouterEntry, key: Option<PeerKey>) -> RegistryFuture<'_, ()>;

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
