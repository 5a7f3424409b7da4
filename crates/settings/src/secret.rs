//! Secrets that are never printed.

use std::fmt;

/// Length of a key.
pub(crate) const KEY_BYTES: usize = 32;

/// A key of 32 bytes. Its `Debug` form hides the content, and it has no `Display` form.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    key: [u8; KEY_BYTES],
}

impl Secret {
    /// Parses a key of 64 hexadecimal digits. Returns `None` for any other string.
    pub fn from_hex(text: &str) -> Option<Secret> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_BYTES {
            return None;
        }
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let value = |digit: u8| char::from(digit).to_digit(16);
            *byte = (value(pair[0])? * 16 + value(pair[1])?) as u8;
        }
        Some(Secret { key })
    }

    /// Returns the key itself.
    pub fn expose(&self) -> &[u8; KEY_BYTES] {
        &self.key
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
