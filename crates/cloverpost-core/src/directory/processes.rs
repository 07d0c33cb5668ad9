//! Detection of restarted upstreams.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::directory::{Upstream, View};
use crate::id;

/// Number of unused ids that are kept, about 100 bytes each. An upstream may return under its id
/// after a while.
const MAX_UNUSED_IDS: usize = 1000;

/// The last process seen for each upstream id.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    seen: HashMap<id::Upstream, Arc<Upstream>>,
}

impl Processes {
    /// Records the upstreams of `view`, and returns those whose process changed under the same id.
    pub fn update(&mut self, view: &View) -> Vec<Arc<Upstream>> {
        let mut restarted = Vec::new();
        for upstream in view.upstreams() {
            let before = self.seen.insert(upstream.id.clone(), upstream.clone());
            if before.is_some_and(|before| upstream.is_restart_of(&before)) {
                restarted.push(upstream.clone());
            }
        }
        self.evict(view);
        restarted
    }

    /// Evicts unused ids once there are more than [`MAX_UNUSED_IDS`].
    fn evict(&mut self, view: &View) {
        let used = view.upstreams().count();
        if self.seen.len() > used + MAX_UNUSED_IDS {
            let used: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
            self.seen.retain(|id, _| used.contains(id));
        }
    }
}
