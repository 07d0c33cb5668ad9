//! Immutable snapshots of the state that traffic threads read.
//!
//! The control thread publishes a new [`Snapshot`] on each change; traffic threads
//! load it without locking and never wait for the control thread.

mod liveness;
mod shared;
mod upstream;

pub use shared::Shared;
pub use upstream::Upstream;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use cloverpost_core::catalogue;
use cloverpost_core::id;
use cloverpost_core::spread;
use cloverpost_core::time;

use crate::overload;
use crate::plan;

/// State at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the catalogue, and until when it may be used.
    pub view: spread::View,
    /// The catalogue.
    pub catalogue: Arc<catalogue::Catalogue>,
    /// VMs known to be dead.
    pub dead: HashSet<id::Vm>,
    /// Versions that get no new requests.
    pub halted: Arc<plan::Halted>,
    /// Selected plans of the request classes.
    pub selections: Arc<plan::Selections>,
    /// Upstreams available for new requests, by pool.
    pub upstreams: HashMap<id::Pool, Vec<Upstream>>,
    /// Queues of waiting requests, by pool. Every pool that has ever had upstreams
    /// has a queue.
    pub queues: HashMap<id::Pool, Arc<overload::Queue>>,
}

impl Snapshot {
    /// Whether new requests may be accepted at `now`.
    ///
    /// False before the first revision: the empty catalogue has no caller keys, so
    /// all callers would be rejected as unknown.
    #[must_use]
    pub fn is_confirmed(&self, now: time::Moment) -> bool {
        self.view.revision > id::Revision::default() && self.view.confirmed(now)
    }

    /// Upstreams of `pool` available for new requests.
    #[must_use]
    pub fn pool(&self, pool: &id::Pool) -> &[Upstream] {
        self.upstreams.get(pool).map_or(&[], Vec::as_slice)
    }
}
