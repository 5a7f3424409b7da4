//! Routes and customers whose requests must stay in some regions.

mod manifest_parts;

use sequoiaridge_edge::{Customer, Homes, Route};
use std::collections::BTreeMap;

fn route(regions: Option<&[&str]>) -> Route {
    Route {
        regions: regions.map(names),
        ..manifest_parts::route("read", "/read/")
    }
}

fn customer(regions: Option<&[&str]>) -> Customer {
    Customer {
        regions: regions.map(names),
        ..manifest_parts::customer("bakery", "k1")
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Guards against data that leaves its regions: through a customer on a route with wider homes, or
/// through an endpoint whose region is not known.
#[test]
fn both_homes_apply() {
    let domains = [("a", "north"), ("b", "south"), ("c", "east")];
    let regions = domains.map(|(domain, region)| (domain.to_string(), region.to_string()));
    let regions = BTreeMap::from(regions);
    let allowed = |route: &Route, customer: Option<&Customer>| {
        let homes = Homes::new(route, customer);
        let domains = ["a", "b", "c", "unlisted"].iter();
        let allowed = domains.filter(|domain| homes.allow(domain, &regions));
        allowed.copied().collect::<Vec<_>>().join(" ")
    };
    let (open, two) = (route(None), route(Some(&["north", "south"])));
    let (anyone, south) = (customer(None), customer(Some(&["south", "east"])));
    assert_eq!(allowed(&open, None), "a b c unlisted");
    assert_eq!(allowed(&open, Some(&anyone)), "a b c unlisted");
    assert_eq!(allowed(&two, Some(&anyone)), "a b");
    assert_eq!(allowed(&open, Some(&south)), "b c");
    assert_eq!(allowed(&two, Some(&south)), "b");
    assert_eq!(allowed(&route(Some(&[])), None), "");
}
