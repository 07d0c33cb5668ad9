//! Limit on the requests that wait at one time.

use std::fmt;

/// Part of a VM's memory that waiting requests may take.
const MEMORY_DIVISOR: u64 = 8;
/// Bytes of a megabyte in settings.
const MEGABYTE: u64 = 1_000_000;
/// Limit for a VM whose memory is not known.
const DEFAULT_REQUESTS: usize = 64;

/// Limit on the requests that wait at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capacity {
    /// Number of requests.
    Requests(usize),
    /// Estimated memory of the requests, in bytes.
    Bytes(u64),
}

impl Capacity {
    /// The capacity of a VM with `megabytes` of memory; zero if that is not known.
    #[must_use]
    pub const fn of_memory(megabytes: u32) -> Self {
        if megabytes == 0 {
            return Self::Requests(DEFAULT_REQUESTS);
        }
        Self::Bytes(megabytes as u64 * MEGABYTE / MEMORY_DIVISOR)
    }

    /// Whether `requests` that take `bytes` in all may wait.
    #[must_use]
    pub const fn admits(self, requests: usize, bytes: u64) -> bool {
        match self {
            Self::Requests(max) => requests <= max,
            Self::Bytes(max) => bytes <= max,
        }
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self::of_memory(0)
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Requests(max) => write!(f, "{max} requests"),
            Self::Bytes(max) => write!(f, "{max} bytes"),
        }
    }
}
