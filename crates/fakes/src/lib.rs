//! Stand-ins for engines, services and the platform, with failures that tests can order.

pub mod platform;
