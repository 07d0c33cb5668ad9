//! Hashes that detect reuse of a key for a different request.

use std::fmt;

use sha2::Digest;

use crate::id;

/// SHA-256 of a request's entry, method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestHash([u8; 32]);

impl RequestHash {
    /// Hashes a call of `entry` with HTTP `method`, the upstream `path` and `body`.
    ///
    /// The entry is included because two services may have the same path. Each
    /// field is prefixed with its length, so that moving bytes from one field to
    /// the next changes the hash.
    #[must_use]
    pub fn of(entry: &id::Entry, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = sha2::Sha256::new();
        for field in [
            entry.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ] {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
