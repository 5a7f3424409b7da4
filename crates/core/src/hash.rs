//! Hashes that must be equal in every process of the fleet.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Bytes of the length in front of each part.
const LENGTH_BYTES: usize = 8;
/// Parts of at most this size together, with their lengths, are hashed in one step. Most hashes are of ids,
/// and placement takes several for each endpoint of a service; setting up the state for parts that come one
/// after the other takes ten times as long.
const SHORT: usize = 128;

/// Hashes bytes. The result is the same in every process and version.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes a sequence of parts. Each part is preceded by its length, so that `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut buffer = [0; SHORT];
    let mut length = 0;
    for part in parts {
        let start = length + LENGTH_BYTES;
        let end = start.saturating_add(part.len());
        if end > SHORT {
            return hash_long(parts);
        }
        buffer[length..start].copy_from_slice(&(part.len() as u64).to_le_bytes());
        buffer[start..end].copy_from_slice(part);
        length = end;
    }
    xxh3_64(&buffer[..length])
}

/// The first half of the hash of an id, which names it in messages that have no room for ids.
pub fn id_key(id: &str) -> [u8; 4] {
    let [a, b, c, d, ..] = hash_parts(&[id.as_bytes()]).to_le_bytes();
    [a, b, c, d]
}

/// The same as [`hash_parts`] for parts of any length.
fn hash_long(parts: &[&[u8]]) -> u64 {
    let mut state = Xxh3::new();
    for part in parts {
        state.update(&(part.len() as u64).to_le_bytes());
        state.update(part);
    }
    state.digest()
}

/// Digest of a bearer token in hexadecimal. Tokens are long and random, so an unsalted digest does
/// not expose them. The token itself is never stored.
pub fn token_digest(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
