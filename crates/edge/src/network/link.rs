//! A byte stream to an endpoint.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;

/// A connection to an endpoint.
pub(crate) enum Link {
    Direct(TcpStream),
    Tunnel(TunnelEnd),
}

/// This router's end of a tunnel.
pub(crate) struct TunnelEnd {
    pub(super) io: DuplexStream,
    /// Whether the endpoint closed the connection in order. A tunnel that ends otherwise was broken on the way.
    pub(super) is_closed: Arc<AtomicBool>,
}

impl Link {
    /// Whether the connection does not pass through another router.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self, Link::Direct(_))
    }
}

impl AsyncRead for Link {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let tunnel = match self.get_mut() {
            Link::Direct(stream) => return Pin::new(stream).poll_read(cx, buffer),
            Link::Tunnel(tunnel) => tunnel,
        };
        let before = buffer.filled().len();
        ready!(Pin::new(&mut tunnel.io).poll_read(cx, buffer))?;
        let is_end = buffer.filled().len() == before && buffer.remaining() > 0;
        if is_end && !tunnel.is_closed.load(Ordering::Acquire) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Link::Direct(stream) => Pin::new(stream).poll_write(cx, bytes),
            Link::Tunnel(tunnel) => Pin::new(&mut tunnel.io).poll_write(cx, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Link::Direct(stream) => Pin::new(stream).poll_write_vectored(cx, bytes),
            Link::Tunnel(tunnel) => Pin::new(&mut tunnel.io).poll_write_vectored(cx, bytes),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Link::Direct(stream) => stream.is_write_vectored(),
            Link::Tunnel(tunnel) => tunnel.io.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Link::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Link::Tunnel(tunnel) => Pin::new(&mut tunnel.io).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Link::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Link::Tunnel(tunnel) => Pin::new(&mut tunnel.io).poll_shutdown(cx),
        }
    }
}
