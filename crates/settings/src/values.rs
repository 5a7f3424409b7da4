//! Values that passed the checks of their fields.

use crate::Secret;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A value of a field.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Number(f64),
    Text(String),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Key(Secret),
}

/// Line and column in the file, from 1, as far as they are known.
pub(crate) type Position = (Option<u64>, Option<u64>);

/// Valid values and defaults by the path of their field. A field with a problem has no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Values {
    pub(crate) entries: BTreeMap<&'static str, (Value, Position)>,
}

impl Values {
    /// Returns the position of a field; unknown for a default or a value from the environment.
    pub(crate) fn position(&self, path: &str) -> Position {
        self.entries
            .get(path)
            .map_or((None, None), |(_, position)| *position)
    }

    /// Returns a number.
    pub(crate) fn number(&self, path: &str) -> Option<f64> {
        match self.entries.get(path) {
            Some((Value::Number(number), _)) => Some(*number),
            _ => None,
        }
    }

    /// Returns a duration.
    pub(crate) fn seconds(&self, path: &str) -> Option<Duration> {
        Duration::try_from_secs_f64(self.number(path)?).ok()
    }

    /// Returns a whole number.
    pub(crate) fn count<T: TryFrom<u64>>(&self, path: &str) -> Option<T> {
        T::try_from(self.number(path)? as u64).ok()
    }

    /// Returns a string.
    pub(crate) fn text(&self, path: &str) -> Option<String> {
        match self.entries.get(path) {
            Some((Value::Text(text), _)) => Some(text.clone()),
            _ => None,
        }
    }

    /// Returns an address.
    pub(crate) fn address(&self, path: &str) -> Option<SocketAddr> {
        match self.entries.get(path) {
            Some((Value::Address(address), _)) => Some(*address),
            _ => None,
        }
    }

    /// Returns a list of addresses.
    pub(crate) fn addresses(&self, path: &str) -> Option<Vec<SocketAddr>> {
        match self.entries.get(path) {
            Some((Value::Addresses(addresses), _)) => Some(addresses.clone()),
            _ => None,
        }
    }

    /// Returns a key.
    pub(crate) fn key(&self, path: &str) -> Option<Secret> {
        match self.entries.get(path) {
            Some((Value::Key(key), _)) => Some(key.clone()),
            _ => None,
        }
    }
}
