//! The router process: callers, operators, peers and endpoints.
