//! Attempts of a request that upstreams may have run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of attempts that upstreams may have run. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<AtomicU32>);

impl Runs {
    /// Records that the request is being written to an upstream.
    pub fn begin(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the attempt begun last is known not to have run.
    pub fn undo(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether an upstream may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}
