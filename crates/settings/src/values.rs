//! Values that kept their limits.

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

/// Line and column.
pub(crate) type Place = (Option<u64>, Option<u64>);

/// Valid values and defaults by path. A field with a mistake has no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Values {
    pub(crate) values: BTreeMap<&'static str, (Value, Place)>,
}

impl Values {
    /// Place of a field; unknown for a default.
    pub(crate) fn place(&self, path: &str) -> Place {
        self.values
            .get(path)
            .map_or((None, None), |(_, place)| *place)
    }

    /// A number.
    pub(crate) fn number(&self, path: &str) -> Option<f64> {
        match self.values.get(path) {
            Some((Value::Number(number), _)) => Some(*number),
            _ => None,
        }
    }

    /// A duration.
    pub(crate) fn seconds(&self, path: &str) -> Option<Duration> {
        Duration::try_from_secs_f64(self.number(path)?).ok()
    }

    /// A whole number.
    pub(crate) fn count<T: TryFrom<u64>>(&self, path: &str) -> Option<T> {
        T::try_from(self.number(path)? as u64).ok()
    }

    /// A text.
    pub(crate) fn text(&self, path: &str) -> Option<String> {
        match self.values.get(path) {
            Some((Value::Text(text), _)) => Some(text.clone()),
            _ => None,
        }
    }

    /// An address.
    pub(crate) fn address(&self, path: &str) -> Option<SocketAddr> {
        match self.values.get(path) {
            Some((Value::Address(address), _)) => Some(*address),
            _ => None,
        }
    }

    /// A list of addresses.
    pub(crate) fn addresses(&self, path: &str) -> Option<Vec<SocketAddr>> {
        match self.values.get(path) {
            Some((Value::Addresses(addresses), _)) => Some(addresses.clone()),
            _ => None,
        }
    }

    /// A key.
    pub(crate) fn key(&self, path: &str) -> Option<Secret> {
        match self.values.get(path) {
            Some((Value::Key(key), _)) => Some(key.clone()),
            _ => None,
        }
    }
}
