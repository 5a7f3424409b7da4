//! Opens TCP connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;

/// Future of a connection that is being opened.
pub type Dialing = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens connections to endpoints. Another one than [`SystemDialer`] stands for a network that fails.
pub trait Dialer: Send + Sync {
    /// Opens a connection, without a time limit of its own.
    fn dial(&self, address: SocketAddr) -> Dialing;
}

/// Opens connections through the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDialer;

impl Dialer for SystemDialer {
    fn dial(&self, address: SocketAddr) -> Dialing {
        Box::pin(TcpStream::connect(address))
    }
}
