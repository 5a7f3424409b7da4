//! Lookup of the customer that owns a token.

use sequoiaridge_core::{CustomerId, FleetConfig, Version};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Index from token digests to customers. It is rebuilt when the configuration changes, so that a
/// request does not search all customers, of whom a fleet may have thousands.
#[derive(Debug, Default)]
pub(crate) struct TokenIndex {
    index: Mutex<Option<Index>>,
}

#[derive(Debug)]
struct Index {
    version: Version,
    customers: BTreeMap<String, CustomerId>,
}

impl TokenIndex {
    /// Returns the customer whose token has this digest.
    pub(crate) fn customer(&self, config: &FleetConfig, digest: &str) -> Option<CustomerId> {
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let current = index.take().filter(|index| index.version == config.version);
        let current = current.unwrap_or_else(|| Index::build(config));
        let customer = current.customers.get(digest).cloned();
        *index = Some(current);
        customer
    }
}

impl Index {
    fn build(config: &FleetConfig) -> Index {
        let entries = config.customers.iter().flat_map(|(id, customer)| {
            customer
                .tokens
                .iter()
                .map(move |token| (token.clone(), id.clone()))
        });
        Index {
            version: config.version,
            customers: entries.collect(),
        }
    }
}
