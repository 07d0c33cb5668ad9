//! Verification and decoding of tokens.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Mac;

use crate::id;
use crate::session::{Keys, Token};
use crate::time;

/// Length in bytes of the MAC at the end of a token.
const MAC_LEN: usize = 32;

/// Maximum length of a sealed token; every valid token is shorter.
const MAX_TEXT_LEN: usize = 512;

/// Why a session token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It cannot be decoded.
    Malformed,
    /// It was not sealed by an accepted key.
    Forged,
    /// It belongs to another organisation.
    OtherOrganisation,
    /// It has reached the age limit.
    Expired,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the session token is malformed",
            Self::Forged => "the session token is not sealed by an accepted key",
            Self::OtherOrganisation => "the session belongs to another organisation",
            Self::Expired => "the session has reached its age limit",
        })
    }
}

impl std::error::Error for Error {}

impl Keys {
    /// Verifies and decodes `text` for `organisation` at the wall-clock time `now`.
    pub fn open(
        &self,
        text: &str,
        organisation: &id::Organisation,
        now: time::Timestamp,
    ) -> Result<Token, Error> {
        let bytes = decode(text)?;
        let payload = self.verify(&bytes)?;
        let token = parse(payload)?;
        if token.organisation != *organisation {
            return Err(Error::OtherOrganisation);
        }
        if now.since(token.issued) >= self.max_age {
            return Err(Error::Expired);
        }
        Ok(token)
    }

    /// Returns the payload of `bytes` if it was sealed by an accepted key.
    fn verify<'b>(&self, bytes: &'b [u8]) -> Result<&'b [u8], Error> {
        let split = bytes.len().checked_sub(MAC_LEN).ok_or(Error::Malformed)?;
        let (payload, mac) = bytes.split_at(split);
        let sealed = self
            .accepted()
            .any(|key| key.mac(payload).verify_slice(mac).is_ok());
        if sealed {
            Ok(payload)
        } else {
            Err(Error::Forged)
        }
    }
}

fn decode(text: &str) -> Result<Vec<u8>, Error> {
    if text.len() > MAX_TEXT_LEN {
        return Err(Error::Malformed);
    }
    URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Malformed)
}

fn parse(payload: &[u8]) -> Result<Token, Error> {
    let decoded = bincode::serde::decode_from_slice(payload, bincode::config::standard());
    match decoded {
        Ok((token, len)) if len == payload.len() => Ok(token),
        _ => Err(Error::Malformed),
    }
}
