//! Response bodies that are produced while they are sent.

use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// One chunk of a body. An error aborts the connection, so that the reader sees a truncated body
/// and never takes it for a complete one.
pub type Chunk = io::Result<Bytes>;

/// Sending half of a [`BodyStream`].
#[derive(Clone, Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
}

/// A body that is produced while it is sent.
#[derive(Debug)]
pub struct BodyStream {
    chunks: mpsc::Receiver<Chunk>,
}

impl BodyStream {
    /// Creates a stream whose sender waits while `depth` chunks are unread.
    pub fn new(depth: usize) -> (BodySender, BodyStream) {
        let (sender, receiver) = mpsc::channel(depth);
        (
            BodySender { chunks: sender },
            BodyStream { chunks: receiver },
        )
    }

    /// Receives the next chunk; `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Chunk> {
        self.chunks.recv().await
    }
}

impl futures_util::Stream for BodyStream {
    type Item = Chunk;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        self.chunks.poll_recv(cx)
    }
}

impl BodySender {
    /// Sends a chunk; `false` if the reader was dropped.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body with an error, which aborts the connection to the reader.
    pub async fn fail(&self, reason: &'static str) {
        let _ = self.chunks.send(Err(io::Error::other(reason))).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}
