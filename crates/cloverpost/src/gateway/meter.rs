//! Bytes on a connection to an upstream: those that arrive between two parts of a body, and those that
//! wait to be written.
//!
//! The framing of chunks may go on without end: a size with leading zeros, or blanks after it, is no
//! error to the HTTP library and yields no part of the body. A connection fails once too much of it has
//! arrived.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Bytes between two parts of a body, or in all heads of a response, at which the connection fails. The
/// heads of interim responses take up to 272 KiB together.
const MAX_BYTES: usize = 512 * 1024;

/// Counts the bytes that have arrived since the last part of a body, and knows whether writes are stuck.
/// Clones share both.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    arrived: AtomicUsize,
    /// Whether the latest write took only a part of the bytes, or none.
    is_stuck: AtomicBool,
}

impl Meter {
    /// Records that a head or a part of a body has been taken.
    pub fn reset(&self) {
        self.0.arrived.store(0, Ordering::Relaxed);
    }

    /// Counts `bytes`. Returns whether the connection may go on.
    #[must_use]
    pub fn count(&self, bytes: usize) -> bool {
        self.0.arrived.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_BYTES
    }

    /// Records a write that took `written` of `offered` bytes.
    pub fn record_write(&self, written: usize, offered: usize) {
        self.0.is_stuck.store(written < offered, Ordering::Relaxed);
    }

    /// Whether bytes wait to be written.
    #[must_use]
    pub fn is_stuck(&self) -> bool {
        self.0.is_stuck.load(Ordering::Relaxed)
    }
}
