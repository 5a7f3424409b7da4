//! The fleet's peer keys and the authentication tags made with them.

use constant_time_eq::constant_time_eq_16;
use displaydoc::Display;
use std::fmt;

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

/// Length of an authentication tag in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// An authentication tag: the first bytes of a keyed BLAKE3 hash.
pub(crate) type Tag = [u8; TAG_BYTES];

/// Why a key cannot be used. The message never contains the key.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum KeyError {
    /// the {which} peer key has {length} characters; it must be 64 hexadecimal digits (32 bytes)
    Length {
        /// Which of the two keys.
        which: &'static str,
        /// Number of characters that were given.
        length: usize,
    },
    /// the {which} peer key has a character at position {position} that is not a hexadecimal digit
    Digit {
        /// Which of the two keys.
        which: &'static str,
        /// Position of the first bad character, from 1.
        position: usize,
    },
}

impl std::error::Error for KeyError {}

/// A symmetric key. Its `Debug` output hides the bytes, so that keys do not appear in logs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Computes the tag over the concatenation of `parts`. Callers pass parts of fixed length
    /// before the last one, so that no two inputs give the same byte string.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.hash(parts).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag over `parts`. The comparison takes constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        constant_time_eq_16(&self.tag(parts), tag)
    }

    /// Derives a key from this one and `parts`.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> Key {
        Key(*self.hash(parts).as_bytes())
    }

    fn hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        hasher.finalize()
    }

    fn from_hex(which: &'static str, text: &str) -> Result<Key, KeyError> {
        if let Some(at) = text.chars().position(|c| !c.is_ascii_hexdigit()) {
            let position = at + 1;
            return Err(KeyError::Digit { which, position });
        }
        if text.len() != 2 * KEY_BYTES {
            let length = text.len();
            return Err(KeyError::Length { which, length });
        }
        let nibble = |b: u8| (b as char).to_digit(16).expect("checked above") as u8;
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = nibble(pair[0]) << 4 | nibble(pair[1]);
        }
        Ok(Key(key))
    }
}

/// The keys that routers of one fleet share.
///
/// Everything is sent under `current`; `previous` is accepted as well. Rotating the key without
/// refused messages takes two steps: first every router gets the new key as `previous`, then every
/// router swaps the two.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    pub(crate) current: Key,
    pub(crate) previous: Option<Key>,
}

impl PeerKeys {
    /// Parses keys of 64 hexadecimal digits each.
    ///
    /// # Errors
    ///
    /// If a key has another length or a character that is not a hexadecimal digit.
    pub fn from_hex(current: &str, previous: Option<&str>) -> Result<PeerKeys, KeyError> {
        Ok(PeerKeys {
            current: Key::from_hex("current", current)?,
            previous: previous
                .map(|text| Key::from_hex("previous", text))
                .transpose()?,
        })
    }

    /// Creates peer keys from raw bytes.
    pub fn from_bytes(current: [u8; KEY_BYTES], previous: Option<[u8; KEY_BYTES]>) -> PeerKeys {
        PeerKeys {
            current: Key(current),
            previous: previous.map(Key),
        }
    }

    /// Finds the key, current or previous, under which `tag` is the tag over `parts`.
    pub(crate) fn matching(&self, parts: &[&[u8]], tag: &Tag) -> Option<Key> {
        let keys = [Some(self.current), self.previous];
        keys.into_iter()
            .flatten()
            .find(|key| key.verify(parts, tag))
    }
}
