//! Connections to endpoints over the network.

mod dialer;

pub use dialer::{Dialer, Dialing, SystemDialer};
