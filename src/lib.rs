//! A fleet of routers that sends returning chats to the engine that caches their context.
//!
//! Sequoiaridge is placed between the routers of other companies and model engines or plain
//! services. Operators set targets for classes of work. The fleet aims to meet them, sends a
//! returning chat to the engine that still caches its context, and never runs a non-idempotent
//! request twice.
//!
//! This crate only re-exports these crates:
//!
//! | module | content |
//! |---|---|
//! | [`core`] | ids, clock, verdicts, reasons, events, fleet configuration |
//! | [`settings`] | settings of one process |
//! | [`policy`] | decisions without I/O: placement, load bound, admission, retries |
//! | [`membership`] | failure detection between routers, health of endpoints |
//! | [`wire`] | authenticated datagrams and streams between routers |
//! | [`store`] | claims, configuration log and membership list on the platform |
//! | [`http`] | HTTP server and client |
//! | [`router`] | the router process |
//! | [`edge`] | the router process on the users' platform |
//! | [`platform`] | names and formats of the users' platform |
//! | [`log`] | numbered log events |
//! | [`fakes`] | fake engines, services and platform for tests |
//!
//! # Example
//!
//! Every router ranks the same engine first for a chat. When an engine leaves, only its own chats
//! move:
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
