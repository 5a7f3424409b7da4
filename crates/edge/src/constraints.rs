//! Constraints that operators put on where requests may go: evacuated failure domains, cold endpoints, and
//! the regions that are home to a route or a customer.
//!
//! Each decision is free of I/O and has a file of its own. docs/design/operator-constraints.md says where
//! the state comes from.

mod cold_share;
mod cold_starts;
mod evacuations;
mod homes;
mod known_routers;

pub use cold_share::ColdShare;
pub use cold_starts::{ColdBooking, ColdEndpoint, ColdStarts};
pub use evacuations::{
    DomainKey, EvacuatedDomains, EvacuationRow, EvacuationUpdate, Evacuations, MAX_EVACUATED,
    domain_key,
};
pub use homes::Homes;
pub use known_routers::KnownRouters;
