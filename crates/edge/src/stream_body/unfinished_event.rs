//! Holds back the event of a resumable stream that is not complete yet, so that another endpoint can
//! continue after the last complete one.

use crate::byte_budget::{ByteBudget, Reservation};
use crate::event_scan::EVENT_END;
use bytes::{Bytes, BytesMut};

/// Longest event of a resumable stream in bytes. Events of such streams are buffered until they are
/// complete, as far as the memory allows.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of an event that is not complete yet, and their reservation.
#[derive(Default)]
pub(super) struct UnfinishedEvent {
    bytes: BytesMut,
    reservation: Option<Reservation>,
}

impl UnfinishedEvent {
    /// Adds data of the stream. Returns the events that are complete now.
    pub(super) fn complete(&mut self, data: Bytes) -> Bytes {
        if self.bytes.is_empty() && data.ends_with(EVENT_END) {
            return data;
        }
        self.bytes.extend_from_slice(&data);
        let end = self.bytes.windows(2).rposition(|pair| pair == EVENT_END);
        self.bytes.split_to(end.map_or(0, |end| end + 2)).freeze()
    }

    /// Reserves the bytes that are held back. Returns false if the event is too long.
    pub(super) fn reserve(&mut self, budget: &ByteBudget) -> bool {
        let length = self.bytes.len();
        if length == 0 {
            self.reservation = None;
            return true;
        }
        let reservation = self.reservation.get_or_insert_with(|| budget.reservation());
        length <= MAX_EVENT_BYTES && reservation.grow(length)
    }

    /// Drops the bytes that are held back, because another endpoint sends the event anew.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
    }
}
