//! A request that waits.

use crate::time;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// When it arrived.
    pub since: time::Moment,
    /// When its caller stops waiting.
    pub deadline: time::Moment,
    /// Whether it may be repeated.
    pub is_repeatable: bool,
    /// Estimated memory, in bytes.
    pub bytes: u64,
    /// When it is released, once the configuration has arrived.
    pub release: Option<time::Moment>,
}
