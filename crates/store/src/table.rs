//! The interface to the table service.

use displaydoc::Display;
use sequoiaridge_core::Nonce;
use std::collections::BTreeMap;
use std::pin::Pin;

/// Future of a call to the platform.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Key of a row: a partition, a slash and the rest, such as `config/head`. Rows of one partition are
/// ordered by the rest, bytewise.
pub type Key = String;

/// Value of an attribute of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Attribute {
    /// Text.
    Text(String),
    /// A number.
    Number(u64),
}

/// A row without its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    attributes: BTreeMap<String, Attribute>,
}

impl Row {
    /// A row without attributes.
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

    /// An attribute of either type.
    pub fn get(&self, name: &str) -> Option<&Attribute> {
        self.attributes.get(name)
    }

    /// A text attribute.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Attribute::Text(text) => Some(text),
            Attribute::Number(_) => None,
        }
    }

    /// A number attribute.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Attribute::Number(number) => Some(*number),
            Attribute::Text(_) => None,
        }
    }

    /// Every attribute with its name.
    pub fn attributes(&self) -> impl Iterator<Item = (&str, &Attribute)> {
        self.attributes
            .iter()
            .map(|(name, value)| (name.as_str(), value))
    }
}

/// Condition on the row that an operation changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cond {
    /// There is no row.
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
        /// Condition on the row before.
        cond: Cond,
    },
    /// Deletes a row. Deleting a row that does not exist succeeds if the condition allows it.
    Delete {
        /// Key of the row.
        key: Key,
        /// Condition on the row before.
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

/// Rows found by [`Table::scan`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows in the order of their keys.
    pub rows: Vec<(Key, Row)>,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<Key>,
}

/// A call to the table service that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TableError {
    /// the condition of operation {index} does not hold
    Conflict {
        /// Position of the first operation whose condition does not hold.
        index: usize,
    },
    /// the table service refused the call, which did not take effect
    Refused,
    /// the table service did not answer; a write may have taken effect, or may do so later
    Unknown,
}

impl std::error::Error for TableError {}

/// The platform's table service.
pub trait Table: Send + Sync {
    /// Reads a row, including every write that was answered before the call.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Result<Option<Row>, TableError>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> StoreFuture<'a, Result<Page, TableError>>;

    /// Carries out all operations, each on a row of its own, or none. A repeated call with an equal
    /// `token` and equal operations takes effect once.
    ///
    /// # Errors
    ///
    /// After [`TableError::Unknown`] the operations may have taken effect, or may do so later. After
    /// the other errors none of them did or will.
    fn commit(&self, ops: Vec<Op>, token: Nonce) -> StoreFuture<'_, Result<(), TableError>>;
}
