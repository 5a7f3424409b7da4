//! Lookup of routes by host and path, and of customers by API key.

use crate::manifest::{Customer, Manifest, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    manifest: Arc<Manifest>,
    /// Routes of each host, the longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Index of the customer that holds each API key.
    keys: BTreeMap<String, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(manifest: Arc<Manifest>) -> RouteTable {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &manifest.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = BTreeMap::new();
        for (index, customer) in manifest.customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), index);
            }
        }
        RouteTable {
            manifest,
            hosts,
            keys,
        }
    }

    /// The configuration that was indexed.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The route of a request: of the host's routes the one with the longest matching prefix.
    pub fn select(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether requests on `route` need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !self.manifest.customers.is_empty() && !route.anonymous
    }

    /// The customer that holds an API key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.manifest.customers.get(*self.keys.get(key)?)
    }
}
