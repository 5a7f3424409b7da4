//! Streams that can be resumed.

use super::chat::{Chat, Usage};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after a client last read a stream during which the stream can be resumed.
const RESUME_WINDOW: Duration = Duration::from_secs(30);

/// A stream that exists independently of the connection that reads it.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) chat: Chat,
    pub(super) usage: Usage,
    produced: AtomicUsize,
    last_read: Mutex<Instant>,
}

impl Stream {
    /// Returns the number of tokens generated so far.
    pub(super) fn produced(&self) -> usize {
        self.produced.load(Ordering::SeqCst)
    }

    /// Records that the first `count` tokens are generated, and returns how many of them are new.
    pub(super) fn record_produced(&self, count: usize) -> usize {
        count.saturating_sub(self.produced.fetch_max(count, Ordering::SeqCst))
    }

    /// Records that a client reads the stream at this moment.
    pub(super) fn touch(&self) {
        *self.last_read.lock().expect("stream lock") = Instant::now();
    }

    fn expired(&self) -> bool {
        self.last_read.lock().expect("stream lock").elapsed() > RESUME_WINDOW
    }
}

/// All streams of one boot.
#[derive(Debug, Default)]
pub(super) struct Streams {
    streams: BTreeMap<String, Arc<Stream>>,
}

impl Streams {
    /// Adds a stream and removes those that can no longer be resumed.
    pub(super) fn open(&mut self, chat: Chat, usage: Usage) -> Arc<Stream> {
        self.streams.retain(|_, stream| !stream.expired());
        let stream = Arc::new(Stream {
            id: format!("{:016x}", rand::random::<u64>()),
            chat,
            usage,
            produced: AtomicUsize::new(0),
            last_read: Mutex::new(Instant::now()),
        });
        self.streams.insert(stream.id.clone(), stream.clone());
        stream
    }

    /// Returns the stream with this id if it can still be resumed.
    pub(super) fn find(&self, id: &str) -> Option<Arc<Stream>> {
        let stream = self.streams.get(id)?;
        (!stream.expired()).then(|| stream.clone())
    }

    /// Removes all streams, as a restart does.
    pub(super) fn clear(&mut self) {
        self.streams.clear();
    }
}
