//! Retry budget settings.

use crate::budget::Share;

/// Limits on the retries of a traffic class on one VM.
///
/// In any time interval, the number of retries is at most `share` of the interval's first
/// attempts, plus `floor` per second, plus `burst`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Retries as a share of first attempts.
    pub share: Share,
    /// Additional retries per second, for classes with little traffic.
    pub floor: u32,
    /// Maximum number of unused retries that are carried over.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            share: Share::from_percent(10),
            floor: 1,
            burst: 10,
        }
    }
}
