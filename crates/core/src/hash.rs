//! Hashes that must be equal in every process of the fleet.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hashes bytes. The result is the same in every process and version.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes a sequence of parts. Each part is preceded by its length, so that `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
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
