//! Datagrams with sender, incarnation, sequence number and tag.

use crate::WireError;
use crate::key::{PeerKeys, TAG_BYTES, Tag};
use sequoiaridge_core::RouterId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Largest datagram in bytes. It fits an Ethernet frame with room for tunnels, so that datagrams
/// are not fragmented.
pub const MAX_DATAGRAM: usize = 1200;

/// Sequence numbers below the highest one that are still accepted once.
const REPLAY_WINDOW: u64 = 64;

/// Default number of senders that an opener remembers. Replaced instances may have new names, so
/// the number of names ever heard is not bounded by the size of the fleet.
const DEFAULT_SENDERS: usize = 4096;

/// What precedes the body of each datagram.
#[derive(Serialize, Deserialize)]
struct DatagramHeader {
    sender: RouterId,
    incarnation: u64,
    sequence: u64,
}

/// Encodes the datagrams of one router.
///
/// A datagram consists of the tag, the header and the body. One sealer serves the whole process,
/// because a second one would use its sequence numbers again.
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

/// Sequence numbers received from one sender.
#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit `i` stands for the number `highest - i`.
    seen: u64,
    /// Value of the opener's counter when the sender was last heard.
    heard: u64,
}

impl Window {
    /// Records `sequence`, or refuses it if it was seen or is too old to tell.
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
/// Only authentic senders take up memory. If there are more of them than the bound, the one that
/// was silent for longest is forgotten; its old datagrams could then be replayed.
#[derive(Debug)]
pub struct Opener {
    keys: PeerKeys,
    windows: BTreeMap<RouterId, Window>,
    senders: usize,
    opened: u64,
}

impl Opener {
    /// Creates an opener that remembers the default number of senders.
    pub fn new(keys: &PeerKeys) -> Opener {
        Opener::with_senders(keys, DEFAULT_SENDERS)
    }

    /// Creates an opener that remembers at most `senders` senders, but at least one.
    pub fn with_senders(keys: &PeerKeys, senders: usize) -> Opener {
        Opener {
            keys: keys.clone(),
            windows: BTreeMap::new(),
            senders: senders.max(1),
            opened: 0,
        }
    }

    /// Checks and decodes one datagram; returns its sender, the sender's incarnation and the body.
    ///
    /// # Errors
    ///
    /// One variant of [`WireError`] per reason. A refused datagram changes nothing, but that a
    /// malformed body uses up its sequence number.
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

    /// Number of senders that are remembered.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn record(&mut self, header: &DatagramHeader) -> Result<(), WireError> {
        self.opened += 1;
        let heard = self.opened;
        if let Some(window) = self.windows.get_mut(&header.sender)
            && window.incarnation >= header.incarnation
        {
            if window.incarnation > header.incarnation {
                return Err(WireError::OldIncarnation);
            }
            window.record(header.sequence)?;
            window.heard = heard;
            return Ok(());
        }
        if self.windows.len() >= self.senders && !self.windows.contains_key(&header.sender) {
            self.forget_oldest();
        }
        let window = Window {
            incarnation: header.incarnation,
            highest: header.sequence,
            seen: 1,
            heard,
        };
        self.windows.insert(header.sender.clone(), window);
        Ok(())
    }

    fn forget_oldest(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.heard);
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
