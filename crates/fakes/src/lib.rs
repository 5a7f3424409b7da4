//! Stand-ins for engines, services and the platform, with failures that tests can order.
//!
//! [`engine::Engine`] and [`service::Service`] each serve HTTP on one address. Every connection
//! passes through a relay in the same process, so that a test can cut or silence connections without
//! the help of the HTTP server. [`control::Control`] orders failures and reads counters over HTTP, so
//! it works equally for stand-ins in the test's process and in a process of their own.
//! [`platform::Platform`] serves the table, the objects and the membership list.

pub mod control;
pub mod engine;
pub mod platform;
pub mod service;
