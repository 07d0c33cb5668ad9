//! Resident memory of the process.

use std::fs;

/// Memory statistics of the process, in pages. The second field is the resident set size.
const STATM: &str = "/proc/self/statm";

/// Page size of the supported platforms.
const PAGE_SIZE: u64 = 4096;

/// Returns the resident set size of the process in bytes, if it can be read.
pub fn bytes() -> Option<u64> {
    let text = fs::read_to_string(STATM).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_SIZE)
}
