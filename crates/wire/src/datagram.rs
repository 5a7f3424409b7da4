//! Authenticated datagrams with sender, incarnation and sequence number.

use crate::WireError;
use crate::key::{PeerKeys, TAG_BYTES, Tag};
use sequoiaridge_core::RouterId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum size of a datagram in bytes. It fits an Ethernet frame with room for tunnel headers, so
/// that datagrams are not fragmented.
pub const MAX_DATAGRAM: usize = 1200;

/// Size of the replay window: a sequence number that is at least this far below the highest one
/// received is refused; within the window each number is accepted once.
const REPLAY_WINDOW: u64 = 64;

/// Default maximum number of senders that an opener remembers. Replaced instances may have new
/// names, so the size of the fleet does not bound the number of senders over time.
const DEFAULT_MAX_SENDERS: usize = 4096;

/// Precedes the body of each datagram.
#[derive(Serialize, Deserialize)]
struct DatagramHeader {
    sender: RouterId,
    incarnation: u64,
    sequence: u64,
}

/// Encodes the datagrams of one router.
///
/// A datagram consists of the tag, the header and the body. A process must use a single sealer,
/// because a second one would use the same sequence numbers again.
#[derive(Debug)]
pub struct Sealer {
    keys: PeerKeys,
    sender: RouterId,
    incarnation: u64,
    sequence: AtomicU64,
}

impl Sealer {
    /// Creates the sealer of router `sender`, whose process started as `incarnation`.
    pub fn new(keys: &PeerKeys, sender: RouterId, incarnation: u64) -> Sealer {
        Sealer {
            keys: keys.clone(),
            sender,
            incarnation,
            sequence: AtomicU64::new(1),
        }
    }

    /// Seals further datagrams with other keys.
    pub fn set_keys(&mut self, keys: &PeerKeys) {
        self.keys = keys.clone();
    }

    /// Encodes and authenticates one datagram.
    ///
    /// # Errors
    ///
    /// [`WireError::TooLarge`] if the datagram exceeds [`MAX_DATAGRAM`], and
    /// [`WireError::Malformed`] if `body` is of a type that postcard cannot encode.
    pub fn seal<T: Serialize>(&self, body: &T) -> Result<Vec<u8>, WireError> {
        let header = DatagramHeader {
            sender: self.sender.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let mut datagram = vec![0; TAG_BYTES];
        datagram = postcard::to_extend(&header, datagram).map_err(|_| WireError::Malformed)?;
        datagram = postcard::to_extend(body, datagram).map_err(|_| WireError::Malformed)?;
        check_size(datagram.len())?;
        let tag = self.keys.current.tag(&[&datagram[TAG_BYTES..]]);
        datagram[..TAG_BYTES].copy_from_slice(&tag);
        Ok(datagram)
    }
}

/// Replay window of one sender: which sequence numbers were received.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `i` is set if the number `highest - i` was received.
    seen: u64,
    /// Value of [`Opener::opened`] when the sender was last heard.
    last_heard: u64,
}

impl ReplayWindow {
    /// Records `sequence`, or refuses it if it was received before or is older than the window.
    fn record(&mut self, sequence: u64) -> Result<(), WireError> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < REPLAY_WINDOW {
                self.seen << shift | 1
            } else {
                1
            };
            self.highest = sequence;
            return Ok(());
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW || self.seen >> age & 1 == 1 {
            return Err(WireError::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}

/// Checks and decodes the datagrams of all peers.
///
/// Only authenticated senders take up memory. If there are more of them than the maximum, the one
/// that has been silent the longest is forgotten; its old datagrams could then be replayed.
#[derive(Debug)]
pub struct Opener {
    keys: PeerKeys,
    windows: BTreeMap<RouterId, ReplayWindow>,
    max_senders: usize,
    /// Number of authentic datagrams so far.
    opened: u64,
}

impl Opener {
    /// Creates an opener that remembers the default number of senders.
    pub fn new(keys: &PeerKeys) -> Opener {
        Opener::with_senders(keys, DEFAULT_MAX_SENDERS)
    }

    /// Creates an opener that remembers at most `max_senders` senders, but at least one.
    pub fn with_senders(keys: &PeerKeys, max_senders: usize) -> Opener {
        Opener {
            keys: keys.clone(),
            windows: BTreeMap::new(),
            max_senders: max_senders.max(1),
            opened: 0,
        }
    }

    /// Accepts further datagrams under other keys. The replay windows stay.
    pub fn set_keys(&mut self, keys: &PeerKeys) {
        self.keys = keys.clone();
    }

    /// Checks and decodes one datagram; returns its sender, the sender's incarnation and the body.
    ///
    /// # Errors
    ///
    /// One variant of [`WireError`] per reason. A refused datagram has no effect, except that one
    /// with a malformed body uses up its sequence number.
    pub fn open<T: DeserializeOwned>(
        &mut self,
        datagram: &[u8],
    ) -> Result<(RouterId, u64, T), WireError> {
        check_size(datagram.len())?;
        let (tag, content) = datagram
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(WireError::Malformed)?;
        let tag: &Tag = tag;
        if self.keys.matching(&[content], tag).is_none() {
            return Err(WireError::BadTag);
        }
        let (header, body) = postcard::take_from_bytes::<DatagramHeader>(content)
            .map_err(|_| WireError::Malformed)?;
        self.record(&header)?;
        match postcard::take_from_bytes::<T>(body) {
            Ok((value, [])) => Ok((header.sender, header.incarnation, value)),
            _ => Err(WireError::Malformed),
        }
    }

    /// Number of senders currently remembered.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn record(&mut self, header: &DatagramHeader) -> Result<(), WireError> {
        self.opened += 1;
        let last_heard = self.opened;
        if let Some(window) = self.windows.get_mut(&header.sender)
            && window.incarnation >= header.incarnation
        {
            if window.incarnation > header.incarnation {
                return Err(WireError::OldIncarnation);
            }
            window.record(header.sequence)?;
            window.last_heard = last_heard;
            return Ok(());
        }
        if self.windows.len() >= self.max_senders && !self.windows.contains_key(&header.sender) {
            self.forget_most_silent();
        }
        let window = ReplayWindow {
            incarnation: header.incarnation,
            highest: header.sequence,
            seen: 1,
            last_heard,
        };
        self.windows.insert(header.sender.clone(), window);
        Ok(())
    }

    fn forget_most_silent(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_heard);
        if let Some(sender) = oldest.map(|(sender, _)| sender.clone()) {
            self.windows.remove(&sender);
        }
    }
}

fn check_size(size: usize) -> Result<(), WireError> {
    if size > MAX_DATAGRAM {
        let limit = MAX_DATAGRAM;
        return Err(WireError::TooLarge { size, limit });
    }
    Ok(())
}
