//! Decides once whether a write request is sent or cancelled.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A flag that exactly one of its owners can set.
///
/// The writer passes the gate before it sends a request, and the waiting caller passes
/// it to cancel the request. A cancelled request therefore has no effect, and its row
/// needs no clean-up.
#[derive(Clone, Debug, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    /// Whether the caller is the first to pass.
    pub fn pass(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }
}
