//! Bytes that one router may hold for the bodies of requests and answers.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of a body that need no reservation. Nearly all plain answers and events are shorter, so they are
/// buffered however much long bodies take.
const FREE_BYTES: usize = 16 * 1024;
/// A body whose length is not known may hold one part in this many of what other bodies leave. So the
/// longest ones give way first, and however many there are, some room remains.
const SHARE_DIVISOR: usize = 4;

/// Limit on the bytes of all bodies together.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget {
            limit,
            used: Arc::default(),
        }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes, for a body whose length is not known.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves the bytes of a body of known length; `None` if they are not left.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reservation();
        reservation.set(bytes).then_some(reservation)
    }
}

/// Bytes reserved for one body, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl Reservation {
    /// Reserves room for a body that has grown to `length` bytes. Returns false if it may not hold as many.
    pub fn grow(&mut self, length: usize) -> bool {
        if length <= FREE_BYTES.max(self.bytes) {
            return true;
        }
        let others = self.budget.used().saturating_sub(self.bytes);
        let share = self.budget.limit.saturating_sub(others) / SHARE_DIVISOR;
        // Buffers grow in powers of two.
        let bytes = length.checked_next_power_of_two().unwrap_or(usize::MAX);
        bytes <= share && self.set(bytes)
    }

    /// Reserves `bytes` in all, unless they are not left.
    fn set(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.fetch_add(added, Ordering::Relaxed);
        if used.saturating_add(added) > self.budget.limit {
            self.budget.used.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.bytes += added;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is being buffered, with its reservation.
#[derive(Debug)]
pub(crate) struct HeldBody {
    bytes: BytesMut,
    reservation: Reservation,
}

impl HeldBody {
    /// An empty body under a reservation.
    pub(crate) fn new(reservation: Reservation) -> HeldBody {
        HeldBody {
            bytes: BytesMut::new(),
            reservation,
        }
    }

    /// Number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends data, unless the budget does not allow it. Returns whether it did.
    pub(crate) fn extend(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        let has_room = self.reservation.grow(length);
        if has_room {
            self.bytes.extend_from_slice(data);
        }
        has_room
    }

    /// The body with the data that its reservation has no room for.
    pub(crate) fn freeze_with(mut self, data: Bytes) -> Bytes {
        self.bytes.extend_from_slice(&data);
        self.freeze()
    }

    /// The body. Its bytes remain reserved until the last reference to them is dropped.
    pub(crate) fn freeze(self) -> Bytes {
        if self.reservation.bytes == 0 {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
