//! Publication of snapshots.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use crate::snapshot::Snapshot;

/// The current snapshot, shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<ArcSwap<Snapshot>>);

impl Shared {
    /// The current snapshot.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.0.load()
    }

    /// The current snapshot, for holding across an `await`.
    #[must_use]
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Publishes a copy of the current snapshot to which `change` has been applied.
    ///
    /// Not atomic: concurrent updates could be lost, so only the control thread may
    /// call it.
    pub fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshot = Snapshot::clone(&self.0.load());
        change(&mut snapshot);
        self.0.store(Arc::new(snapshot));
    }
}
