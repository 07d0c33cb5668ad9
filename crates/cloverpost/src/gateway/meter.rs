//! Bytes that an upstream sends between two parts of a body.
//!
//! The framing of chunks may go on without end: a size with leading zeros, or blanks after it, is no
//! error to the HTTP library and yields no part of the body. A connection fails once too much of it has
//! arrived.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes between two parts of a body, or in all heads of a response, at which the connection fails. The
/// heads of interim responses take up to 272 KiB together.
const MAX_BYTES: usize = 512 * 1024;

/// Counts the bytes that have arrived since the last part of a body. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a head or a part of a body has been taken.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts `bytes`. Returns whether the connection may go on.
    #[must_use]
    pub fn count(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_BYTES
    }
}
