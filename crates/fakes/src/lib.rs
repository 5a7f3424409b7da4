//! Fake engines, services and platform, with faults that tests can inject.
//!
//! [`engine::Engine`] and [`service::Service`] each serve HTTP on one address. Every connection
//! passes through a proxy in the same process, so that a test can cut or silence connections
//! without support from the HTTP server. [`control::Control`] injects faults and reads counters
//! over HTTP, so it works for fakes in the test's process and for fakes in a process of their own.
//! [`platform::Platform`] serves the table, the objects and the membership list.

pub mod control;
pub mod engine;
pub mod platform;
pub mod service;
