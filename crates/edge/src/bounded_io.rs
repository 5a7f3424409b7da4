//! A connection that ends when the head of an answer does not.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may come before the head of an answer is whole. The parser has a bound on one head, but any
/// number of heads of provisional answers may precede it, all parsed before other tasks have their turn.
const LONGEST_HEAD: usize = 1 << 20;

/// Bytes that a connection may still read.
#[derive(Clone, Debug)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    fn new() -> ReadBudget {
        ReadBudget(Arc::new(AtomicUsize::new(LONGEST_HEAD)))
    }

    /// Bounds what is read from now on, until the head of an answer is known.
    pub(crate) fn expect_head(&self) {
        self.0.store(LONGEST_HEAD, Ordering::Relaxed);
    }

    /// Lifts the bound: what follows is a body, and is read as it is taken.
    pub(crate) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Takes bytes that were read; false if there were too many.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        left > bytes
    }
}

/// A connection with a budget of bytes to read.
pub(crate) struct BoundedIo {
    stream: TcpStream,
    budget: ReadBudget,
}

impl BoundedIo {
    /// Bounds what is read from a stream.
    pub(crate) fn new(stream: TcpStream) -> (BoundedIo, ReadBudget) {
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
            && !this.budget.take(buffer.filled().len() - before)
        {
            let message = "the head of the answer does not end";
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
