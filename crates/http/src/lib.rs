//! HTTP server and client with the limits and verdicts of the fleet.
//!
//! [`Server`] runs a [`Handler`] on `xitca-web`. It limits the size of request bodies and the time
//! in which they must arrive. [`Client`] is built on `hyper-util`. It never repeats a request by
//! itself, and each of its errors says whether the request may have run.

mod body;
mod client;
mod server;

pub use body::{BodySender, BodyStream, Chunk};
pub use client::{Client, ClientConfig, ClientError, Response};
pub use server::{BodyError, Handler, Limits, Reply, ReplyFuture, Request, Server};
