//! Framing and authentication on a byte stream.

use crate::key::{Key, PeerKeys, TAG_BYTES, Tag};
use crate::{Frame, LinkError, WireError, handshake};
use bytes::{Buf, BytesMut};
use std::time::Duration;
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf, split as split_io,
};
use tokio::time::timeout;

/// Size in bytes of the length field that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// Minimum free space in the buffer for each read, in bytes.
const MIN_READ_BYTES: usize = 8 << 10;

/// Read buffers larger than this are released when empty, so that idle connections take little
/// memory.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// The side that sent a frame. It is part of the tag, so that a frame cannot be reflected to its
/// sender.
const FROM_CONNECTING: [u8; 1] = [0];
const FROM_ACCEPTING: [u8; 1] = [1];

/// Limits of a framed stream.
#[derive(Clone, Debug)]
pub struct StreamConfig {
    /// Maximum size of a frame in bytes, without length field and tag. Default: 8 MiB.
    pub max_frame: usize,
    /// Timeout for the whole handshake. Default: 2 s.
    pub handshake_timeout: Duration,
}

impl Default for StreamConfig {
    fn default() -> StreamConfig {
        StreamConfig {
            max_frame: 8 << 20,
            handshake_timeout: Duration::from_secs(2),
        }
    }
}

/// An authenticated connection that carries [`Frame`]s in both directions.
#[derive(Debug)]
pub struct FrameStream<S> {
    reader: FrameReader<ReadHalf<S>>,
    writer: FrameWriter<WriteHalf<S>>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Performs the handshake of the side that opened the connection.
    ///
    /// # Errors
    ///
    /// If the peer does not hold the current key, responds too late or closes the connection.
    pub async fn connect(
        mut io: S,
        keys: &PeerKeys,
        config: &StreamConfig,
    ) -> Result<FrameStream<S>, LinkError> {
        let limit = config.handshake_timeout;
        let session = timeout(limit, handshake::connect(&mut io, keys)).await;
        let session = session.map_err(|_| LinkError::HandshakeTimeout(limit))??;
        Ok(FrameStream::new(
            io,
            session,
            FROM_CONNECTING,
            FROM_ACCEPTING,
            config,
        ))
    }

    /// Performs the handshake of the side that accepted the connection.
    ///
    /// # Errors
    ///
    /// If the peer holds neither key, responds too late or closes the connection.
    pub async fn accept(
        mut io: S,
        keys: &PeerKeys,
        config: &StreamConfig,
    ) -> Result<FrameStream<S>, LinkError> {
        let limit = config.handshake_timeout;
        let session = timeout(limit, handshake::accept(&mut io, keys)).await;
        let session = session.map_err(|_| LinkError::HandshakeTimeout(limit))??;
        Ok(FrameStream::new(
            io,
            session,
            FROM_ACCEPTING,
            FROM_CONNECTING,
            config,
        ))
    }

    fn new(io: S, session: Key, own: [u8; 1], theirs: [u8; 1], config: &StreamConfig) -> Self {
        let (read, write) = split_io(io);
        let limit = config.max_frame;
        FrameStream {
            reader: FrameReader {
                io: read,
                tagger: Tagger::new(session, theirs),
                limit,
                buffer: BytesMut::new(),
                received: 0,
            },
            writer: FrameWriter {
                io: write,
                tagger: Tagger::new(session, own),
                limit,
                buffer: BytesMut::new(),
                sent: 0,
            },
        }
    }

    /// Sends one frame; see [`FrameWriter::send`].
    ///
    /// # Errors
    ///
    /// As [`FrameWriter::send`].
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.writer.send(frame).await
    }

    /// Receives one frame; see [`FrameReader::recv`].
    ///
    /// # Errors
    ///
    /// As [`FrameReader::recv`].
    pub async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        self.reader.recv().await
    }

    /// Receives one frame within `silence`; see [`FrameReader::recv_within`].
    ///
    /// # Errors
    ///
    /// As [`FrameReader::recv_within`].
    pub async fn recv_within(&mut self, silence: Duration) -> Result<Option<Frame>, LinkError> {
        self.reader.recv_within(silence).await
    }

    /// Splits the stream into its two directions, so that different tasks can use them.
    pub fn split(self) -> (FrameReader<ReadHalf<S>>, FrameWriter<WriteHalf<S>>) {
        (self.reader, self.writer)
    }

    /// Joins the halves that [`FrameStream::split`] returned; `None` if they belong to different
    /// connections.
    pub fn join(
        reader: FrameReader<ReadHalf<S>>,
        writer: FrameWriter<WriteHalf<S>>,
    ) -> Option<FrameStream<S>> {
        let same = reader.io.is_pair_of(&writer.io);
        same.then_some(FrameStream { reader, writer })
    }

    /// Number of bytes sent and received in frames.
    pub fn bytes(&self) -> (u64, u64) {
        (self.writer.sent, self.reader.received)
    }
}

/// Computes and verifies the tags of one direction. The counter of frames is part of each tag, so
/// that frames cannot be repeated or reordered.
#[derive(Debug)]
struct Tagger {
    session: Key,
    direction: [u8; 1],
    counter: u64,
}

impl Tagger {
    fn new(session: Key, direction: [u8; 1]) -> Tagger {
        Tagger {
            session,
            direction,
            counter: 0,
        }
    }

    fn tag(&self, body: &[u8]) -> Tag {
        let counter = self.counter.to_le_bytes();
        self.session.tag(&[&self.direction, &counter, body])
    }

    fn verify(&self, body: &[u8], tag: &Tag) -> bool {
        let counter = self.counter.to_le_bytes();
        self.session.verify(&[&self.direction, &counter, body], tag)
    }
}

/// The receiving direction of a [`FrameStream`].
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    tagger: Tagger,
    limit: usize,
    buffer: BytesMut,
    received: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Receives one frame, or `None` if the peer closed the connection between two frames.
    ///
    /// This method is cancel-safe: if the future is dropped, the bytes received so far are kept for
    /// the next call. After a frame was refused, every further call returns the same error.
    ///
    /// # Errors
    ///
    /// If the connection breaks or ends within a frame, or a frame is too large, malformed or not
    /// authentic.
    pub async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some(frame) = self.decode().map_err(LinkError::Refused)? {
                return Ok(Some(frame));
            }
            self.buffer.reserve(MIN_READ_BYTES);
            let read = self.io.read_buf(&mut self.buffer).await;
            let read = read.map_err(|error| LinkError::Broken(error.to_string()))?;
            if read == 0 && self.buffer.is_empty() {
                return Ok(None);
            }
            if read == 0 {
                return Err(LinkError::Truncated);
            }
            self.received += read as u64;
        }
    }

    /// Receives one frame as [`FrameReader::recv`] does. Keepalives are returned like other frames.
    ///
    /// # Errors
    ///
    /// Also [`LinkError::Silent`] if no frame arrives within `silence`.
    pub async fn recv_within(&mut self, silence: Duration) -> Result<Option<Frame>, LinkError> {
        let result = timeout(silence, self.recv()).await;
        result.map_err(|_| LinkError::Silent(silence))?
    }

    /// Number of bytes received in frames.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Takes the next frame from the buffer if it has arrived in full. The buffer is unchanged if
    /// the frame is refused.
    fn decode(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_le_bytes(*length) as usize;
        if size > self.limit {
            let limit = self.limit;
            return Err(WireError::TooLarge { size, limit });
        }
        let end = LENGTH_BYTES + size;
        if self.buffer.len() < end + TAG_BYTES {
            return Ok(None);
        }
        let body = &self.buffer[LENGTH_BYTES..end];
        let tag: &Tag = self.buffer[end..]
            .first_chunk()
            .expect("length was checked");
        if !self.tagger.verify(body, tag) {
            return Err(WireError::BadTag);
        }
        let frame = match postcard::take_from_bytes::<Frame>(body) {
            Ok((frame, [])) => frame,
            _ => return Err(WireError::Malformed),
        };
        self.tagger.counter += 1;
        self.buffer.advance(end + TAG_BYTES);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(Some(frame))
    }
}

/// The sending direction of a [`FrameStream`].
#[derive(Debug)]
pub struct FrameWriter<W> {
    io: W,
    tagger: Tagger,
    limit: usize,
    buffer: BytesMut,
    sent: u64,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Sends one frame.
    ///
    /// If the future is dropped, the rest of the frame stays in the buffer and is sent by the next
    /// call, so that the stream is never corrupted.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unsent`] if the frame exceeds the limit; the connection stays usable.
    /// [`LinkError::Broken`] if the connection breaks.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.encode(frame).map_err(LinkError::Unsent)?;
        let broken = |error: std::io::Error| LinkError::Broken(error.to_string());
        while !self.buffer.is_empty() {
            let written = self.io.write_buf(&mut self.buffer).await.map_err(broken)?;
            if written == 0 {
                return Err(LinkError::Broken(
                    "the socket accepted no bytes".to_string(),
                ));
            }
            self.sent += written as u64;
        }
        self.io.flush().await.map_err(broken)
    }

    /// Closes the sending direction; the peer's next receive returns `None`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Broken`] if the connection is already broken.
    pub async fn close(&mut self) -> Result<(), LinkError> {
        let result = self.io.shutdown().await;
        result.map_err(|error| LinkError::Broken(error.to_string()))
    }

    /// Number of bytes sent in frames.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    fn encode(&mut self, frame: &Frame) -> Result<(), WireError> {
        let body = postcard::to_stdvec(frame).map_err(|_| WireError::Malformed)?;
        let (size, limit) = (body.len(), self.limit);
        let length = match u32::try_from(size) {
            Ok(length) if size <= limit => length,
            _ => return Err(WireError::TooLarge { size, limit }),
        };
        self.buffer.extend_from_slice(&length.to_le_bytes());
        self.buffer.extend_from_slice(&body);
        self.buffer.extend_from_slice(&self.tagger.tag(&body));
        self.tagger.counter += 1;
        Ok(())
    }
}
