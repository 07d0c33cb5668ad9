//! Which process stands behind an upstream's id.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::directory::{Upstream, View};
use crate::id;

/// Ids that are remembered besides those in use. An upstream that was gone for a while
/// may come back under its id; 100 bytes each.
const SPARE: usize = 1000;

/// The process last seen under each upstream's id.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    seen: HashMap<id::Upstream, Arc<Upstream>>,
}

impl Processes {
    /// Takes in a view; the upstreams that are another process than before under the
    /// same id.
    pub fn note(&mut self, view: &View) -> Vec<Arc<Upstream>> {
        let mut restarted = Vec::new();
        for upstream in view.upstreams() {
            let before = self.seen.insert(upstream.id.clone(), upstream.clone());
            if before.is_some_and(|before| upstream.is_restart_of(&before)) {
                restarted.push(upstream.clone());
            }
        }
        self.forget(view);
        restarted
    }

    /// Forgets ids that are out of use, once there are many.
    fn forget(&mut self, view: &View) {
        let used = view.upstreams().count();
        if self.seen.len() > used + SPARE {
            let used: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
            self.seen.retain(|id, _| used.contains(id));
        }
    }
}
