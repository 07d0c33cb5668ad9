//! Secret keys for session tokens.

use std::fmt;
use std::str;

use hmac::Mac;

/// Length of a key in bytes, equal to the output size of SHA-256.
const KEY_LEN: usize = 32;

/// Domain separation: makes these MACs invalid for any other use of the same key.
const CONTEXT: &[u8] = b"cloverpost session token 1";

/// A secret key of 32 bytes, written as 64 hexadecimal digits. Its `Debug` output is
/// redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_LEN]);

/// The error for text that is not a key. Omits the text, which may be secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKeyError;

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid session key: expected 64 hexadecimal digits")
    }
}

impl std::error::Error for ParseKeyError {}

impl Key {
    /// Creates a key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// The MAC state after `payload`, ready to be finalised or verified.
    pub(super) fn mac(&self, payload: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0)
            .expect("HMAC takes a key of any length");
        mac.update(CONTEXT);
        mac.update(payload);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl str::FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; KEY_LEN];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseKeyError)?;
        Ok(Self(bytes))
    }
}
