//! The router process: callers, operators, peers and endpoints.
//!
//! A [`Router`] accepts calls over HTTP and ranks the endpoints that can serve them. Each endpoint
//! has one owning router, which alone admits calls to it. The router that receives a call passes it
//! to the owner, over TCP if the owner is another router. See `docs/design.md` for the decisions.
//!
//! | module | responsibility |
//! |---|---|
//! | `callers`, `call`, `token_index`, `reply` | HTTP for callers: parsing requests and writing replies |
//! | `dispatch` | the receiving router: ranking, forwarding to owners, retries |
//! | `execute`, `admission`, `upstream`, `sse`, `crash`, `turns` | the owning router: admission, claim, one run |
//! | `remote`, `peer_server`, `gossip` | communication with other routers |
//! | `probes`, `maintain`, `refresh`, `view` | endpoint health and the view of the fleet |
//! | `config_sync`, `recent_changes`, `list_sync` | configuration and membership list, from platform and peers |
//! | `operators` | HTTP for operators: commands and queries |
//! | `drain` | planned stop (drain) |

mod admission;
mod call;
mod callers;
mod config_sync;
mod crash;
mod dispatch;
mod drain;
mod execute;
mod gossip;
mod list_sync;
mod maintain;
mod metrics;
mod operators;
mod peer_server;
mod probes;
mod recent_changes;
mod refresh;
mod remote;
mod reply;
mod response_part;
mod router;
mod shared;
mod sse;
mod sums;
mod token_index;
mod turns;
mod upstream;
mod view;

pub use metrics::example_metrics;
pub use router::{DrainOutcome, Router, StartError};
