//! Where the events of a stream end.

use crate::started_answer::Framing;

/// End of an event of a stream.
pub(crate) const EVENT_END: &[u8] = b"\n\n";

/// What has arrived of the events of a stream.
#[derive(Default)]
pub(crate) struct EventScan {
    /// Ends of events.
    pub(crate) ends: usize,
    /// The last two bytes, or fewer at the start.
    tail: Vec<u8>,
}

impl EventScan {
    /// Records the next bytes of the stream.
    pub(crate) fn record(&mut self, data: &[u8]) {
        if let (Some(last), Some(first)) = (self.tail.last(), data.first()) {
            self.ends += usize::from([*last, *first] == EVENT_END);
        }
        let pairs = data.windows(EVENT_END.len());
        self.ends += pairs.filter(|pair| *pair == EVENT_END).count();
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(EVENT_END.len())..]);
        let excess = self.tail.len().saturating_sub(EVENT_END.len());
        self.tail.drain(..excess);
    }

    /// Whether the stream may end here: after an event, or before the first one, unless it ends
    /// with its connection and begins with the first event. One that goes on after an event may
    /// have none left.
    pub(crate) fn is_at_end(&self, framing: Framing, goes_on: bool) -> bool {
        let may_be_empty = goes_on || framing != Framing::Connection;
        may_be_empty && self.tail.is_empty() || self.tail == EVENT_END
    }
}
