//! Clients of the platform's table service, object store and membership list.
//!
//! [`Table`] and [`ObjectStore`] are the interfaces to the platform, [`HttpTable`] and
//! [`HttpObjectStore`] their HTTP clients. [`ClaimLedger`] grants every idempotency key to at most
//! one dispatch, [`ConfigLog`] orders the changes of the fleet configuration, [`ConfigState`] holds
//! the version in force, and [`MemberList`] fetches the membership list.
//!
//! A write whose response is lost may have taken effect, or may do so later. The ledger and the log
//! therefore write a random nonce with each row, and determine the outcome of such a write by
//! reading the nonce back. See sections 4.2 and 4.4 of `docs/design.md`.

mod backoff;
mod batch;
mod claim;
mod config_error;
mod config_log;
mod config_rows;
mod config_state;
mod dynamo;
mod http_table;
mod ledger;
mod member_list;
mod objects;
mod platform;
mod random;
mod stats;
mod table;

pub use claim::{Claim, HeldClaim, KeyStatus, RequestDigest, StoredResponse};
pub use config_error::ConfigError;
pub use config_log::{AppendOutcome, ConfigLog, ConfigUpdates};
pub use config_rows::LogEntry;
pub use config_state::{ApplyOutcome, ConfigState};
pub use http_table::HttpTable;
pub use ledger::{ClaimLedger, Removal};
pub use member_list::{EntryError, Fetched, ListError, MemberList, Members};
pub use objects::{HttpObjectStore, ObjectError, ObjectStore};
pub use stats::LedgerStats;
pub use table::{Attribute, Cond, Key, Op, Page, Row, StoreFuture, Table, TableError};
