//! The regions that are home to a request. The load: requests of routes and customers whose data must
//! stay in some regions.

use crate::manifest::{Customer, Route};
use sequoiaridge_core::{DomainId, RegionId};
use std::collections::BTreeMap;

/// The regions whose endpoints may get a request, by its route and by its customer. Where both have
/// some, both apply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    route: Option<Vec<RegionId>>,
    customer: Option<Vec<RegionId>>,
}

impl Homes {
    /// The homes of a request on a route from a customer, if it is known.
    pub fn new(route: &Route, customer: Option<&Customer>) -> Homes {
        Homes {
            route: route.regions.clone(),
            customer: customer.and_then(|customer| customer.regions.clone()),
        }
    }

    /// Whether no homes apply.
    pub fn allow_all(&self) -> bool {
        self.route.is_none() && self.customer.is_none()
    }

    /// Whether the endpoints of a failure domain may get the request. A domain in no known region may
    /// be anywhere, so it is allowed only where no homes apply.
    pub fn allow(&self, domain: &str, regions: &BTreeMap<DomainId, RegionId>) -> bool {
        if self.allow_all() {
            return true;
        }
        let region = regions.get(domain);
        let allows = |homes: &Option<Vec<RegionId>>| {
            homes
                .as_ref()
                .is_none_or(|homes| region.is_some_and(|region| homes.contains(region)))
        };
        allows(&self.route) && allows(&self.customer)
    }
}
