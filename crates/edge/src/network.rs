//! Connections to endpoints: direct ones, and tunnels through other routers while this one has lost its links
//! to the endpoints. See docs/design/lost-links.md.

mod dialer;
mod gateway;
mod isolation;
mod link;
mod open;
mod silence;
mod tunnel;

pub use dialer::{Dialer, Dialing, SystemDialer};
pub use isolation::Isolation;

pub(crate) use gateway::serve;
pub(crate) use link::Link;
pub(crate) use open::{is_reachable, is_refusing, open};
pub(crate) use silence::AwaitedStart;
