//! HTTP server and client with the limits and verdicts of the fleet.
//!
//! [`Server`] runs a [`Handler`] on `xitca-web` with bounds on body size and on the time in which a
//! request must arrive. [`Client`] is built on `hyper-util`; it never sends a request twice by itself,
//! and each error says whether a byte of the request may have left.

mod body;
mod client;
mod server;

pub use body::{BodySender, BodyStream, Chunk};
pub use client::{Answer, Client, ClientConfig, ClientError};
pub use server::{Handler, Limits, Reply, ReplyFuture, Request, Server, ServerError};
