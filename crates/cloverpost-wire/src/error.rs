//! Frame encoding and decoding errors.

use std::fmt;

use crate::frame;

/// An error encoding or decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body exceeds [`MAX_BODY_LEN`](crate::MAX_BODY_LEN).
    Oversize {
        /// Body length in bytes: the actual one when encoding, the header's when decoding.
        len: usize,
    },
    /// The frame's version is not supported.
    Version {
        /// Version in the frame header.
        found: u8,
    },
    /// The frame is truncated, has trailing bytes, or does not decode to a message.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversize { len } => {
                write!(
                    f,
                    "frame body of {len} bytes exceeds the limit of {} bytes",
                    frame::MAX_BODY_LEN
                )
            }
            Self::Version { found } => {
                write!(
                    f,
                    "unsupported frame version {found}, expected {}",
                    frame::VERSION
                )
            }
            Self::Malformed => f.write_str("malformed frame"),
        }
    }
}

impl std::error::Error for Error {}
