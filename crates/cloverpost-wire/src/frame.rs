//! Frame encoding and decoding.

use bytes::{BufMut, Bytes, BytesMut};

use crate::{Error, Message};

/// Protocol version, incremented whenever an existing message changes.
pub const VERSION: u8 = 6;
/// Maximum body length in bytes, large enough for a full catalogue.
pub const MAX_BODY_LEN: usize = 1024 * 1024;
/// Header length in bytes: the version byte and the body length.
pub const HEADER_LEN: usize = 1 + size_of::<u32>();

/// An encoded message with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes `message` with its header.
    pub fn encode(message: &Message) -> Result<Self, Error> {
        let body =
            bincode::serde::encode_to_vec(message, config()).map_err(|_| Error::Malformed)?;
        let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
        if body.len() > MAX_BODY_LEN {
            return Err(Error::Oversize { len: body.len() });
        }
        let mut bytes = BytesMut::with_capacity(HEADER_LEN + body.len());
        bytes.put_u8(VERSION);
        bytes.put_u32(len);
        bytes.put_slice(&body);
        Ok(Self(bytes.freeze()))
    }

    /// Decodes `bytes`, which must hold exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        let (header, body) = bytes.split_at_checked(HEADER_LEN).ok_or(Error::Malformed)?;
        let len = Self::body_len(header)?;
        if body.len() != len {
            return Err(Error::Malformed);
        }
        let (message, read) =
            bincode::serde::decode_from_slice(body, config()).map_err(|_| Error::Malformed)?;
        if read == len {
            Ok(message)
        } else {
            Err(Error::Malformed)
        }
    }

    /// Validates `header` and returns the body length that it declares.
    ///
    /// Readers call this before buffering the body, so that an oversize frame is rejected
    /// early.
    pub fn body_len(header: &[u8]) -> Result<usize, Error> {
        let (&found, len) = header.split_first().ok_or(Error::Malformed)?;
        if found != VERSION {
            return Err(Error::Version { found });
        }
        let len = len.first_chunk().ok_or(Error::Malformed)?;
        let len = usize::try_from(u32::from_be_bytes(*len)).unwrap_or(usize::MAX);
        if len > MAX_BODY_LEN {
            return Err(Error::Oversize { len });
        }
        Ok(len)
    }

    /// Returns the encoded frame, header included.
    #[must_use]
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }
}

/// Variable-length integers; decoding reads at most [`MAX_BODY_LEN`] bytes.
const fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BODY_LEN>()
}
