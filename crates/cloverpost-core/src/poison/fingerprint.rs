//! Fingerprints of requests.

use std::fmt;
use std::str;

use sha2::Digest;

use crate::id;

/// SHA-256 of an organisation, possibly a path, and a request body, formatted as 64 hexadecimal
/// digits.
///
/// The organisation is included so that one organisation cannot get the requests
/// of another quarantined. Headers are not, since clients change some of them on
/// a retry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 32]);

/// The error returned when a string is not a valid fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprint;

impl fmt::Display for ParseFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid fingerprint: expected 64 hexadecimal digits")
    }
}

impl std::error::Error for ParseFingerprint {}

impl Fingerprint {
    /// Computes the fingerprint of a request with `body` from `organisation`.
    #[must_use]
    pub fn of(organisation: &id::Organisation, body: &[u8]) -> Self {
        Self::hash(&[organisation.as_str().as_bytes()], body)
    }

    /// Computes the fingerprint of a request for `path` with `body`, from `organisation` if it is
    /// known.
    #[must_use]
    pub fn of_call(organisation: Option<&id::Organisation>, path: &str, body: &[u8]) -> Self {
        let organisation = organisation.map_or("", id::Organisation::as_str);
        Self::hash(&[organisation.as_bytes(), path.as_bytes()], body)
    }

    /// The first eight bytes, for tables of many requests.
    ///
    /// # Panics
    ///
    /// Never: a fingerprint is longer.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let bytes = self.0.first_chunk().expect("a fingerprint has 32 bytes");
        u64::from_be_bytes(*bytes)
    }

    /// Hashes `names` and `body`. Names contain no zero byte, so the separator keeps the input
    /// unambiguous.
    fn hash(names: &[&[u8]], body: &[u8]) -> Self {
        let mut hash = sha2::Sha256::new();
        for name in names {
            hash.update(name);
            hash.update([0]);
        }
        hash.update(body);
        Self(hash.finalize().into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for Fingerprint {
    type Err = ParseFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseFingerprint)?;
        Ok(Self(bytes))
    }
}
