//! Selection of routes, customers and services.

mod manifest_parts;

use manifest_parts::limits;
use sequoiaridge_edge::{Customer, Manifest, Route, RouteTable};
use std::collections::BTreeMap;
use std::sync::Arc;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        services: vec![("one".to_string(), 9), ("two".to_string(), 1)],
        ..manifest_parts::route(name, prefix)
    }
}

fn table(customers: Vec<Customer>) -> RouteTable {
    RouteTable::new(Arc::new(Manifest {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        services: BTreeMap::new(),
        limits: limits(),
        customers,
    }))
}

/// Guards against requests that match a shorter prefix although a longer one matches.
#[test]
fn the_longest_prefix_wins() {
    let table = table(Vec::new());
    let name = |path: &str| {
        table
            .select("a.example", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/c").as_deref(), Some("short"));
    assert_eq!(name("/a/bc").as_deref(), Some("short"));
    assert_eq!(name("/b/"), None);
    assert!(table.select("b.example", "/a/").is_none());
}

/// Guards against a key that is accepted for another customer, and against routes that require no
/// key.
#[test]
fn only_known_keys_name_a_customer() {
    let customer = Customer {
        name: "bakery".to_string(),
        keys: vec!["k1".to_string(), "k2".to_string()],
        priority: Some(1),
        regions: None,
    };
    let table = table(vec![customer]);
    let route = route("any", "/a/");
    assert!(table.needs_key(&route));
    assert_eq!(
        table.customer("k2").map(|c| c.name.as_str()),
        Some("bakery")
    );
    assert!(table.customer("k3").is_none());
    let open = Route {
        anonymous: true,
        ..route
    };
    assert!(!table.needs_key(&open));
}

/// Guards against a traffic split that sends everything to one service.
#[test]
fn a_split_follows_its_shares() {
    let route = route("split", "/a/");
    let to_two = (0..1000).filter(|draw| route.service(*draw).is_some_and(|s| s == "two"));
    assert_eq!(to_two.count(), 100);
}
