//! Choice of the router that owns an endpoint. See section 4.1 of `docs/design.md`.

use sequoiaridge_core::{DomainId, RegionId, RouterId, hash_parts};

/// A live router and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterInfo {
    /// Id of the router.
    pub id: RouterId,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
}

/// Returns the router that owns `endpoint`, by rendezvous hashing over the live routers of the
/// endpoint's failure domain; if there is none, over those of its region, else over all of them.
///
/// Returns `None` only if `routers` is empty.
pub fn owner_of(
    endpoint: &str,
    domain: &str,
    region: &str,
    routers: &[RouterInfo],
) -> Option<RouterId> {
    let score = |r: &RouterInfo| hash_parts(&[r.id.as_bytes(), endpoint.as_bytes()]);
    let choose = |near: &dyn Fn(&RouterInfo) -> bool| {
        routers
            .iter()
            .filter(|r| near(r))
            .max_by_key(|r| (score(r), &r.id))
    };
    choose(&|r| r.domain == domain)
        .or_else(|| choose(&|r| r.region == region))
        .or_else(|| choose(&|_| true))
        .map(|r| r.id.clone())
}
