//! Limits that endpoints in need name in their answers: the requests per second that they take from all
//! routers together. See docs/design/endpoint-limits.md.

mod named;

pub use named::{LimitChange, LimitNotice, NamedLimit, NamedLimits};
