//! The interface to the table service.

use displaydoc::Display;
use sequoiaridge_core::Nonce;
use std::collections::BTreeMap;
use std::pin::Pin;

/// Future that a call to the platform returns.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Key of a row: a partition key, a slash and a sort key, such as `config/head`. The rows of a
/// partition are ordered by the bytes of their sort keys.
pub type Key = String;

/// Value of an attribute.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Attribute {
    /// Text.
    Text(String),
    /// A number.
    Number(u64),
}

/// The attributes of a row, without its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    attributes: BTreeMap<String, Attribute>,
}

impl Row {
    /// Creates a row without attributes.
    pub fn new() -> Row {
        Row::default()
    }

    /// Sets a text attribute.
    pub fn with_text(self, name: &str, value: impl Into<String>) -> Row {
        self.with(name, Attribute::Text(value.into()))
    }

    /// Sets a number attribute.
    pub fn with_number(self, name: &str, value: u64) -> Row {
        self.with(name, Attribute::Number(value))
    }

    /// Sets an attribute.
    pub fn with(mut self, name: &str, value: Attribute) -> Row {
        self.attributes.insert(name.to_string(), value);
        self
    }

    /// Returns an attribute of either type.
    pub fn get(&self, name: &str) -> Option<&Attribute> {
        self.attributes.get(name)
    }

    /// Returns a text attribute; `None` if it is missing or a number.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Attribute::Text(text) => Some(text),
            Attribute::Number(_) => None,
        }
    }

    /// Returns a number attribute; `None` if it is missing or a text.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Attribute::Number(number) => Some(*number),
            Attribute::Text(_) => None,
        }
    }

    /// Iterates over all attributes with their names.
    pub fn attributes(&self) -> impl Iterator<Item = (&str, &Attribute)> {
        self.attributes
            .iter()
            .map(|(name, value)| (name.as_str(), value))
    }
}

/// Condition on the row that an operation changes, as it is before the operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cond {
    /// The row does not exist.
    Absent,
    /// The row has this attribute with this value.
    Equals {
        /// Name of the attribute.
        attribute: &'static str,
        /// Value that it must have.
        value: Attribute,
    },
    /// No condition.
    None,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a whole row.
    Put {
        /// Key of the row.
        key: Key,
        /// The new row.
        value: Row,
        /// Condition on the row.
        cond: Cond,
    },
    /// Deletes a row. Deleting a row that does not exist succeeds if the condition allows it.
    Delete {
        /// Key of the row.
        key: Key,
        /// Condition on the row.
        cond: Cond,
    },
}

impl Op {
    /// Key of the row that the operation changes.
    pub fn key(&self) -> &Key {
        match self {
            Op::Put { key, .. } | Op::Delete { key, .. } => key,
        }
    }
}

/// One page of rows that [`Table::scan`] found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows, ordered by key.
    pub rows: Vec<(Key, Row)>,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<Key>,
}

/// Why a call to the table service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TableError {
    /// the condition of operation {index} does not hold
    Conflict {
        /// Position of the first operation whose condition does not hold.
        index: usize,
    },
    /// the table service refused the call, which did not take effect
    Refused,
    /// the table service did not respond; a write may have taken effect, or may do so later
    Unknown,
}

impl std::error::Error for TableError {}

/// The platform's table service.
pub trait Table: Send + Sync {
    /// Reads a row. The read is consistent: it sees every write that was acknowledged before the
    /// call.
    ///
    /// # Errors
    ///
    /// The service gave no usable response.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Result<Option<Row>, TableError>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`.
    ///
    /// # Errors
    ///
    /// The service gave no usable response.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> StoreFuture<'a, Result<Page, TableError>>;

    /// Applies all operations or none, atomically. Each must be on a different row. Calls with the
    /// same `token` and operations take effect once.
    ///
    /// # Errors
    ///
    /// After [`TableError::Unknown`] the operations may have taken effect, or may do so later. After
    /// the other errors none of them did or will.
    fn commit(&self, ops: Vec<Op>, token: Nonce) -> StoreFuture<'_, Result<(), TableError>>;
}
