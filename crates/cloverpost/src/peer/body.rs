//! Reads and writes frames as h2 stream bodies.

use bytes::{Bytes, BytesMut};
use cloverpost_wire::{self as wire, Frame, HEADER_LEN};

use crate::peer::auth::FRAME_TAG_LEN;

/// A body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The stream failed.
    Stream,
    /// The frame is invalid.
    Frame(wire::Error),
}

/// Reads one body: a frame and, on an authenticated link, its tag.
///
/// The header is validated as soon as it has arrived, and a body longer than the
/// header declares is rejected. This limits the memory per stream to one frame.
pub async fn read(body: &mut h2::RecvStream, max_body_len: usize) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    let mut max_len = HEADER_LEN + max_body_len + FRAME_TAG_LEN;
    while read_chunk(body, &mut bytes).await? {
        if bytes.len() >= HEADER_LEN {
            max_len = tagged_len(&bytes, max_body_len)?;
        }
        if bytes.len() > max_len {
            return Err(Error::Frame(wire::Error::Malformed));
        }
    }
    Ok(bytes.freeze())
}

/// Reads the first frame of a longer body, with its tag. Returns it and the bytes after it.
pub async fn read_first(
    body: &mut h2::RecvStream,
    max_body_len: usize,
) -> Result<(Bytes, Bytes), Error> {
    let mut bytes = BytesMut::new();
    loop {
        if bytes.len() >= HEADER_LEN {
            let len = tagged_len(&bytes, max_body_len)?;
            if bytes.len() >= len {
                let first = bytes.split_to(len);
                return Ok((first.freeze(), bytes.freeze()));
            }
        }
        if !read_chunk(body, &mut bytes).await? {
            return Err(Error::Frame(wire::Error::Malformed));
        }
    }
}

/// Appends the next chunk of `body`; returns whether there was one.
async fn read_chunk(body: &mut h2::RecvStream, bytes: &mut BytesMut) -> Result<bool, Error> {
    let Some(chunk) = body.data().await else {
        return Ok(false);
    };
    let chunk = chunk.map_err(|_| Error::Stream)?;
    // Fails only if the stream was reset; the next read reports that.
    let _ = body.flow_control().release_capacity(chunk.len());
    bytes.extend_from_slice(&chunk);
    Ok(true)
}

/// Length of the frame that `bytes` begin with, and its tag.
fn tagged_len(bytes: &[u8], max_body_len: usize) -> Result<usize, Error> {
    let len = Frame::body_len(&bytes[..HEADER_LEN]).map_err(Error::Frame)?;
    if len > max_body_len {
        return Err(Error::Frame(wire::Error::Oversize { len }));
    }
    Ok(HEADER_LEN + len + FRAME_TAG_LEN)
}

/// Appends the tag to a frame.
pub fn with_tag(frame: &Bytes, tag: [u8; FRAME_TAG_LEN]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(frame.len() + tag.len());
    bytes.extend_from_slice(frame);
    bytes.extend_from_slice(&tag);
    bytes.freeze()
}
