//! A connection that limits how much may be read before the head of an answer is complete.

use crate::network::Link;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest number of bytes before the head of an answer is complete. The parser limits one head, but any
/// number of informational (1xx) heads may precede it, and all of them are parsed before the task yields.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Number of bytes that a connection may still read; shared with the connection itself.
#[derive(Clone, Debug)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    fn new() -> ReadBudget {
        ReadBudget(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Limits what is read from now on until the head of an answer is complete.
    pub(crate) fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit: what follows is a body, which is read only as fast as it is consumed.
    pub(crate) fn remove_limit(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Subtracts bytes that were read. Returns false if the budget is used up.
    fn subtract(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        left > bytes
    }
}

/// A connection to an endpoint with a read budget.
pub(crate) struct BoundedIo {
    stream: Link,
    budget: ReadBudget,
}

impl BoundedIo {
    /// Wraps a stream. The returned budget controls how much may be read from it.
    pub(crate) fn new(stream: Link) -> (BoundedIo, ReadBudget) {
        let budget = ReadBudget::new();
        let io = BoundedIo {
            stream,
            budget: budget.clone(),
        };
        (io, budget)
    }
}

impl AsyncRead for BoundedIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(())) = read
            && !this.budget.subtract(buffer.filled().len() - before)
        {
            let message = "the head of the answer is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        read
    }
}

impl AsyncWrite for BoundedIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
