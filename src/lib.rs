//! A router fleet that keeps returning chats where their context is cached.
//!
//! Sequoiaridge stands between other companies' routers and model engines or plain services. Operators
//! set targets for classes of work; the fleet meets them, sends a returning chat to the engine that
//! still caches its context, and never runs a non-idempotent request twice.
//!
//! This crate is a facade. Each member crate does one job:
//!
//! | module | job |
//! |---|---|
//! | [`core`] | ids, clock, verdicts, reasons, events, fleet configuration |
//! | [`settings`] | settings of one process |
//! | [`policy`] | placement, load bound, admission, retries: decisions without I/O |
//! | [`membership`] | failure detection between routers, health of endpoints |
//! | [`wire`] | authenticated datagrams and streams between routers |
//! | [`store`] | claims, configuration log and membership list on the platform |
//! | [`http`] | HTTP server and client |
//! | [`router`] | the router process |
//! | [`edge`] | the router process on the users' platform |
//! | [`platform`] | names and formats of the users' platform |
//! | [`log`] | numbered log events |
//! | [`fakes`] | stand-ins for engines, services and the platform |
//!
//! # Example
//!
//! The same chat is ranked to the same engine by every router, and only the chats of an engine that
//! leaves move:
//!
//! ```
//! use sequoiaridge::policy::{Candidate, rank_top};
//!
//! let engines: Vec<_> = (0..20).map(|i| Candidate::new(format!("engine-{i}"), 32)).collect();
//! let chat = 0x5eed;
//! let home = rank_top(chat, &engines, 1).remove(0);
//!
//! let others: Vec<_> = engines.iter().filter(|e| e.id() != &home).cloned().collect();
//! let next = rank_top(chat, &others, 1).remove(0);
//! assert_eq!(rank_top(chat, &engines, 2), [home, next]);
//! ```

pub use sequoiaridge_core as core;
pub use sequoiaridge_edge as edge;
pub use sequoiaridge_fakes as fakes;
pub use sequoiaridge_http as http;
pub use sequoiaridge_log as log;
pub use sequoiaridge_membership as membership;
pub use sequoiaridge_platform as platform;
pub use sequoiaridge_policy as policy;
pub use sequoiaridge_router as router;
pub use sequoiaridge_settings as settings;
pub use sequoiaridge_store as store;
pub use sequoiaridge_wire as wire;
